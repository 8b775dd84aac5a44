package caller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/quarantine"
)

const (
	// routeWaitShare is the fraction of a call's remaining time that it may wait for a usable owner of its key.
	routeWaitShare = 0.3
	// routeWaitInterval is the longest single wait for a change of routes before the next attempt.
	routeWaitInterval = 15 * time.Millisecond
	// retryAfterShare is the fraction of a call's remaining time that the Retry-After header asks for when no server
	// was available for the call.
	retryAfterShare = 0.25
	// retryTimeReserve is the fraction of the class's latency target that has to remain for a retry.
	retryTimeReserve = 0.25
)

// Sender sends a call to a backend server through the daemon on the server's host.
type Sender interface {
	// Send makes one attempt and returns its result. It does not retry.
	Send(ctx context.Context, to *Server, c call.Call) call.Result
}

// Attempt describes one attempt at a call for logs and metrics.
type Attempt struct {
	Call     call.Call
	Host     ownership.HostID
	Result   call.Result
	Duration time.Duration
}

// Relay forwards each call to the owner of its key, or to a server that the balancer selects if it has no key. It
// retries calls that did not run, and idempotent calls whose result was lost or that failed. Each attempt after one
// that may have reached a server takes a token from the retry budget, and each after a rejection by admission control one
// from the budget of offers.
type Relay struct {
	clock        clockwork.Clock
	table        *Table
	sender       Sender
	balancer     *balancer
	budget       *Budget
	offers       *offerBudget
	bounded      *boundedOffers
	returns      *call.Returns
	onOffer      func(Offer)
	answerTimes  *answerTimes
	onResend     func(Resend)
	hedges       *hedges
	reach        *Reach
	leaving      leavingServers
	quarantine   *quarantine.List
	onUnanswered func(Attempt)
}

// NewRelay returns a relay for a daemon in a failure domain. It calls onUnanswered for each attempt that did not run or
// whose outcome is unknown.
func NewRelay(
	domain ownership.FailureDomain, table *Table, sender Sender, budget *Budget, onUnanswered func(Attempt),
	clock clockwork.Clock, seed uint64,
) *Relay {
	return &Relay{
		clock:        clock,
		table:        table,
		sender:       sender,
		balancer:     newBalancer(domain, clock, rand.New(rand.NewPCG(seed, 1))),
		budget:       budget,
		offers:       newOfferBudget(),
		bounded:      newBoundedOffers(clock, seed),
		returns:      call.NewReturns(clock),
		onOffer:      func(Offer) {},
		answerTimes:  newAnswerTimes(),
		onResend:     func(Resend) {},
		hedges:       newHedges(clock),
		reach:        NewReach(domain, func(ReachChange) {}),
		quarantine:   quarantine.NewList(clock),
		leaving:      leavingServers{clock: clock, since: map[ownership.HostID]leavingServer{}},
		onUnanswered: onUnanswered,
	}
}

// AvoidLeavingServers makes the relay send no calls to a server once usableTime has passed since it first stated in a
// response, by the header of the given name, that it is leaving. It must be called before the first call.
func (r *Relay) AvoidLeavingServers(header string, usableTime time.Duration) {
	r.leaving.header, r.leaving.usableTime = header, usableTime
}

// ObserveCold sets the function that is called when a call is not sent to a cold server because this daemon's share of its
// rate is used up. It must be called before the first call, and the function must not block.
func (r *Relay) ObserveCold(onPassedOver func()) { r.balancer.cold.onPassedOver = onPassedOver }

// HoldBack makes the relay send no calls that the list holds back. It must be called before the first call.
func (r *Relay) HoldBack(list *quarantine.List) { r.quarantine = list }

// PruneServers forgets what was learned about servers that are not in the routes.
func (r *Relay) PruneServers(routes Routes) {
	r.balancer.prune(routes)
	r.leaving.prune(routes)
	r.bounded.prune(routes)
	r.answerTimes.prune(routes)
	r.hedges.prune(routes)
}

