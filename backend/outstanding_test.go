package backend_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
)

const (
	requestBytes = 60 << 10
	maxRequests  = 3
	slots        = 8
)

// boundedRunner returns a runner for a server with room for maxRequests bodies of requestBytes.
func boundedRunner(address string, isEnforced bool, onCrowded func(backend.CrowdedCall)) *backend.Runner {
	clock := clockwork.NewRealClock()
	r := backend.NewRunner(admission.NewController(admission.NewTargetPolicy(slots), slots, clock), func() {}, clock)
	r.LimitRequestBytes(maxRequests*requestBytes, onCrowded)
	r.EnforceRequestBytes(isEnforced)
	r.SetPermit(backend.Permit{IsUsable: true, Instance: "i-1", Concurrency: slots},
		backend.NewClient(address, slots, headerNames, func() {}, clock))
	return r
}

func bodyCall(bytes int, timeout time.Duration) call.Call {
	c := newCall(timeout)
	c.HasKey, c.Method, c.Body = false, http.MethodPost, make([]byte, bytes)
	return c
}

// TestBodiesAtTheServerAreBounded guards against a server that crashes because the requests that it holds exceed its
// memory. Calls without a body pass those that wait, and a body that exceeds the bound is sent alone.
func TestBodiesAtTheServerAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		isEnforced bool
		body       int
		maxAtOnce  int64
		isCrowded  bool
	}{
		"load-aware":          {isEnforced: true, body: requestBytes, maxAtOnce: maxRequests, isCrowded: true},
		"longer than bound":   {isEnforced: true, body: 10 * requestBytes, maxAtOnce: 1, isCrowded: true},
		"without a body":      {isEnforced: true, body: 0, maxAtOnce: slots},
		"other configuration": {isEnforced: false, body: requestBytes, maxAtOnce: slots},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var atServer, most, crowded atomic.Int64
			address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				now := atServer.Add(1)
				for seen := most.Load(); now > seen && !most.CompareAndSwap(seen, now); seen = most.Load() {
				}
				_, _ = io.Copy(io.Discard, r.Body) // an error shows in the outcome
				time.Sleep(20 * time.Millisecond)  // the run time of the call
				atServer.Add(-1)
				w.Header().Set(headerNames.RequestID, "id-1")
				w.Header().Set(headerNames.Signature, "s")
			})
			r := boundedRunner(address, c.isEnforced, func(backend.CrowdedCall) { crowded.Add(1) })
			var group sync.WaitGroup
			for range slots {
				group.Go(func() {
					result := r.Run(context.Background(), bodyCall(c.body, 5*time.Second))
					for result.Reason == call.Unreachable { // the machine is too busy to connect in time
						result = r.Run(context.Background(), bodyCall(c.body, 5*time.Second))
					}
					g.Expect(result.Outcome).To(gomega.Equal(class.Answered), result.Reason.String())
				})
			}
			group.Wait()
			g.Expect(most.Load()).To(gomega.BeNumerically("<=", c.maxAtOnce))
			g.Expect(crowded.Load() > 0).To(gomega.Equal(c.isCrowded))
			g.Expect(r.RequestBytes()).To(gomega.BeZero())
		})
	}
}

// TestHungServerGetsNoMoreBodies covers a server that answers nothing. Calls whose bodies do not fit end early and have not
// run, and those that are outstanding give their room back at their deadline.
func TestHungServerGetsNoMoreBodies(t *testing.T) {
	g := gomega.NewWithT(t)
	var received atomic.Int64
	ended := make(chan struct{})
	address := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		received.Add(1)
		<-ended
		_ = r.Body.Close() // nothing more is read
	})
	defer close(ended)
	crowded := make(chan backend.CrowdedCall, 1)
	r := boundedRunner(address, true, func(c backend.CrowdedCall) { crowded <- c })
	const timeout = time.Second
	var group sync.WaitGroup
	for range maxRequests {
		group.Go(func() {
			g.Expect(r.Run(context.Background(), bodyCall(requestBytes, timeout)).Outcome).To(gomega.Equal(class.Unknown))
		})
	}
	g.Eventually(received.Load).Should(gomega.Equal(int64(maxRequests)))
	start := time.Now()
	result := r.Run(context.Background(), bodyCall(requestBytes, timeout))
	g.Expect(result.Outcome).To(gomega.Equal(class.NotRun))
	g.Expect(result.Reason).To(gomega.Equal(call.Overload))
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", timeout/2))
	g.Expect((<-crowded).IsRejected).To(gomega.BeTrue())
	offer := bodyCall(requestBytes, timeout)
	offer.MaxWait = time.Millisecond
	g.Expect(r.Run(context.Background(), offer).Reason).To(gomega.Equal(call.WaitExceeded), "another server may have room")
	group.Wait()
	g.Expect(received.Load()).To(gomega.Equal(int64(maxRequests)))
	g.Expect(r.RequestBytes()).To(gomega.BeZero())
}

// TestAbandonedCallKeepsItsRoom guards against more bodies at a server than it can hold, because calls whose callers left no
// longer count although a server that hangs may still hold them.
func TestAbandonedCallKeepsItsRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	received, end := make(chan struct{}, 2), make(chan struct{})
	defer close(end)
	address := startServer(t, func(http.ResponseWriter, *http.Request) {
		received <- struct{}{}
		<-end // the server does not notice that the connection is closed
	})
	r := boundedRunner(address, true, func(backend.CrowdedCall) {})
	r.SetLoadAware(true)
	unanswered := bodyCall(0, 60*time.Millisecond)
	unanswered.Class = &class.Class{Name: "read", Latency: 20 * time.Millisecond}
	g.Expect(r.Run(context.Background(), unanswered).Reason).To(gomega.Equal(call.TimedOut))
	<-received
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		<-received
		leave()
	}()
	g.Expect(r.Run(ctx, bodyCall(requestBytes, time.Second)).Outcome).To(gomega.Equal(class.Unknown))
	g.Expect(r.RequestBytes()).To(gomega.Equal(int64(requestBytes)))
	g.Eventually(r.RequestBytes).WithTimeout(3 * time.Second).Should(gomega.BeZero())
}
