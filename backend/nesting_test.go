package backend_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/dependency"
)

// TestResultsStateThatTheirClassIsNested guards against a calling host that never learns that it makes nested calls, and
// against any change for configurations that are not load-aware.
func TestResultsStateThatTheirClassIsNested(t *testing.T) {
	g := gomega.NewWithT(t)
	address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerNames.RequestID, "id-1")
		w.Header().Set(headerNames.Signature, "s")
	})
	r, _ := newRunner(address, unchanged)
	var changes []bool
	r.FollowNesting(dependency.NewTracker("r", dependency.Observer{
		NestedChanged: func(_ class.Name, _ class.Service, isNested bool) { changes = append(changes, isNested) },
	}, clockwork.NewRealClock(), 1))
	run := func(name class.Name, origin class.Service) bool {
		c := newCall(time.Second)
		c.Class = &class.Class{Name: name, Latency: time.Second}
		c.Origin = origin
		result := r.Run(context.Background(), c)
		g.Expect(result.Outcome).To(gomega.Equal(class.Answered))
		return result.IsNested
	}
	isNested := false
	for _, isLoadAware := range []bool{false, true} {
		r.SetLoadAware(isLoadAware)
		run("confirm", "p")
		run("confirm", "r")
		for range 60 {
			isNested = run("check", "p")
		}
		g.Expect(isNested).To(gomega.Equal(isLoadAware))
	}
	g.Expect(changes).To(gomega.Equal([]bool{true}))
	g.Expect(run("check", "r")).To(gomega.BeFalse())
	g.Expect(changes).To(gomega.Equal([]bool{true, false}))
}

// TestRunsWhoseNestedCallsFailAreRejected guards against runs that begin although their nested calls would fail, and against
// rejections of other classes. The rejected runs must not reach the server.
func TestRunsWhoseNestedCallsFailAreRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	requests := 0
	tracker := dependency.NewTracker("p", dependency.Observer{
		NestedChanged:    func(class.Name, class.Service, bool) {},
		RejectionChanged: func(dependency.Rejection) {},
		RunRejected:      func(class.Name) {},
	}, clockwork.NewRealClock(), 1)
	address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		requests++
		if r.URL.Path == "/x" {
			tracker.CallEntered("check")
			tracker.CallEnded("check", true, true, dependency.Outcome{HasFailed: true, RetryAfter: time.Second})
		}
		w.Header().Set(headerNames.RequestID, "id-1")
		w.Header().Set(headerNames.Signature, "s")
	})
	r, _ := newRunner(address, unchanged)
	r.FollowNesting(tracker)
	r.SetLoadAware(true)
	results := map[class.Outcome]int{}
	for range 100 {
		result := r.Run(context.Background(), newCall(time.Second))
		results[result.Outcome]++
		if result.Outcome == class.NotRun {
			g.Expect(result.Reason).To(gomega.Equal(call.Dependency))
			g.Expect(result.RetryAfter).To(gomega.And(
				gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", 2*time.Second)), "spread over one to two seconds at most")
		}
		other := newCall(time.Second)
		other.Class, other.URI = &class.Class{Name: "other", Latency: time.Second}, "/other"
		g.Expect(r.Run(context.Background(), other).Outcome).To(gomega.Equal(class.Answered))
	}
	g.Expect(results[class.NotRun]).To(gomega.BeNumerically(">", 50))
	g.Expect(requests).To(gomega.Equal(results[class.Answered] + 100))
}
