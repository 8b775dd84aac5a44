package backend

import (
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/capacity"
)

// observeSlowdown records the slowdown that the server states in a response, which may be nil, if the configuration is
// load-aware. The caller holds the lock.
func (r *Runner) observeSlowdown(load *call.ServerLoad) {
	if load == nil || !r.isLoadAware.Load() {
		return
	}
	r.stated.slowdown = capacity.NewSlowdown(load.Slowdown, r.clock.Now())
	r.controller.SetSlowdown(r.stated.slowdown)
}

// slowdown returns the expected slowdown of the server at present.
func (r *Runner) slowdown() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stated.slowdown.At(r.clock.Now())
}
