package caller

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
)

const (
	// hedgeQuantile is the share of the attempts of a class that are answered before a hedge is considered, and
	// usualQuantile the share whose answer time is the usual one.
	hedgeQuantile = 0.95
	usualQuantile = 0.5
	// maxSavedHedges bounds the hedges that a service saves up while all attempts are answered in time.
	maxSavedHedges = 10.0
	// nestedReserve is the number of saved hedges that only nested calls use. It applies for nestedMemory after a nested
	// call to the service.
	nestedReserve = 3.0
	nestedMemory  = 10 * time.Second
	// rejectionWeight is the weight of one attempt in the moving average of a service's rejections, and maxRejectedShare
	// the average above which the service counts as rejecting calls.
	rejectionWeight  = 0.05
	maxRejectedShare = 0.1
)

//go:generate go tool stringer -type=HedgeEvent -linecomment

// HedgeEvent is what happened to a hedge, or why none was sent.
type HedgeEvent int

const (
	// HedgeSent means that the call was sent to a second server.
	HedgeSent HedgeEvent = iota // sent
	// HedgeWon means that the second server answered first.
	HedgeWon // won
	// HedgeCancelled means that the other attempt was cancelled after an answer.
	HedgeCancelled // cancelled
	// HedgeWithheldShare means that the service has used up its share of hedges.
	HedgeWithheldShare // withheld.share
	// HedgeWithheldBudget means that the service has used up its retry budget.
	HedgeWithheldBudget // withheld.budget
	// HedgeWithheldServer means that no other server can start the call at once.
	HedgeWithheldServer // withheld.no_server
	// HedgeWithheldAttempts means that the class permits no further attempt.
	HedgeWithheldAttempts // withheld.attempts
	// HedgeWithheldRejecting means that the service rejects calls.
	HedgeWithheldRejecting // withheld.rejecting
	// HedgeWithheldTime means that less than the usual answer time is left.
	HedgeWithheldTime // withheld.time
	// HedgeWithheldSuspected means that the call is held back, or that a server ended while it ran the call.
	HedgeWithheldSuspected // withheld.suspected
)

// Hedge describes an event of a hedged attempt, for logs and metrics. Duration is the time since the first attempt.
type Hedge struct {
	Attempt
	Event HedgeEvent
}

// hedges decides which calls are hedged. It is safe for concurrent use.
type hedges struct {
	clock clockwork.Clock
	// share is the number of hedges that each call allows. Zero disables hedging.
	share   float64
	onHedge func(Hedge)

	mu       sync.Mutex
	services map[class.Service]*hedgeState
}

// hedgeState is what is known of one service.
type hedgeState struct {
	saved         float64
	nestedAt      time.Time
	rejectedShare float64
}

func newHedges(clock clockwork.Clock) *hedges {
	return &hedges{clock: clock, onHedge: func(Hedge) {}, services: map[class.Service]*hedgeState{}}
}

func (h *hedges) isActive() bool { return h.share > 0 }

// stateOf returns the state of a service. The caller holds the lock.
func (h *hedges) stateOf(service class.Service) *hedgeState {
	s := h.services[service]
	if s == nil {
		s = &hedgeState{}
		h.services[service] = s
	}
	return s
}

// recordCall adds the hedges that a new call allows.
func (h *hedges) recordCall(c call.Call) {
	if !h.isActive() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.stateOf(c.Service)
	s.saved = min(maxSavedHedges, s.saved+h.share)
	if c.IsNested {
		s.nestedAt = h.clock.Now()
	}
}

// recordAttempt records whether an attempt was rejected.
func (h *hedges) recordAttempt(c call.Call, isRejected bool) {
	if !h.isActive() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.stateOf(c.Service)
	s.rejectedShare *= 1 - rejectionWeight
	if isRejected {
		s.rejectedShare += rejectionWeight
	}
}

