package caller

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/capacity"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// hostSender records the host of each attempt and answers it.
type hostSender struct{ hosts []ownership.HostID }

func (s *hostSender) Send(_ context.Context, to *Server, _ call.Call) call.Result {
	s.hosts = append(s.hosts, to.Host)
	return call.Result{Outcome: class.Answered, Status: 200}
}

var explainedClass = class.Class{
	Name: "read", Host: "h", Prefix: "/r/", Latency: 100 * time.Millisecond, Timeout: time.Second, Attempts: 2,
	Destinations: []class.Destination{{Service: "s", Weight: 1}},
}

// explainScene is a relay in one situation, with a handler in front of it.
type explainScene struct {
	clock   *clockwork.FakeClock
	sender  *hostSender
	relay   *Relay
	handler *Handler
	call    call.Call
}

func newExplainScene(isKeyed bool, change func(s *explainScene, servers []Server)) *explainScene {
	s := &explainScene{clock: clockwork.NewFakeClock(), sender: &hostSender{}}
	table := NewTable()
	budget := NewBudget(BudgetLimits{Ratio: 0.2, Slack: 60, Window: 10 * time.Second, Daemons: 1}, s.clock)
	s.relay = NewRelay("d", table, s.sender, budget, func(Attempt) {}, s.clock, 1)
	s.relay.SetLoadAware(true)
	s.handler = NewHandler(s.relay, "own", call.DefaultHeaderNames(), func(FinishedCall) {}, s.clock)
	s.handler.SetConfig(&class.Config{
		Version: 7, Classes: []class.Class{explainedClass},
		Services: map[class.Service]class.ServiceSettings{"s": {IsKeyed: isKeyed}},
	})
	s.call = call.Call{
		Class: &explainedClass, Service: "s", Deadline: s.clock.Now().Add(time.Second), HasKey: isKeyed, Key: 9,
	}
	servers := []Server{
		{Host: "a", Domain: "d", IsUsable: true, Concurrency: 4},
		{Host: "b", Domain: "d", IsUsable: true, Concurrency: 4},
		{Host: "c", Domain: "d", IsUsable: true, Concurrency: 4},
	}
	change(s, servers)
	record := &ownership.Record{Service: "s", Generation: 5, Members: []ownership.Member{{Host: "b"}}}
	record.Keys.Set(keyspace.All(), ownership.Assignment{Owner: 0, Fence: 3})
	route := NewServiceRoute(isKeyed, servers, record)
	table.Set(Routes{"s": route})
	return s
}

// reject makes the service look full to the entry daemon.
func (s *explainScene) reject() {
	for range fullAfter {
		s.relay.bounded.recordRejected(s.call, offerBound{number: 1, isLast: true}, time.Second)
	}
}

// slow sets the latency of servers apart, so that jitter does not decide.
func (s *explainScene) slow(hosts ...ownership.HostID) {
	for _, host := range hosts {
		s.relay.balancer.statsOf(host).latency = time.Second
	}
}

var explainCases = map[string]struct {
	isKeyed bool
	change  func(s *explainScene, servers []Server)
	verdict Verdict
	host    ownership.HostID
}{
	"fastest": {change: func(s *explainScene, _ []Server) { s.slow("a", "b") }, host: "c"},
	"ejected": {change: func(s *explainScene, _ []Server) {
		s.slow("b", "c")
		s.relay.balancer.statsOf("a").ejectedUntil = s.clock.Now().Add(time.Second)
		s.relay.balancer.statsOf("b").latency = 500 * time.Millisecond
	}, host: "b"},
	"evacuated and shutting down": {change: func(_ *explainScene, servers []Server) {
		servers[0].IsEvacuated, servers[1].IsShuttingDown = true, true
	}, host: "c"},
	"leaving": {change: func(s *explainScene, _ []Server) {
		s.slow("b")
		s.relay.leaving.since["a"] = leavingServer{since: s.clock.Now()}
		s.relay.balancer.statsOf("c").latency = 500 * time.Millisecond
	}, host: "c"},
	"cold with a call left": {change: func(s *explainScene, servers []Server) {
		servers[1].ColdRate, servers[1].WarmupUntil = 0.1, s.clock.Now().Add(time.Second)
		s.relay.balancer.cold.buckets["b"] = &coldBucket{tokens: 1, refilledAt: s.clock.Now(), until: servers[1].WarmupUntil}
	}, host: "b"},
	"cold without a call left": {change: func(s *explainScene, servers []Server) {
		servers[0].ColdRate, servers[0].WarmupUntil = 0.1, s.clock.Now().Add(time.Second)
		s.slow("b")
	}, host: "c"},
	"greatest capacity": {change: func(s *explainScene, _ []Server) {
		s.slow("c") // the latency does not count any more
		var reports []ServerReport
		for i, host := range []ownership.HostID{"a", "b", "c"} {
			runTime := time.Duration(90-30*i) * time.Millisecond
			reports = append(reports, ServerReport{
				Host: host, Service: "s", Domain: "d", Slots: 4, Capacity: 1,
				RunTimes: capacity.RunTimes{"read": runTime},
			})
		}
		s.relay.SetServerReports(reports)
	}, host: "c"},
	"full service": {change: func(s *explainScene, _ []Server) { s.reject() }, verdict: Rejected},
	"probe of a full service": {change: func(s *explainScene, _ []Server) {
		s.slow("a", "c")
		s.reject()
		s.relay.bounded.stateOf(s.call).skipped = probeInterval - 1
	}, host: "b"},
	"no server": {change: func(_ *explainScene, servers []Server) {
		for i := range servers {
			servers[i].IsUsable = false
		}
	}, verdict: NoRoute},
	"owner": {isKeyed: true, change: func(s *explainScene, _ []Server) { s.slow("b") }, host: "b"},
	"owner that leaves": {isKeyed: true, change: func(s *explainScene, _ []Server) {
		s.relay.leaving.since["b"] = leavingServer{since: s.clock.Now()}
		s.call.Deadline = s.clock.Now() // it does not wait for another owner
	}, verdict: NoRoute},
}

