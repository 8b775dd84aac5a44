package admission

import (
	"math"
	"time"

	"github.com/skylarkrelay/skylarkrelay/capacity"
)

const (
	// runMargin is the multiple of the expected run time that a new job must have left within its latency target after
	// its wait, and startMargin the same for a queued job that is about to start. With more, too few jobs are queued to
	// keep a server busy whose runs take half of the target.
	runMargin   = 1.4
	startMargin = 1.1
	// maxTargetWaitShare bounds the wait for which a job is queued, as a share of its latency target. It keeps the server
	// busy between two ends; a longer queue is dropped when the server becomes slow for a moment.
	maxTargetWaitShare = 0.2
	// minWaitShare is the share of its latency target within which a job that has waited is never late. Without it, an
	// estimate of the run time that is too high would keep a class from running and would never be corrected.
	minWaitShare = 0.05
	// maxLateWaitShare bounds the wait of a job that cannot meet its latency target, as a share of that target. Capacity
	// that is free only later belongs to the calls that arrive until then.
	maxLateWaitShare = 1.0
	// nestedTimeShare is the share of the time until its deadline within which a nested call is to end. The rest is left
	// to the run that waits for it.
	nestedTimeShare = 0.7
	// admittedWindow is the time constant of the rate at which jobs of a class were admitted.
	admittedWindow = 300 * time.Millisecond
	// minServedShare is the share of its offered work that a class is guaranteed if more urgent classes use all of the
	// capacity, and minServedPart the same as a part of the share that all classes together could get. The second keeps
	// it below the share of the more urgent classes.
	minServedShare = 0.1
	minServedPart  = 0.5
)

// loadState is the state that the load-aware order needs of a class in addition to that of classState.
type loadState struct {
	// admitted is the work of the jobs queued within their target in the last admittedWindow, with exponential decay,
	// and admittedAt the time to which it has decayed.
	admitted   float64
	admittedAt time.Time
	// offeredLoad is the moving average of the offered work, in concurrent jobs.
	offeredLoad float64
	// samples is the number of run times that the learned service time is based on, up to that of its moving average.
	samples int
	// starvationCredit is the run time that the class may use ahead of more urgent ones.
	starvationCredit time.Duration
	returns          returnSchedule
	refusals         refusals
}

// admit adds the work of an admitted job.
func (l *loadState) admit(now time.Time, work time.Duration) {
	l.admitted = l.admittedWork(now) + work.Seconds()
	l.admittedAt = now
}

// admittedWork returns the admitted work of the last admittedWindow, in seconds.
func (l *loadState) admittedWork(now time.Time) float64 {
	if l.admitted == 0 {
		return 0
	}
	return l.admitted * math.Exp(-now.Sub(l.admittedAt).Seconds()/admittedWindow.Seconds())
}

// admittedLoad returns the rate at which work was admitted, in concurrent jobs.
func (l *loadState) admittedLoad(now time.Time) float64 {
	return l.admittedWork(now) / admittedWindow.Seconds()
}

// isUnprotected reports whether the jobs of a class run after those of all others: it floods, and its guarantee is used
// up.
func (s *classState) isUnprotected() bool { return s.isFlooding && s.credit <= 0 }

// offerByTarget queues a job that is expected to meet its latency target behind the other jobs of its class. A job that
// is not runs on capacity that is left, if there is some in time, and is rejected otherwise.
func (t *TargetPolicy) offerByTarget(now time.Time, s *classState, job *Job) bool {
	wait := t.targetWait(now, s, job.IsReturn)
	s.load.refusals.offered++
	if t.isInTime(s, wait, job) {
		s.load.admit(now, s.serviceTime)
		s.queue.push(job)
		return true
	}
	if t.mayRunLate(now, s, job) {
		s.lateQueue.push(job)
		return true
	}
	t.refuse(now, s, wait, job)
	return false
}

