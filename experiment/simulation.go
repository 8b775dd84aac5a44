// Package experiment measures admission policies in virtual time, on seeded mixes of the deployments' classes.
package experiment

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// places is how many orders the modelled server runs at a time.
const places = 6

// Work is one class's load on one server.
type Work struct {
	Class class.Class
	// Rate is the demand outside floods, in calls a second.
	Rate float64
	// Service is the mean time that a call takes on a warm server.
	Service time.Duration
}

// Flood multiplies what the server can take by a factor, in calls of one class, for a while.
type Flood struct {
	Class  class.Name
	From   time.Duration
	Until  time.Duration
	Factor float64
}

// Trouble is what is wrong with the server itself for a while.
type Trouble struct {
	From  time.Duration
	Until time.Duration
	// Slow multiplies service times. Zero means that the server is frozen.
	Slow float64
}

// Scenario is one experiment.
type Scenario struct {
	Name    string
	Work    []Work
	Floods  []Flood
	Trouble *Trouble
	Length  time.Duration
	Seed    uint64
}

// Sample is how one call ended.
type Sample struct {
	Class    class.Name
	Arrived  time.Duration
	Answered bool
	// Duration is how long it took, or after which time it was refused.
	Took     time.Duration
	InTarget bool
}

// Run is the outcome of one scenario under one policy.
type Run struct {
	Samples []Sample
	// Busy is the share of the server's places that worked while calls waited.
	Busy float64
	// Wasted is the share of the server's time that went into calls that missed their target.
	Wasted float64
}

// event is something that happens at a moment of virtual time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at == h[j].at {
		return h[i].order < h[j].order
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

// epoch is where virtual time begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulation runs one scenario.
type simulation struct {
	scenario Scenario
	policy   admission.Policy
	random   *rand.Rand
	work     map[class.Name]Work

	events  eventHeap
	order   int
	now     time.Duration
	running int
	nextID  uint64
	run     Run

	lastChange  time.Duration
	busyTime    float64
	waitingTime float64
	usedTime    time.Duration
	wastedTime  time.Duration
}

// Simulate runs a scenario under a policy.
func Simulate(s Scenario, policy admission.Policy) Run {
	sim := &simulation{
		scenario: s,
		policy:   policy,
		random:   rand.New(rand.NewPCG(s.Seed, 5)),
		work:     map[class.Name]Work{},
	}
	var classes []class.Class
	for _, w := range s.Work {
		sim.work[w.Class.Name] = w
		classes = append(classes, w.Class)
	}
	policy.SetClasses(epoch, classes)
	for _, w := range s.Work {
		sim.arrivals(w, 0, s.Length, w.Rate)
	}
	for _, f := range s.Floods {
		w := sim.work[f.Class]
		sim.arrivals(w, f.From, f.Until, f.Factor*places/w.Service.Seconds())
	}
	if s.Trouble != nil {
		sim.schedule(s.Trouble.Until, sim.pump)
	}
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.account(e.at)
		e.do()
	}
	if sim.waitingTime > 0 {
		sim.run.Busy = sim.busyTime / sim.waitingTime
	}
	if sim.usedTime > 0 {
		sim.run.Wasted = sim.wastedTime.Seconds() / sim.usedTime.Seconds()
	}
	return sim.run
}

func (s *simulation) schedule(at time.Duration, do func()) {
	s.order++
	heap.Push(&s.events, event{at: at, order: s.order, do: do})
}

// arrivals schedules the first of a stream of random calls; each schedules the next.
func (s *simulation) arrivals(w Work, from, until time.Duration, rate float64) {
	if rate <= 0 {
		return
	}
	at := from + time.Duration(s.random.ExpFloat64()/rate*float64(time.Second))
	if at >= until {
		return
	}
	s.schedule(at, func() {
		s.arrive(w)
		s.arrivals(w, at, until, rate)
	})
}

func (s *simulation) time() time.Time { return epoch.Add(s.now) }

func (s *simulation) arrive(w Work) {
	s.nextID++
	job := &admission.Job{
		ID:       s.nextID,
		Class:    w.Class.Name,
		Arrived:  s.time(),
		Deadline: s.time().Add(w.Class.Timeout),
	}
	if !s.policy.Offer(s.time(), job) {
		s.drop(job)
		return
	}
	s.pump()
}

func (s *simulation) drop(job *admission.Job) {
	s.run.Samples = append(s.run.Samples, Sample{
		Class:   job.Class,
		Arrived: job.Arrived.Sub(epoch),
		Took:    s.time().Sub(job.Arrived),
	})
}

// pump starts jobs while there are free places.
func (s *simulation) pump() {
	for s.running < places && !s.isFrozen() {
		started := false
		for _, v := range s.policy.Next(s.time()) {
			if !v.Run {
				s.drop(v.Job)
				continue
			}
			s.start(v.Job)
			started = true
		}
		if !started {
			return
		}
	}
}

func (s *simulation) inTrouble() bool {
	t := s.scenario.Trouble
	return t != nil && s.now >= t.From && s.now < t.Until
}

func (s *simulation) isFrozen() bool { return s.inTrouble() && s.scenario.Trouble.Slow == 0 }

// start runs a job. Service times vary: half of each is fixed, the rest exponential.
func (s *simulation) start(job *admission.Job) {
	s.running++
	mean := s.work[job.Class].Service.Seconds()
	took := time.Duration((mean/2 + s.random.ExpFloat64()*mean/2) * float64(time.Second))
	if s.inTrouble() {
		took = time.Duration(float64(took) * s.scenario.Trouble.Slow)
	}
	end := s.now + took
	if t := s.scenario.Trouble; t != nil && t.Slow == 0 && s.now < t.From && end > t.From {
		end += t.Until - t.From // the freeze strikes while the job runs
	}
	began := s.now
	s.schedule(end, func() { s.finish(job, end-began) })
}

func (s *simulation) finish(job *admission.Job, took time.Duration) {
	s.running--
	s.policy.Done(s.time(), job, took)
	c := s.work[job.Class].Class
	sojourn := s.time().Sub(job.Arrived)
	sample := Sample{
		Class:    job.Class,
		Arrived:  job.Arrived.Sub(epoch),
		Answered: !s.time().After(job.Deadline),
		Took:     sojourn,
		InTarget: sojourn <= c.Latency,
	}
	s.run.Samples = append(s.run.Samples, sample)
	s.usedTime += took
	if !sample.InTarget {
		s.wastedTime += took
	}
	s.pump()
}

// account adds up how busy the server was until the next event.
func (s *simulation) account(until time.Duration) {
	if s.policy.Waiting() > 0 && !s.isFrozen() {
		span := (until - s.lastChange).Seconds()
		s.waitingTime += span
		s.busyTime += span * float64(s.running) / places
	}
	s.lastChange = until
	s.now = until
}
