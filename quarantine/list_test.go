package quarantine_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/quarantine"
)

func fingerprintOf(uri string) call.Fingerprint { return call.Call{URI: uri}.Fingerprint() }

func crashOf(host string) quarantine.Crash {
	return quarantine.Crash{Host: ownership.HostID(host), Instance: ownership.Instance{ID: "i", Born: 1}}
}

// TestScripts plays testdata/*.txt. Each line is a command: "crash REQUEST HOST [OFFSET]" and "answer REQUEST" report at
// the present time plus the offset, "wait DURATION" advances the clock, and "expect REQUEST clear|suspected|held
// DURATION" checks the verdict.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatal("no scripts found", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			script, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			playScript(t, string(script))
		})
	}
}

func playScript(t *testing.T, script string) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	list := quarantine.NewList(clock)
	for number, line := range strings.Split(script, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || fields[0] == "#" {
			continue
		}
		duration := time.Duration(0)
		if parsed, err := time.ParseDuration(fields[len(fields)-1]); err == nil {
			duration = parsed
		}
		switch fields[0] {
		case "crash":
			list.Add(quarantine.Report{
				Request: fingerprintOf(fields[1]), Crash: crashOf(fields[2]), At: clock.Now().Add(duration),
			})
		case "answer":
			list.Add(quarantine.Report{Request: fingerprintOf(fields[1]), At: clock.Now()})
		case "wait":
			clock.Advance(duration)
			list.Expire()
		case "expect":
			verdict := list.Verdict(fingerprintOf(fields[1]))
			expected := fields[2]
			if expected == "held" {
				expected += " " + duration.String()
			}
			if got := describe(clock, verdict); got != expected {
				t.Fatalf("line %d: %s: got %s", number+1, line, got)
			}
		default:
			t.Fatalf("line %d: unknown command %s", number+1, fields[0])
		}
	}
}

func describe(clock clockwork.Clock, v quarantine.Verdict) string {
	switch {
	case !v.HeldUntil.IsZero():
		return "held " + v.HeldUntil.Sub(clock.Now()).String()
	case v.IsSuspected:
		return "suspected"
	default:
		return "clear"
	}
}

// TestListIsBounded guards against a caller that fills the list, and against the loss of a request that is held back.
func TestListIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	list := quarantine.NewList(clock)
	for i := range 5 {
		list.Add(quarantine.Report{Request: fingerprintOf("deadly"), Crash: crashOf(fmt.Sprint("h", i)), At: clock.Now()})
	}
	for i := range 5000 {
		list.Add(quarantine.Report{Request: fingerprintOf(fmt.Sprint(i)), Crash: crashOf("h"), At: clock.Now()})
	}
	for i := range 50 {
		list.Add(quarantine.Report{Request: fingerprintOf("deadly"), Crash: crashOf(fmt.Sprint("g", i)), At: clock.Now()})
	}
	g.Expect(len(list.Reports())).To(gomega.BeNumerically("<=", 1024+8))
	g.Expect(list.Verdict(fingerprintOf("deadly")).HeldUntil).NotTo(gomega.BeZero())
	clock.Advance(time.Hour)
	list.Expire()
	g.Expect(list.IsEmpty()).To(gomega.BeTrue())
}

// TestNewestCrashesCount guards against a request whose crashes no longer count because it was running in many earlier
// ones, after which servers answered it.
func TestNewestCrashesCount(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	list := quarantine.NewList(clock)
	request := fingerprintOf("menu")
	for i := range 20 {
		g.Expect(list.Add(quarantine.Report{Request: request, Crash: crashOf(fmt.Sprint("h", i)), At: clock.Now()})).To(gomega.BeTrue())
		g.Expect(list.Verdict(request).Crashes).To(gomega.Equal(1))
		clock.Advance(time.Second)
		list.Add(quarantine.Report{Request: request, At: clock.Now()})
		clock.Advance(time.Second)
	}
	oldest := quarantine.Report{Request: request, Crash: crashOf("h0"), At: clock.Now().Add(-40 * time.Second)}
	g.Expect(list.Add(oldest)).To(gomega.BeFalse(), "a list that dropped a crash does not take it again")
	g.Expect(len(list.Reports())).To(gomega.Equal(9))
}