// isInTime reports whether a job that waits for the given time is queued as one that meets its target.
func (t *TargetPolicy) isInTime(s *classState, wait time.Duration, job *Job) bool {
	isInTime := t.meetsTarget(s, wait, job.IsReturn) ||
		s.isNested && wait <= s.targetOf(job)-time.Duration(runMargin*float64(t.expectedRunTime(s)))
	return isInTime && s.queue.len() < maxQueueLength
}

// mayRunLate reports whether there is capacity in time for a job that misses its latency target.
func (t *TargetPolicy) mayRunLate(now time.Time, s *classState, job *Job) bool {
	left := job.Deadline.Sub(now) - t.expectedRunTime(s)
	lateWait := t.lateWait(now, s)
	maxWait := time.Duration(maxLateWaitShare * float64(s.class.Latency))
	return left > 0 && lateWait <= min(left, maxWait)
}

// targetOf returns the time within which a job is to end. A nested call serves its run as long as it ends before its
// deadline, which is the run's own or earlier. If it failed for its latency target, the whole run would be lost.
func (s *classState) targetOf(job *Job) time.Duration {
	if !s.isNested {
		return s.class.Latency
	}
	return max(s.class.Latency, time.Duration(nestedTimeShare*float64(job.Deadline.Sub(job.Arrived))))
}

// refuse sets the Retry-After of a job that is rejected or dropped.
func (t *TargetPolicy) refuse(now time.Time, s *classState, wait time.Duration, job *Job) {
	s.load.refusals.refused++
	job.RetryAfter = t.returnTime(now, s, wait, job)
}

// meetsTarget reports whether a job of a class that waits for the given time is expected to meet its latency target. A
// job that need not wait is admitted also if the usual deviation of run times leaves it no margin, and so is one that
// returned as it was told.
func (t *TargetPolicy) meetsTarget(s *classState, wait time.Duration, isReturn bool) bool {
	if isReturn {
		return wait <= max(t.maxTargetWait(s), s.class.Latency-t.expectedRunTime(s))
	}
	return wait <= 0 || wait <= t.maxTargetWait(s)
}

// maxTargetWait returns how long a new job of a class may be queued. The queue always has room for the job that starts
// next, so that no slot is idle between two jobs.
func (t *TargetPolicy) maxTargetWait(s *classState) time.Duration {
	run := t.expectedRunTime(s)
	wait := s.class.Latency - time.Duration(runMargin*float64(run))
	wait = min(wait, time.Duration(maxTargetWaitShare*float64(s.class.Latency)))
	return max(wait, min(t.nextEnd(), s.class.Latency-run))
}

// nextEnd returns the mean time between the ends of jobs while all of the capacity is in use.
func (t *TargetPolicy) nextEnd() time.Duration {
	return time.Duration(float64(t.meanServiceTime()) * t.pace.factor() / t.capacity)
}

// expectedRunTime returns the run time of a job of a class at the server's current pace. It is at most the latency
// target, so that jobs continue to run and correct an estimate that is too high.
func (t *TargetPolicy) expectedRunTime(s *classState) time.Duration {
	return min(time.Duration(float64(s.serviceTime)*t.pace.factor()), s.class.Latency)
}

