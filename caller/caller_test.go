package caller_test

import (
	"context"
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

// script answers attempts in turn, and keeps which hosts were asked.
type script struct {
	answers []call.Result
	asked   []ownership.HostID
	calls   []call.Call
}

func (s *script) Send(_ context.Context, to *caller.Server, c call.Call) call.Result {
	s.asked = append(s.asked, to.Host)
	s.calls = append(s.calls, c)
	if len(s.answers) == 0 {
		return answered(200)
	}
	next := s.answers[0]
	s.answers = s.answers[1:]
	return next
}

func answered(status int) call.Result {
	return call.Result{Outcome: class.Answered, Status: status, Body: []byte("gold")}
}

var classes = []class.Class{
	{Name: "read", Host: "h", Prefix: "/r/", Destinations: dest("free"), Latency: 100 * time.Millisecond, Timeout: time.Second, Attempts: 2, Idempotent: true},
	{Name: "write", Host: "h", Prefix: "/w/", Destinations: dest("free"), Latency: 100 * time.Millisecond, Timeout: time.Second, Attempts: 2},
	{Name: "keyed", Host: "h", Prefix: "/k/", Destinations: dest("keyed"), Latency: 100 * time.Millisecond, Timeout: 200 * time.Millisecond, Attempts: 2, Idempotent: true},
}

func dest(service class.Service) []class.Destination {
	return []class.Destination{{Service: service, Weight: 1}}
}

func routes() caller.Routes {
	record := &ownership.Record{Service: "keyed", Members: []ownership.Member{{Host: "a"}, {Host: "gone"}}}
	record.Keys.Set(keyspace.All(), ownership.Assignment{Owner: 0, Fence: 1})
	record.Keys.Set(keyspace.Span{From: 500, To: 600}, ownership.Assignment{Owner: 1, Fence: 1})
	servers := []caller.Server{{Host: "a", IsUsable: true, Concurrency: 2}, {Host: "b", IsUsable: true, Concurrency: 2}}
	return caller.Routes{
		"free":  caller.NewServiceRoute(false, servers, nil),
		"keyed": caller.NewServiceRoute(true, servers, record),
	}
}

// serve sends one request to an entry over a script.
func serve(s *script, change func(*caller.Handler, *http.Request)) *httptest.ResponseRecorder {
	clock := clockwork.NewRealClock()
	table := caller.NewTable()
	table.Set(routes())
	budget := caller.NewBudget(caller.BudgetLimits{Ratio: 0.2, Slack: 60, Window: 10 * time.Second, Daemons: 1}, clock)
	relay := caller.NewRelay("d", table, s, budget, func(caller.Attempt) {}, clock, 1)
	entry := caller.NewHandler(relay, "own", call.OwnHeaders(), func(caller.FinishedCall) {}, clock)
	entry.SetConfig(&class.Config{
		Version:  1,
		Classes:  classes,
		Services: map[class.Service]class.ServiceSettings{"free": {}, "keyed": {IsKeyed: true}},
		Limits:   class.Limits{BodyBytes: 10},
	})
	r := httptest.NewRequest(http.MethodGet, "http://h/r/1?q=%2F", http.NoBody)
	r.Header.Set(call.OwnHeaders().RequestID, "id-1")
	change(entry, r)
	w := httptest.NewRecorder()
	entry.ServeHTTP(w, r)
	return w
}

func to(path string) func(*caller.Handler, *http.Request) {
	return func(_ *caller.Handler, r *http.Request) {
		r.URL.Path = path
		r.RequestURI = path
		r.Header.Set(call.OwnHeaders().Key, "7")
	}
}

func TestOutcomes(t *testing.T) {
	lost, shed := call.Unknown(call.AnswerLost), call.NotRun(call.Shed)
	for name, c := range map[string]struct {
		path    string
		answers []call.Result
		status  int
		asked   int
	}{
		"answered":                           {path: "/r/1", status: 200, asked: 1},
		"no such class":                      {path: "/x/1", status: 404},
		"lost and idempotent":                {path: "/r/1", answers: []call.Result{lost}, status: 200, asked: 2},
		"lost and not idempotent":            {path: "/w/1", answers: []call.Result{lost}, status: 502, asked: 1},
		"lost, then not run":                 {path: "/r/1", answers: []call.Result{lost, shed}, status: 502, asked: 2},
		"shed goes elsewhere":                {path: "/w/1", answers: []call.Result{shed}, status: 200, asked: 2},
		"shed by all":                        {path: "/w/1", answers: []call.Result{shed, shed}, status: 503, asked: 2},
		"failure of a server, idempotent":    {path: "/r/1", answers: []call.Result{answered(500)}, status: 200, asked: 2},
		"failure of a server, runs once":     {path: "/w/1", answers: []call.Result{answered(500)}, status: 500, asked: 1},
		"no more attempts than allowed":      {path: "/r/1", answers: []call.Result{lost, lost, lost}, status: 502, asked: 2},
		"timed out":                          {path: "/r/1", answers: []call.Result{call.Unknown(call.TimedOut)}, status: 504, asked: 1},
		"owner has no room":                  {path: "/k/1", answers: []call.Result{call.NotRun(call.Overload)}, status: 503, asked: 1},
		"unreachable daemons cost no budget": {path: "/w/1", answers: []call.Result{call.NotRun(call.Unreachable)}, status: 200, asked: 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := &script{answers: c.answers}
			w := serve(s, to(c.path))
			g.Expect(w.Code).To(gomega.Equal(c.status), w.Body.String())
			g.Expect(s.asked).To(gomega.HaveLen(c.asked))
		})
	}
}

