package caller

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
)

const (
	// maxOffers is the number of servers that one call is offered to if their admission control rejects it.
	maxOffers = 4
	// shortWaitShare is the share of the latency target less the run time that a call may be queued at one server while
	// others may start it at once.
	shortWaitShare = 0.1
	// minShortWait is the least bound of a wait. It covers the time until a finished call has freed its slot.
	minShortWait = 5 * time.Millisecond
	// furtherOffersPerCall is the number of further offers that each accepted call allows. A service with room for the
	// calls accepts most of them at the first or second offer.
	furtherOffersPerCall = 2.0
	// maxSavedFurtherOffers bounds the further offers that a class saves up at one service while nothing is rejected.
	maxSavedFurtherOffers = 20.0
	// offerReserve is the time before the deadline that an offer leaves for its rejection and for the response. It
	// includes the margin at which admission control rejects a queued call.
	offerReserve = 40 * time.Millisecond
	// maxReserveShare bounds offerReserve, as a share of the time left.
	maxReserveShare = 0.1
	// runTimeWeight is the weight of one call in the moving average of the run time of its class.
	runTimeWeight = 0.05
	// initialRunShare is the share of the latency target that is assumed as the run time before the first response, and
	// maxRunShare the largest that is assumed. A higher estimate would leave calls no time to wait at all.
	initialRunShare = 0.25
	maxRunShare     = 0.5
	// fullAfter is the number of consecutive rejected calls of a class after which a service counts as full for it.
	fullAfter = 4
	// restShare is the share of the stated Retry-After for which calls of the class are then rejected without an offer,
	// and maxRest its limit. Callers that keep to the Retry-After return after the rest.
	restShare = 0.25
	maxRest   = 250 * time.Millisecond
	// probeInterval is the number of calls of which one is offered to the service during the rest.
	probeInterval = 16
)

// offerBound is the bound of one offer of a call to a server.
type offerBound struct {
	// number counts the offers of the call from one.
	number int
	// maxWait is how long the call may be queued. Zero means that the offer is not bounded.
	maxWait time.Duration
	// isShort reports whether the bound is the one within which an idle server starts the call.
	isShort bool
	// isLast reports whether the call is rejected if the offer is.
	isLast bool
}

// statedRetryAfter returns the Retry-After of a rejection that counts for the caller. A server that could start the call,
// only not within a bound that is shorter than the call's own, is not overloaded.
func (o offerBound) statedRetryAfter(result call.Result) time.Duration {
	if result.Reason == call.WaitExceeded && !o.isLast {
		return 0
	}
	return result.RetryAfter
}

// offerKey identifies the calls that share a budget of offers. Classes do not share it, so that the flood of one does not
// take the offers of another.
type offerKey struct {
	service class.Service
	class   class.Name
}

// offerState is what the daemon learned from the offers of one class to one service.
type offerState struct {
	// saved is the number of further offers that the accepted calls allow. It may be negative for a short time.
	saved float64
	// runTime is the moving average of the time in which calls accepted with a short bound were answered.
	runTime time.Duration
	// rejectedInRow counts the calls rejected since one was accepted.
	rejectedInRow int
	restUntil     time.Time
	retryAfter    time.Duration
	// skipped counts the calls rejected in the current rest.
	skipped int
	// acceptedInterval is the moving average of the time between accepted calls, and nextReturn the earliest time at
	// which another call that was rejected without an offer may return.
	acceptedInterval time.Duration
	acceptedAt       time.Time
	nextReturn       time.Time
}

// boundedOffers bounds the time that calls without a key wait at one server, in load-aware configurations: the first
// offers of a call are accepted only by servers that can start it soon, and the last one leaves time to run. It is safe
// for concurrent use.
type boundedOffers struct {
	clock    clockwork.Clock
	isActive atomic.Bool

	mu     sync.Mutex
	random *rand.Rand
	states map[offerKey]*offerState
}

func newBoundedOffers(clock clockwork.Clock, seed uint64) *boundedOffers {
	return &boundedOffers{
		clock: clock, random: rand.New(rand.NewPCG(seed, 4)), states: map[offerKey]*offerState{},
	}
}

// applies reports whether the offers of a call are bounded.
func (b *boundedOffers) applies(c call.Call) bool { return b.isActive.Load() && !c.HasKey }

// prune forgets the services that are not in the routes.
func (b *boundedOffers) prune(routes Routes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key := range b.states {
		if routes[key.service] == nil {
			delete(b.states, key)
		}
	}
}

// stateOf returns the state of the offers of a class to a service. The caller holds the lock.
func (b *boundedOffers) stateOf(c call.Call) *offerState {
	key := offerKey{service: c.Service, class: c.Class.Name}
	s := b.states[key]
	if s == nil {
		s = newOfferState(c)
		b.states[key] = s
	}
	return s
}

// peek returns the state of the offers of a class to a service without storing a new one. The caller holds the lock and
// does not modify the state.
func (b *boundedOffers) peek(c call.Call) *offerState {
	if s := b.states[offerKey{service: c.Service, class: c.Class.Name}]; s != nil {
		return s
	}
	return newOfferState(c)
}