// callState is the state of one call across its attempts.
type callState struct {
	call call.Call
	// triedHosts holds the hosts of earlier attempts, which a call without a key avoids.
	triedHosts map[ownership.HostID]bool
	// sentAttempts is the number of attempts that may have reached a backend server.
	sentAttempts int
	// waitUntil is the time until which the call may wait for a usable owner of its key.
	waitUntil time.Time
	// refusedBy is the host that last did not hold the key, refusedFence the fence of the key's assignment then, and
	// refusals the number of attempts that it refused under this fence. It is not tried again before the key is assigned
	// anew, except once, since it may have learned of its assignment later than this daemon.
	refusedBy    ownership.HostID
	refusedFence ownership.Fence
	refusals     int
	// arrived is when the relay got the call, and bound the bound of its current offer, if its offers are bounded.
	arrived time.Time
	bound   offerBound
	// deferredHosts are the hosts of triedHosts whose server could not start the call within a short bound.
	deferredHosts   []ownership.HostID
	hasOnlyDeferred bool
	// cutOff holds the servers in unreachable domains that a call without a key has not been sent to, unconnected those to
	// which no connection was found, and relays is how often the call was sent by way of another domain.
	cutOff, unconnected []*Server
	relays              int
	// rejections is the number of servers whose admission control rejected the call, and retryAfter the shortest of the
	// times after which they expect capacity, or zero if none of them said.
	rejections int
	retryAfter time.Duration
	lastResult call.Result
	// isResent reports whether the last attempt was given up so that the call is sent to another server, and isPaid whether
	// the next attempt has been paid for from the retry budget.
	isResent bool
	isPaid   bool
	// isOnProbation reports whether the call was sent although it had been held back.
	isOnProbation bool
	// mayHaveRun reports whether the outcome of any attempt was unknown.
	mayHaveRun bool
}

// Do runs a call, with retries, and returns its final result.
func (r *Relay) Do(ctx context.Context, c call.Call) call.Result {
	c.IsReturn = r.claimReturn(c)
	result := r.do(ctx, c)
	r.announceReturn(c, result)
	return result
}

func (r *Relay) do(ctx context.Context, c call.Call) call.Result {
	now := r.clock.Now()
	state := &callState{
		call:       c,
		arrived:    now,
		triedHosts: map[ownership.HostID]bool{},
		waitUntil:  now.Add(time.Duration(routeWaitShare * float64(c.Deadline.Sub(now)))),
		lastResult: call.NotRun(call.NoServer),
	}
	r.budget.RecordCall(c.Service)
	if r.isRejectedAtEntry(state) {
		return state.lastResult
	}
	r.hedges.recordCall(c)
	for {
		route, changed := r.table.Lookup(c.Service)
		r.excludeCutOff(route, state)
		r.planOffer(route, state)
		target := r.selectServer(route, state)
		if target == nil && state.deferOnly() {
			continue
		}
		if target == nil {
			if !r.canWaitForOwner(route, state) || !r.waitForRoutes(ctx, state, changed, untilChanged) {
				return r.finalResult(ctx, state)
			}
			continue
		}
		if r.isHeld(state) {
			return r.finalResult(ctx, state)
		}
		if state.sentAttempts > 0 && !state.isPaid && !r.budget.Spend(c.Service) {
			return r.finalResult(ctx, state)
		}
		state.isPaid = false
		r.attempt(ctx, target, state)
		if state.call.HasKey && state.lastResult.Reason == call.NotOwner {
			state.recordRefusal(target.Host, route.fence(state.call.Key))
		}
		switch r.chooseAction(state) {
		case finishCall:
			return r.finalResult(ctx, state)
		case retryAfterRouteChange:
			if !r.waitForRoutes(ctx, state, changed, routeWaitInterval) {
				return r.finalResult(ctx, state)
			}
		case retryNow:
		}
	}
}

