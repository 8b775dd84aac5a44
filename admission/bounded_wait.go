package admission

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// waitEstimator is implemented by policies that estimate how long a new job of a class is queued on a server whose
// concurrency is used up.
type waitEstimator interface {
	EstimateWait(now time.Time, name class.Name, isReturn bool) time.Duration
}

// expectedWait returns how long a new call of a class is expected to be queued. It is zero if the server can start the
// call at once.
func (c *Controller) expectedWait(now time.Time, name class.Name, isReturn bool) time.Duration {
	if c.running < c.maxRunning() && c.policy.Waiting() == 0 {
		return c.rateDelay()
	}
	limit := time.Duration(max(1, c.maxRunning()))
	// The backlog does not include the job that has to end before the next one starts.
	wait := c.concurrencyDelay() + c.policy.ServiceTime(name)/limit
	if p, ok := c.policy.(waitEstimator); ok {
		wait = p.EstimateWait(now, name, isReturn)
	}
	return max(wait, c.rateDelay())
}

// EstimateWait returns how long a new job of a class is expected to be queued while all of the concurrency is in use.
func (t *TargetPolicy) EstimateWait(now time.Time, name class.Name, isReturn bool) time.Duration {
	nextEnd := time.Duration(float64(t.meanServiceTime()) / t.capacity)
	s := t.states[name]
	if s == nil {
		return nextEnd
	}
	if t.isLoadAware {
		return t.targetWait(now, s, isReturn)
	}
	return t.estimateWait(s) + nextEnd
}
