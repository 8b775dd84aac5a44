package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/skylarkrelay/skylarkrelay/capacity"
	"github.com/skylarkrelay/skylarkrelay/class"
)

const (
	// demandWindow is the interval over which demand is measured.
	demandWindow = 500 * time.Millisecond
	// demandWeight is the weight of one window in the moving average of a class's demand.
	demandWeight = 0.1
	// recentUseWeight is the weight of one window in the moving average of the capacity that a class used.
	recentUseWeight = 0.3
	// serviceTimeWeight is the weight of one job in the moving average of a class's service time.
	serviceTimeWeight = 0.05
	// headroom is the multiple of its learned demand up to which a class is guaranteed capacity.
	headroom = 1.25
	// overloadShare is the share of the capacity above which the server counts as overloaded. Demand is not learned
	// during an overload, so that a flood does not raise the learned demand.
	overloadShare = 0.9
	// floodRatio is the multiple of its learned demand above which a class counts as flooding.
	floodRatio = 2.0
	// minGuarantee is the share of the capacity that each class with a success target is guaranteed at least, as far
	// as its demand requires it.
	minGuarantee = 0.05
	// maxCreditTime bounds the credit that a class may accumulate, in time at its guaranteed rate.
	maxCreditTime = 500 * time.Millisecond
	// maxWaitShare is the share of the latency target that a job may wait if its class floods or the server is
	// saturated.
	maxWaitShare = 0.35
	// maxQueueLength bounds the queue of a class, in jobs.
	maxQueueLength = 2000
	// minEstimateRate is the least capacity, in concurrent jobs, that a wait estimate assumes for a class.
	minEstimateRate = 0.1
	// maxOutlierFactor bounds the run time with which one job enters the average, in multiples of the learned service
	// time.
	maxOutlierFactor = 4
	// minCapacity is the least capacity, in concurrent jobs, that a rate limit leaves. Waits are divided by it.
	minCapacity = 0.001
	// initialServiceTime is the service time assumed until the first job of a class has ended.
	initialServiceTime = 5 * time.Millisecond
)

// classState is the state that TargetPolicy holds for one class.
type classState struct {
	class class.Class
	// isNested reports whether backend servers make the calls of the class while they run other calls.
	isNested bool
	queue    *queue
	// lateQueue holds the jobs that can no longer meet the latency target but can still meet their deadline.
	lateQueue   *queue
	serviceTime time.Duration
	// demand is the learned arrival rate, in calls per second.
	demand    float64
	hasDemand bool
	// isFlooding reports whether the arrival rate exceeded floodRatio times the learned demand in the last window.
	isFlooding bool
	// guarantee is the capacity reserved for the class, in concurrent jobs.
	guarantee float64
	// credit is the run time that the class may still use from its guarantee.
	credit time.Duration
	// offered is the number of jobs offered in this window.
	offered int
	// startedWork is the expected run time of the jobs started in this window. recentUse is the moving average of the
	// capacity that the class used, in concurrent jobs.
	startedWork time.Duration
	recentUse   float64
	// position is the index of the class in the order of urgency, and load the state of the load-aware order.
	position int
	load     loadState
}

// TargetPolicy orders jobs so that classes meet their latency and success targets. Each class is guaranteed a part of
// the capacity, computed from its success target and its demand outside floods. Guaranteed capacity is used first, then
// the rest; within each, more urgent ranks run first. Jobs that can no longer meet their latency target run after those
// that can, and jobs that can no longer meet their deadline are dropped.
type TargetPolicy struct {
	concurrency int
	rateLimit   rate.Limit
	// capacity is the mean number of jobs that the server can run at a time: its concurrency, or less if the rate limit
	// does not permit enough starts. It is divided among the classes.
	capacity    float64
	byRank      []*classState
	states      map[class.Name]*classState
	windowStart time.Time
	refilledAt  time.Time
	overloaded  bool
	// saturated reports whether the offered load exceeded the capacity. A job that misses its target then takes
	// capacity from one that would meet it.
	saturated bool
	// isLoadAware selects the order of compareLoadAware for classes of the same rank, and the decisions of offerByTarget
	// and nextByTarget.
	isLoadAware bool
	pace        pace
	slowdown    capacity.Slowdown
	reserve     slotReserve
	// random is the source of the jitter of Retry-After.
	random *rand.Rand
}

// NewTargetPolicy returns a policy for a server that runs the given number of jobs at a time.
func NewTargetPolicy(concurrency int) *TargetPolicy {
	t := &TargetPolicy{
		concurrency: concurrency, rateLimit: rate.Inf, states: map[class.Name]*classState{}, random: newReturnRandom(1),
	}
	t.setCapacity()
	return t
}

