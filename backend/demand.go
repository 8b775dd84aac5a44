package backend

import (
	"errors"
	"time"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// rejectedWeight is the weight of the expected run time of a rejected call in the demand. Its caller retries it after the
// Retry-After, and it is then counted again.
const rejectedWeight = 0.5

// minCapacityShare bounds the demand of a server whose rate limit leaves it next to nothing. Without the bound, its load
// would raise the mean of all servers so far that no other server counts as loaded.
const minCapacityShare = 0.1

// TakeDemand returns the run time that calls asked for since the last invocation, by key and in total: the run time of
// those that ran, and a part of the expected run time of those that were rejected. What ran alone would show the
// capacity of a server that is asked for more, and not that it is. If the server limits the rate of its calls, the
// demand is in proportion to the capacity that the limit leaves.
func (r *Runner) TakeDemand() (map[class.Key]time.Duration, time.Duration) {
	share := max(minCapacityShare, r.controller.CapacityShare())
	r.mu.Lock()
	defer r.mu.Unlock()
	byKey, total := r.demand, time.Duration(float64(r.totalDemand)/share)
	for key := range byKey {
		byKey[key] = time.Duration(float64(byKey[key]) / share)
	}
	r.demand, r.totalDemand = map[class.Key]time.Duration{}, 0
	return byKey, total
}

// addDemand adds the run time that a call asked for.
func (r *Runner) addDemand(c call.Call, runTime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totalDemand += runTime
	if c.HasKey {
		r.demand[c.Key] += runTime
	}
}

// recordRejection adds a call that admission control rejected to the demand.
func (r *Runner) recordRejection(c call.Call, err error) {
	var rejected *admission.RejectedError
	isDemand := errors.As(err, &rejected) && rejected.Reason != admission.Canceled &&
		rejected.Reason != admission.WaitExceeded // another server runs the call
	if rejected != nil && rejected.Reason == admission.Cold {
		r.warmupObserver.Rejected(c, rejected.RetryAfter)
	}
	if isDemand {
		r.addDemand(c, time.Duration(rejectedWeight*float64(r.controller.ServiceTime(c.Class.Name))))
	}
}