// TestTrialsDoNotBeginAtOnce guards against a request that crashes several servers at the same moment again, when it may run
// once more after it was held back. It comes at all hosts at any time, and the report of its crash spreads within 100 ms.
func TestTrialsDoNotBeginAtOnce(t *testing.T) {
	const hosts = 9
	for _, crashes := range []int{2, 3} {
		t.Run(fmt.Sprint(crashes, " crashes"), func(t *testing.T) {
			g := gomega.NewWithT(t)
			clock := clockwork.NewFakeClock()
			deadly := call.Call{URI: "/deadly"}
			var lists [hosts]*quarantine.List
			for i := range lists {
				lists[i] = quarantine.NewList(clock)
				lists[i].SetTurn(quarantine.Turn{Index: i, Count: hosts})
				for n := range crashes {
					lists[i].Add(quarantine.Report{Request: deadly.Fingerprint(), Crash: crashOf(fmt.Sprint("h", n)), At: clock.Now()})
				}
			}
			clock.Advance(30*time.Second - time.Millisecond)
			for i := range lists {
				g.Expect(lists[i].Try(deadly).Held(clock.Now())).To(gomega.BeNumerically(">", 0), "before the end of the hold")
			}
			var reports []quarantine.Report
			for range 600 {
				for i := range lists {
					if verdict := lists[i].Try(deadly); verdict.HeldUntil.IsZero() {
						reports = append(reports, quarantine.Report{
							Request: deadly.Fingerprint(), Crash: crashOf(fmt.Sprint("t", len(reports))), At: clock.Now(),
						})
					}
				}
				clock.Advance(10 * time.Millisecond)
				for _, r := range reports {
					for i := range lists {
						if clock.Since(r.At) >= 100*time.Millisecond {
							lists[i].Add(r)
						}
					}
				}
			}
			g.Expect(reports).To(gomega.HaveLen(1))
		})
	}
}

// TestEachHostHasATurn guards against a request that only one host gets, and that is never tried again.
func TestEachHostHasATurn(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	list := quarantine.NewList(clock)
	list.SetTurn(quarantine.Turn{Index: 7, Count: 9})
	request := call.Call{URI: "/menu"}
	for _, host := range []string{"h1", "h2", "h3"} {
		list.Add(quarantine.Report{Request: request.Fingerprint(), Crash: crashOf(host), At: clock.Now()})
	}
	clock.Advance(31 * time.Second)
	clock.Advance(list.Try(request).Held(clock.Now()))
	g.Expect(list.Try(request).HeldUntil).To(gomega.BeZero())
	g.Expect(list.Try(request).HeldUntil).NotTo(gomega.BeZero(), "one call in each turn")
	list.Add(quarantine.Report{Request: request.Fingerprint(), At: clock.Now()})
	g.Expect(list.Try(request)).To(gomega.BeZero(), "a server has answered it")
}

// TestListsWithTheSameReportsAgree checks that the order of reports does not matter, as they arrive from several hosts.
func TestListsWithTheSameReportsAgree(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	a, b := quarantine.NewList(clock), quarantine.NewList(clock)
	first := quarantine.Report{Request: fingerprintOf("x"), Crash: crashOf("h1"), At: clock.Now()}
	second := quarantine.Report{Request: fingerprintOf("x"), Crash: crashOf("h2"), At: clock.Now().Add(time.Second)}
	g.Expect(a.Add(first)).To(gomega.BeTrue())
	g.Expect(a.Digest()).NotTo(gomega.Equal(b.Digest()))
	a.Add(second)
	b.Add(second)
	b.Add(first)
	g.Expect(a.Digest()).To(gomega.Equal(b.Digest()))
	g.Expect(a.Reports()).To(gomega.Equal(b.Reports()))
	g.Expect(a.Add(first)).To(gomega.BeFalse())
}

func ExampleList() {
	clock := clockwork.NewFakeClock()
	list := quarantine.NewList(clock)
	request := call.Call{Origin: "shop", Method: "GET", Host: "h", URI: "/menu"}.Fingerprint()
	for _, host := range []string{"h1", "h2", "h3"} {
		list.Add(quarantine.Report{Request: request, Crash: crashOf(host), At: clock.Now()})
		clock.Advance(30 * time.Second)
	}
	clock.Advance(-30 * time.Second)
	fmt.Println(list.Verdict(request).HeldUntil.Sub(clock.Now()))
	list.Add(quarantine.Report{Request: request, At: clock.Now().Add(time.Second)})
	fmt.Println(list.Verdict(request).IsSuspected)
	// Output:
	// 10m0s
	// false
}