// TestExplainAgreesWithCalls guards against explanations of something that calls do not do.
func TestExplainAgreesWithCalls(t *testing.T) {
	for name, c := range explainCases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newExplainScene(c.isKeyed, c.change)
			e, err := s.handler.Explain(Request{Host: "h", Path: "/r/1", Key: 9, HasKey: c.isKeyed})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(e.Verdict).To(gomega.Equal(c.verdict))
			g.Expect(s.sender.hosts).To(gomega.BeEmpty())
			result := s.relay.Do(context.Background(), s.call)
			if c.verdict == Served {
				g.Expect(s.sender.hosts).To(gomega.Equal([]ownership.HostID{c.host}))
				g.Expect(e.Destinations[0].Host).To(gomega.Equal(c.host))
				return
			}
			g.Expect(result.Outcome).To(gomega.Equal(class.NotRun))
			g.Expect(result.Reason.String()).To(gomega.Equal(e.Reason))
			g.Expect(s.sender.hosts).To(gomega.BeEmpty())
		})
	}
}

// relaySnapshot is a copy of all that calls change in a relay.
type relaySnapshot struct {
	stats   map[ownership.HostID]serverStats
	cold    map[ownership.HostID]coldBucket
	offers  map[offerKey]offerState
	budget  map[class.Service]serviceBudget
	saved   map[class.Service]float64
	leaving map[ownership.HostID]leavingServer
}

func values[K comparable, V any](pointers map[K]*V) map[K]V {
	copied := map[K]V{}
	for k, v := range pointers {
		copied[k] = *v
	}
	return copied
}

func copyOf[K comparable, V any](m map[K]V) map[K]V {
	copied := map[K]V{}
	for k, v := range m {
		copied[k] = v
	}
	return copied
}

func snapshot(r *Relay) relaySnapshot {
	return relaySnapshot{
		stats: values(r.balancer.stats), cold: values(r.balancer.cold.buckets), offers: values(r.bounded.states),
		budget: values(r.budget.services), saved: copyOf(r.offers.saved), leaving: copyOf(r.leaving.since),
	}
}

// TestExplainChangesNothing guards against explanations that count as calls, or that use up what calls share.
func TestExplainChangesNothing(t *testing.T) {
	for name, c := range explainCases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s, twin := newExplainScene(c.isKeyed, c.change), newExplainScene(c.isKeyed, c.change)
			s.relay.budget.RecordCall("s")
			s.clock.Advance(30 * time.Millisecond)
			before := snapshot(s.relay)
			for range 2 * probeInterval {
				_, err := s.handler.Explain(Request{Host: "h", Path: "/r/1", Key: 9, HasKey: c.isKeyed})
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			g.Expect(snapshot(s.relay)).To(gomega.Equal(before))
			g.Expect(s.relay.balancer.random.Uint64()).To(gomega.Equal(twin.relay.balancer.random.Uint64()))
			g.Expect(s.relay.bounded.random.Uint64()).To(gomega.Equal(twin.relay.bounded.random.Uint64()))
		})
	}
}

// TestExplainRejectsBadRequests guards against explanations of requests that cannot exist.
func TestExplainRejectsBadRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newExplainScene(false, func(*explainScene, []Server) {})
	_, err := s.handler.Explain(Request{Host: "other", Path: "/r/1"})
	g.Expect(err).To(gomega.Equal(&UnknownHostError{Host: "other"}))
	for _, path := range []string{"", "r/1", "http://h/r/1", "/%zz"} {
		_, err = s.handler.Explain(Request{Host: "h", Path: path})
		g.Expect(err).To(gomega.Equal(&PathError{Text: path}))
	}
	e, err := s.handler.Explain(Request{Host: "h", Path: "/x"})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(e.Verdict).To(gomega.Equal(NoRoute))
}