// isHeld reports whether the call is held back, and records that as the result. A call that was sent on probation may be
// offered to another server if the first one did not run it.
func (r *Relay) isHeld(state *callState) bool {
	check := r.quarantine.Try
	if state.isOnProbation {
		check = r.quarantine.Check
	}
	verdict := check(state.call)
	if verdict.HeldUntil.IsZero() {
		state.isOnProbation = verdict.IsOnProbation
		return false
	}
	state.lastResult = verdict.Refusal(r.clock.Now())
	return true
}

// selectServer returns the server for the next attempt, or nil if there is none.
func (r *Relay) selectServer(route *ServiceRoute, state *callState) *Server {
	if route == nil {
		return nil
	}
	if route.IsKeyed && state.call.HasKey {
		owner := route.owner(state.call.Key)
		isExcluded := owner != nil &&
			(state.isRefused(owner.Host, route.fence(state.call.Key)) || !r.leaving.accepts(owner))
		if isExcluded {
			return nil
		}
		if owner != nil && r.isCutOff(owner) {
			return r.relayed(owner, state)
		}
		return owner
	}
	for {
		server := r.balancer.pick(route, state.triedHosts, &state.call)
		if server == nil && !state.hasDeferred() {
			return r.selectCutOff(route, state)
		}
		if server == nil || r.leaving.accepts(server) {
			return server
		}
		state.triedHosts[server.Host] = true
	}
}

// maxRefusals is how often a host may refuse a call for a key under one fence before it is not tried again.
const maxRefusals = 2

// isRefused reports whether a host has refused the call too often under the given fence.
func (s *callState) isRefused(host ownership.HostID, fence ownership.Fence) bool {
	return s.refusedBy == host && s.refusedFence == fence && s.refusals >= maxRefusals
}

// recordRefusal records that a host did not hold the call's key under the given fence.
func (s *callState) recordRefusal(host ownership.HostID, fence ownership.Fence) {
	if s.refusedBy != host || s.refusedFence != fence {
		s.refusedBy, s.refusedFence, s.refusals = host, fence, 0
	}
	s.refusals++
}

// isRejection reports whether a result is a rejection by the admission control of a server.
func isRejection(result call.Result) bool {
	return result.Outcome == class.NotRun && result.Reason.IsAdmissionRejection()
}

// recordRejection records a rejection by the admission control of a server.
func (s *callState) recordRejection(retryAfter time.Duration) {
	if retryAfter > 0 && (s.retryAfter == 0 || retryAfter < s.retryAfter) {
		s.retryAfter = retryAfter
	}
	s.rejections++
}

// canWaitForOwner reports whether it is useful to wait for a server. Only the owner of a key is likely to change before
// the call's deadline, and not while the servers of the service are all evacuated.
func (r *Relay) canWaitForOwner(route *ServiceRoute, state *callState) bool {
	return route != nil && route.IsKeyed && state.call.HasKey && !route.isEvacuated
}

// attempt sends the call once, or hedged to two servers, and records the result.
func (r *Relay) attempt(ctx context.Context, target *Server, state *callState) {
	state.call.IsRetry = state.sentAttempts > 0
	ended, result := r.send(ctx, r.begin(target, state.call, state.bound), state)
	r.record(ended, result, state)
}

//go:generate go tool stringer -type=retryAction -linecomment

// retryAction is what the relay does after an attempt.
type retryAction int

const (
	// finishCall ends the call with the result of the attempt.
	finishCall retryAction = iota // finish
	// retryNow retries the call at once, on another server if the call has no key.
	retryNow // elsewhere
	// retryAfterRouteChange retries the call after a change of routes, or after routeWaitInterval.
	retryAfterRouteChange // after_change
)

