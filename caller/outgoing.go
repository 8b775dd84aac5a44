package caller

import (
	"context"
	"maps"
	"time"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// outgoing is one attempt at a call that has not been recorded yet.
type outgoing struct {
	target *Server
	call   call.Call
	bound  offerBound
	start  time.Time
	// isHedge reports whether the attempt was sent beside another one.
	isHedge bool
	endCall func(call.Result)
	// results gets the result of a launched attempt, and cancel cancels it.
	results chan call.Result
	cancel  context.CancelFunc
}

// begin begins an attempt.
func (r *Relay) begin(target *Server, c call.Call, bound offerBound) *outgoing {
	return &outgoing{
		target: target, call: c, bound: bound, start: r.clock.Now(), endCall: r.balancer.begin(target.Host),
	}
}

// launch sends an attempt without waiting for its result.
func (r *Relay) launch(ctx context.Context, o *outgoing) {
	ctx, o.cancel = context.WithCancel(ctx)
	o.results = make(chan call.Result, 1)
	go func() { o.results <- r.sender.Send(ctx, o.target, o.call) }()
}

// record records the result of an attempt as the last one of the call.
func (r *Relay) record(o *outgoing, result call.Result, state *callState) {
	target, took := o.target, r.clock.Since(o.start)
	o.endCall(result)
	if result.Outcome == class.Answered && (r.bounded.isActive.Load() || r.hedges.isActive()) {
		r.answerTimes.record(offerKey{service: o.call.Service, class: o.call.Class.Name}, took)
	}
	r.leaving.observe(target, result)
	r.observeReach(target, result)
	if isUnconnected(result) && target.Via == nil {
		state.unconnected = append(state.unconnected, target)
	}
	state.lastResult = result
	state.triedHosts[target.Host] = true
	wasSent := result.Outcome != class.NotRun || result.Reason == call.Refused || result.Reason == call.Shed
	if wasSent || o.isHedge {
		state.sentAttempts++
	}
	// The token of a hedge that did not run pays for the next attempt.
	state.isPaid = state.isPaid || o.isHedge && !wasSent
	state.mayHaveRun = state.mayHaveRun || result.Outcome == class.Unknown
	state.call.IsSuspected = state.call.IsSuspected || result.Reason == call.ServerEnded
	o.call.IsSuspected = state.call.IsSuspected
	r.hedges.recordAttempt(o.call, isRejection(result))
	if isRejection(result) {
		state.recordRejection(o.bound.statedRetryAfter(result))
	} else if result.Outcome != class.NotRun {
		r.offers.recordAccepted(o.call.Service)
	}
	r.recordOffer(o, state, took)
	if result.Outcome != class.Answered && result.Reason != call.WaitExceeded &&
		result.Reason != call.LinkFull {
		r.onUnanswered(Attempt{Call: o.call, Host: target.Host, Result: result, Duration: took})
	}
}

// hostsExcept returns the hosts of earlier attempts and another one, which a further attempt avoids.
func (s *callState) hostsExcept(host ownership.HostID) map[ownership.HostID]bool {
	hosts := maps.Clone(s.triedHosts)
	hosts[host] = true
	return hosts
}
