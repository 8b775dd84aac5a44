package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

const (
	// demandWindow is how often demand is measured.
	demandWindow = 500 * time.Millisecond
	// demandWeight is the weight of one window in the learned demand.
	demandWeight = 0.1
	// usedWeight is the weight of one window in the places that a class got lately.
	usedWeight = 0.3
	// serviceWeight is the weight of one job in the learned service time.
	serviceWeight = 0.05
	// headroom is how far above its learned demand a class is protected.
	headroom = 1.25
	// busyShare is the share of the server above which demand is not learned: a flood must not teach.
	busyShare = 0.9
	// floodRatio is how far above its learned demand a class floods.
	floodRatio = 2.0
	// reserve is the share of the server that every class with a success target keeps at least, if it wants it.
	reserve = 0.05
	// creditTime is how much of its floor a class may save up.
	creditTime = 500 * time.Millisecond
	// patience is the part of the latency target that a job of a flooding class, or of a saturated server, may wait.
	patience = 0.35
	// queueBound limits a class's queue, in jobs.
	queueBound = 2000
	// leastRate is the part of a place that a forecast allows each class.
	leastRate = 0.1
	// outlier bounds what one job may say of the service time, in multiples of what is known.
	outlier = 4
	// firstService is the service time assumed before the first job has ended.
	firstService = 5 * time.Millisecond
)

// lane is what Targets keeps for one class.
type lane struct {
	class   class.Class
	queue   *queue
	late    *queue
	service time.Duration
	// demand is the learned rate, in calls a second.
	demand    float64
	hasDemand bool
	// isFlooding says that the class's rate is far above its learned demand.
	isFlooding bool
	// floor is the protected part of the server, in places.
	floor   float64
	credit  time.Duration
	offered int
	// started is the work begun in this window, and used how many places the class got lately.
	started time.Duration
	used    float64
}

// Targets runs the jobs that keep the classes' targets. Each class is protected up to a floor, worked out from
// its demand outside floods and its success target. Within the floors, and again with what they leave over,
// more urgent ranks go first. Jobs that cannot meet their target make way; jobs that cannot meet their deadline
// are dropped.
type Targets struct {
	places      float64
	order       []*lane
	lanes       map[class.Name]*lane
	windowStart time.Time
	refilledAt  time.Time
	overloaded  bool
	// saturated says that more was asked for than the server can do: work that misses its target takes the place of work
	// that would not.
	saturated bool
}

// NewTargetPolicy returns the policy for a server with a number of places.
func NewTargetPolicy(places int) *Targets {
	return &Targets{places: float64(places), lanes: map[class.Name]*lane{}}
}

// SetPlaces tells how many jobs the server runs at a time.
func (t *Targets) SetPlaces(places int) { t.places = float64(places) }

// SetClasses implements Policy. A class that is gone keeps its queue until the queue is empty.
func (t *Targets) SetClasses(now time.Time, classes []class.Class) {
	if t.windowStart.IsZero() {
		t.windowStart = now
		t.refilledAt = now
	}
	t.order = nil
	for _, c := range classes {
		l := t.lanes[c.Name]
		if l == nil {
			l = &lane{queue: newQueue(), late: newQueue(), service: firstService}
			t.lanes[c.Name] = l
		}
		l.class = c
		t.order = append(t.order, l)
	}
	for _, l := range t.lanes {
		if l.queue.len()+l.late.len() > 0 && !slices.Contains(t.order, l) {
			t.order = append(t.order, l)
		}
	}
	slices.SortStableFunc(t.order, func(a, b *lane) int {
		return cmp.Or(cmp.Compare(a.class.Rank, b.class.Rank), cmp.Compare(a.class.Name, b.class.Name))
	})
	t.setFloors()
}

// defaultSuccess is the success target of a class for which operators give none.
const defaultSuccess = 0.95

