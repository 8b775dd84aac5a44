package backend

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/capacity"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// RunTimes returns the recent mean run times of the classes on the server.
func (r *Runner) RunTimes() capacity.RunTimes {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runTimes.RunTimes(r.clock.Now())
}

// ResetRunTimes forgets the measured run times, because the server has run under other conditions.
func (r *Runner) ResetRunTimes() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runTimes.Reset()
}

// observeRunTime records the run time of a call that the server answered, or that occupied a slot until its deadline.
func (r *Runner) observeRunTime(permit *activePermit, c call.Call, runTime time.Duration, result call.Result) {
	if result.Outcome != class.Answered && result.Reason != call.TimedOut {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current.Load().client == permit.client {
		r.runTimes.Observe(r.clock.Now(), c.Class.Name, runTime)
	}
}
