package admission

import "time"

// finishesTooLate reports whether a new job is expected to miss its deadline because of the jobs queued before it. On a
// saturated server the latency target counts as well. A class without queued jobs always gets one queued, so that its
// run time can correct a wrong estimate.
func (t *TargetPolicy) finishesTooLate(now time.Time, s *classState, job *Job) bool {
	if s.queue.len() == 0 {
		return false
	}
	timeLeft := job.Deadline.Sub(now)
	if t.saturated {
		// A queue of maxWaitShare of the target is long enough to keep the server busy, and leaves a margin for
		// estimation errors.
		timeLeft = min(timeLeft, s.expectedServiceTime()+time.Duration(maxWaitShare*float64(s.class.Latency)))
	}
	excess := t.estimateWait(s) + s.expectedServiceTime() - timeLeft
	if excess <= 0 {
		return false
	}
	job.RetryAfter = excess + t.startInterval(s)
	return true
}

// startInterval returns the mean interval between job starts if all of the capacity ran jobs of one class.
func (t *TargetPolicy) startInterval(s *classState) time.Duration {
	return time.Duration(float64(s.serviceTime) / t.capacity)
}

// estimateWait returns how long a new job of a class is expected to wait. On a saturated server each class is assumed
// to keep the capacity that it used recently. Otherwise the work of more urgent classes runs first, and less urgent
// classes that have jobs queued use their guarantees.
func (t *TargetPolicy) estimateWait(s *classState) time.Duration {
	work, rate := t.workAhead(s)
	rate = max(rate, s.guarantee)
	if t.saturated {
		work, rate = float64(s.queue.len())*s.serviceTime.Seconds(), s.recentUse
	}
	return time.Duration(work / max(rate, minEstimateRate) * float64(time.Second))
}

// workAhead returns the work that runs before a new job of a class, and the capacity left to do it.
func (t *TargetPolicy) workAhead(s *classState) (work, rate float64) {
	rate = t.capacity
	isLessUrgent := false
	for _, other := range t.byRank {
		queuedWork := float64(other.queue.len()) * other.serviceTime.Seconds()
		switch {
		case other == s:
			work += queuedWork
			isLessUrgent = true
		case !isLessUrgent:
			work += queuedWork
			rate -= other.demand * other.serviceTime.Seconds()
		case queuedWork > 0:
			rate -= other.guarantee
		}
	}
	return work, rate
}