// isRejecting reports whether a service has recently rejected a considerable share of the attempts.
func (h *hedges) isRejecting(service class.Service) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stateOf(service).rejectedShare > maxRejectedShare
}

// spend takes one hedge from the share of the call's service, and one retry from the budget. It returns HedgeSent, or why
// it took none.
func (h *hedges) spend(c call.Call, budget *Budget) HedgeEvent {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.stateOf(c.Service)
	needed := 1.0
	if !c.IsNested && !s.nestedAt.IsZero() && h.clock.Since(s.nestedAt) < nestedMemory {
		needed += nestedReserve
	}
	if s.saved < needed {
		return HedgeWithheldShare
	}
	if !budget.Spend(c.Service) {
		return HedgeWithheldBudget
	}
	s.saved--
	return HedgeSent
}

// prune forgets the services that are not in the routes.
func (h *hedges) prune(routes Routes) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for service := range h.services {
		if routes[service] == nil {
			delete(h.services, service)
		}
	}
}

// Hedge makes the relay hedge calls. share is the maximum ratio of hedges to calls for each service, and zero disables
// hedging. It must be called before the first call, and the observer must not block.
func (r *Relay) Hedge(share float64, onHedge func(Hedge)) {
	r.hedges.share, r.hedges.onHedge = share, onHedge
}

// hedgeDelay returns how long an attempt takes before a hedge is considered, or zero if the call is never hedged. It is at
// least the time that the load of the server explains.
func (r *Relay) hedgeDelay(first *outgoing) time.Duration {
	c := first.call
	if !r.hedges.isActive() || !c.Class.Idempotent || c.HasKey || first.target.Via != nil {
		return 0
	}
	key := offerKey{service: c.Service, class: c.Class.Name}
	delay := r.answerTimes.quantile(key, hedgeQuantile)
	if delay == 0 {
		return 0
	}
	return max(delay, r.balancer.expectedWait(first.target.Host)+r.answerTimes.quantile(key, usualQuantile))
}

// planHedge returns the server to which a call is hedged, and HedgeSent, or why it is not. It spends a hedge.
func (r *Relay) planHedge(first *outgoing, state *callState) (*Server, HedgeEvent) {
	c := first.call
	usual := r.answerTimes.quantile(offerKey{service: c.Service, class: c.Class.Name}, usualQuantile)
	switch {
	case state.sentAttempts+1 >= c.Class.Attempts:
		return nil, HedgeWithheldAttempts
	case c.Deadline.Sub(r.clock.Now()) < usual:
		return nil, HedgeWithheldTime
	case c.IsSuspected || state.isOnProbation || !r.quarantine.Check(c).HeldUntil.IsZero():
		return nil, HedgeWithheldSuspected
	case r.hedges.isRejecting(c.Service) || r.bounded.isRejecting(c):
		return nil, HedgeWithheldRejecting
	}
	server := r.selectHedge(first.target, state)
	if server == nil {
		return nil, HedgeWithheldServer
	}
	return server, r.hedges.spend(c, r.budget)
}

// selectHedge returns another server that can start a call at once, or nil.
func (r *Relay) selectHedge(first *Server, state *callState) *Server {
	route, _ := r.table.Lookup(state.call.Service)
	if route == nil {
		return nil
	}
	now := r.clock.Now()
	excluded := state.hostsExcept(first.Host)
	for i := range route.Servers {
		s := &route.Servers[i]
		isWarm := !now.Before(s.WarmupUntil)
		if !isWarm || r.isCutOff(s) || !r.leaving.accepts(s) || !r.balancer.hasRoom(s) {
			excluded[s.Host] = true
		}
	}
	return r.balancer.pick(route, excluded, &state.call)
}

