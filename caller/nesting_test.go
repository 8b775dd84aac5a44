package caller_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/dependency"
)

// TestRejectedRunIsNotTriedElsewhere guards against rejected runs that cost retries: their nested calls would fail on the
// other hosts too.
func TestRejectedRunIsNotTriedElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	rejected := call.NotRun(call.Dependency)
	rejected.RetryAfter = 300 * time.Millisecond
	for _, path := range []string{"/r/1", "/w/1", "/k/1"} {
		s := &scriptedSender{results: []call.Result{rejected}}
		w := serve(s, withPath(path))
		g.Expect(w.Code).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(w.Header().Get("Retry-After")).To(gomega.Equal("0.3"))
		g.Expect(s.hosts).To(gomega.HaveLen(1), path)
	}
}

// TestEndsOfNestedCalls guards against calls that are not marked as nested, and against results that are taken for a lack
// of capacity or not, against what they say. It makes 40 nested calls with each result.
func TestEndsOfNestedCalls(t *testing.T) {
	for name, c := range map[string]struct {
		result    call.Result
		isFailure bool
	}{
		"answered":      {answered(http.StatusOK), false},
		"not found":     {answered(http.StatusNotFound), false},
		"failed":        {answered(http.StatusInternalServerError), false},
		"unavailable":   {answered(http.StatusServiceUnavailable), true},
		"timeout":       {answered(http.StatusGatewayTimeout), true},
		"overload":      {call.NotRun(call.Overload), true},
		"late":          {call.NotRun(call.Late), true},
		"dependency":    {call.NotRun(call.Dependency), true},
		"no server":     {call.NotRun(call.NoServer), true},
		"timed out":     {call.Unknown(call.TimedOut), true},
		"lost":          {call.Unknown(call.AnswerLost), false},
		"held back":     {call.NotRun(call.Quarantined), false},
		"run cancelled": {call.Unknown(call.CallerGone), false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			tracker := dependency.NewTracker("own", dependency.Observer{
				RejectionChanged: func(dependency.Rejection) {}, RunRejected: func(class.Name) {},
			}, clockwork.NewRealClock(), 1)
			tracker.SetLoadAware(true)
			tracker.RunBegan("run")
			defer tracker.RunEnded("run")
			result := c.result
			result.IsNested, result.Load = true, &call.Load{Concurrency: 2}
			s := &scriptedSender{}
			nest := func(h *caller.Handler, r *http.Request) {
				h.FollowNesting(tracker)
				withPath("/w/1")(h, r)
			}
			for range 40 {
				s.results = []call.Result{result, result, result}
				serve(s, nest)
			}
			g.Expect(tracker.Rejections()).To(gomega.HaveLen(map[bool]int{true: 1}[c.isFailure]))
			g.Expect(s.calls[0].IsNested).To(gomega.BeFalse())
			g.Expect(s.calls[len(s.calls)-1].IsNested).To(gomega.Equal(!strings.Contains("lost held back run cancelled", name)))
		})
	}
}
