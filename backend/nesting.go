package backend

import (
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/dependency"
)

// FollowNesting sets the tracker of nested calls. It must be called before the first call.
func (r *Runner) FollowNesting(t *dependency.Tracker) { r.nesting = t }

// SetLoadAware sets whether the configuration in force is load-aware. Without that, nested calls are treated like others.
func (r *Runner) SetLoadAware(isLoadAware bool) {
	r.controller.SetLoadAware(isLoadAware)
	if r.nesting != nil {
		r.nesting.SetLoadAware(isLoadAware)
	}
}

// observeArrival records the arrival of a call and reports whether its class is nested. Admission control learns of
// changes before the call is queued.
func (r *Runner) observeArrival(c call.Call) bool {
	if r.nesting == nil {
		return false
	}
	isNested, isChanged := r.nesting.CallArrived(c.Class.Name, c.Origin, c.IsNested)
	if isChanged {
		r.controller.SetNested(c.Class, isNested)
	}
	return isNested
}
