package backend

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/call"
)

// UnansweredCall describes a call that the backend server did not answer until its deadline, for logs and metrics.
type UnansweredCall struct {
	Call call.Call
	// Waited is how long the server had for it.
	Waited time.Duration
	// Limit is the concurrency limit from now on, and IsLowered whether the call has lowered it.
	Limit     int
	IsLowered bool
}

// ObserveUnanswered sets the observer of calls that the server did not answer. It must be called before the first call,
// and the observer must not block.
func (r *Runner) ObserveUnanswered(onUnanswered func(UnansweredCall)) { r.onUnanswered = onUnanswered }

// runDetached sends an admitted call and waits for the result. If the caller leaves, the call goes on until the server
// answers or the deadline that the server was told has passed: the server may still be at work, and would be sent more
// than it can run if the call no longer counted.
func (r *Runner) runDetached(
	ctx context.Context, c call.Call, ticket *admission.Ticket, permit *activePermit,
) call.Result {
	if ctx.Err() != nil {
		ticket.Cancel()
		return call.NotRun(call.EndReason(ctx))
	}
	results := make(chan call.Result, 1)
	go func() {
		ctx, cancel := clockwork.WithDeadline(context.WithoutCancel(ctx), r.clock, c.Deadline)
		defer cancel()
		results <- r.send(ctx, c, ticket, permit)
	}()
	select {
	case result := <-results:
		return result
	case <-ctx.Done():
	}
	if call.EndReason(ctx) == call.Late {
		return <-results // the deadline is that of the call, too
	}
	select {
	case result := <-results:
		return result
	default:
		return call.Unknown(call.CallerGone)
	}
}

// endUnanswered ends the ticket of a call that the server did not answer until its deadline.
func (r *Runner) endUnanswered(c call.Call, ticket *admission.Ticket, waited time.Duration) {
	limit, isLowered := ticket.TimedOut(c.Class.Latency)
	r.onUnanswered(UnansweredCall{Call: c, Waited: waited, Limit: limit, IsLowered: isLowered})
}