// Know implements Policy.
func (t *Targets) Know(now time.Time, c *class.Class) {
	known := t.lanes[c.Name]
	wanted := *c
	if wanted.Success == 0 {
		wanted.Success = defaultSuccess
	}
	isSame := known != nil && known.class.Rank == wanted.Rank && known.class.Latency == wanted.Latency &&
		known.class.Success == wanted.Success
	if isSame {
		return
	}
	classes := []class.Class{wanted}
	for _, l := range t.order {
		if l.class.Name != c.Name {
			classes = append(classes, l.class)
		}
	}
	t.SetClasses(now, classes)
}

// Offer implements Policy.
func (t *Targets) Offer(now time.Time, job *Job) bool {
	t.roll(now)
	l := t.lanes[job.Class]
	if l == nil {
		return false
	}
	l.offered++
	if !t.hasRoom(l) || t.comesTooLate(now, l, job) {
		return false
	}
	l.queue.push(job)
	return true
}

// hasRoom tells whether a job may wait. In an overload the queue of a flooding class is as long as its share empties in
// the time that its jobs are willing to wait.
func (t *Targets) hasRoom(l *lane) bool {
	waiting := l.queue.len()
	if !t.overloaded || !l.isFlooding {
		return waiting < queueBound
	}
	work := float64(waiting) * l.service.Seconds()
	share := max(l.floor, t.spare())
	return work <= share*patience*l.class.Latency.Seconds()+l.service.Seconds()
}

// spare returns the places that no floor claims.
func (t *Targets) spare() float64 {
	spare := t.places
	for _, l := range t.order {
		spare -= l.floor
	}
	return max(0, spare)
}

// Next implements Policy.
func (t *Targets) Next(now time.Time) []Verdict {
	t.roll(now)
	t.refill(now)
	var verdicts []Verdict
	for _, l := range t.order {
		verdicts = append(verdicts, t.prune(now, l)...)
	}
	job := t.pick()
	if job == nil {
		return verdicts
	}
	l := t.lanes[job.Class]
	l.credit -= l.service
	l.started += l.service
	return append(verdicts, Verdict{Job: job, Run: true})
}

// prune drops what cannot meet its deadline and sets aside what cannot meet its target.
func (t *Targets) prune(now time.Time, l *lane) []Verdict {
	verdicts := l.queue.expire(now, l.expected())
	verdicts = append(verdicts, l.late.expire(now, l.expected())...)
	for t.saturated && l.late.peek() != nil {
		verdicts = append(verdicts, Verdict{Job: l.late.pop()})
	}
	isFlooding := t.overloaded && l.isFlooding
	for {
		job := l.queue.peek()
		if job == nil {
			break
		}
		waited := now.Sub(job.Arrived)
		isHopeless := waited+l.expected() > l.class.Latency
		isStale := isFlooding && l.credit <= 0 && waited > time.Duration(patience*float64(l.class.Latency))
		if !isHopeless && !isStale {
			break
		}
		l.queue.pop()
		if isFlooding || t.saturated {
			job.RetryAfter = t.turn(l)
			verdicts = append(verdicts, Verdict{Job: job})
		} else {
			l.late.push(job)
		}
	}
	return verdicts
}

// expected returns how long a job is taken to run when it is judged whether it can still meet its target. It is
// never more than half of the target, so that a wrong estimate is corrected by the jobs that run.
func (l *lane) expected() time.Duration { return min(l.service, l.class.Latency/2) }

// pick chooses the next job: first within the floors, those that can meet their target before the late ones; then
// with what the floors leave over.
func (t *Targets) pick() *Job {
	for _, l := range t.order {
		if l.credit > 0 && l.queue.peek() != nil {
			return l.queue.pop()
		}
	}
	for _, l := range t.order {
		if l.credit > 0 && l.late.peek() != nil {
			return l.late.pop()
		}
	}
	for _, l := range t.order {
		if l.queue.peek() != nil {
			return l.queue.pop()
		}
	}
	for _, l := range t.order {
		if l.late.peek() != nil {
			return l.late.pop()
		}
	}
	return nil
}

