package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// senderFunc is a caller.Sender.
type senderFunc func(ctx context.Context, c call.Call) call.Result

// Send implements caller.Sender.
func (f senderFunc) Send(ctx context.Context, _ *caller.Server, c call.Call) call.Result {
	return f(ctx, c)
}

// startCallerServer serves the calls of one idempotent class through a sender, once start is called. It returns the address
// and the calls that have finished.
func startCallerServer(
	t *testing.T, sender senderFunc,
) (address string, finished <-chan caller.FinishedCall, start func()) {
	t.Helper()
	g := gomega.NewWithT(t)
	clock := clockwork.NewRealClock()
	d := New(testSettings(), Options{Log: hclog.NewNullLogger(), Clock: clock})
	table := caller.NewTable()
	table.Set(caller.Routes{
		"free": caller.NewServiceRoute(false, []caller.Server{{Host: "a", IsUsable: true, Concurrency: 2}}, nil),
	})
	budget := caller.NewBudget(caller.BudgetLimits{Ratio: 0.2, Slack: 60, Window: 10 * time.Second, Daemons: 1}, clock)
	relay := caller.NewRelay("d", table, sender, budget, func(caller.Attempt) {}, clock, 1)
	calls := make(chan caller.FinishedCall, 100)
	handler := caller.NewHandler(relay, "own", call.DefaultHeaderNames(), func(f caller.FinishedCall) { calls <- f }, clock)
	handler.SetConfig(&class.Config{
		Version: 1,
		Classes: []class.Class{{
			Name: "read", Host: "h", Prefix: "/", Destinations: []class.Destination{{Service: "free", Weight: 1}},
			Latency: 100 * time.Millisecond, Timeout: time.Minute, Attempts: 2, Idempotent: true,
		}},
		Services: map[class.Service]class.ServiceSettings{"free": {}},
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	l := newLimitedServer(handler, d.observer.httpErrorLog("test"))
	var ended chan error
	t.Cleanup(func() {
		_ = listener.Close() // ends the serve loop
		if ended != nil {
			g.Eventually(ended).Should(gomega.Receive())
		}
		l.close()
	})
	return listener.Addr().String(), calls, func() {
		ended = make(chan error, 1)
		go func() { ended <- l.serve(d.lingerer.listen(listener)) }()
	}
}

// sendRequest opens a connection and sends a request on it.
func sendRequest(t *testing.T, address string) net.Conn {
	t.Helper()
	g := gomega.NewWithT(t)
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return conn
}

// TestRequestsReadAfterTheirCallersLeftAreNotSent guards against work for callers that sent a request and left while
// their connection waited to be accepted.
func TestRequestsReadAfterTheirCallersLeftAreNotSent(t *testing.T) {
	const callers = 30
	g := gomega.NewWithT(t)
	sent := make(chan class.RequestID, 2*callers)
	address, finished, start := startCallerServer(t, func(_ context.Context, c call.Call) call.Result {
		sent <- c.ID
		return call.Unknown(call.AnswerLost)
	})
	for range callers {
		g.Expect(sendRequest(t, address).Close()).To(gomega.Succeed())
	}
	start()
	for range callers {
		var f caller.FinishedCall
		g.Eventually(finished, 10*time.Second).Should(gomega.Receive(&f))
		g.Expect(f.Result.Reason).To(gomega.Equal(call.CallerGone))
	}
	g.Expect(sent).To(gomega.BeEmpty())
}

// TestCallEndsWhenACallerLeavesThatSentAhead guards against work that goes on for callers that left behind a request sent
// ahead.
func TestCallEndsWhenACallerLeavesThatSentAhead(t *testing.T) {
	g := gomega.NewWithT(t)
	running, ended := make(chan struct{}, 1), make(chan error, 1)
	address, _, start := startCallerServer(t, func(ctx context.Context, _ call.Call) call.Result {
		running <- struct{}{}
		<-ctx.Done()
		ended <- context.Cause(ctx)
		return call.Unknown(call.CallerGone)
	})
	start()
	conn := sendRequest(t, address)
	g.Eventually(running).Should(gomega.Receive())
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Consistently(ended, 100*time.Millisecond).ShouldNot(gomega.Receive())
	g.Expect(conn.Close()).To(gomega.Succeed())
	g.Eventually(ended, 500*time.Millisecond).Should(gomega.Receive(gomega.MatchError(context.Canceled)))
}

// TestTimeOfARequestSentAheadBeginsWhenItArrives guards against work for callers whose time passed while their request
// waited behind another one on its connection.
func TestTimeOfARequestSentAheadBeginsWhenItArrives(t *testing.T) {
	const (
		duration = 300 * time.Millisecond
		patience = 200 * time.Millisecond
	)
	headers := call.DefaultHeaderNames()
	request := func(method, path, id, body string) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
			method, path, headers.RequestID, id, headers.DeadlineMS, patience.Milliseconds(), len(body), body)
	}
	for name, c := range map[string]struct {
		first  string
		second string
		// pause is the time between the requests. The caller reads the first response before a pause that is longer than the
		// first request takes.
		pause  time.Duration
		isLate bool
	}{
		"in one packet":    {first: request("GET", "/slow", "1", ""), isLate: true},
		"in two packets":   {first: request("GET", "/slow", "1", ""), pause: 50 * time.Millisecond, isLate: true},
		"after the answer": {first: request("GET", "/slow", "1", ""), pause: 2 * duration},
		"after a body":     {first: request("POST", "/slow", "1", "body"), pause: 2 * duration},
		"after a body that was not read": {
			first: strings.Replace(request("POST", "/", "1", "body"), "Host: h", "Host: unknown", 1), pause: 2 * duration,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			address, finished, start := startCallerServer(t, func(_ context.Context, c call.Call) call.Result {
				if c.URI == "/slow" {
					time.Sleep(duration)
				}
				return call.NotRun(call.Overload)
			})
			start()
			conn, err := net.Dial("tcp", address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer conn.Close()
			second := request("GET", "/", "2", "")
			if c.pause == 0 {
				c.first, second = c.first+second, ""
			}
			_, err = io.WriteString(conn, c.first)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			time.Sleep(c.pause)
			_, err = io.WriteString(conn, second)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var f caller.FinishedCall
			for f.Call.ID != "2" {
				g.Eventually(finished, 5*time.Second).Should(gomega.Receive(&f))
			}
			g.Expect(f.Result.Reason == call.Late).To(gomega.Equal(c.isLate), "%v", f.Result.Reason)
		})
	}
}
