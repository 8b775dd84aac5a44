package daemon

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// countingSender counts the calls that are sent, and answers none of them.
type countingSender struct{ sent chan class.RequestID }

// Send implements caller.Sender.
func (s countingSender) Send(_ context.Context, _ *caller.Server, c call.Call) call.Result {
	s.sent <- c.ID
	return call.Unknown(call.AnswerLost)
}

// TestRequestsReadAfterTheirCallersLeftAreNotSent guards against work for callers that sent a request and left while
// their connection waited to be accepted.
func TestRequestsReadAfterTheirCallersLeftAreNotSent(t *testing.T) {
	const callers = 30
	g := gomega.NewWithT(t)
	clock := clockwork.NewRealClock()
	d := New(testSettings(), Options{Log: hclog.NewNullLogger(), Clock: clock})
	table := caller.NewTable()
	table.Set(caller.Routes{
		"free": caller.NewServiceRoute(false, []caller.Server{{Host: "a", IsUsable: true, Concurrency: 2}}, nil),
	})
	budget := caller.NewBudget(caller.BudgetLimits{Ratio: 0.2, Slack: 60, Window: 10 * time.Second, Daemons: 1}, clock)
	sender := countingSender{sent: make(chan class.RequestID, 2*callers)}
	relay := caller.NewRelay("d", table, sender, budget, func(caller.Attempt) {}, clock, 1)
	finished := make(chan caller.FinishedCall, callers)
	handler := caller.NewHandler(relay, "own", call.DefaultHeaderNames(),
		func(f caller.FinishedCall) { finished <- f }, clock)
	handler.SetConfig(&class.Config{
		Version: 1,
		Classes: []class.Class{{
			Name: "read", Host: "h", Prefix: "/", Destinations: []class.Destination{{Service: "free", Weight: 1}},
			Latency: 100 * time.Millisecond, Timeout: time.Second, Attempts: 2, Idempotent: true,
		}},
		Services: map[class.Service]class.ServiceSettings{"free": {}},
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for range callers {
		conn, err := net.Dial("tcp", listener.Addr().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: 125\r\n\r\n")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(conn.Close()).To(gomega.Succeed())
	}
	l := newLimitedServer(handler, d.observer.httpErrorLog("test"))
	ended := make(chan error, 1)
	go func() { ended <- l.serve(d.lingerer.listen(listener)) }()
	for range callers {
		var f caller.FinishedCall
		g.Eventually(finished, 10*time.Second).Should(gomega.Receive(&f))
		g.Expect(f.Result.Reason).To(gomega.Equal(call.CallerGone))
	}
	g.Expect(sender.sent).To(gomega.BeEmpty())
	g.Expect(listener.Close()).To(gomega.Succeed())
	l.close()
	g.Eventually(ended).Should(gomega.Receive())
}
