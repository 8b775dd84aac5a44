package backend_test

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// serveSlowly answers after a service time of 20 ms.
func serveSlowly(s *limitedServer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		s.serve(w, r)
	}
}

// press makes urgent calls on many goroutines, more than two at a time can serve, and returns the demand in concurrent
// calls of the second half of the given time.
func press(r *backend.Runner, d time.Duration) float64 {
	start := time.Now()
	var callers sync.WaitGroup
	for n := range 16 {
		callers.Go(func() {
			for i := 0; time.Since(start) < d; i++ {
				c := newCall(100 * time.Millisecond)
				c.Class = &class.Class{Name: "urgent", Latency: 60 * time.Millisecond}
				c.ID = class.RequestID("id-" + strconv.Itoa(n) + "-" + strconv.Itoa(i))
				c.Header.Set(headerNames.RequestID, string(c.ID))
				result := r.Run(context.Background(), c)
				time.Sleep(result.RetryAfter)
			}
		})
	}
	time.Sleep(d / 2)
	r.TakeDemand()
	began := time.Now()
	time.Sleep(d/2 - 20*time.Millisecond)
	_, total := r.TakeDemand()
	demand := total.Seconds() / time.Since(began).Seconds()
	callers.Wait()
	return demand
}

// TestRejectedCallsCountAsDemand guards against a server that is asked for more than it can do looking like one that is
// just busy, so that no keys move away from it.
func TestRejectedCallsCountAsDemand(t *testing.T) {
	for name, limit := range map[string]string{"by concurrency": "", "by a rate limit": "20"} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r, _ := newRunner(startServer(t, serveSlowly(newLimitedServer(limit))), unchanged)
			const concurrency = 2
			g.Expect(press(r, 3*time.Second)).To(gomega.BeNumerically(">", 1.3*concurrency))
		})
	}
}