// SetConcurrency sets the number of jobs that the server runs at a time.
func (t *TargetPolicy) SetConcurrency(concurrency int) {
	t.concurrency = concurrency
	t.setCapacity()
}

// SetRateLimit sets the number of jobs that may start per second. With rate.Inf there is no limit.
func (t *TargetPolicy) SetRateLimit(limit rate.Limit) {
	t.rateLimit = limit
	t.setCapacity()
	t.setGuarantees()
}

// setCapacity computes the capacity from the concurrency, the rate limit and the learned service times.
func (t *TargetPolicy) setCapacity() {
	t.capacity = float64(t.concurrency)
	if t.rateLimit != rate.Inf {
		permitted := float64(t.rateLimit) * t.meanServiceTime().Seconds()
		t.capacity = min(t.capacity, max(minCapacity, permitted))
	}
}

// meanServiceTime returns the mean service time of the classes, weighted by their demand.
func (t *TargetPolicy) meanServiceTime() time.Duration {
	var work, demand float64
	for _, s := range t.byRank {
		work += s.demand * s.serviceTime.Seconds()
		demand += s.demand
	}
	if demand == 0 {
		return initialServiceTime
	}
	return time.Duration(work / demand * float64(time.Second))
}

// SetClasses implements Policy. A class that is no longer configured is kept if jobs of it are queued.
func (t *TargetPolicy) SetClasses(now time.Time, classes []class.Class) {
	if t.windowStart.IsZero() {
		t.windowStart = now
		t.refilledAt = now
	}
	t.byRank = nil
	for _, c := range classes {
		s := t.states[c.Name]
		if s == nil {
			s = &classState{queue: newQueue(), lateQueue: newQueue(), serviceTime: initialServiceTime}
			t.states[c.Name] = s
		}
		s.class = c
		t.byRank = append(t.byRank, s)
	}
	for _, s := range t.states {
		if s.queue.len()+s.lateQueue.len() > 0 && !slices.Contains(t.byRank, s) {
			t.byRank = append(t.byRank, s)
		}
	}
	t.sortClasses()
	t.setGuarantees()
}

// sortClasses orders the classes by rank.
func (t *TargetPolicy) sortClasses() {
	slices.SortStableFunc(t.byRank, func(a, b *classState) int {
		if order := cmp.Compare(a.class.Rank, b.class.Rank); order != 0 {
			return order
		}
		if t.isLoadAware {
			return compareLoadAware(a, b)
		}
		return cmp.Compare(a.class.Name, b.class.Name)
	})
	for i, s := range t.byRank {
		s.position = i
	}
}

// defaultSuccess is the success target of a class for which none is configured.
const defaultSuccess = 0.95

// UpdateClass implements Policy.
func (t *TargetPolicy) UpdateClass(now time.Time, c *class.Class) {
	known := t.states[c.Name]
	updated := *c
	if updated.Success == 0 {
		updated.Success = defaultSuccess
	}
	isUnchanged := known != nil && slices.Contains(t.byRank, known) && known.class.Rank == updated.Rank &&
		known.class.Latency == updated.Latency && known.class.Success == updated.Success
	if isUnchanged {
		return
	}
	classes := []class.Class{updated}
	for _, s := range t.byRank {
		if s.class.Name != c.Name {
			classes = append(classes, s.class)
		}
	}
	t.SetClasses(now, classes)
}

// Offer implements Policy.
func (t *TargetPolicy) Offer(now time.Time, job *Job) bool {
	t.rollWindow(now)
	s := t.states[job.Class]
	if s == nil {
		return false
	}
	s.offered++
	if t.isLoadAware {
		return t.offerByTarget(now, s, job)
	}
	if !t.hasQueueSpace(s) || t.finishesTooLate(now, s, job) {
		return false
	}
	s.queue.push(job)
	return true
}

// hasQueueSpace reports whether another job of the class may be queued. During an overload the queue of a flooding
// class is limited to the work that its share of the capacity completes within maxWaitShare of its latency target.
func (t *TargetPolicy) hasQueueSpace(s *classState) bool {
	waiting := s.queue.len()
	if !t.overloaded || !s.isFlooding {
		return waiting < maxQueueLength
	}
	work := float64(waiting) * s.serviceTime.Seconds()
	share := max(s.guarantee, t.spareCapacity())
	return work <= share*maxWaitShare*s.class.Latency.Seconds()+s.serviceTime.Seconds()
}

