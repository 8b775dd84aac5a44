package backend_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
)

var headerNames = call.DefaultHeaderNames()

// newCall returns a call for key 7 whose deadline passes after the timeout.
func newCall(timeout time.Duration) call.Call {
	return call.Call{
		ID:       "id-1",
		Class:    &class.Class{Name: "read", Latency: time.Second},
		Origin:   "front",
		Key:      7,
		HasKey:   true,
		Method:   http.MethodGet,
		URI:      "/x",
		Header:   http.Header{headerNames.RequestID: {"id-1"}, headerNames.Origin: {"forged"}},
		Deadline: time.Now().Add(timeout),
	}
}

// newRunner returns a runner with a permit for a server at an address, and the number of its onUnreachable calls.
func newRunner(address string, change func(*backend.Permit)) (*backend.Runner, *int) {
	unreachableReports := 0
	clock := clockwork.NewRealClock()
	r := backend.NewRunner(
		admission.NewController(admission.NewTargetPolicy(2), 2, clock), func() { unreachableReports++ }, clock)
	p := backend.Permit{
		IsUsable:       true,
		Instance:       "i-1",
		IsKeyed:        true,
		KeysValidUntil: clock.Now().Add(time.Minute),
		Concurrency:    2,
	}
	p.Keys.Set(keyspace.Span{From: 0, To: 9}, true)
	change(&p)
	r.SetPermit(p, backend.NewClient(address, 2, headerNames, func() {}, clock))
	return r, &unreachableReports
}

func unchanged(*backend.Permit) {}

// startServer starts an HTTP server with the given handler and returns its address.
func startServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func TestServerResponses(t *testing.T) {
	signed := func(w http.ResponseWriter) {
		w.Header().Set(headerNames.RequestID, "id-1")
		w.Header().Set(headerNames.Signature, "s")
	}
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		outcome class.Outcome
		reason  call.Reason
	}{
		"answered": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				signed(w)
			},
			outcome: class.Answered,
		},
		"server error": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				signed(w)
				w.WriteHeader(500)
			},
			outcome: class.Answered,
		},
		"unsigned": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(headerNames.RequestID, "id-1")
			},
			outcome: class.Unknown, reason: call.AnswerLost,
		},
		"to another request": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				signed(w)
				w.Header().Set(headerNames.RequestID, "id-0")
			},
			outcome: class.Unknown, reason: call.TimedOut,
		},
		"shed": {handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerNames.NotExecuted, "1")
			w.WriteHeader(503)
		}, outcome: class.NotRun, reason: call.Shed},
		"another instance": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(421)
			},
			outcome: class.NotRun, reason: call.Refused,
		},
		"connection closed": {
			handler: func(http.ResponseWriter, *http.Request) {
				panic(http.ErrAbortHandler)
			},
			outcome: class.Unknown, reason: call.AnswerLost,
		},
		"timed out": {
			handler: func(_ http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
			},
			outcome: class.Unknown, reason: call.TimedOut,
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r, _ := newRunner(startServer(t, c.handler), unchanged)
			result := r.Run(context.Background(), newCall(200*time.Millisecond))
			g.Expect(result.Outcome).To(gomega.Equal(c.outcome))
			g.Expect(result.Reason).To(gomega.Equal(c.reason))
			g.Expect(r.Running()).To(gomega.BeZero())
		})
	}
}

// TestQueuedCallPastItsDeadlineIsLate covers a queued call whose context ends at its deadline: its caller is still
// there.
func TestQueuedCallPastItsDeadlineIsLate(t *testing.T) {
	g := gomega.NewWithT(t)
	arrived := make(chan struct{}, 2)
	r, _ := newRunner(startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-r.Context().Done()
	}), unchanged)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 2 {
		go r.Run(ctx, newCall(time.Minute))
		<-arrived
	}
	queued := newCall(time.Minute)
	expiring, cancelExpiring := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancelExpiring()
	g.Expect(r.Run(expiring, queued).Reason).To(gomega.Equal(call.Late))
}

