package daemon

import (
	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/caller"
)

// callUnanswered records a call that the backend server did not answer until its deadline.
func (o *observer) callUnanswered(u backend.UnansweredCall) {
	o.counter("hanging.unanswered").inc()
	if u.IsLowered {
		o.counter("hanging.limit_lowered").inc()
	}
	if o.allowLine() {
		o.log.Info("backend server did not answer until the deadline", "request", u.Call.ID, "class", u.Call.Class.Name,
			"waited_ms", u.Waited.Milliseconds(), "limit", u.Limit, "is_lowered", u.IsLowered)
	}
}

// callResent records an attempt that was not answered in time, and whether the call is sent to another server.
func (o *observer) callResent(r caller.Resend) {
	name := "hanging.resent"
	if r.Withheld != "" {
		name = "hanging.withheld_" + r.Withheld
	}
	o.counter(name).inc()
	if o.allowLine() {
		o.log.Info("attempt not answered in time", "request", r.Call.ID, "class", r.Call.Class.Name, "to", r.Host,
			"took_ms", r.Duration.Milliseconds(), "left_ms", r.Call.Deadline.Sub(o.clock.Now()).Milliseconds(),
			"withheld", r.Withheld)
	}
}
