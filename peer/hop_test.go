package peer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/link"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
)

// recordingRunner returns the same result for all calls and records them.
type recordingRunner struct {
	result call.Result
	calls  []call.Call
}

func (r *recordingRunner) Run(_ context.Context, c call.Call) call.Result {
	r.calls = append(r.calls, c)
	return r.result
}

// processStart is the origin of bootClock.
var processStart = time.Now()

// bootClock is a clock that started with the process.
type bootClock struct{}

func (bootClock) Now() ownership.Instant { return ownership.Instant(time.Since(processStart)) }

// receiver returns the receiver of host "h" and service "s".
func receiver(runner peer.CallRunner, onInvalid func(error)) peer.HopReceiver {
	return peer.HopReceiver{
		Runner:    runner,
		Host:      "h",
		Service:   "s",
		Clock:     clockwork.NewRealClock(),
		BootClock: bootClock{},
		OnInvalid: onInvalid,
		OnArrival: func(peer.Arrival) {},
		Bodies:    call.IgnoreBodies(),
		Config:    func() *class.Config { return nil },
	}
}

// forward sends a call that is meant for the target host to the daemon of host "h" and service "s".
func forward(t *testing.T, runner *recordingRunner, target ownership.HostID, change func(*call.Call)) call.Result {
	t.Helper()
	clock := clockwork.NewRealClock()
	server := httptest.NewServer(receiver(runner, func(err error) { t.Log(err) }).Handler())
	t.Cleanup(server.Close)
	c := call.Call{
		ID:       "id-1",
		Class:    &class.Class{Name: "read", Rank: 3, Latency: 80 * time.Millisecond, Idempotent: true},
		Service:  "s",
		Origin:   "front",
		Key:      9,
		HasKey:   true,
		Method:   http.MethodPut,
		URI:      "/a%2Fb//c?x=1&y",
		Host:     "name.example",
		Header:   http.Header{"X-End": {"2"}},
		Body:     []byte("body"),
		Deadline: clock.Now().Add(time.Second),
	}
	change(&c)
	return peer.NewHopClient(func() {}, clock, bootClock{}).Send(context.Background(), target, server.Listener.Addr().String(), c)
}

func unchanged(*call.Call) {}

func TestForwardRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	load := &call.Load{
		Running: 1, Waiting: 2, Concurrency: 3, QueueDelay: 4 * time.Millisecond, RateDelay: 5 * time.Millisecond,
	}
	runner := &recordingRunner{result: call.Result{
		Outcome: class.Answered,
		Status:  http.StatusCreated,
		Header:  http.Header{"X-Own": {"1"}},
		Body:    []byte("answer"),
		Load:    load,
	}}
	result := forward(t, runner, "h", unchanged)
	g.Expect(result.Outcome).To(gomega.Equal(class.Answered))
	g.Expect(result.Status).To(gomega.Equal(http.StatusCreated))
	g.Expect(string(result.Body)).To(gomega.Equal("answer"))
	g.Expect(result.Header.Get("X-Own")).To(gomega.Equal("1"))
	g.Expect(result.Load).To(gomega.Equal(load))
	c := runner.calls[0]
	g.Expect(c.URI).To(gomega.Equal("/a%2Fb//c?x=1&y"))
	g.Expect(c.Host).To(gomega.Equal("name.example"))
	g.Expect(string(c.Body)).To(gomega.Equal("body"))
	g.Expect(c.Header).To(gomega.HaveKey("X-End"))
	g.Expect(c.Key).To(gomega.Equal(class.Key(9)))
	g.Expect(c.Class.Latency).To(gomega.Equal(80 * time.Millisecond))
	g.Expect(c.Class.Idempotent).To(gomega.BeTrue())
	g.Expect(c.Origin).To(gomega.Equal(class.Service("front")))
	g.Expect(c.IsReturn).To(gomega.BeFalse())
}

