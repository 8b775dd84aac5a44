// Package experiment compares admission policies by discrete-event simulation of one backend server, with seeded random
// arrivals of the example deployments' classes.
package experiment

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// concurrency is how many jobs the simulated server runs at a time unless the scenario describes another one.
const concurrency = 6

// ClassLoad is the load of one class on one server.
type ClassLoad struct {
	Class class.Class
	// Rate is the arrival rate outside floods, in calls per second.
	Rate float64
	// ServiceTime is the mean service time of a call on a warm server.
	ServiceTime time.Duration
}

// Flood is a period of additional arrivals of one class at a rate of Factor times the server's capacity.
type Flood struct {
	Class  class.Name
	From   time.Duration
	Until  time.Duration
	Factor float64
}

// Fault is a period in which the server is slow or frozen.
type Fault struct {
	From  time.Duration
	Until time.Duration
	// Slowdown multiplies service times. Zero means that the server is frozen.
	Slowdown float64
}

// Scenario describes one simulation: the load on a server, floods and at most one fault.
type Scenario struct {
	Name   string
	Loads  []ClassLoad
	Floods []Flood
	Fault  *Fault
	// Swing is nil if the arrival rates are constant.
	Swing *Swing
	// Server describes the server, or is nil for one with the default number of slots and run times.
	Server *Server
	Length time.Duration
	Seed   uint64
}

// Sample records how one call ended.
type Sample struct {
	Class   class.Name
	Arrived time.Duration
	// Answered reports whether the call finished by its deadline, and InTarget whether within its latency target.
	Answered bool
	// Duration is the time from the arrival of the call until it finished, or until it was rejected or dropped.
	Duration time.Duration
	InTarget bool
	// RetryAfter is the time that a rejected call was told to wait, and IsReturn reports whether the call had been told so
	// and returned then.
	RetryAfter time.Duration
	IsReturn   bool
}

// Run holds the measurements of one scenario simulated under one policy.
type Run struct {
	Samples []Sample
	// Utilization is the share of the server's concurrency that was in use while calls were queued.
	Utilization float64
	// WastedShare is the share of the server's run time spent on calls that missed their latency target.
	WastedShare float64
}

// event is a function that runs at a point of virtual time. Events at the same time run in the order of sequence.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at == h[j].at {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at < h[j].at
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// startTime is the start of virtual time.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulation is the state of one simulated scenario.
type simulation struct {
	scenario Scenario
	policy   admission.Policy
	random   *rand.Rand
	loads    map[class.Name]ClassLoad

	events   eventHeap
	sequence int
	now      time.Duration
	running  int
	nextID   uint64
	run      Run

	lastChange time.Duration
	// backlogTime is the time during which calls were queued and the server was not frozen, in seconds, and busyTime is
	// that time weighted with the share of the server's concurrency that was in use.
	busyTime    float64
	backlogTime float64
	// usedTime is the run time of all calls, and wastedTime that of the calls that missed their latency target.
	usedTime   time.Duration
	wastedTime time.Duration
}

// Simulate simulates a scenario under a policy.
func Simulate(s Scenario, policy admission.Policy) Run {
	sim := &simulation{
		scenario: s,
		policy:   policy,
		random:   rand.New(rand.NewPCG(s.Seed, 5)),
		loads:    map[class.Name]ClassLoad{},
	}
	var classes []class.Class
	for _, l := range s.Loads {
		sim.loads[l.Class.Name] = l
		classes = append(classes, l.Class)
	}
	policy.SetClasses(startTime, classes)
	for _, l := range s.Loads {
		sim.scheduleLoad(l)
	}
	for _, f := range s.Floods {
		l := sim.loads[f.Class]
		sim.scheduleArrivals(l, f.From, f.Until, f.Factor*float64(sim.slots())/l.ServiceTime.Seconds())
	}
	if s.Fault != nil {
		sim.schedule(s.Fault.Until, sim.dispatch)
	}
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.recordUsage(e.at)
		e.run()
	}
	if sim.backlogTime > 0 {
		sim.run.Utilization = sim.busyTime / sim.backlogTime
	}
	if sim.usedTime > 0 {
		sim.run.WastedShare = sim.wastedTime.Seconds() / sim.usedTime.Seconds()
	}
	return sim.run
}

func (s *simulation) schedule(at time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{at: at, sequence: s.sequence, run: run})
}

