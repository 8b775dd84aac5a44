package admission

import "time"

// Assessment states how admission control would treat a call now.
type Assessment struct {
	IsAdmitted bool `json:"admitted"`
	// Reason is the reason for a rejection, and RetryAfterMS when there may be capacity, if that is known.
	Reason       string `json:"reason,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	// ExpectedWaitMS is how long the call is expected to be queued.
	ExpectedWaitMS int64 `json:"expected_wait_ms"`
	MaxWaitMS      int64 `json:"max_wait_ms"`
	ServiceTimeMS  int64 `json:"service_time_ms"`
	State          State `json:"state"`
}

// assessor is implemented by policies that state whether they would queue a job, without side effects.
type assessor interface {
	Accepts(now time.Time, job *Job) bool
}

// Assess states how a call would be treated if it were offered now. It changes nothing.
func (c *Controller) Assess(r Request) Assessment {
	state := c.State()
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.policy.(*TargetPolicy); ok {
		// The estimates of waits refresh the age of the running jobs.
		age := t.pace.age
		defer func() { t.pace.age = age }()
	}
	now := c.clock.Now()
	job := &Job{Class: r.Class.Name, Arrived: now, Deadline: r.Deadline, IsReturn: r.IsReturn}
	a := Assessment{
		ExpectedWaitMS: c.expectedWait(now, job.Class, job.IsReturn).Milliseconds(),
		MaxWaitMS:      r.MaxWait.Milliseconds(),
		ServiceTimeMS:  c.policy.ServiceTime(job.Class).Milliseconds(),
		State:          state,
	}
	rejected := c.rejectByWait(now, job, r.MaxWait)
	if rejected == nil {
		if wait, isRejected := c.coldWait(now, job, r.Class.Latency); isRejected {
			rejected = &RejectedError{Reason: Cold, RetryAfter: wait}
		}
	}
	if p, ok := c.policy.(assessor); rejected == nil && ok && !p.Accepts(now, job) {
		rejected = &RejectedError{Reason: NoCapacity, RetryAfter: job.RetryAfter}
	}
	if rejected == nil {
		a.IsAdmitted = true
		return a
	}
	a.Reason, a.RetryAfterMS = rejected.Reason.String(), rejected.RetryAfter.Milliseconds()
	return a
}

// Accepts reports whether Offer would queue a job. A class that the policy does not know yet has no queue.
func (t *TargetPolicy) Accepts(now time.Time, job *Job) bool {
	s := t.states[job.Class]
	if s == nil {
		return true
	}
	if t.isLoadAware {
		return t.isInTime(s, t.targetWait(now, s, job.IsReturn), job) || t.mayRunLate(now, s, job)
	}
	return t.hasQueueSpace(s) && !t.finishesTooLate(now, s, job)
}
