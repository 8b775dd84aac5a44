package daemon

import (
	"github.com/skylarkrelay/skylarkrelay/call"
)

// returnObserver records the calls that return after the Retry-After of a rejection.
type returnObserver struct {
	*observer
	all           counter
	rejectedAgain counter
}

func newReturnObserver(o *observer) *returnObserver {
	return &returnObserver{
		observer: o, all: o.counter("returns.recognised"), rejectedAgain: o.counter("returns.rejected_again"),
	}
}

// returned records a call that returned as it was told, and its result.
func (o *returnObserver) returned(c call.Call, result call.Result) {
	o.all.inc()
	if !result.Reason.IsAdmissionRejection() {
		return
	}
	o.rejectedAgain.inc()
	if o.allowLine() {
		o.log.Info("call rejected again after it returned as it was told", "request", c.ID, "class", c.Class.Name,
			"service", c.Service, "reason", result.Reason.String(), "retry_after_ms", result.RetryAfter.Milliseconds())
	}
}
