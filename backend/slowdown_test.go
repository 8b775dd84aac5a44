package backend_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
)

// TestSlowdownIsReported guards against a slowdown that the server states and entry daemons do not learn, and against one in
// the responses of configurations that are not load-aware.
func TestSlowdownIsReported(t *testing.T) {
	for _, isLoadAware := range []bool{true, false} {
		g := gomega.NewWithT(t)
		var stated atomic.Value
		stated.Store("1,0,2,300")
		s := newLimitedServer("")
		r, _ := newRunner(startServer(t, func(w http.ResponseWriter, q *http.Request) {
			s.serve(w, q)
			w.Header().Set(headerNames.ServerLoad, stated.Load().(string))
		}), unchanged)
		r.SetLoadAware(isLoadAware)
		run := func() call.Load { return *r.Run(context.Background(), newCall(500*time.Millisecond)).Load }
		if slowdown := run().Slowdown; isLoadAware {
			g.Expect(slowdown).To(gomega.BeNumerically("~", 3, 0.5))
		} else {
			g.Expect(slowdown).To(gomega.Equal(1.0))
		}
		stated.Store("1,0,2,x")
		run()
		if isLoadAware {
			g.Expect(r.Load().Slowdown).To(gomega.BeNumerically(">", 1), "the last good value stays in effect")
		}
		stated.Store("1,0,2,100")
		g.Expect(run().Slowdown).To(gomega.Equal(1.0))
	}
}
