package backend_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

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
	}, clockwork.NewRealClock()))
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