func TestRefusalsSayWhenToComeBack(t *testing.T) {
	g := gomega.NewWithT(t)
	full := call.NotRun(call.Overload)
	full.RetryAfter = 45 * time.Millisecond
	w := serve(&script{answers: []call.Result{full}}, to("/k/1"))
	g.Expect(w.Header().Get("Retry-After")).To(gomega.Equal("0.045"))
}

// TestKeyWithoutServer is refused well before its deadline, so that the caller can come back.
func TestKeyWithoutServer(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Now()
	w := serve(&script{}, func(e *caller.Handler, r *http.Request) {
		to("/k/1")(e, r)
		r.Header.Set(call.OwnHeaders().Key, "555")
	})
	g.Expect(w.Code).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", classes[2].Timeout*3/4))
	seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(seconds).To(gomega.BeNumerically("<", classes[2].Timeout.Seconds()/3))
}

// TestClosingDaemonRefuses is a call that came in the last second of a stopping daemon: it was cut before.
func TestClosingDaemonRefuses(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &script{}
	w := serve(s, func(e *caller.Handler, _ *http.Request) {
		e.Drain()
		e.RejectCalls()
	})
	g.Expect(w.Code).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(w.Header().Get("Connection")).To(gomega.Equal("close"))
	g.Expect(s.asked).To(gomega.BeEmpty())
}

func TestWhatIsPassedOn(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &script{}
	serve(s, func(_ *caller.Handler, r *http.Request) {
		r.Header.Set("Connection", "keep-alive, X-Hop")
		r.Header.Set("X-Hop", "1")
		r.Header.Set("X-End", "2")
		r.Header.Set("Skylark-Hop-Class", "forged")
		r.Header.Set(call.OwnHeaders().DeadlineMS, "250")
	})
	c := s.calls[0]
	g.Expect(c.URI).To(gomega.Equal("http://h/r/1?q=%2F"))
	g.Expect(c.Origin).To(gomega.Equal(class.Service("own")))
	g.Expect(c.Header).To(gomega.HaveKey("X-End"))
	g.Expect(c.Header).NotTo(gomega.HaveKey("X-Hop"))
	g.Expect(c.Header).NotTo(gomega.HaveKey("Skylark-Hop-Class"))
	g.Expect(time.Until(c.Deadline)).To(gomega.BeNumerically("<=", 250*time.Millisecond))
}

func TestBodyOverTheLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &script{}
	w := serve(s, func(_ *caller.Handler, r *http.Request) {
		long := httptest.NewRequest(http.MethodPost, "http://h/w/1", strings.NewReader("more than ten bytes"))
		long.Header = r.Header
		*r = *long
	})
	g.Expect(w.Code).To(gomega.Equal(http.StatusRequestEntityTooLarge))
	g.Expect(s.asked).To(gomega.BeEmpty())
}

// TestFailingServiceIsNotRetried is a service whose work fails because one that it calls does: each retry would add calls
// to that one, which count as retries there.
func TestFailingServiceIsNotRetried(t *testing.T) {
	g := gomega.NewWithT(t)
	b := caller.NewBudget(caller.BudgetLimits{Ratio: 0.2, Slack: 60, Window: time.Second, Daemons: 1}, clockwork.NewFakeClock())
	for i := range 200 {
		b.Answered("s", i%20 == 0)
	}
	g.Expect(b.IsFailing("s")).To(gomega.BeFalse(), "one in twenty")
	for i := range 200 {
		b.Answered("s", i%2 == 0)
	}
	g.Expect(b.IsFailing("s")).To(gomega.BeTrue(), "one in two")
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
		b.Earn("s")
		for b.Spend("s") {
			retries++
		}
	}
	g.Expect(retries * daemons).To(gomega.BeNumerically("<=", limits.Ratio*float64(calls*daemons)+limits.Slack))
	g.Expect(retries).To(gomega.BeNumerically(">", calls/10))
}

// TestStoppingDaemonsServeTheirKeys gives a daemon that stops the calls for the keys that it still has, and no others.
func TestStoppingDaemonsServeTheirKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewRealClock()
	servers := []caller.Server{{Host: "a", IsUsable: true, IsShuttingDown: true, Concurrency: 2}, {Host: "b", IsUsable: true, Concurrency: 2}}
	table := caller.NewTable()
	table.Set(caller.Routes{
		"free":  caller.NewServiceRoute(false, servers, nil),
		"keyed": caller.NewServiceRoute(true, servers, routes()["keyed"].Record),
	})
	s := &script{}
	budget := caller.NewBudget(caller.BudgetLimits{Ratio: 0.2, Slack: 60, Window: 10 * time.Second, Daemons: 1}, clock)
	relay := caller.NewRelay("d", table, s, budget, func(caller.Attempt) {}, clock, 1)
	deadline := clock.Now().Add(time.Second)
	for range 5 {
		relay.Do(context.Background(), call.Call{Service: "free", Class: &classes[0], Deadline: deadline})
	}
	relay.Do(context.Background(), call.Call{Service: "keyed", Class: &classes[2], Deadline: deadline, Key: 7, HasKey: true})
	g.Expect(s.asked).To(gomega.Equal([]ownership.HostID{"b", "b", "b", "b", "b", "a"}))
}
