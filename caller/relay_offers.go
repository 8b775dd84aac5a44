package caller

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// Offer describes one bounded offer of a call to a server, or the rejection of a call without an offer, for logs and
// metrics.
type Offer struct {
	Call call.Call
	// Host is the host of the server, or empty if the call was offered to none.
	Host ownership.HostID
	// Number counts the offers of the call from one. It is zero if the call was offered to no server.
	Number int
	// IsLast reports whether the call is rejected if the offer is.
	IsLast   bool
	Result   call.Result
	Duration time.Duration
}

// SetLoadAware makes the relay offer calls without a key with a bounded wait and choose their servers by capacity, or not.
func (r *Relay) SetLoadAware(isLoadAware bool) {
	r.bounded.isActive.Store(isLoadAware)
	r.balancer.setCapacityAware(isLoadAware)
}

// ObserveOffers sets the observer of bounded offers. It must be called before the first call, and the observer must not
// block.
func (r *Relay) ObserveOffers(onOffer func(Offer)) { r.onOffer = onOffer }

// isRejectedAtEntry reports whether the call is rejected without an offer because the service has no capacity for its
// class, and records that as the result.
func (r *Relay) isRejectedAtEntry(state *callState) bool {
	if !r.bounded.applies(state.call) {
		return false
	}
	retryAfter := r.bounded.rejectAtEntry(state.call)
	if retryAfter <= 0 {
		return false
	}
	state.lastResult = call.NotRun(call.Overload)
	state.lastResult.RetryAfter = retryAfter
	r.onOffer(Offer{Call: state.call, Result: state.lastResult})
	return true
}

// planOffer sets the bound of the next offer of a call. For the last offer, the servers that could not start the call
// soon are candidates again.
func (r *Relay) planOffer(route *ServiceRoute, state *callState) {
	state.bound, state.call.MaxWait = offerBound{}, 0
	if route == nil || !r.bounded.applies(state.call) {
		return
	}
	candidates := 0
	for i := range route.Servers {
		s := &route.Servers[i]
		if state.hasOnlyDeferred || candidates > 1 {
			break // the plan only distinguishes one candidate from several
		}
		if s.takesUnkeyed() && !state.triedHosts[s.Host] {
			candidates++
		}
	}
	state.bound = r.bounded.plan(state.call, state.arrived, state.rejections, candidates)
	state.call.MaxWait = state.bound.maxWait
	if state.bound.isLast {
		for _, host := range state.deferredHosts {
			delete(state.triedHosts, host)
		}
		state.deferredHosts = nil
	}
}

// deferOnly reports whether the call is offered again to the servers that could not start it soon, because there is no
// other. They then get the last offer.
func (s *callState) deferOnly() bool {
	if len(s.deferredHosts) == 0 {
		return false
	}
	s.hasOnlyDeferred = true
	return true
}

// recordOffer records the result of a bounded offer.
func (r *Relay) recordOffer(o *outgoing, state *callState, took time.Duration) {
	if o.bound.number == 0 {
		return
	}
	result := state.lastResult
	switch {
	case isRejection(result):
		r.bounded.recordRejected(o.call, o.bound, state.retryAfter)
		if result.Reason == call.WaitExceeded && !o.bound.isLast {
			state.deferredHosts = append(state.deferredHosts, o.target.Host)
		}
	case result.Outcome == class.Answered:
		r.bounded.recordAccepted(o.call, o.bound, took)
	case result.Outcome == class.Unknown:
		r.bounded.recordAccepted(o.call, o.bound, 0)
	}
	r.onOffer(Offer{
		Call: o.call, Host: o.target.Host, Number: o.bound.number, IsLast: o.bound.isLast,
		Result: result, Duration: took,
	})
}

// chooseActionRejected decides whether a call is offered to another server after the rejection of a bounded offer.
func (r *Relay) chooseActionRejected(state *callState) retryAction {
	if !state.bound.isLast && r.hasTimeToRetry(state) {
		return retryNow
	}
	return finishCall
}