// spareCapacity returns the capacity that is not guaranteed to any class.
func (t *TargetPolicy) spareCapacity() float64 {
	spare := t.capacity
	for _, s := range t.byRank {
		spare -= s.guarantee
	}
	return max(0, spare)
}

// Next implements Policy.
func (t *TargetPolicy) Next(now time.Time) []Decision {
	t.rollWindow(now)
	t.refillCredit(now)
	var decisions []Decision
	for _, s := range t.byRank {
		if t.isLoadAware {
			decisions = append(decisions, t.pruneByTarget(now, s)...)
		} else {
			decisions = append(decisions, t.pruneQueues(now, s)...)
		}
	}
	job := t.nextJob()
	if job == nil {
		return decisions
	}
	t.pace.start(now, job)
	s := t.states[job.Class]
	s.credit -= s.serviceTime
	s.startedWork += s.serviceTime
	return append(decisions, Decision{Job: job, Run: true})
}

// pruneQueues drops jobs that cannot meet their deadline and moves jobs that cannot meet their latency target to the
// late queue. On a saturated server, or if the class floods, these are dropped too. A job of a flooding class without
// credit is dropped as soon as it has waited maxWaitShare of its latency target.
func (t *TargetPolicy) pruneQueues(now time.Time, s *classState) []Decision {
	decisions := s.queue.expire(now, s.expectedServiceTime())
	decisions = append(decisions, s.lateQueue.expire(now, s.expectedServiceTime())...)
	for t.saturated && s.lateQueue.peek() != nil {
		job := s.lateQueue.pop()
		job.RetryAfter = t.startInterval(s)
		decisions = append(decisions, Decision{Job: job})
	}
	isFlooding := t.overloaded && s.isFlooding
	for {
		job := s.queue.peek()
		if job == nil {
			break
		}
		waited := now.Sub(job.Arrived)
		missesTarget := waited+s.expectedServiceTime() > s.class.Latency
		exceedsMaxWait := isFlooding && s.credit <= 0 && waited > time.Duration(maxWaitShare*float64(s.class.Latency))
		if !missesTarget && !exceedsMaxWait {
			break
		}
		s.queue.pop()
		if isFlooding || t.saturated {
			job.RetryAfter = t.startInterval(s)
			decisions = append(decisions, Decision{Job: job})
		} else {
			s.lateQueue.push(job)
		}
	}
	return decisions
}

// expectedServiceTime returns the run time assumed when deciding whether a job can still meet its target. It is at most
// half of the target, so that jobs continue to run and correct an estimate that is too high.
func (s *classState) expectedServiceTime() time.Duration {
	return min(s.serviceTime, s.class.Latency/2)
}

// nextJob removes and returns the next job to run, or nil. Classes with credit left from their guarantee come first.
// Both among them and among the rest, jobs that can meet their target come before late ones.
func (t *TargetPolicy) nextJob() *Job {
	if t.isLoadAware {
		return t.nextByTarget()
	}
	for _, s := range t.byRank {
		if s.credit > 0 && s.queue.peek() != nil {
			return s.queue.pop()
		}
	}
	for _, s := range t.byRank {
		if s.credit > 0 && s.lateQueue.peek() != nil {
			return s.lateQueue.pop()
		}
	}
	for _, s := range t.byRank {
		if s.queue.peek() != nil {
			return s.queue.pop()
		}
	}
	for _, s := range t.byRank {
		if s.lateQueue.peek() != nil {
			return s.lateQueue.pop()
		}
	}
	return nil
}

// Done implements Policy.
func (t *TargetPolicy) Done(_ time.Time, job *Job, runTime time.Duration) {
	t.pace.end(job)
	s := t.states[job.Class]
	if s == nil {
		return
	}
	s.credit -= runTime - s.serviceTime // Next charged the learned service time
	if t.isLoadAware {
		t.pace.observeEnd(runTime, s.serviceTime)
		s.learnServiceTime(runTime)
		return
	}
	runTime = min(runTime, maxOutlierFactor*s.serviceTime)
	s.serviceTime += time.Duration(serviceTimeWeight * float64(runTime-s.serviceTime))
}

// Ended records that a started job no longer runs, whether it ran or not.
func (t *TargetPolicy) Ended(job *Job) { t.pace.end(job) }

// Remove implements Policy.
func (t *TargetPolicy) Remove(job *Job) bool {
	s := t.states[job.Class]
	return s != nil && (s.queue.remove(job) || s.lateQueue.remove(job))
}

// Waiting implements Policy.
func (t *TargetPolicy) Waiting() int {
	waiting := 0
	for _, s := range t.states {
		waiting += s.queue.len() + s.lateQueue.len()
	}
	return waiting
}