// raceHedge waits for the first attempt of a call, and sends the call to a second server if it is not answered within the
// delay. It returns the attempt whose result counts, and records the other one.
func (r *Relay) raceHedge(
	ctx context.Context, first *outgoing, state *callState, delay, patience time.Duration,
) (*outgoing, call.Result) {
	r.launch(ctx, first)
	timer := r.clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case result := <-first.results:
		first.cancel()
		return first, result
	case <-timer.Chan():
	}
	server, event := r.planHedge(first, state)
	if event != HedgeSent {
		r.reportHedge(first, first, event, call.Result{})
		return first, r.awaitPatiently(first, state, patience)
	}
	second := r.begin(server, first.call, offerBound{})
	second.isHedge = true
	second.call.IsRetry = true
	second.call.MaxWait = r.bounded.shortWait(first.call)
	if first.bound.number > 0 {
		second.bound = offerBound{number: first.bound.number + 1, maxWait: second.call.MaxWait, isShort: true}
	}
	r.launch(ctx, second)
	r.reportHedge(first, second, HedgeSent, call.Result{})
	select {
	case result := <-first.results:
		return r.awaitOther(first, result, second, state)
	case result := <-second.results:
		if result.Outcome == class.NotRun {
			second.cancel()
			r.record(second, result, state)
			return first, r.awaitPatiently(first, state, patience)
		}
		return r.awaitOther(second, result, first, state)
	}
}

// awaitOther returns the attempt whose result counts, given that one of two has ended. A good answer cancels the other
// attempt. Any other result waits for the other attempt, because that may still be answered.
func (r *Relay) awaitOther(
	ended *outgoing, result call.Result, other *outgoing, state *callState,
) (*outgoing, call.Result) {
	ended.cancel()
	if rankOf(result) == goodAnswer {
		r.cancelOther(ended, other)
		r.reportWon(ended, other, result)
		return ended, result
	}
	otherResult := <-other.results
	other.cancel()
	better, loser, loserResult := ended, other, otherResult
	isOtherBetter := rankOf(otherResult) > rankOf(result) || rankOf(otherResult) == rankOf(result) && ended.isHedge
	if isOtherBetter {
		better, loser, loserResult, result = other, ended, result, otherResult
	}
	if loserResult.Outcome == class.Answered {
		r.budget.RecordResponse(loser.call.Service, true)
	}
	r.record(loser, loserResult, state)
	r.reportWon(better, loser, result)
	return better, result
}

// goodAnswer is the rank of answers that are no failures.
const goodAnswer = 3

// rankOf orders the results of two attempts. That a call did not run is known only if it holds for both.
func rankOf(result call.Result) int {
	switch {
	case result.Outcome == class.Answered && result.Status < minServerErrorStatus:
		return goodAnswer
	case result.Outcome == class.Answered:
		return 2
	case result.Outcome == class.Unknown:
		return 1
	default:
		return 0
	}
}

// cancelOther cancels an attempt after the other one was answered, and records its end once the sender returns. The time
// up to now counts as its answer time. Otherwise the quantiles would leave out the slowest attempts, and fall.
func (r *Relay) cancelOther(winner, other *outgoing) {
	other.cancel()
	r.answerTimes.record(offerKey{service: other.call.Service, class: other.call.Class.Name}, r.clock.Since(other.start))
	r.reportHedge(winner, other, HedgeCancelled, call.Result{})
	go func() {
		result := <-other.results
		other.endCall(result)
		r.leaving.observe(other.target, result)
		r.observeReach(other.target, result)
	}()
}

// reportWon reports a hedge that was answered and whose answer counts.
func (r *Relay) reportWon(better, other *outgoing, result call.Result) {
	if better.isHedge && result.Outcome == class.Answered {
		r.reportHedge(other, better, HedgeWon, result)
	}
}

// reportHedge reports an event of an attempt.
func (r *Relay) reportHedge(other, subject *outgoing, event HedgeEvent, result call.Result) {
	start := subject.start
	if other.start.Before(start) {
		start = other.start
	}
	r.hedges.onHedge(Hedge{Event: event, Attempt: Attempt{
		Call: subject.call, Host: subject.target.Host, Result: result, Duration: r.clock.Since(start),
	}})
}
