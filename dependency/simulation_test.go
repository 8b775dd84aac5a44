package dependency_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/dependency"
)

// mesh simulates, in virtual time, hosts whose servers run calls that make nested calls to the servers of another
// service. 70 of 100 runs make calls in turn. A nested call is offered to up to four servers with a bounded wait.
type mesh struct {
	clock   *clockwork.FakeClock
	random  *rand.Rand
	events  eventHeap
	hosts   []*dependency.Tracker
	servers []*calledServer
	// usable is the number of servers that take calls.
	usable int
	// runRate is the number of runs per second that arrive at each host, callsPerRun how many nested calls a run makes, and
	// lossShare the share of nested calls that time out whatever the load.
	runRate     float64
	callsPerRun int
	lossShare   float64
	periods     []*period
}

// calledServer is a server of the called service.
type calledServer struct{ running, waiting int }

// period counts what happens in one second.
type period struct {
	arrived, rejected, lost, done, nested, failed int
	retryAfter                                    time.Duration
}

const (
	serverSlots   = 6
	nestedRunTime = 40 * time.Millisecond
	// maxQueue bounds the calls queued at a server: the wait that a latency target of 150 ms leaves.
	maxQueue      = 10
	maxOffers     = 4
	nestedTimeout = 500 * time.Millisecond
)

type event struct {
	at  time.Time
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// newMesh returns a mesh of customer B's size: 46 hosts with 16 runs per second each.
func newMesh(servers, callsPerRun int, isLoadAware bool) *mesh {
	m := &mesh{
		clock: clockwork.NewFakeClockAt(start), random: rand.New(rand.NewPCG(1, 1)),
		usable: servers, runRate: 16, callsPerRun: callsPerRun,
	}
	for i := range 46 {
		tracker := dependency.NewTracker("p", dependency.Observer{
			NestedChanged:    func(class.Name, class.Service, bool) {},
			RejectionChanged: func(dependency.Rejection) {},
			RunRejected:      func(class.Name) {},
		}, m.clock, uint64(i))
		tracker.SetLoadAware(isLoadAware)
		m.hosts = append(m.hosts, tracker)
		m.after(m.interval(), func() { m.arrive(tracker) })
	}
	for range servers {
		m.servers = append(m.servers, &calledServer{})
	}
	return m
}

func (m *mesh) after(delay time.Duration, run func()) {
	heap.Push(&m.events, event{at: m.clock.Now().Add(delay), run: run})
}

// exponential returns a random duration with the given mean.
func (m *mesh) exponential(mean time.Duration) time.Duration {
	return time.Duration(m.random.ExpFloat64() * float64(mean))
}

func (m *mesh) interval() time.Duration {
	return m.exponential(time.Duration(float64(time.Second) / m.runRate))
}

// play runs the simulation for a time.
func (m *mesh) play(length time.Duration) {
	end := m.clock.Now().Add(length)
	for m.events[0].at.Before(end) {
		e := heap.Pop(&m.events).(event)
		m.clock.Advance(e.at.Sub(m.clock.Now()))
		e.run()
	}
	m.clock.Advance(end.Sub(m.clock.Now()))
}

// current returns the counts of the current second.
func (m *mesh) current() *period {
	second := int(m.clock.Now().Sub(start) / time.Second)
	for len(m.periods) <= second {
		m.periods = append(m.periods, &period{})
	}
	return m.periods[second]
}

// total returns the sum of the counts from one second to another.
func (m *mesh) total(from, to int) period {
	m.current()
	var sum period
	for _, p := range m.periods[from:min(to, len(m.periods))] {
		sum.arrived += p.arrived
		sum.rejected += p.rejected
		sum.lost += p.lost
		sum.done += p.done
		sum.nested += p.nested
		sum.failed += p.failed
		sum.retryAfter = max(sum.retryAfter, p.retryAfter)
	}
	return sum
}

// arrive simulates the arrival of a run at a host.
func (m *mesh) arrive(host *dependency.Tracker) {
	m.after(m.interval(), func() { m.arrive(host) })
	m.current().arrived++
	if retryAfter := host.AdmitRun("view"); retryAfter > 0 {
		m.current().rejected++
		m.current().retryAfter = max(m.current().retryAfter, retryAfter)
		return
	}
	host.RunBegan("view")
	calls := 0
	if m.random.Float64() < 0.7 {
		calls = m.callsPerRun
	}
	m.after(m.exponential(50*time.Millisecond), func() { m.continueRun(host, calls) })
}

// continueRun makes the next nested call of a run, or ends the run.
func (m *mesh) continueRun(host *dependency.Tracker, calls int) {
	if calls == 0 {
		m.after(m.exponential(50*time.Millisecond), func() {
			host.RunEnded("view")
			m.current().done++
		})
		return
	}
	host.CallEntered("check")
	m.offer(maxOffers, func(o dependency.Outcome) {
		host.CallEnded("check", true, true, o)
		m.current().nested++
		if o.HasFailed {
			m.current().failed++
			m.current().lost++
			host.RunEnded("view")
			return
		}
		m.continueRun(host, calls-1)
	})
}

// offer offers a nested call to the better of two random servers, and to others if that is full.
func (m *mesh) offer(offers int, end func(dependency.Outcome)) {
	const roundTrip = 2 * time.Millisecond
	if m.random.Float64() < m.lossShare {
		m.after(nestedTimeout, func() { end(dependency.Outcome{HasFailed: true}) })
		return
	}
	if m.usable == 0 || offers == 0 {
		m.after(roundTrip, func() { end(dependency.Outcome{HasFailed: true, RetryAfter: 300 * time.Millisecond}) })
		return
	}
	server, other := m.servers[m.random.IntN(m.usable)], m.servers[m.random.IntN(m.usable)]
	if other.running+other.waiting < server.running+server.waiting {
		server = other
	}
	if server.waiting >= maxQueue {
		m.after(roundTrip, func() { m.offer(offers-1, end) })
		return
	}
	m.queue(server, end)
}

// queue runs a nested call on a server when a slot is free.
func (m *mesh) queue(server *calledServer, end func(dependency.Outcome)) {
	if server.running == serverSlots {
		server.waiting++
		m.waitForSlot(server, end)
		return
	}
	server.running++
	m.after(m.exponential(nestedRunTime), func() {
		server.running--
		o := dependency.Outcome{}
		if server.waiting == 0 {
			o.IsIdle = true
			o.FreeShare = 1 - float64(server.running)/serverSlots
		}
		end(o)
	})
}

func (m *mesh) waitForSlot(server *calledServer, end func(dependency.Outcome)) {
	m.after(time.Millisecond, func() {
		if server.running == serverSlots {
			m.waitForSlot(server, end)
			return
		}
		server.waiting--
		m.queue(server, end)
	})
}
