package backend_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/quarantine"
)

// crashableServer is a server that ends when it runs a call for a path, and answers other calls.
type crashableServer struct {
	*httptest.Server
	arrived atomic.Int64
}

func newCrashableServer(t *testing.T, deadlyPath string) *crashableServer {
	t.Helper()
	s := &crashableServer{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.arrived.Add(1)
		if r.URL.Path == deadlyPath {
			_ = s.Listener.Close() // a process that ends closes its listener and its connections
			s.CloseClientConnections()
			return
		}
		w.Header().Set(headerNames.RequestID, r.Header.Get(headerNames.RequestID))
		w.Header().Set(headerNames.Signature, "s")
	}))
	t.Cleanup(s.Close)
	return s
}

// newQuarantine returns a list, and the reports that a runner adds to it.
func newQuarantine(r *backend.Runner) (*quarantine.List, *[]quarantine.Report) {
	list := quarantine.NewList(clockwork.NewRealClock())
	var reports []quarantine.Report
	r.Quarantine(list, "h", func(report quarantine.Report, _ class.RequestID) { reports = append(reports, report) })
	return list, &reports
}

func TestServerThatEndsDuringACallIsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newCrashableServer(t, "/x")
	instance := ownership.Instance{ID: "i-1", Born: 5}
	r, _ := newRunner(s.Listener.Addr().String(), func(p *backend.Permit) { p.ServerInstance = instance })
	list, reports := newQuarantine(r)
	c := newCall(time.Second)
	result := r.Run(context.Background(), c)
	g.Expect(result.Outcome).To(gomega.Equal(class.Unknown))
	g.Expect(result.Reason).To(gomega.Equal(call.ServerEnded))
	g.Expect(*reports).To(gomega.HaveLen(1))
	g.Expect((*reports)[0].Crash).To(gomega.Equal(quarantine.Crash{Host: "h", Instance: instance}))
	g.Expect(list.Verdict(c.Fingerprint()).IsSuspected).To(gomega.BeTrue())
}

// TestServerThatAnnouncedItsEndIsNoCrash guards against requests that are suspected because of a planned restart.
func TestServerThatAnnouncedItsEndIsNoCrash(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newCrashableServer(t, "/x")
	r, _ := newRunner(s.Listener.Addr().String(), func(p *backend.Permit) { p.IsLeaving = true })
	_, reports := newQuarantine(r)
	result := r.Run(context.Background(), newCall(time.Second))
	g.Expect(result.Reason).To(gomega.Equal(call.AnswerLost))
	g.Expect(*reports).To(gomega.BeEmpty())
}

// TestBrokenConnectionIsNoCrash guards against requests that are suspected because a living server closed a connection.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	g := gomega.NewWithT(t)
	address := startServer(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	r, _ := newRunner(address, unchanged)
	_, reports := newQuarantine(r)
	result := r.Run(context.Background(), newCall(time.Second))
	g.Expect(result.Reason).To(gomega.Equal(call.AnswerLost))
	g.Expect(*reports).To(gomega.BeEmpty())
}

// TestServerThatStartsAgainAtOnceIsReported covers a server whose new process listens before the crash is looked for.
func TestServerThatStartsAgainAtOnceIsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	address := startServer(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	first := ownership.Instance{ID: "i-1", Born: 5}
	r, _ := newRunner(address, func(p *backend.Permit) { p.ServerInstance = first })
	_, reports := newQuarantine(r)
	r.Run(context.Background(), newCall(time.Second))
	second := backend.Permit{Instance: "i-1", ServerInstance: ownership.Instance{ID: "i-1", Born: 6}}
	r.SetPermit(second, backend.NewClient(address, 2, headerNames, func() {}, clockwork.NewRealClock()))
	g.Expect(*reports).To(gomega.HaveLen(1))
	g.Expect((*reports)[0].Crash.Instance).To(gomega.Equal(first))
}

// TestNewestLostCallsAreKept guards against calls that are not reported because earlier ones filled the memory of lost calls.
func TestNewestLostCallsAreKept(t *testing.T) {
	g := gomega.NewWithT(t)
	address := startServer(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	r, _ := newRunner(address, unchanged)
	list, reports := newQuarantine(r)
	c := newCall(time.Second)
	for i := range 100 {
		c.URI = fmt.Sprint("/", i)
		r.Run(context.Background(), c)
	}
	r.SetPermit(backend.Permit{Instance: "i-2"}, backend.NewClient(address, 2, headerNames, func() {}, clockwork.NewRealClock()))
	g.Expect(len(*reports)).To(gomega.BeNumerically("<=", 64))
	g.Expect(list.Verdict(c.Fingerprint()).IsSuspected).To(gomega.BeTrue())
}

// TestHeldRequestsDoNotReachTheServer guards against a request that crashes one server after the other.
func TestHeldRequestsDoNotReachTheServer(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newCrashableServer(t, "/deadly")
	r, _ := newRunner(s.Listener.Addr().String(), unchanged)
	list, _ := newQuarantine(r)
	c := newCall(time.Second)
	for i, host := range []ownership.HostID{"h3", "h2", "h1"} {
		at := time.Now().Add(time.Duration(-i) * 30 * time.Second)
		list.Add(quarantine.Report{Request: c.Fingerprint(), Crash: quarantine.Crash{Host: host}, At: at})
	}
	result := r.Run(context.Background(), c)
	g.Expect(result.Reason).To(gomega.Equal(call.Quarantined))
	g.Expect(result.Outcome).To(gomega.Equal(class.NotRun))
	g.Expect(result.RetryAfter).To(gomega.BeNumerically("~", 10*time.Minute, time.Second))
	g.Expect(s.arrived.Load()).To(gomega.BeZero())
	other := newCall(time.Second)
	other.URI = "/y"
	g.Expect(r.Run(context.Background(), other).Outcome).To(gomega.Equal(class.Answered))
}

// TestSuspectedRequestsRunOneAtATime checks that the next crash would have a single cause, and that an answer clears a
// request.
func TestSuspectedRequestsRunOneAtATime(t *testing.T) {
	g := gomega.NewWithT(t)
	var running, most atomic.Int64
	address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		most.Store(max(most.Load(), running.Add(1)))
		time.Sleep(20 * time.Millisecond)
		running.Add(-1)
		w.Header().Set(headerNames.RequestID, r.Header.Get(headerNames.RequestID))
		w.Header().Set(headerNames.Signature, "s")
	})
	r, _ := newRunner(address, unchanged)
	list, _ := newQuarantine(r)
	results := make(chan call.Result)
	uris := []string{"/a", "/b", "/c"}
	for _, uri := range uris {
		c := newCall(2 * time.Second)
		c.URI = uri
		list.Add(quarantine.Report{Request: c.Fingerprint(), Crash: quarantine.Crash{Host: "other"}, At: time.Now()})
		go func() { results <- r.Run(context.Background(), c) }()
	}
	for range uris {
		g.Expect((<-results).Outcome).To(gomega.Equal(class.Answered))
	}
	g.Expect(most.Load()).To(gomega.Equal(int64(1)))
	for _, uri := range uris {
		c := newCall(time.Second)
		c.URI = uri
		g.Expect(list.Verdict(c.Fingerprint())).To(gomega.Equal(quarantine.Verdict{}))
	}
}