// Backlog implements Policy.
func (t *TargetPolicy) Backlog() time.Duration {
	var work time.Duration
	for _, s := range t.states {
		work += time.Duration(s.queue.len()+s.lateQueue.len()) * s.serviceTime
	}
	return work
}

// ServiceTime implements Policy.
func (t *TargetPolicy) ServiceTime(name class.Name) time.Duration {
	if s := t.states[name]; s != nil {
		return s.serviceTime
	}
	return initialServiceTime
}

// Capacity returns the mean number of jobs that the server can run at a time.
func (t *TargetPolicy) Capacity() float64 { return t.capacity }

// refillCredit adds the credit that each class's guarantee earned since the last call.
func (t *TargetPolicy) refillCredit(now time.Time) {
	elapsed := now.Sub(t.refilledAt)
	if elapsed <= 0 {
		return
	}
	t.refilledAt = now
	for _, s := range t.byRank {
		maxCredit := time.Duration(s.guarantee*float64(maxCreditTime)) + s.serviceTime
		s.credit = min(maxCredit, s.credit+time.Duration(s.guarantee*float64(elapsed)))
		s.credit = max(s.credit, -maxCredit) // a class that used much spare capacity is not locked out of its guarantee
		t.refillStarvationCredit(s, elapsed)
	}
}

// rollWindow ends the demand window once demandWindow has passed, and updates the averages and guarantees from it.
func (t *TargetPolicy) rollWindow(now time.Time) {
	elapsed := now.Sub(t.windowStart)
	if elapsed < demandWindow {
		return
	}
	t.windowStart = now
	work := t.offeredLoad(elapsed)
	t.overloaded = work > overloadShare*t.capacity
	// Hysteresis: a random dip in load does not admit work that the next window has no capacity for.
	t.saturated = work > t.capacity || t.saturated && t.overloaded
	if t.isLoadAware {
		t.learnFloods(elapsed)
	}
	for _, s := range t.byRank {
		rate := float64(s.offered) / elapsed.Seconds()
		// The first demand of a class is learned even during an overload. Otherwise nothing would be learned after a
		// restart under full load, and each class would be rejected as flooding for as long as the load lasts.
		if !t.isLoadAware {
			s.isFlooding = s.hasDemand && rate > floodRatio*s.demand
			if !t.overloaded || !s.hasDemand {
				s.learnDemand(rate)
			}
		}
		s.offered = 0
		s.recentUse += recentUseWeight * (s.startedWork.Seconds()/elapsed.Seconds() - s.recentUse)
		s.startedWork = 0
	}
	t.setCapacity()
	t.setGuarantees()
}

// offeredLoad returns how many concurrent jobs the arrivals of the window amount to.
func (t *TargetPolicy) offeredLoad(elapsed time.Duration) float64 {
	work := 0.0
	for _, s := range t.byRank {
		work += float64(s.offered) / elapsed.Seconds() * s.serviceTime.Seconds()
	}
	return work
}

// learnDemand updates the moving average of the demand with the arrival rate of a window.
func (s *classState) learnDemand(rate float64) {
	if !s.hasDemand {
		s.hasDemand = rate > 0
		s.demand = rate
		return
	}
	s.demand += demandWeight * (rate - s.demand)
}

// setGuarantees divides the capacity among the classes in three rounds, more urgent ranks first: the minimum guarantee,
// the capacity required for the success target, and the headroom.
func (t *TargetPolicy) setGuarantees() {
	unassigned := t.capacity
	raise := func(s *classState, required float64) {
		added := min(max(0, required-s.guarantee), unassigned)
		s.guarantee += added
		unassigned -= added
	}
	for _, s := range t.byRank {
		s.guarantee = 0
	}
	for _, s := range t.byRank {
		if s.class.Success > 0 {
			raise(s, min(s.requiredCapacity(t.capacity, len(t.byRank)), minGuarantee*t.capacity))
		}
	}
	for _, s := range t.byRank {
		raise(s, s.requiredCapacity(t.capacity, len(t.byRank))*s.class.Success)
	}
	for _, s := range t.byRank {
		raise(s, s.requiredCapacity(t.capacity, len(t.byRank))*headroom)
	}
}

// requiredCapacity returns how many concurrent jobs the class's demand requires. A class whose demand is unknown
// requires an equal share.
func (s *classState) requiredCapacity(capacity float64, classes int) float64 {
	if !s.hasDemand {
		return capacity / float64(classes) / headroom
	}
	return s.demand * s.serviceTime.Seconds()
}
