package caller_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// scriptedSender returns the given results in turn, then HTTP status 200, and records each attempt.
type scriptedSender struct {
	results []call.Result
	hosts   []ownership.HostID
	calls   []call.Call
	// onSend is called for each attempt, if set.
	onSend func(ownership.HostID)
}

func (s *scriptedSender) Send(_ context.Context, to *caller.Server, c call.Call) call.Result {
	s.hosts = append(s.hosts, to.Host)
	s.calls = append(s.calls, c)
	if s.onSend != nil {
		s.onSend(to.Host)
	}
	if len(s.results) == 0 {
		return answered(200)
	}
	next := s.results[0]
	s.results = s.results[1:]
	return next
}

func answered(status int) call.Result {
	return call.Result{Outcome: class.Answered, Status: status, Body: []byte("gold")}
}

var classes = []class.Class{
	{
		Name: "read", Host: "h", Prefix: "/r/", Destinations: destinationsOf("free"),
		Latency: 100 * time.Millisecond, Timeout: time.Second, Attempts: 2, Idempotent: true,
	},
	{
		Name: "write", Host: "h", Prefix: "/w/", Destinations: destinationsOf("free"),
		Latency: 100 * time.Millisecond, Timeout: time.Second, Attempts: 2,
	},
	{
		Name: "keyed", Host: "h", Prefix: "/k/", Destinations: destinationsOf("keyed"),
		Latency: 100 * time.Millisecond, Timeout: 200 * time.Millisecond, Attempts: 2, Idempotent: true,
	},
}

func destinationsOf(service class.Service) []class.Destination {
	return []class.Destination{{Service: service, Weight: 1}}
}

func newRoutes() caller.Routes {
	record := &ownership.Record{Service: "keyed", Members: []ownership.Member{{Host: "a"}, {Host: "gone"}}}
	record.Keys.Set(keyspace.All(), ownership.Assignment{Owner: 0, Fence: 1})
	record.Keys.Set(keyspace.Span{From: 500, To: 600}, ownership.Assignment{Owner: 1, Fence: 1})
	servers := []caller.Server{{Host: "a", IsUsable: true, Concurrency: 2}, {Host: "b", IsUsable: true, Concurrency: 2}}
	return caller.Routes{
		"free":  caller.NewServiceRoute(false, servers, nil),
		"keyed": caller.NewServiceRoute(true, servers, record),
	}
}

// newRelay returns a relay whose attempts go to a sender, and the table of its routes.
func newRelay(s caller.Sender, routes caller.Routes, clock clockwork.Clock) (*caller.Relay, *caller.Table) {
	table := caller.NewTable()
	table.Set(routes)
	budget := caller.NewBudget(caller.BudgetLimits{Ratio: 0.2, Slack: 60, Window: 10 * time.Second, Daemons: 1}, clock)
	return caller.NewRelay("d", table, s, budget, func(caller.Attempt) {}, clock, 1), table
}

// newHandler returns a handler whose attempts go to a sender.
func newHandler(s caller.Sender) *caller.Handler {
	clock := clockwork.NewRealClock()
	relay, _ := newRelay(s, newRoutes(), clock)
	handler := caller.NewHandler(relay, "own", call.DefaultHeaderNames(), func(caller.FinishedCall) {}, clock)
	handler.SetConfig(&class.Config{
		Version:  1,
		Classes:  classes,
		Services: map[class.Service]class.ServiceSettings{"free": {}, "keyed": {IsKeyed: true}},
		Limits:   class.Limits{BodyBytes: 10},
	})
	return handler
}

// serve sends one request to a handler whose attempts go to a scripted sender.
func serve(s *scriptedSender, change func(*caller.Handler, *http.Request)) *httptest.ResponseRecorder {
	handler := newHandler(s)
	r := httptest.NewRequest(http.MethodGet, "http://h/r/1?q=%2F", http.NoBody)
	r.Header.Set(call.DefaultHeaderNames().RequestID, "id-1")
	change(handler, r)
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	return w
}

func withPath(path string) func(*caller.Handler, *http.Request) {
	return func(_ *caller.Handler, r *http.Request) {
		r.URL.Path = path
		r.RequestURI = path
		r.Header.Set(call.DefaultHeaderNames().Key, "7")
	}
}

// TestKeyOnItsWayIsOfferedTwiceAtMost covers a key whose owner does not hold it during the whole wait. The owner is
// tried again once, because it may have learned of its assignment later, and not again under the same fence.
func TestKeyOnItsWayIsOfferedTwiceAtMost(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &scriptedSender{}
	for range 100 {
		s.results = append(s.results, call.NotRun(call.NotOwner))
	}
	w := serve(s, withPath("/k/1"))
	g.Expect(w.Code).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(s.hosts).To(gomega.HaveLen(2))
}

