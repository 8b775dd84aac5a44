package caller_test

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// TestReach plays testdata/reach/*.txt for a daemon of domain z0. "fail DOMAIN HOST", "answer DOMAIN", "heard DOMAIN" and
// "failvia DOMAIN VIA" report, "size DOMAIN COUNT" sets its number of hosts, "wait DURATION" advances the time, "expect DOMAIN reachable|unreachable", "via DOMAIN VIA
// yes|no" and "probes DOMAIN|none" check.
func TestReach(t *testing.T) {
	paths, err := filepath.Glob("testdata/reach/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatal("no scripts found", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			script, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			playReach(t, string(script))
		})
	}
}

func playReach(t *testing.T, script string) {
	t.Helper()
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	changes := 0
	reach := caller.NewReach("z0", func(caller.ReachChange) { changes++ })
	expectedChanges := 0
	isUnreachable := map[string]bool{}
	for number, line := range strings.Split(script, "\n") {
		f := strings.Fields(line)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		domain := ownership.FailureDomain(f[1])
		switch f[0] {
		case "size":
			size, err := strconv.Atoi(f[2])
			g.Expect(err).NotTo(gomega.HaveOccurred())
			reach.SetSizes(map[ownership.FailureDomain]int{domain: size})
		case "fail":
			reach.Failed(now, domain, ownership.HostID(f[2]))
		case "answer":
			reach.Answered(now, domain)
		case "heard":
			reach.Heard(now, domain)
		case "failvia":
			reach.FailedVia(now, domain, ownership.FailureDomain(f[2]))
		case "wait":
			duration, err := time.ParseDuration(f[1])
			g.Expect(err).NotTo(gomega.HaveOccurred())
			now = now.Add(duration)
		case "expect":
			g.Expect(reach.IsUnreachable(domain)).To(gomega.Equal(f[2] == "unreachable"), "line %d: %s", number+1, line)
			if isUnreachable[f[1]] != (f[2] == "unreachable") {
				isUnreachable[f[1]] = !isUnreachable[f[1]]
				expectedChanges++
			}
			g.Expect(changes).To(gomega.Equal(expectedChanges), "line %d: changes are reported once", number+1)
		case "via":
			g.Expect(reach.CanRelay(now, domain, ownership.FailureDomain(f[2]))).To(
				gomega.Equal(f[3] == "yes"), "line %d: %s", number+1, line)
		case "probes":
			var expected []ownership.FailureDomain
			if f[1] != "none" {
				expected = append(expected, domain)
			}
			g.Expect(reach.TakeProbes(now)).To(gomega.Equal(expected), "line %d: %s", number+1, line)
		default:
			t.Fatalf("line %d: %s", number+1, line)
		}
	}
}