// targetWait returns how long a new job of a class waits for its start: until the jobs ahead of it and the more urgent
// ones that arrive meanwhile have run. A job that returns after its Retry-After goes ahead of the new ones of its class.
func (t *TargetPolicy) targetWait(now time.Time, s *classState, isReturn bool) time.Duration {
	t.pace.observeRunning(now, t)
	ahead := s.queue.len()
	if isReturn {
		ahead = s.queue.returns()
	}
	isFree := t.pace.running() < int(t.reserve.limit(s, max(1, t.capacity))+0.5)
	if isFree && ahead == 0 && t.queuedAhead(s) == 0 {
		return 0
	}
	work := float64(ahead) * s.serviceTime.Seconds()
	rate := t.reserve.limit(s, t.capacity) / t.pace.factor()
	for _, other := range t.byRank {
		if other == s || !t.isBefore(other, s) {
			continue
		}
		load, queued := other.load.admittedLoad(now), float64(other.queue.len())*other.serviceTime.Seconds()
		if isReturn && other.class.Rank == s.class.Rank {
			load, queued = 0, float64(other.queue.returns())*other.serviceTime.Seconds()
		}
		if other.isFlooding {
			load, queued = min(load, other.guarantee), min(queued, other.guarantee*maxCreditTime.Seconds())
		}
		work += queued
		rate -= load
	}
	rate = max(rate, t.starvationShare(s), minEstimateRate)
	wait := t.nextEnd() + time.Duration(work/rate*float64(time.Second))
	// The pace that was measured lags behind a moment in which the server says that it is slow.
	return time.Duration(float64(wait) * max(1, t.slowdown.At(now)/t.pace.factor()))
}

// SetSlowdown sets how many times as long as usual the server says that its requests take at the moment.
func (t *TargetPolicy) SetSlowdown(s capacity.Slowdown) { t.slowdown = s }

// slowdownAware is implemented by policies whose estimates depend on what the server states about its pace.
type slowdownAware interface{ SetSlowdown(s capacity.Slowdown) }

// SetSlowdown sets how many times as long as usual the server says that its requests take at the moment.
func (c *Controller) SetSlowdown(s capacity.Slowdown) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.policy.(slowdownAware); ok {
		p.SetSlowdown(s)
	}
}

// mayStart reports whether the slot reserve permits a job of a class to start.
func (t *TargetPolicy) mayStart(s *classState) bool {
	return t.reserve.allows(s, t.pace.running(), max(1, t.capacity))
}

// queuedAhead returns the number of queued jobs of the classes that run before a class.
func (t *TargetPolicy) queuedAhead(s *classState) int {
	jobs := 0
	for _, other := range t.byRank {
		if other != s && t.isBefore(other, s) {
			jobs += other.queue.len()
		}
	}
	return jobs
}

// isBefore reports whether the jobs of one class run before those of another.
func (t *TargetPolicy) isBefore(a, b *classState) bool {
	if a.isUnprotected() != b.isUnprotected() {
		return b.isUnprotected()
	}
	return a.position < b.position
}

// lateWait returns how long a job that cannot meet its latency target waits until the jobs within their target leave
// capacity for it.
func (t *TargetPolicy) lateWait(now time.Time, s *classState) time.Duration {
	work, rate := 0.0, t.capacity/t.pace.factor()
	for _, other := range t.byRank {
		work += float64(other.queue.len()+other.lateQueue.len()) * other.serviceTime.Seconds()
		rate -= max(other.load.admittedLoad(now), other.load.offeredLoad)
	}
	if rate <= minEstimateRate {
		return math.MaxInt64
	}
	return t.nextEnd() + time.Duration(work/rate*float64(time.Second))
}

// nextByTarget removes and returns the next job to run, or nil: the most urgent within its latency target, or else one
// that is late.
func (t *TargetPolicy) nextByTarget() *Job {
	for _, s := range t.byRank {
		if s.load.starvationCredit > 0 && s.queue.peek() != nil {
			s.load.starvationCredit -= s.serviceTime
			return s.queue.pop()
		}
	}
	var next, unprotected, late *classState
	for _, s := range t.byRank {
		switch {
		case !t.mayStart(s):
		case s.queue.peek() != nil && !s.isUnprotected():
			if next == nil || next.class.Rank == s.class.Rank && next.queue.returns() == 0 && s.queue.returns() > 0 {
				next = s
			}
		case s.queue.peek() != nil && unprotected == nil:
			unprotected = s
		case s.lateQueue.peek() != nil && late == nil:
			late = s
		}
	}
	switch {
	case next != nil:
		return next.queue.pop()
	case unprotected != nil:
		return unprotected.queue.pop()
	case late != nil:
		return late.lateQueue.pop()
	default:
		return nil
	}
}

