package backend

import (
	"context"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/call"
)

// CanStart returns nil if the server is expected to start a call within its maximum wait, and otherwise the result that
// rejects the call. A number of calls that have reserved a place go before it. It is asked before the body of the call is
// sent, and decides nothing for the call itself: the server may have less capacity when the body arrives.
func (r *Runner) CanStart(c call.Call, reserved int) *call.Result {
	if verdict := r.quarantineVerdict(c); !verdict.HeldUntil.IsZero() {
		result := verdict.Refusal(r.clock.Now())
		return &result
	}
	permit := r.current.Load()
	isPermitted := permit.allows(r.clock.Now(), c)
	if permit.isUsableFor(c) && !isPermitted && r.isAssigned != nil {
		isPermitted, _ = r.isAssigned(c.Key) // the call may wait for its key
	}
	if r.isRejected(c) || permit.client == nil || !isPermitted {
		result := call.NotRun(call.NotOwner)
		return &result
	}
	rejected := r.controller.CheckWait(admission.Request{
		Class: c.Class, Deadline: c.Deadline, MaxWait: c.MaxWait, IsReturn: c.IsReturn,
	}, reserved)
	if rejected == nil {
		return nil
	}
	result, _ := rejectionResult(context.Background(), rejected)
	load := r.Load()
	result.Load = &load
	return &result
}
