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

var names = call.OwnHeaders()

// work is a call about key 7.
func work(deadline time.Duration) call.Call {
	return call.Call{
		ID:       "id-1",
		Class:    &class.Class{Name: "read", Latency: time.Second},
		Origin:   "front",
		Key:      7,
		HasKey:   true,
		Method:   http.MethodGet,
		URI:      "/x",
		Header:   http.Header{names.RequestID: {"id-1"}, names.Origin: {"forged"}},
		Deadline: time.Now().Add(deadline),
	}
}

// runner returns a runner with a permit for a server at an address, and a count of suspicions.
func runner(address string, change func(*backend.Permit)) (*backend.Runner, *int) {
	suspicions := 0
	clock := clockwork.NewRealClock()
	r := backend.NewRunner(admission.NewController(admission.NewTargetPolicy(2), 2, clock), func() { suspicions++ }, clock)
	p := backend.Permit{IsUsable: true, Instance: "i-1", IsKeyed: true, Until: clock.Now().Add(time.Minute), Places: 2}
	p.Keys.Set(keyspace.Span{From: 0, To: 9}, true)
	change(&p)
	r.SetPermit(p, backend.NewClient(address, 2, names, func() {}, clock))
	return r, &suspicions
}

func same(*backend.Permit) {}

// server answers each request by a function.
func server(t *testing.T, answer http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(answer)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func TestAnswersOfServers(t *testing.T) {
	signed := func(w http.ResponseWriter) {
		w.Header().Set(names.RequestID, "id-1")
		w.Header().Set(names.Signature, "s")
	}
	for name, c := range map[string]struct {
		answer  http.HandlerFunc
		outcome class.Outcome
		reason  call.Reason
	}{
		"answered":    {answer: func(w http.ResponseWriter, _ *http.Request) { signed(w) }, outcome: class.Answered},
		"own failure": {answer: func(w http.ResponseWriter, _ *http.Request) { signed(w); w.WriteHeader(500) }, outcome: class.Answered},
		"unsigned":    {answer: func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(names.RequestID, "id-1") }, outcome: class.Unknown, reason: call.AnswerLost},
		"another's":   {answer: func(w http.ResponseWriter, _ *http.Request) { signed(w); w.Header().Set(names.RequestID, "id-0") }, outcome: class.Unknown, reason: call.TimedOut},
		"shed": {answer: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(names.NotExecuted, "1")
			w.WriteHeader(503)
		}, outcome: class.NotRun, reason: call.Shed},
		"another server": {answer: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(421) }, outcome: class.NotRun, reason: call.Refused},
		"broken off":     {answer: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, outcome: class.Unknown, reason: call.AnswerLost},
		"too late":       {answer: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, outcome: class.Unknown, reason: call.TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r, _ := runner(server(t, c.answer), same)
			a := r.Run(context.Background(), work(200*time.Millisecond))
			g.Expect(a.Outcome).To(gomega.Equal(c.outcome))
			g.Expect(a.Reason).To(gomega.Equal(c.reason))
			g.Expect(r.Running()).To(gomega.BeZero())
		})
	}
}

func TestWhatServersGet(t *testing.T) {
	g := gomega.NewWithT(t)
	var got http.Header
	r, _ := runner(server(t, func(_ http.ResponseWriter, r *http.Request) { got = r.Header }), same)
	r.Run(context.Background(), work(250*time.Millisecond))
	g.Expect(got.Get(names.Origin)).To(gomega.Equal("front"))
	g.Expect(got.Get(names.ExpectedInstance)).To(gomega.Equal("i-1"))
	left, err := time.ParseDuration(got.Get(names.DeadlineMS) + "ms")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(left).To(gomega.BeNumerically("<=", 250*time.Millisecond))
	g.Expect(got).NotTo(gomega.HaveKey("User-Agent"))
}

func TestPermits(t *testing.T) {
	for name, change := range map[string]func(*backend.Permit){
		"not usable":    func(p *backend.Permit) { p.IsUsable = false },
		"key not held":  func(p *backend.Permit) { p.Keys.Set(keyspace.Span{From: 7, To: 7}, false) },
		"hold is over":  func(p *backend.Permit) { p.Until = time.Now().Add(-time.Second) },
		"never granted": func(p *backend.Permit) { p.Keys.Clear() },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r, _ := runner("127.0.0.1:1", change)
			a := r.Run(context.Background(), work(time.Second))
			g.Expect(a.Reason).To(gomega.Equal(call.NotOwner))
		})
	}
}

// TestServerThatIsGoneIsSuspected is a crash: the first call that finds nobody has the address tried at once.
func TestServerThatIsGoneIsSuspected(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := listener.Addr().String()
	g.Expect(listener.Close()).To(gomega.Succeed())
	r, suspicions := runner(address, same)
	a := r.Run(context.Background(), work(time.Second))
	g.Expect(a.Reason).To(gomega.Equal(call.Unreachable))
	g.Expect(*suspicions).To(gomega.Equal(1))
}

// TestClosedRunnerBeginsNothing is the runner of a daemon that is about to end.
func TestClosedRunnerBeginsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	asked := 0
	r, _ := runner(server(t, func(http.ResponseWriter, *http.Request) { asked++ }), same)
	r.Close()
	answer := r.Run(context.Background(), work(time.Second))
	g.Expect(answer.Outcome).To(gomega.Equal(class.NotRun))
	g.Expect(answer.Reason).To(gomega.Equal(call.NotOwner), "another owner may turn up")
	g.Expect(asked).To(gomega.BeZero())
}
