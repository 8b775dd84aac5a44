package peer_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
)

// viaDaemon is the daemon of host "v" and service "other", which forwards calls to the address of "h".
type viaDaemon struct {
	runner recordingRunner
	delay  time.Duration
	// config is the configuration in force.
	config    *class.Config
	forwarded int
}

var loadAware = &class.Config{Classes: []class.Class{{Name: "bulk", Bulk: class.Upload}}}

// start returns the address of the daemon.
func (d *viaDaemon) start(t *testing.T, to string) string {
	t.Helper()
	r := receiver(&d.runner, func(err error) { t.Log(err) })
	r.Host, r.Service = "v", "other"
	r.Config = func() *class.Config { return d.config }
	client := peer.NewHopClient(func() {}, r.Clock, bootClock{})
	r.Forward = func(ctx context.Context, host ownership.HostID, c call.Call) call.Result {
		d.forwarded++
		time.Sleep(d.delay) // the processes measure the time on the way by the operating system's clock
		return client.Send(ctx, host, to, c)
	}
	server := httptest.NewServer(r.Handler())
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func startReceiver(t *testing.T, runner peer.CallRunner) string {
	t.Helper()
	server := httptest.NewServer(receiver(runner, func(err error) { t.Log(err) }).Handler())
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// sendVia sends a call for host "h" by way of the given host at an address.
func sendVia(via ownership.HostID, address string, timeout time.Duration) call.Result {
	clock := clockwork.NewRealClock()
	return peer.NewHopClient(func() {}, clock, bootClock{}).SendVia(context.Background(), "h", via, address, call.Call{
		ID: "id-1", Class: &class.Class{Name: "read", Rank: 3, Latency: 80 * time.Millisecond}, Service: "s", Origin: "front",
		Key: 9, HasKey: true, Method: http.MethodPut, URI: "/a", Host: "name.example",
		Header: http.Header{"X-End": {"2"}}, Body: []byte("body"), Deadline: clock.Now().Add(timeout),
	})
}

// TestCallsAreForwardedOnce covers a call that is sent by way of another daemon. The server gets what the caller sent, from the
// caller's service, with the time that is left after both ways.
func TestCallsAreForwardedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	load := &call.Load{Running: 1, Concurrency: 3}
	runner := &recordingRunner{result: call.Result{
		Outcome: class.Answered, Status: http.StatusCreated, Header: http.Header{"X-Own": {"1"}}, Body: []byte("answer"),
		Load: load,
	}}
	via := &viaDaemon{config: loadAware, delay: 200 * time.Millisecond}
	const timeout = time.Second
	sentAt := time.Now()
	result := sendVia("v", via.start(t, startReceiver(t, runner)), timeout)
	g.Expect(result.Status).To(gomega.Equal(http.StatusCreated))
	g.Expect(string(result.Body)).To(gomega.Equal("answer"))
	g.Expect(result.Header.Get("X-Own")).To(gomega.Equal("1"))
	g.Expect(result.Host).To(gomega.Equal("h"))
	g.Expect(result.Load).To(gomega.Equal(load))
	g.Expect(via.runner.calls).To(gomega.BeEmpty(), "the call is not one of the daemon that forwards it")
	g.Expect(runner.calls).To(gomega.HaveLen(1))
	c := runner.calls[0]
	g.Expect(c.Origin).To(gomega.Equal(class.Service("front")))
	g.Expect(c.Key).To(gomega.Equal(class.Key(9)))
	g.Expect(c.Class.Latency).To(gomega.Equal(80 * time.Millisecond))
	g.Expect(string(c.Body)).To(gomega.Equal("body"))
	g.Expect(c.Header).To(gomega.HaveKey("X-End"))
	for name := range c.Header {
		g.Expect(name).NotTo(gomega.HavePrefix("Skylark-Hop-"))
	}
	g.Expect(c.Deadline).To(gomega.BeTemporally("~", sentAt.Add(timeout), timeout/10), "the time on both ways is counted")
}

// TestOutcomesOfForwardedCalls guards against a forwarded call that is said not to have run although it may have, and against
// calls that daemons send to each other in turn.
func TestOutcomesOfForwardedCalls(t *testing.T) {
	answered := call.Result{Outcome: class.Answered, Status: http.StatusOK}
	running := func(t *testing.T) string { return startReceiver(t, &recordingRunner{result: answered}) }
	for name, c := range map[string]struct {
		to        func(t *testing.T) string
		via       ownership.HostID
		config    *class.Config
		delay     time.Duration
		outcome   class.Outcome
		reason    call.Reason
		host      string
		forwarded int
	}{
		"answered": {to: running, via: "v", config: loadAware, outcome: class.Answered, host: "h", forwarded: 1},
		"no connection from there": {
			to: closedAddress, via: "v", config: loadAware,
			outcome: class.NotRun, reason: call.Unreachable, host: "v", forwarded: 1,
		},
		"answer lost there": {
			to: abortingAddress, via: "v", config: loadAware,
			outcome: class.Unknown, reason: call.AnswerLost, host: "v", forwarded: 1,
		},
		"rejected there": {
			to: func(t *testing.T) string {
				return startReceiver(t, &recordingRunner{result: call.NotRun(call.Overload)})
			},
			via: "v", config: loadAware, outcome: class.NotRun, reason: call.Overload, host: "h", forwarded: 1,
		},
		"late on the way": {
			to: running, via: "v", config: loadAware, delay: 300 * time.Millisecond,
			outcome: class.NotRun, reason: call.Late, host: "v", forwarded: 1,
		},
		"another configuration": {
			to: running, via: "v", config: &class.Config{}, outcome: class.NotRun, reason: call.NotOwner, host: "v",
		},
		"no configuration": {to: running, via: "v", outcome: class.NotRun, reason: call.NotOwner, host: "v"},
		"meant for another daemon": {
			to: running, via: "w", config: loadAware, outcome: class.NotRun, reason: call.NotOwner, host: "v",
		},
		"forwarded to a daemon of another host": {
			to: func(t *testing.T) string { return (&viaDaemon{config: loadAware}).start(t, running(t)) }, via: "v",
			config: loadAware, outcome: class.NotRun, reason: call.NotOwner, host: "v", forwarded: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			via := &viaDaemon{config: c.config, delay: c.delay}
			result := sendVia(c.via, via.start(t, c.to(t)), 200*time.Millisecond)
			g.Expect(result.Outcome).To(gomega.Equal(c.outcome))
			if c.outcome != class.Answered {
				g.Expect(result.Reason).To(gomega.Equal(c.reason))
			}
			g.Expect(result.Host).To(gomega.Equal(c.host))
			g.Expect(via.forwarded).To(gomega.Equal(c.forwarded))
		})
	}
}

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// abortingAddress returns the address of a server that closes each connection after a request.
func abortingAddress(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestProbe checks that a probe runs nothing and needs an answer.
func TestProbe(t *testing.T) {
	g := gomega.NewWithT(t)
	runner := &recordingRunner{}
	client := peer.NewHopClient(func() {}, clockwork.NewRealClock(), bootClock{})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	g.Expect(client.Probe(ctx, startReceiver(t, runner))).To(gomega.BeTrue())
	g.Expect(client.Probe(ctx, closedAddress(t))).To(gomega.BeFalse())
	g.Expect(client.Probe(ctx, abortingAddress(t))).To(gomega.BeFalse())
	g.Expect(runner.calls).To(gomega.BeEmpty())
}
