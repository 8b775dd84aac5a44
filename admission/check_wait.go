package admission

import "time"

// admissionChecker is implemented by policies that can tell whether they would queue a job.
type admissionChecker interface {
	WouldQueue(now time.Time, r Request) bool
}

// CheckWait returns nil if a new call is expected to start within its maximum wait and to end before its deadline, and
// otherwise the error with which it would be rejected. A number of calls that are known to arrive soon go before it.
// Nothing is queued, and the call is not counted as demand.
func (c *Controller) CheckWait(r Request, ahead int) *RejectedError {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	serviceTime := c.policy.ServiceTime(r.Class.Name)
	limit := max(1, c.maxRunning())
	if c.policy.Waiting() == 0 {
		ahead -= max(0, limit-c.running-1) // these start at once
	}
	wait := c.expectedWait(now, r.Class.Name, r.IsReturn) +
		time.Duration(max(0, ahead))*serviceTime/time.Duration(limit)
	job := &Job{Class: r.Class.Name, Arrived: now, Deadline: r.Deadline}
	if delay := c.rejectWhileCold(now, job, r.Class.Latency); delay > 0 {
		return &RejectedError{Class: r.Class.Name, Reason: Cold, RetryAfter: delay}
	}
	checker, canCheck := c.policy.(admissionChecker)
	switch {
	case now.Add(wait + serviceTime).After(r.Deadline), canCheck && !checker.WouldQueue(now, r):
		return &RejectedError{Class: r.Class.Name, Reason: NoCapacity, RetryAfter: wait}
	case r.MaxWait > 0 && wait > r.MaxWait:
		return &RejectedError{Class: r.Class.Name, Reason: WaitExceeded, RetryAfter: wait - r.MaxWait}
	default:
		return nil
	}
}

// WouldQueue reports whether a new job of a class would be queued now. Without a load-aware configuration, it is not known
// in advance.
func (t *TargetPolicy) WouldQueue(now time.Time, r Request) bool {
	s := t.states[r.Class.Name]
	if s == nil || !t.isLoadAware {
		return true
	}
	if t.meetsTarget(s, t.targetWait(now, s, r.IsReturn), r.IsReturn) && s.queue.len() < maxQueueLength {
		return true
	}
	left := r.Deadline.Sub(now) - t.expectedRunTime(s)
	return left > 0 && t.lateWait(now, s) <= min(left, time.Duration(maxLateWaitShare*float64(s.class.Latency)))
}