// TestSlowBodyEndsAtTheTimeout covers a caller that sends the body of its request as a trickle. The call ends at the
// timeout of its class, and nothing of it has run.
func TestSlowBodyEndsAtTheTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &scriptedSender{}
	handler := newHandler(s)
	server := httptest.NewServer(handler)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /k/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n12345")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	start := time.Now()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Second), "the timeout of the class is 200 ms")
	g.Expect(s.hosts).To(gomega.BeEmpty())
}

func TestOutcomes(t *testing.T) {
	lost, shed := call.Unknown(call.AnswerLost), call.NotRun(call.Shed)
	for name, c := range map[string]struct {
		path     string
		results  []call.Result
		status   int
		attempts int
	}{
		"answered":                    {path: "/r/1", status: 200, attempts: 1},
		"unknown class":               {path: "/x/1", status: 404},
		"lost response, idempotent":   {path: "/r/1", results: []call.Result{lost}, status: 200, attempts: 2},
		"lost response, runs once":    {path: "/w/1", results: []call.Result{lost}, status: 502, attempts: 1},
		"lost response, then not run": {path: "/r/1", results: []call.Result{lost, shed}, status: 502, attempts: 2},
		"shed, retried elsewhere":     {path: "/w/1", results: []call.Result{shed}, status: 200, attempts: 2},
		"shed by all servers":         {path: "/w/1", results: []call.Result{shed, shed}, status: 503, attempts: 2},
		"server error, idempotent": {
			path: "/r/1", results: []call.Result{answered(500)},
			status: 200, attempts: 2,
		},
		"server error, runs once": {
			path: "/w/1", results: []call.Result{answered(500)},
			status: 500, attempts: 1,
		},
		"no attempts left": {
			path: "/r/1", results: []call.Result{lost, lost, lost},
			status: 502, attempts: 2,
		},
		"timed out": {
			path: "/r/1", results: []call.Result{call.Unknown(call.TimedOut)},
			status: 504, attempts: 1,
		},
		"owner overloaded": {
			path: "/k/1", results: []call.Result{call.NotRun(call.Overload)},
			status: 503, attempts: 1,
		},
		"unreachable, no budget used": {
			path: "/w/1", results: []call.Result{call.NotRun(call.Unreachable)},
			status: 200, attempts: 2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := &scriptedSender{results: c.results}
			w := serve(s, withPath(c.path))
			g.Expect(w.Code).To(gomega.Equal(c.status), w.Body.String())
			g.Expect(s.hosts).To(gomega.HaveLen(c.attempts))
		})
	}
}

func TestRejectionsCarryRetryAfter(t *testing.T) {
	g := gomega.NewWithT(t)
	overloaded := call.NotRun(call.Overload)
	overloaded.RetryAfter = 45 * time.Millisecond
	w := serve(&scriptedSender{results: []call.Result{overloaded}}, withPath("/k/1"))
	g.Expect(w.Header().Get("Retry-After")).To(gomega.Equal("0.045"))
}

// TestKeyWithoutUsableOwner checks that a call for a key without a usable owner is rejected well before its deadline,
// so that the caller has time to retry.
func TestKeyWithoutUsableOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Now()
	w := serve(&scriptedSender{}, func(h *caller.Handler, r *http.Request) {
		withPath("/k/1")(h, r)
		r.Header.Set(call.DefaultHeaderNames().Key, "555")
	})
	g.Expect(w.Code).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", classes[2].Timeout*3/4))
	seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(seconds).To(gomega.BeNumerically("<", classes[2].Timeout.Seconds()/3))
}

// TestClosingDaemonRefuses sends a call in the last second before a daemon ends. Without the rejection, the connection
// closed before the call finished.
func TestClosingDaemonRefuses(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &scriptedSender{}
	w := serve(s, func(h *caller.Handler, _ *http.Request) {
		h.Drain()
		h.RejectCalls()
	})
	g.Expect(w.Code).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(w.Header().Get("Connection")).To(gomega.Equal("close"))
	g.Expect(s.hosts).To(gomega.BeEmpty())
}

// TestClosingDaemonRefusesSlowBodies covers a request whose head arrives before a stopping daemon rejects requests, and whose
// body is complete only after that. It used to be passed on late in the grace time and cut at its end.
func TestClosingDaemonRefusesSlowBodies(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &scriptedSender{}
	w := serve(s, func(h *caller.Handler, r *http.Request) {
		r.Method, r.RequestURI, r.URL.Path, r.ContentLength = http.MethodPost, "/w/1", "/w/1", 5
		r.Body = &closingBody{handler: h, Reader: strings.NewReader("12345")}
	})
	g.Expect(w.Code).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(s.hosts).To(gomega.BeEmpty())
}

