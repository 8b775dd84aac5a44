package soak_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/skylarkrelay/skylarkrelay/soak"
	"github.com/skylarkrelay/skylarkrelay/standin/deployment"
)

var (
	first  = flag.Uint64("soak.first", 1, "the first seed; 0 takes fresh ones")
	seeds  = flag.Int("soak.seeds", 2, "how many seeds to run")
	length = flag.Duration("soak.length", 8*time.Second, "how long faults strike")
	plan   = flag.String("soak.plan", "lorient", "the deployment: lorient, dakar, or a number of hosts")
	logs   = flag.String("soak.logs", "", "the directory in which the logs of failed runs are kept")
)

// cleanupTime is how long before the end of the tests' time a run is given up: a daemon that is asked to end may take 8 s.
const cleanupTime = 15 * time.Second

// callInterval is the pause between two calls of one class through one daemon of a small deployment.
const callInterval = 60 * time.Millisecond

func planned(t *testing.T) (deployment.Plan, time.Duration) {
	switch *plan {
	case "lorient":
		return deployment.Lorient(), callInterval
	case "dakar":
		return deployment.Dakar(), callInterval
	}
	hosts, err := strconv.Atoi(*plan)
	if err != nil {
		t.Fatalf("no plan %s", *plan)
	}
	return deployment.Wide(hosts), callInterval * time.Duration(max(1, hosts/12))
}

func binary(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "skylarkrelay")
	if out, err := exec.Command("go", "build", "-o", path, "..").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

func TestSoak(t *testing.T) {
	path := binary(t)
	for i := range *seeds {
		seed := *first + uint64(i)
		if *first == 0 {
			seed = uint64(time.Now().UnixNano())
		}
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runSeed(t, path, seed, *length) })
	}
}

// TestSoakOfSeedsThatFailed runs each seed that ever failed: testdata/seeds.txt says of each what its cause was.
func TestSoakOfSeedsThatFailed(t *testing.T) {
	data, err := os.ReadFile("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	path := binary(t)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || strings.HasPrefix(line, "#") {
			continue
		}
		seed, err := strconv.ParseUint(fields[0], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		long, err := time.ParseDuration(fields[1])
		if err != nil {
			t.Fatal(err)
		}
		t.Run(fields[0], func(t *testing.T) { runSeed(t, path, seed, long) })
	}
}

func runSeed(t *testing.T, path string, seed uint64, long time.Duration) {
	dir := t.TempDir()
	p, interval := planned(t)
	ctx := context.Background()
	if deadline, isBounded := t.Deadline(); isBounded {
		// A test that runs out of time ends the process at once, and would leave the daemons behind.
		bounded, cancel := context.WithDeadline(ctx, deadline.Add(-cleanupTime))
		defer cancel()
		ctx = bounded
	}
	result, err := soak.Run(ctx, soak.Options{
		Seed: seed, Plan: p, Binary: path, Dir: dir, Length: long, CallInterval: interval,
	})
	t.Logf("served again after %s\n%s", result.Recovery.Round(time.Millisecond), strings.Join(deployment.FormatTallies(result.Tallies), "\n"))
	if err == nil {
		return
	}
	for _, step := range result.Steps {
		t.Log(step)
	}
	if *logs != "" {
		to := filepath.Join(*logs, fmt.Sprint(seed))
		if err := os.CopyFS(to, os.DirFS(dir)); err != nil {
			t.Error(err)
		}
	}
	t.Fatal(err)
}

func TestSchedulesRepeat(t *testing.T) {
	names := []string{"a", "b"}
	one, two := soak.Schedule(7, time.Minute, 9, names), soak.Schedule(7, time.Minute, 9, names)
	if !slices.Equal(one, two) {
		t.Fatal("equal seeds gave different schedules")
	}
	overlaps := 0
	for i, s := range one {
		if s.At+s.For > time.Minute || s.Host >= 9 {
			t.Fatalf("%s is out of range", s)
		}
		if i > 0 && one[i-1].At+one[i-1].For > s.At {
			overlaps++
		}
	}
	if overlaps < len(one)/3 {
		t.Fatalf("%d of %d steps overlap", overlaps, len(one))
	}
}