// chooseAction decides whether to retry, from the result of the last attempt.
func (r *Relay) chooseAction(state *callState) retryAction {
	if state.isResent {
		state.isResent = false
		return retryNow
	}
	hasAttempts := state.sentAttempts < state.call.Class.Attempts
	switch state.lastResult.Outcome {
	case class.NotRun:
		return r.chooseActionNotRun(state, hasAttempts)
	case class.Unknown:
		isLost := state.lastResult.Reason == call.AnswerLost || state.lastResult.Reason == call.ServerEnded
		if state.call.Class.Idempotent && hasAttempts && isLost && !state.isOnProbation && r.hasTimeToRetry(state) {
			return retryNow
		}
		return finishCall
	default:
		isFailure := state.lastResult.Status >= minServerErrorStatus
		r.budget.RecordResponse(state.call.Service, isFailure)
		if isFailure && !r.budget.IsFailing(state.call.Service) && state.call.Class.Idempotent && hasAttempts &&
			r.hasTimeToRetry(state) {
			return retryNow
		}
		return finishCall
	}
}

// chooseActionNotRun decides whether to retry a call that did not run. That is safe for all classes.
func (r *Relay) chooseActionNotRun(state *callState, hasAttempts bool) retryAction {
	switch state.lastResult.Reason {
	case call.NotOwner, call.Unreachable, call.NoServer:
		if state.call.HasKey {
			return retryAfterRouteChange
		}
		return retryNow
	case call.Refused:
		if !hasAttempts {
			return finishCall
		}
		if state.call.HasKey {
			return retryAfterRouteChange
		}
		return retryNow
	case call.Shed:
		if hasAttempts && !state.call.HasKey {
			return retryNow
		}
		return finishCall
	case call.Overload, call.Late, call.WaitExceeded, call.LinkFull:
		if state.bound.number > 0 {
			return r.chooseActionRejected(state)
		}
		isUseful := !state.call.HasKey && state.rejections < maxRejections && r.hasTimeToRetry(state)
		if isUseful && r.offers.spend(state.call.Service) {
			return retryNow
		}
		return finishCall
	default:
		return finishCall
	}
}

// hasTimeToRetry reports whether enough time remains before the deadline for another attempt.
func (r *Relay) hasTimeToRetry(state *callState) bool {
	reserve := time.Duration(retryTimeReserve * float64(state.call.Class.Latency))
	return state.call.Deadline.Sub(r.clock.Now()) > reserve
}

// untilChanged is a wait that only a change of routes ends early.
const untilChanged = time.Hour

// waitForRoutes waits for a change of routes, for maxWait at most. It returns false if the context ended or the call may
// not wait any longer.
func (r *Relay) waitForRoutes(
	ctx context.Context, state *callState, changed <-chan struct{}, maxWait time.Duration,
) bool {
	remaining := state.waitUntil.Sub(r.clock.Now())
	if remaining <= 0 {
		return false
	}
	timer := r.clock.NewTimer(min(remaining, maxWait))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.Chan():
	case <-ctx.Done():
		return false
	}
	return r.clock.Now().Before(state.waitUntil)
}

// finalResult returns the result that the caller gets. If the last attempt did not run but the outcome of an earlier
// one is unknown, the call's outcome is unknown too.
func (r *Relay) finalResult(ctx context.Context, state *callState) call.Result {
	result := state.lastResult
	if result.Outcome != class.NotRun {
		return result
	}
	if state.mayHaveRun {
		return call.Unknown(call.AnswerLost)
	}
	if isRejection(result) && state.retryAfter > 0 {
		result.RetryAfter = state.retryAfter
	}
	if result.Reason == call.WaitExceeded || result.Reason == call.LinkFull {
		result.Reason = call.Overload // no server had capacity for the call
	}
	if ctx.Err() != nil {
		result.Reason = call.EndReason(ctx)
	}
	hasNoServer := result.Reason == call.NotOwner || result.Reason == call.Unreachable || result.Reason == call.NoServer
	if hasNoServer {
		result.RetryAfter = time.Duration(retryAfterShare * float64(state.call.Deadline.Sub(r.clock.Now())))
	}
	return result
}