// scheduleArrivals schedules the first call of a Poisson arrival process. Each arrival schedules the next one.
func (s *simulation) scheduleArrivals(l ClassLoad, from, until time.Duration, rate float64) {
	if rate <= 0 {
		return
	}
	at := from + time.Duration(s.random.ExpFloat64()/rate*float64(time.Second))
	if at >= until {
		return
	}
	s.schedule(at, func() {
		s.arrive(l)
		s.scheduleArrivals(l, at, until, rate)
	})
}

func (s *simulation) time() time.Time { return startTime.Add(s.now) }

func (s *simulation) arrive(l ClassLoad) { s.offer(l, s.now+l.Class.Timeout, 0) }

// offer offers a call that returned the given number of times to the policy.
func (s *simulation) offer(l ClassLoad, deadline time.Duration, returns int) {
	s.nextID++
	job := &admission.Job{
		ID:       s.nextID,
		Class:    l.Class.Name,
		Arrived:  s.time(),
		Deadline: startTime.Add(deadline),
		IsReturn: returns > 0,
		Data:     returns,
	}
	if !s.policy.Offer(s.time(), job) {
		s.recordRejected(job)
		return
	}
	s.dispatch()
}

func (s *simulation) recordRejected(job *admission.Job) {
	s.run.Samples = append(s.run.Samples, Sample{
		Class:    job.Class,
		Arrived:  job.Arrived.Sub(startTime),
		Duration: s.time().Sub(job.Arrived),

		RetryAfter: job.RetryAfter, IsReturn: job.IsReturn,
	})
	s.scheduleReturn(job)
}

// dispatch starts queued jobs until the server's concurrency is used up.
func (s *simulation) dispatch() {
	for s.running < s.slots() && !s.isFrozen() {
		started := false
		for _, d := range s.policy.Next(s.time()) {
			if !d.Run {
				s.recordRejected(d.Job)
				continue
			}
			s.start(d.Job)
			started = true
		}
		if !started {
			return
		}
	}
}

func (s *simulation) isFaulty() bool {
	f := s.scenario.Fault
	return f != nil && s.now >= f.From && s.now < f.Until
}

func (s *simulation) isFrozen() bool { return s.isFaulty() && s.scenario.Fault.Slowdown == 0 }

// start runs a job. Half of the mean service time is constant, and the other half is exponentially distributed.
func (s *simulation) start(job *admission.Job) {
	s.running++
	if s.scenario.Server != nil {
		s.startOn(s.scenario.Server, job)
		return
	}
	mean := s.loads[job.Class].ServiceTime.Seconds()
	runTime := time.Duration((mean/2 + s.random.ExpFloat64()*mean/2) * float64(time.Second))
	if s.isFaulty() {
		runTime = time.Duration(float64(runTime) * s.scenario.Fault.Slowdown)
	}
	end := s.now + runTime
	if f := s.scenario.Fault; f != nil && f.Slowdown == 0 && s.now < f.From && end > f.From {
		end += f.Until - f.From // the server freezes while the job runs
	}
	startedAt := s.now
	s.schedule(end, func() { s.finish(job, end-startedAt) })
}

func (s *simulation) finish(job *admission.Job, runTime time.Duration) {
	s.running--
	s.policy.Done(s.time(), job, runTime)
	c := s.loads[job.Class].Class
	sojourn := s.time().Sub(job.Arrived)
	sample := Sample{
		Class:    job.Class,
		Arrived:  job.Arrived.Sub(startTime),
		Answered: !s.time().After(job.Deadline),
		Duration: sojourn,
		InTarget: sojourn <= c.Latency,
		IsReturn: job.IsReturn,
	}
	s.run.Samples = append(s.run.Samples, sample)
	s.usedTime += runTime
	if !sample.InTarget {
		s.wastedTime += runTime
	}
	s.dispatch()
}

// recordUsage adds the time until the next event to the utilization figures, and advances virtual time to that event.
func (s *simulation) recordUsage(until time.Duration) {
	if s.policy.Waiting() > 0 && !s.isFrozen() {
		elapsed := (until - s.lastChange).Seconds()
		s.backlogTime += elapsed
		s.busyTime += elapsed * float64(s.running) / float64(s.slots())
	}
	s.lastChange = until
	s.now = until
}
