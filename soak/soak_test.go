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
	firstSeed     = flag.Uint64("soak.first", 1, "first seed; 0 takes each seed from the clock")
	seedCount     = flag.Int("soak.seeds", 2, "number of seeds to run")
	faultDuration = flag.Duration("soak.length", 8*time.Second, "how long faults are injected in each run")
	planName      = flag.String("soak.plan", "lorient", "deployment plan: lorient, dakar, dakar_cold, or a number of hosts")
	logDir        = flag.String("soak.logs", "", "directory to copy the files of failed runs to; empty keeps none")
)

// cleanupTime is how long before the test deadline a run is canceled, because a daemon may take 8 s to exit after
// SIGTERM.
const cleanupTime = 15 * time.Second

// callInterval is the pause between two calls of the same class through the same daemon of a small deployment.
const callInterval = 60 * time.Millisecond

// selectedPlan returns the plan that the flag names, and its call interval, which grows with the number of hosts.
func selectedPlan(t *testing.T) (deployment.Plan, time.Duration) {
	switch *planName {
	case "lorient":
		return deployment.Lorient(), callInterval
	case "dakar":
		return deployment.Dakar(), callInterval
	case "dakar_cold":
		return deployment.WithColdServers(deployment.Dakar()), callInterval
	}
	hosts, err := strconv.Atoi(*planName)
	if err != nil {
		t.Fatalf("soak.plan: got %s, expected lorient, dakar, dakar_cold or a number of hosts", *planName)
	}
	return deployment.Wide(hosts), callInterval * time.Duration(max(1, hosts/12))
}

func buildDaemon(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "skylarkrelay")
	if out, err := exec.Command("go", "build", "-o", path, "..").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

func TestSoak(t *testing.T) {
	path := buildDaemon(t)
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		if *firstSeed == 0 {
			seed = uint64(time.Now().UnixNano())
		}
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runSeed(t, path, seed, *faultDuration) })
	}
}

// TestSoakRegressionSeeds runs each seed that failed before. testdata/seeds.txt lists them with the causes.
func TestSoakRegressionSeeds(t *testing.T) {
	data, err := os.ReadFile("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	path := buildDaemon(t)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || strings.HasPrefix(line, "#") {
			continue
		}
		seed, err := strconv.ParseUint(fields[0], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		duration, err := time.ParseDuration(fields[1])
		if err != nil {
			t.Fatal(err)
		}
		t.Run(fields[0], func(t *testing.T) { runSeed(t, path, seed, duration) })
	}
}

func runSeed(t *testing.T, path string, seed uint64, duration time.Duration) {
	dir := t.TempDir()
	p, interval := selectedPlan(t)
	ctx := context.Background()
	if deadline, isBounded := t.Deadline(); isBounded {
		// A test timeout ends the process at once and would leave the daemons running.
		bounded, cancel := context.WithDeadline(ctx, deadline.Add(-cleanupTime))
		defer cancel()
		ctx = bounded
	}
	result, err := soak.Run(ctx, soak.Options{
		Seed: seed, Plan: p, Binary: path, Dir: dir, FaultDuration: duration, CallInterval: interval,
	})
	t.Logf("recovery time %s\n%s",
		result.Recovery.Round(time.Millisecond), strings.Join(deployment.FormatTallies(result.Tallies), "\n"))
	if err == nil {
		return
	}
	for _, step := range result.Steps {
		t.Log(step)
	}
	if *logDir != "" {
		destination := filepath.Join(*logDir, fmt.Sprint(seed))
		if err := os.CopyFS(destination, os.DirFS(dir)); err != nil {
			t.Error(err)
		}
	}
	t.Fatal(err)
}

func TestSchedulesAreDeterministic(t *testing.T) {
	names := []string{"a", "b"}
	first, second := soak.NewSchedule(7, time.Minute, 9, names), soak.NewSchedule(7, time.Minute, 9, names)
	if !slices.Equal(first, second) {
		t.Fatal("equal seeds gave different schedules")
	}
	overlaps := 0
	for i, s := range first {
		if s.Start+s.Duration > time.Minute || s.Host >= 9 {
			t.Fatalf("step outside the run of 1 min or the 9 hosts: %s", s)
		}
		if i > 0 && first[i-1].Start+first[i-1].Duration > s.Start {
			overlaps++
		}
	}
	if overlaps < len(first)/3 {
		t.Fatalf("%d of %d steps overlap with the step before, expected at least a third", overlaps, len(first))
	}
}