// closingBody is a body during which the daemon begins to reject requests.
type closingBody struct {
	handler *caller.Handler
	io.Reader
}

// Read implements io.Reader.
func (b *closingBody) Read(p []byte) (int, error) {
	b.handler.RejectCalls()
	return b.Reader.Read(p)
}

// Close implements io.Closer.
func (*closingBody) Close() error { return nil }

func TestForwardedRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &scriptedSender{}
	serve(s, func(_ *caller.Handler, r *http.Request) {
		r.Header.Set("Connection", "keep-alive, X-Hop")
		r.Header.Set("X-Hop", "1")
		r.Header.Set("X-End", "2")
		r.Header.Set("Skylark-Hop-Class", "forged")
		r.Header.Set(call.DefaultHeaderNames().DeadlineMS, "250")
	})
	c := s.calls[0]
	g.Expect(c.URI).To(gomega.Equal("http://h/r/1?q=%2F"))
	g.Expect(c.Origin).To(gomega.Equal(class.Service("own")))
	g.Expect(c.Header).To(gomega.HaveKey("X-End"))
	g.Expect(c.Header).NotTo(gomega.HaveKey("X-Hop"))
	g.Expect(c.Header).NotTo(gomega.HaveKey("Skylark-Hop-Class"))
	g.Expect(time.Until(c.Deadline)).To(gomega.BeNumerically("<=", 250*time.Millisecond))
}

func TestOversizedBody(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &scriptedSender{}
	w := serve(s, func(_ *caller.Handler, r *http.Request) {
		long := httptest.NewRequest(http.MethodPost, "http://h/w/1", strings.NewReader("more than ten bytes"))
		long.Header = r.Header
		*r = *long
	})
	g.Expect(w.Code).To(gomega.Equal(http.StatusRequestEntityTooLarge))
	g.Expect(s.hosts).To(gomega.BeEmpty())
}

// TestFailingServiceIsNotRetried covers a service that fails because another service that it calls fails. Each retry
// would add calls to that other service, which count as retries there.
func TestFailingServiceIsNotRetried(t *testing.T) {
	g := gomega.NewWithT(t)
	b := caller.NewBudget(
		caller.BudgetLimits{Ratio: 0.2, Slack: 60, Window: time.Second, Daemons: 1}, clockwork.NewFakeClock())
	for i := range 200 {
		b.RecordResponse("s", i%20 == 0)
	}
	g.Expect(b.IsFailing("s")).To(gomega.BeFalse(), "one failure in 20 responses")
	for i := range 200 {
		b.RecordResponse("s", i%2 == 0)
	}
	g.Expect(b.IsFailing("s")).To(gomega.BeTrue(), "one failure in 2 responses")
}

func TestBudgetIsSharedByDaemons(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	const daemons, seconds = 10, 10
	limits := caller.BudgetLimits{Ratio: 0.2, Slack: 60, Window: seconds * time.Second, Daemons: daemons}
	b := caller.NewBudget(limits, clock)
	calls, retries := 0, 0
	for range 100 * seconds {
		clock.Advance(10 * time.Millisecond)
		calls++
		b.RecordCall("s")
		for b.Spend("s") {
			retries++
		}
	}
	g.Expect(retries * daemons).To(gomega.BeNumerically("<=", limits.Ratio*float64(calls*daemons)+limits.Slack))
	g.Expect(retries).To(gomega.BeNumerically(">", calls/10))
}

// TestStoppingDaemonServesOnlyItsKeys checks that a daemon that is shutting down gets calls only for the keys that it
// still owns.
func TestStoppingDaemonServesOnlyItsKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewRealClock()
	servers := []caller.Server{
		{Host: "a", IsUsable: true, IsShuttingDown: true, Concurrency: 2},
		{Host: "b", IsUsable: true, Concurrency: 2},
	}
	s := &scriptedSender{}
	relay, _ := newRelay(s, caller.Routes{
		"free":  caller.NewServiceRoute(false, servers, nil),
		"keyed": caller.NewServiceRoute(true, servers, newRoutes()["keyed"].Record),
	}, clock)
	deadline := clock.Now().Add(time.Second)
	for range 5 {
		relay.Do(context.Background(), call.Call{Service: "free", Class: &classes[0], Deadline: deadline})
	}
	relay.Do(context.Background(), call.Call{
		Service: "keyed", Class: &classes[2], Deadline: deadline, Key: 7, HasKey: true,
	})
	g.Expect(s.hosts).To(gomega.Equal([]ownership.HostID{"b", "b", "b", "b", "b", "a"}))
}
