package caller

import (
	"net/http"
	"time"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/dependency"
)

// FollowNesting sets the tracker of nested calls. It must be called before the first call.
func (h *Handler) FollowNesting(t *dependency.Tracker) { h.nesting = t }

// enterNested records that a call enters at this host and reports whether it is a nested call of this host's server.
func (h *Handler) enterNested(c call.Call) bool {
	return h.nesting != nil && h.nesting.CallEntered(c.Class.Name)
}

// endNested records how a call ended that entered at this host.
func (h *Handler) endNested(c call.Call, result call.Result, duration time.Duration) {
	if h.nesting == nil {
		return
	}
	if outcome, ok := nestedOutcome(c, result, duration); ok {
		h.nesting.CallEnded(c.Class.Name, result.Load != nil, result.IsNested, outcome)
	}
}

// nestedOutcome returns how a call ended as its run sees it. It returns false if that says nothing about the capacity of
// the called service.
func nestedOutcome(c call.Call, result call.Result, duration time.Duration) (dependency.Outcome, bool) {
	o := dependency.Outcome{RetryAfter: result.RetryAfter}
	switch result.Outcome {
	case class.Answered:
		o.HasFailed = result.Status == http.StatusServiceUnavailable || result.Status == http.StatusGatewayTimeout ||
			result.Status == http.StatusTooManyRequests
		if result.Load != nil && result.Load.Waiting == 0 && result.Load.Concurrency > 0 {
			o.IsIdle = true
			o.FreeShare = max(0, 1-float64(result.Load.Running)/float64(result.Load.Concurrency))
		}
		return o, true
	case class.NotRun:
		switch result.Reason {
		case call.UnknownClass, call.BadRequest, call.TooLarge, call.NotConfigured, call.Closing, call.Quarantined:
			return o, false
		case call.Shed, call.Refused:
			// Admission control sends a server only what it has room for. One that rejects calls nevertheless does so
			// regardless of their number, and fewer runs would not help.
			return o, false
		}
	}
	switch {
	case result.Reason == call.CallerGone:
		// A run whose deadline has passed does not wait for its nested call.
		o.HasFailed = duration >= c.Class.Latency
	case result.Outcome == class.NotRun || result.Reason == call.TimedOut:
		o.HasFailed = true
	}
	return o, o.HasFailed
}