// pruneByTarget moves the jobs that can no longer meet their latency target to the late queue, and drops those for which
// there will be no capacity in time.
func (t *TargetPolicy) pruneByTarget(now time.Time, s *classState) []Decision {
	run := t.expectedRunTime(s)
	decisions := s.lateQueue.expire(now, run)
	drop := func(job *Job) {
		t.refuse(now, s, t.targetWait(now, s, false), job)
		decisions = append(decisions, Decision{Job: job})
	}
	margin := time.Duration(startMargin * float64(run))
	for job := s.queue.peek(); job != nil; job = s.queue.peek() {
		waited := now.Sub(job.Arrived)
		if waited+margin <= s.targetOf(job) || waited <= time.Duration(minWaitShare*float64(s.class.Latency)) {
			break
		}
		s.lateQueue.push(s.queue.pop())
	}
	maxWait := time.Duration(maxLateWaitShare * float64(s.class.Latency))
	for job := s.lateQueue.peek(); job != nil; job = s.lateQueue.peek() {
		timeLeft := min(job.Deadline.Sub(now)-run, maxWait)
		if timeLeft > 0 && now.Sub(job.Arrived) <= s.class.Latency+maxWait && t.lateWait(now, s) <= timeLeft {
			break
		}
		drop(s.lateQueue.pop())
	}
	return decisions
}

// starvationShare returns the capacity, in concurrent jobs, that a class is guaranteed even if more urgent ones could use
// all of it.
func (t *TargetPolicy) starvationShare(s *classState) float64 {
	total := 0.0
	for _, other := range t.byRank {
		total += other.load.offeredLoad
	}
	if total <= t.capacity {
		return 0
	}
	share := min(minServedShare, minServedPart*t.capacity/total)
	return min(share*s.load.offeredLoad, minGuarantee*t.capacity)
}

// refillStarvationCredit adds the credit that a class earned in the elapsed time.
func (t *TargetPolicy) refillStarvationCredit(s *classState, elapsed time.Duration) {
	earned := time.Duration(t.starvationShare(s) * float64(elapsed))
	s.load.starvationCredit = min(s.load.starvationCredit+earned, s.serviceTime)
	s.load.starvationCredit = max(s.load.starvationCredit, -s.serviceTime)
}

// learnFloods updates which classes flood. If the demand of all classes grows alike, as it does at the peak of a day, no
// class floods: one does if it grows by floodRatio times as much as the others together.
func (t *TargetPolicy) learnFloods(elapsed time.Duration) {
	var offered, learned float64
	for _, s := range t.byRank {
		work := float64(s.offered) / elapsed.Seconds() * s.serviceTime.Seconds()
		s.load.offeredLoad += recentUseWeight * (work - s.load.offeredLoad)
		offered += work
		learned += s.demand * s.serviceTime.Seconds()
	}
	t.reserve.adjust(t.byRank, t.capacity)
	for _, s := range t.byRank {
		rate := float64(s.offered) / elapsed.Seconds()
		growth := 1.0
		othersLearned := learned - s.demand*s.serviceTime.Seconds()
		if othersLearned > 0 {
			growth = max(growth, (offered-rate*s.serviceTime.Seconds())/othersLearned)
		}
		s.isFlooding = t.overloaded && s.hasDemand && othersLearned > 0 && rate > floodRatio*growth*s.demand
		if !s.isFlooding {
			s.learnDemand(rate)
		}
	}
}

// learnServiceTime updates the learned service time with the run time of a job. The first run times count equally, so
// that the estimate is right soon after a start under load.
func (s *classState) learnServiceTime(runTime time.Duration) {
	s.load.samples = min(s.load.samples+1, int(1/serviceTimeWeight))
	if s.load.samples > 1 {
		runTime = min(runTime, maxOutlierFactor*s.serviceTime)
	}
	s.serviceTime += (runTime - s.serviceTime) / time.Duration(s.load.samples)
}