// TestNestingIsStated guards against daemons that do not tell each other which classes are nested.
func TestNestingIsStated(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, isNested := range []bool{false, true} {
		runner := &recordingRunner{result: call.NotRun(call.Overload)}
		runner.result.IsNested = isNested
		result := forward(t, runner, "h", func(c *call.Call) { c.IsNested, c.IsReturn = isNested, isNested })
		g.Expect(runner.calls[0].IsReturn).To(gomega.Equal(isNested))
		g.Expect(runner.calls[0].IsNested).To(gomega.Equal(isNested))
		g.Expect(result.IsNested).To(gomega.Equal(isNested))
	}
}

func TestRejectionsAreReturned(t *testing.T) {
	g := gomega.NewWithT(t)
	overloaded := call.NotRun(call.Overload)
	overloaded.RetryAfter = 30 * time.Millisecond
	result := forward(t, &recordingRunner{result: overloaded}, "h", unchanged)
	g.Expect(result.Outcome).To(gomega.Equal(class.NotRun))
	g.Expect(result.Reason).To(gomega.Equal(call.Overload))
	g.Expect(result.RetryAfter).To(gomega.Equal(30 * time.Millisecond))
}

// TestMaxWaitIsForwarded guards against offers whose bound is lost on the way, and against a bound for calls without one.
func TestMaxWaitIsForwarded(t *testing.T) {
	for _, maxWait := range []time.Duration{0, time.Microsecond, 75 * time.Millisecond} {
		g := gomega.NewWithT(t)
		exceeded := call.NotRun(call.WaitExceeded)
		exceeded.Load = &call.Load{Running: 6, Waiting: 1, Concurrency: 6, QueueDelay: 40 * time.Millisecond}
		runner := &recordingRunner{result: exceeded}
		result := forward(t, runner, "h", func(c *call.Call) { c.MaxWait = maxWait })
		g.Expect(runner.calls[0].MaxWait).To(gomega.Equal(maxWait))
		g.Expect(result.Outcome).To(gomega.Equal(class.NotRun))
		g.Expect(result.Reason).To(gomega.Equal(call.WaitExceeded))
		g.Expect(result.Load).To(gomega.Equal(exceeded.Load))
	}
}

// TestCallsForAnotherHost covers an address that was reassigned from a lost host to a new host of another service.
func TestCallsForAnotherHost(t *testing.T) {
	for name, c := range map[string]struct {
		target ownership.HostID
		change func(*call.Call)
	}{
		"another host":    {target: "lost", change: unchanged},
		"another service": {target: "h", change: func(c *call.Call) { c.Service = "lost" }},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			runner := &recordingRunner{}
			result := forward(t, runner, c.target, c.change)
			g.Expect(result.Reason).To(gomega.Equal(call.NotOwner))
			g.Expect(runner.calls).To(gomega.BeEmpty())
		})
	}
}

func TestUnreachableDaemon(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewRealClock()
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	client := peer.NewHopClient(func() {}, clock, bootClock{})
	c := call.Call{
		ID: "1", Class: &class.Class{}, Header: http.Header{}, Method: http.MethodGet, URI: "/",
		Deadline: clock.Now().Add(time.Second),
	}
	result := client.Send(context.Background(), "h", server.Listener.Addr().String(), c)
	g.Expect(result.Outcome).To(gomega.Equal(class.Unknown), "the call was sent")
	server.Close()
	client.SetAddresses(nil)
	result = client.Send(context.Background(), "h", server.Listener.Addr().String(), c)
	g.Expect(result.Reason).To(gomega.Equal(call.Unreachable))
}

// TestCallsOfCallersThatLeft covers a delayed call that arrives together with the end of its connection. It is not run.
func TestCallsOfCallersThatLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	conn, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nSkylark-Hop-To: h\r\nSkylark-Hop-Service: s\r\n"+
		"Skylark-Hop-Left-Us: 900000\r\nSkylark-Hop-Spec: 80000,1,true\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(conn.Close()).To(gomega.Succeed())
	runner := &recordingRunner{}
	served := make(chan struct{})
	handler := receiver(runner, func(err error) { t.Error(err) }).Handler()
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer close(served)
			handler.ServeHTTP(w, r)
		}),
		ConnContext: link.WithConn,
	}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	<-served
	g.Expect(runner.calls).To(gomega.BeEmpty())
}