func TestRequestHeaders(t *testing.T) {
	g := gomega.NewWithT(t)
	var got http.Header
	r, _ := newRunner(startServer(t, func(_ http.ResponseWriter, r *http.Request) { got = r.Header }), unchanged)
	r.Run(context.Background(), newCall(250*time.Millisecond))
	g.Expect(got.Get(headerNames.Origin)).To(gomega.Equal("front"))
	g.Expect(got.Get(headerNames.ExpectedInstance)).To(gomega.Equal("i-1"))
	remaining, err := time.ParseDuration(got.Get(headerNames.DeadlineMS) + "ms")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(remaining).To(gomega.BeNumerically("<=", 250*time.Millisecond))
	g.Expect(got).NotTo(gomega.HaveKey("User-Agent"))
}

func TestPermits(t *testing.T) {
	for name, change := range map[string]func(*backend.Permit){
		"not usable":     func(p *backend.Permit) { p.IsUsable = false },
		"key not held":   func(p *backend.Permit) { p.Keys.Set(keyspace.Span{From: 7, To: 7}, false) },
		"hold expired":   func(p *backend.Permit) { p.KeysValidUntil = time.Now().Add(-time.Second) },
		"no key granted": func(p *backend.Permit) { p.Keys.Clear() },
		"keys only":      func(p *backend.Permit) { p.IsKeysOnly, p.IsKeyed = true, false },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r, _ := newRunner("127.0.0.1:1", change)
			result := r.Run(context.Background(), newCall(time.Second))
			g.Expect(result.Reason).To(gomega.Equal(call.NotOwner))
		})
	}
}

// TestCallsWaitForAssignedKeys covers calls for keys that are on their way to this host. A call waits for the grant if the
// key is assigned to this host, and is refused at once when the key is not or no longer assigned to it.
func TestCallsWaitForAssignedKeys(t *testing.T) {
	withoutKeys := func(p *backend.Permit) { p.Keys.Clear() }
	for name, c := range map[string]struct {
		isAssigned, isGranted, isReassigned bool
		want                                class.Outcome
	}{
		"assigned, then granted":    {isAssigned: true, isGranted: true, want: class.Answered},
		"assigned, then reassigned": {isAssigned: true, isReassigned: true, want: class.NotRun},
		"not assigned":              {want: class.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(headerNames.RequestID, "id-1")
				w.Header().Set(headerNames.Signature, "s")
			})
			r, _ := newRunner(address, withoutKeys)
			changed, checks := make(chan struct{}), make(chan bool, 2)
			checks <- c.isAssigned
			checks <- false
			r.WaitForKeys(func(class.Key) (bool, <-chan struct{}) { return <-checks, changed })
			results := make(chan call.Result, 1)
			go func() { results <- r.Run(context.Background(), newCall(time.Minute)) }()
			if c.isAssigned {
				g.Consistently(results, "50ms").ShouldNot(gomega.Receive(), "the call waits")
			}
			if c.isGranted {
				clock := clockwork.NewRealClock()
				p := backend.Permit{IsUsable: true, Instance: "i-1", IsKeyed: true, KeysValidUntil: clock.Now().Add(time.Minute)}
				p.Keys.Set(keyspace.Span{From: 0, To: 9}, true)
				r.SetPermit(p, backend.NewClient(address, 2, headerNames, func() {}, clock))
			}
			if c.isReassigned {
				close(changed)
			}
			var result call.Result
			g.Eventually(results).Should(gomega.Receive(&result))
			g.Expect(result.Outcome).To(gomega.Equal(c.want))
		})
	}
}

// TestUnreachableServerIsReported covers a crash of the server: the first call that cannot connect reports it, so that
// the daemon probes the address at once.
func TestUnreachableServerIsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := listener.Addr().String()
	g.Expect(listener.Close()).To(gomega.Succeed())
	r, unreachableReports := newRunner(address, unchanged)
	result := r.Run(context.Background(), newCall(time.Second))
	g.Expect(result.Reason).To(gomega.Equal(call.Unreachable))
	g.Expect(*unreachableReports).To(gomega.Equal(1))
}

// TestClosedRunnerBeginsNothing covers a daemon that is about to exit: a call that it started now would be cut off.
func TestClosedRunnerBeginsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	requests := 0
	r, _ := newRunner(startServer(t, func(http.ResponseWriter, *http.Request) { requests++ }), unchanged)
	r.RejectCalls()
	result := r.Run(context.Background(), newCall(time.Second))
	g.Expect(result.Outcome).To(gomega.Equal(class.NotRun))
	g.Expect(result.Reason).To(gomega.Equal(call.NotOwner), "callers retry because the owner may change")
	g.Expect(requests).To(gomega.BeZero())
}
