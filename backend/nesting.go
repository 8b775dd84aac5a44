package backend

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/dependency"
)

// FollowNesting sets the tracker of nested calls. It must be called before the first call.
func (r *Runner) FollowNesting(t *dependency.Tracker) { r.nesting = t }

// SetLoadAware sets whether the configuration in force is load-aware. Without that, nested calls are treated like others,
// and calls whose callers leave end at once.
func (r *Runner) SetLoadAware(isLoadAware bool) {
	r.isLoadAware.Store(isLoadAware)
	r.controller.SetLoadAware(isLoadAware)
	r.returns.setActive(isLoadAware)
	if r.nesting != nil {
		r.nesting.SetLoadAware(isLoadAware)
	}
}

// observeArrival records the arrival of a call and reports whether this host has inferred that its class is nested.
// Admission control learns of changes before the call is queued.
func (r *Runner) observeArrival(c call.Call) bool {
	if r.nesting == nil {
		return false
	}
	arrival := r.nesting.CallArrived(c.Class.Name, c.Origin, c.IsNested)
	if arrival.IsChanged {
		r.controller.SetNested(c.Class, arrival.IsNested)
	}
	return arrival.IsInferred
}

// runRejection returns zero if a call may run, and otherwise the time after which the calls that it would make are expected
// to find capacity.
func (r *Runner) runRejection(c call.Call) time.Duration {
	if r.nesting == nil {
		return 0
	}
	return r.nesting.AdmitRun(c.Class.Name)
}

// observeRun records that a call runs on the server, until the returned function is called.
func (r *Runner) observeRun(c call.Call) (endRun func()) {
	if r.nesting == nil {
		return func() {}
	}
	r.nesting.RunBegan(c.Class.Name)
	return func() { r.nesting.RunEnded(c.Class.Name) }
}
