package backend

import (
	"sync/atomic"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// keyedReturns recognises calls with a key that return after their Retry-After. Calls of a key are decided by the daemon
// beside its owner, whichever daemon they enter at. Calls without a key are recognised by the daemon that they entered at,
// because they may go to any server.
type keyedReturns struct {
	isActive atomic.Bool
	table    *call.Returns
	// onReturn is called with each call that returned and its result.
	onReturn func(call.Call, call.Result)
}

// FollowReturns sets the table of announced return times and the observer of the calls that return. It must be called
// before the first call.
func (r *Runner) FollowReturns(table *call.Returns, onReturn func(call.Call, call.Result)) {
	r.returns.table, r.returns.onReturn = table, onReturn
}

// setActive sets whether returns are recognised.
func (k *keyedReturns) setActive(isActive bool) { k.isActive.Store(isActive && k.table != nil) }

// claim reports whether a call returned as it was told.
func (k *keyedReturns) claim(c call.Call) bool {
	if !c.HasKey || !k.isActive.Load() {
		return c.IsReturn
	}
	return k.table.Claim(c)
}

// observe announces the return of a call that admission control rejected.
func (k *keyedReturns) observe(c call.Call, result call.Result) {
	if !c.HasKey || !k.isActive.Load() {
		return
	}
	if c.IsReturn {
		k.onReturn(c, result)
	}
	if result.Outcome == class.NotRun && result.Reason.IsAdmissionRejection() && result.RetryAfter > 0 {
		k.table.Announce(c, result.RetryAfter)
	}
}