func newOfferState(c call.Call) *offerState {
	return &offerState{
		saved:            maxSavedFurtherOffers,
		runTime:          time.Duration(initialRunShare * float64(c.Class.Latency)),
		acceptedInterval: initialAcceptedInterval,
	}
}

// rejectAtEntry returns the time after which there may be capacity if the service has just rejected several calls of the
// class in a row, and zero if the call is to be offered. Nested calls are always offered, because the run that needs them
// has already used capacity, and so are calls that returned as they were told.
func (b *boundedOffers) rejectAtEntry(c call.Call) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(c)
	now := b.clock.Now()
	left := s.restLeft(c, now)
	if left <= 0 {
		return 0
	}
	isProbe := s.isProbeNext()
	s.skipped++
	if isProbe {
		return 0
	}
	return b.returnTime(s, c, now, s.capacityAfter(left))
}

// restLeft returns for how long calls like c are still rejected without an offer, or zero if they are not.
func (s *offerState) restLeft(c call.Call, now time.Time) time.Duration {
	if c.IsNested || c.IsReturn {
		return 0
	}
	return max(0, s.restUntil.Sub(now))
}

// isProbeNext reports whether the next call of the rest is offered as a probe.
func (s *offerState) isProbeNext() bool { return (s.skipped+1)%probeInterval == 0 }

// capacityAfter returns when there may be capacity if the rest still lasts for the given time.
func (s *offerState) capacityAfter(left time.Duration) time.Duration {
	return s.retryAfter - s.restFor() + left
}

// restFor returns how long calls of the class are rejected without an offer.
func (s *offerState) restFor() time.Duration {
	return min(maxRest, time.Duration(restShare*float64(s.retryAfter)))
}

// shortWait returns how long a call may be queued at one server while others may start it at once.
func (s *offerState) shortWait(c call.Call) time.Duration {
	return max(minShortWait, time.Duration(shortWaitShare*float64(c.Class.Latency-s.runTime)))
}

// shortWait returns how long a call may be queued at one server while others may start it at once.
func (b *boundedOffers) shortWait(c call.Call) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stateOf(c).shortWait(c)
}

// isRejecting reports whether the service has rejected the last call of the class, or rests after rejections.
func (b *boundedOffers) isRejecting(c call.Call) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(c)
	return s.rejectedInRow > 0 || b.clock.Now().Before(s.restUntil)
}

// plan returns the bound of the next offer of a call that arrived at the given time and was rejected by a number of
// servers. candidates is the number of servers that it has not been offered to.
//
// The first two offers have a short bound, so that the call does not wait in one queue while another server is idle. The
// third leaves time to answer within the latency target, and the last one before the deadline. A call for which there is
// no time, server or budget for further offers gets the last one at once.
func (b *boundedOffers) plan(c call.Call, arrived time.Time, rejections, candidates int) offerBound {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	s := b.peek(c)
	left := c.Deadline.Sub(now)
	reserve := min(offerReserve, time.Duration(maxReserveShare*float64(left)))
	untilDeadline := left - s.runTime - reserve
	untilTarget := arrived.Add(c.Class.Latency - s.runTime).Sub(now)
	short := s.shortWait(c)
	bound := offerBound{number: rejections + 1}
	isOnly := bound.number >= maxOffers || candidates <= 1 || s.saved < 1
	switch {
	case isOnly || untilDeadline < 2*short:
		bound.maxWait, bound.isLast = max(minShortWait, untilDeadline), true
	case bound.number < maxOffers-1:
		bound.maxWait, bound.isShort = short, true
	case untilTarget > short && untilTarget < untilDeadline:
		bound.maxWait = untilTarget
	default:
		bound.maxWait, bound.isLast = untilDeadline, true
	}
	return bound
}

// recordRejected records an offer that admission control rejected. retryAfter is the time after which a server expects
// capacity.
func (b *boundedOffers) recordRejected(c call.Call, bound offerBound, retryAfter time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(c)
	if !bound.isLast {
		s.saved--
		return
	}
	s.rejectedInRow++
	if s.rejectedInRow >= fullAfter {
		s.retryAfter = retryAfter
		s.restUntil, s.skipped = b.clock.Now().Add(s.restFor()), 0
	}
}

// recordAccepted records an offer that admission control accepted, and how long the call took if it was answered, or
// zero.
func (b *boundedOffers) recordAccepted(c call.Call, bound offerBound, answeredIn time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(c)
	s.saved = min(maxSavedFurtherOffers, s.saved+furtherOffersPerCall)
	s.rejectedInRow, s.restUntil = 0, time.Time{}
	s.recordInterval(b.clock.Now())
	if answeredIn > 0 && bound.isShort {
		sample := min(answeredIn, time.Duration(maxRunShare*float64(c.Class.Latency)))
		s.runTime += time.Duration(runTimeWeight * float64(sample-s.runTime))
	}
}
