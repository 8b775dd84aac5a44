package backend

import (
	"time"

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

// endAbandoned ends the ticket of a call whose caller left before the server answered. The connection is closed, and most
// servers drop the request then. One that leaves calls unanswered may not notice it, and would be sent more than it can run
// if the call no longer counted: it counts until the deadline that the server was told.
func (r *Runner) endAbandoned(c call.Call, ticket *admission.Ticket) {
	left := c.Deadline.Sub(r.clock.Now())
	if left <= 0 || !r.isLoadAware.Load() || !r.controller.IsUnanswering() {
		ticket.Done()
		return
	}
	r.clock.AfterFunc(left, ticket.Cancel)
}

// endUnanswered ends the ticket of a call that the server did not answer until its deadline.
func (r *Runner) endUnanswered(c call.Call, ticket *admission.Ticket, waited time.Duration) {
	limit, isLowered := ticket.TimedOut(c.Class.Latency)
	r.onUnanswered(UnansweredCall{Call: c, Waited: waited, Limit: limit, IsLowered: isLowered})
}
