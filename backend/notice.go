package backend

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/capacity"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// RateLimitChange describes a change of the rate limit that the backend server states in its responses, for logs.
type RateLimitChange struct {
	Instance string
	// Before and After are rate.Inf while the server states no limit.
	Before, After rate.Limit
	// Request is the call whose response led to the change.
	Request class.RequestID
}

// statedLimit is the rate limit that one instance of the backend server states in its responses.
type statedLimit struct {
	limit rate.Limit
	// statedAt is when the last response that states a limit arrived.
	statedAt time.Time
}

// observe applies the response to a call that was sent at the given time. A response without a limit ends the limit
// only if the call ran and was sent after the last response that states one, because responses to calls that run at the
// same time arrive in any order.
func (s *statedLimit) observe(now, sentAt time.Time, result call.Result) {
	notice := result.Notice
	switch {
	case notice == nil || notice.Err != nil:
	case notice.RateLimit != rate.Inf:
		s.limit, s.statedAt = notice.RateLimit, now
	case result.Outcome == class.Answered && sentAt.After(s.statedAt):
		s.limit = rate.Inf
	}
}

// notices is what one instance of the backend server stated about itself in its responses.
type notices struct {
	rate statedLimit
	// isLeaving reports whether a response stated that the server is leaving.
	isLeaving bool
	slowdown  capacity.Slowdown
}

func newNotices() notices { return notices{rate: statedLimit{limit: rate.Inf}} }

// NoticeObserver holds the functions that are called for what the server states about itself. They must not block.
type NoticeObserver struct {
	RateLimitChanged func(RateLimitChange)
	// Leaving is called at the first response in which an instance states that it is leaving.
	Leaving func(instance string, request class.RequestID)
	// Invalid is called for a statement that cannot be parsed.
	Invalid func(error)
}

// observeNotice applies what the server stated about itself in the response to a call.
func (r *Runner) observeNotice(permit *activePermit, c call.Call, sentAt time.Time, result call.Result) {
	if result.Notice == nil && result.Outcome != class.Unknown || result.Reason == call.Refused {
		return // the server got no call, or the response may be from another instance at its address
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current.Load().client != permit.client {
		return // the response is from an earlier instance
	}
	before := r.stated.rate.limit
	r.stated.rate.observe(r.clock.Now(), sentAt, result)
	after := r.stated.rate.limit
	// It is set also if it is unchanged, because the controller may still await it.
	r.controller.SetRateLimit(after)
	if after != before {
		r.noticeObserver.RateLimitChanged(
			RateLimitChange{Instance: permit.Instance, Before: before, After: after, Request: c.ID})
	}
	if result.Notice == nil {
		return
	}
	for _, err := range []error{result.Notice.Err, result.Notice.LoadErr} {
		if err != nil {
			r.noticeObserver.Invalid(err)
		}
	}
	r.observeSlowdown(result.Notice.Load)
	if result.Notice.IsLeaving && !r.stated.isLeaving {
		r.stated.isLeaving = true
		r.noticeObserver.Leaving(permit.Instance, c.ID)
	}
}
