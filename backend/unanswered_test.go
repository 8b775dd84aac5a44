package backend_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// hangingServer leaves requests unanswered while isHanging is set, and notes the connections that they arrive on.
type hangingServer struct {
	isHanging   atomic.Bool
	release     chan struct{}
	outstanding atomic.Int64
	mu          sync.Mutex
	hung        map[string]bool
	reused      int
}

func (s *hangingServer) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if s.hung[r.RemoteAddr] {
		s.reused++
	}
	if s.isHanging.Load() {
		s.hung[r.RemoteAddr] = true
	}
	s.mu.Unlock()
	if s.isHanging.Load() {
		s.outstanding.Add(1)
		<-s.release // the server does not notice that the connection is closed
		s.outstanding.Add(-1)
	}
	w.Header().Set(headerNames.RequestID, r.Header.Get(headerNames.RequestID))
	w.Header().Set(headerNames.Signature, "s")
}

func newHangingServer(t *testing.T) (*hangingServer, string) {
	s := &hangingServer{release: make(chan struct{}), hung: map[string]bool{}}
	s.isHanging.Store(true)
	address := startServer(t, s.serve)
	t.Cleanup(func() { close(s.release) })
	return s, address
}

// TestCallOfDepartedCallerKeepsItsSlot guards against more calls at a server that hangs than it can run: one whose caller
// has left counts until the deadline has passed. Without a load-aware configuration it ends at once.
func TestCallOfDepartedCallerKeepsItsSlot(t *testing.T) {
	for _, isLoadAware := range []bool{true, false} {
		g := gomega.NewWithT(t)
		s, address := newHangingServer(t)
		r, _ := newRunner(address, unchanged)
		r.SetLoadAware(isLoadAware)
		unanswered := newCall(60 * time.Millisecond)
		unanswered.Class = &class.Class{Name: "read", Latency: 20 * time.Millisecond}
		g.Expect(r.Run(context.Background(), unanswered).Reason).To(gomega.Equal(call.TimedOut))
		outstanding := s.outstanding.Load()
		for range 6 {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			ctx, leave := context.WithCancel(ctx)
			stop := time.AfterFunc(30*time.Millisecond, leave)
			result := r.Run(ctx, newCall(800*time.Millisecond))
			g.Expect(result.Outcome).NotTo(gomega.Equal(class.Answered))
			stop.Stop()
			leave()
			cancel()
		}
		if !isLoadAware {
			g.Expect(r.State().Running).To(gomega.BeZero())
			g.Expect(s.outstanding.Load() - outstanding).To(gomega.BeNumerically(">", 2))
			continue
		}
		g.Expect(s.outstanding.Load()-outstanding).To(gomega.BeEquivalentTo(2), "the concurrency of the server")
		g.Expect(r.State().Running).To(gomega.Equal(2))
		g.Eventually(func() int { return r.State().Running }).WithTimeout(2 * time.Second).Should(gomega.BeZero())
	}
}

// TestUnansweredCallsLowerTheLimit guards against a server that hangs and is sent as many calls as before, and against
// calls on the connection of an unanswered one, which would not be answered either.
func TestUnansweredCallsLowerTheLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	s, address := newHangingServer(t)
	r, _ := newRunner(address, func(p *backend.Permit) { p.Concurrency = 8 })
	r.SetLoadAware(true)
	var reports atomic.Int64
	r.ObserveUnanswered(func(backend.UnansweredCall) { reports.Add(1) })
	run := func(timeout time.Duration) call.Result {
		c := newCall(timeout)
		c.Class = &class.Class{Name: "read", Latency: 50 * time.Millisecond}
		return r.Run(context.Background(), c)
	}
	for range 10 {
		g.Expect(run(20 * time.Millisecond).Reason).To(gomega.Equal(call.TimedOut))
	}
	g.Expect(r.State().Limit).To(gomega.Equal(8), "the calls had too little time")
	for range 10 {
		g.Expect(run(120 * time.Millisecond).Outcome).NotTo(gomega.Equal(class.Answered))
	}
	g.Expect(r.State().Limit).To(gomega.Equal(1))
	g.Expect(reports.Load()).To(gomega.BeEquivalentTo(20))
	s.isHanging.Store(false)
	for range 12 {
		g.Expect(run(time.Second).Outcome).To(gomega.Equal(class.Answered))
	}
	g.Expect(r.State().Limit).To(gomega.BeNumerically(">=", 5))
	g.Expect(s.reused).To(gomega.BeZero())
}

// TestCallEndsWhenItsCallerLeaves guards against servers that go on working for callers that have left.
func TestCallEndsWhenItsCallerLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	hasBegun, isDropped := make(chan struct{}), make(chan struct{})
	address := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(hasBegun)
		<-r.Context().Done() // the connection is closed
		close(isDropped)
	})
	r, _ := newRunner(address, unchanged)
	r.SetLoadAware(true)
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		<-hasBegun
		leave()
	}()
	g.Expect(r.Run(ctx, newCall(10*time.Second)).Reason).To(gomega.Equal(call.CallerGone))
	g.Eventually(isDropped).Should(gomega.BeClosed())
	g.Expect(r.State().Running).To(gomega.BeZero())
}
