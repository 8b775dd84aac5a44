package daemon

import (
	"bytes"
	"runtime"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// TestUsageShowsAttemptsAndProcessorTime checks that the log distinguishes an overload by repeated attempts from one by control.
func TestUsageShowsAttemptsAndProcessorTime(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	d := New(testSettings(), Options{Log: hclog.New(&hclog.LoggerOptions{Output: &out}), Clock: clockwork.NewFakeClock()})
	finished := caller.FinishedCall{Result: call.NotRun(call.Overload)}
	for range 3 {
		d.observer.attemptFailed(caller.Attempt{Call: call.Call{Class: &class.Class{}}, Result: call.NotRun(call.Overload)})
	}
	d.observer.attemptFailed(caller.Attempt{Call: call.Call{Class: &class.Class{}}, Result: call.NotRun(call.NotOwner)})
	d.observer.callFinished(finished)
	now := ownership.Instant(time.Minute)
	d.control.reportUsage(now)
	g.Expect(out.String()).To(gomega.MatchRegexp(
		`usage: interval_ms=60000 cpu_ms=\d+ calls=1 attempts_unanswered=4 attempts_rejected=3`))
	out.Reset()
	d.control.reportUsage(now.Add(usageInterval - 1))
	g.Expect(out.String()).To(gomega.BeEmpty())
	d.control.reportUsage(now.Add(usageInterval))
	g.Expect(out.String()).To(gomega.ContainSubstring("interval_ms=5000"))
	g.Expect(out.String()).To(gomega.ContainSubstring("calls=0 attempts_unanswered=0 attempts_rejected=0"))
}

// TestChangesOfTheRateLimitAreLoggedWithinBounds covers a server that states another limit in each response.
func TestChangesOfTheRateLimitAreLoggedWithinBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	d := New(testSettings(), Options{Log: hclog.New(&hclog.LoggerOptions{Output: &out}), Clock: clockwork.NewFakeClock()})
	change := backend.RateLimitChange{Instance: "i", Before: rate.Inf, After: 22.5, Request: "id-1"}
	for range 1000 {
		d.observer.rateLimitChanged(change)
	}
	g.Expect(out.String()).To(gomega.ContainSubstring("instance=i before=none after=22.5 request=id-1"))
	g.Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(gomega.Equal(d.settings.Log.LinesPerSecond))
}

// TestFinishedCallsAllocateNoHistograms guards against a new sample of a histogram for each call.
func TestFinishedCallsAllocateNoHistograms(t *testing.T) {
	g := gomega.NewWithT(t)
	d := New(testSettings(), Options{Log: hclog.NewNullLogger(), Clock: clockwork.NewFakeClock()})
	finish := func() {
		d.observer.callFinished(caller.FinishedCall{Result: call.Result{Outcome: class.Answered}, Duration: time.Millisecond})
	}
	const calls = 1000
	finish()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		finish()
	}
	runtime.ReadMemStats(&after)
	g.Expect((after.TotalAlloc-before.TotalAlloc)/calls).To(gomega.BeNumerically("<", 1024), "bytes for each call")
}