// Done implements Policy.
func (t *Targets) Done(_ time.Time, job *Job, took time.Duration) {
	l := t.lanes[job.Class]
	if l == nil {
		return
	}
	l.credit -= took - l.service // what was charged at the start is corrected
	took = min(took, outlier*l.service)
	l.service += time.Duration(serviceWeight * float64(took-l.service))
}

// Remove implements Policy.
func (t *Targets) Remove(job *Job) bool {
	l := t.lanes[job.Class]
	return l != nil && (l.queue.remove(job) || l.late.remove(job))
}

// Waiting implements Policy.
func (t *Targets) Waiting() int {
	waiting := 0
	for _, l := range t.lanes {
		waiting += l.queue.len() + l.late.len()
	}
	return waiting
}

// Backlog implements Policy.
func (t *Targets) Backlog() time.Duration {
	var work time.Duration
	for _, l := range t.lanes {
		work += time.Duration(l.queue.len()+l.late.len()) * l.service
	}
	return work
}

// refill gives each class the credit of its floor for the time gone by.
func (t *Targets) refill(now time.Time) {
	elapsed := now.Sub(t.refilledAt)
	if elapsed <= 0 {
		return
	}
	t.refilledAt = now
	for _, l := range t.order {
		most := time.Duration(l.floor*float64(creditTime)) + l.service
		l.credit = min(most, l.credit+time.Duration(l.floor*float64(elapsed)))
		l.credit = max(l.credit, -most) // a debt from leftovers must not lock a class out of its floor
	}
}

// roll closes the demand window when its time is over.
func (t *Targets) roll(now time.Time) {
	elapsed := now.Sub(t.windowStart)
	if elapsed < demandWindow {
		return
	}
	t.windowStart = now
	work := t.offeredWork(elapsed)
	t.overloaded = work > busyShare*t.places
	// Hysteresis keeps chance from letting work in that the next window has no room for.
	t.saturated = work > t.places || t.saturated && t.overloaded
	for _, l := range t.order {
		rate := float64(l.offered) / elapsed.Seconds()
		// A class whose demand was never learned is taken as it comes: after a restart under full load nothing would be
		// learned, and each class would be refused as a flood for as long as the load lasts.
		l.isFlooding = l.hasDemand && rate > floodRatio*l.demand
		if !t.overloaded || !l.hasDemand {
			l.learn(rate)
		}
		l.offered = 0
		l.used += usedWeight * (l.started.Seconds()/elapsed.Seconds() - l.used)
		l.started = 0
	}
	t.setFloors()
}

// offeredWork returns how many places the window's demand would have kept busy.
func (t *Targets) offeredWork(elapsed time.Duration) float64 {
	work := 0.0
	for _, l := range t.order {
		work += float64(l.offered) / elapsed.Seconds() * l.service.Seconds()
	}
	return work
}

// learn moves the demand towards a window's rate.
func (l *lane) learn(rate float64) {
	if !l.hasDemand {
		l.hasDemand = rate > 0
		l.demand = rate
		return
	}
	l.demand += demandWeight * (rate - l.demand)
}

// setFloors divides the server: first a reserve for each class, then what each needs for its success target,
// then the headroom, the more urgent ranks first.
func (t *Targets) setFloors() {
	left := t.places
	give := func(l *lane, want float64) {
		part := min(max(0, want-l.floor), left)
		l.floor += part
		left -= part
	}
	for _, l := range t.order {
		l.floor = 0
	}
	for _, l := range t.order {
		if l.class.Success > 0 {
			give(l, min(l.need(t.places, len(t.order)), reserve*t.places))
		}
	}
	for _, l := range t.order {
		give(l, l.need(t.places, len(t.order))*l.class.Success)
	}
	for _, l := range t.order {
		give(l, l.need(t.places, len(t.order))*headroom)
	}
}

// need returns the places that a class's demand takes. A class without a known demand needs an equal share.
func (l *lane) need(places float64, classes int) float64 {
	if !l.hasDemand {
		return places / float64(classes) / headroom
	}
	return l.demand * l.service.Seconds()
}
