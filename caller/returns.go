package caller

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/call"
)

const (
	// entryReturnShare is the part of the calls that a service accepts from this daemon that may be returns of calls that
	// the daemon rejected without an offer.
	entryReturnShare = 0.5
	// acceptedWeight is the weight of one call in the moving average of the time between accepted calls, and
	// initialAcceptedInterval the time that is assumed before the first.
	acceptedWeight          = 0.1
	initialAcceptedInterval = 100 * time.Millisecond
	maxAcceptedInterval     = time.Second
	// entryReturnSpread is the part of the stated time by which it is spread.
	entryReturnSpread = 0.5
)

// claimReturn reports whether a call returned after its Retry-After. Calls with a key are recognised by the daemon beside
// the owner.
func (r *Relay) claimReturn(c call.Call) bool {
	return r.bounded.applies(c) && r.returns.Claim(c)
}

// announceReturn records when a rejected call is to return.
func (r *Relay) announceReturn(c call.Call, result call.Result) {
	if r.bounded.applies(c) && isRejection(result) && result.RetryAfter > 0 {
		r.returns.Announce(c, result.RetryAfter)
	}
}

// recordInterval updates the time between accepted calls.
func (s *offerState) recordInterval(now time.Time) {
	if !s.acceptedAt.IsZero() {
		interval := min(now.Sub(s.acceptedAt), maxAcceptedInterval)
		s.acceptedInterval += time.Duration(acceptedWeight * float64(interval-s.acceptedInterval))
	}
	s.acceptedAt = now
}

// returnTime returns the Retry-After of a call that is rejected without an offer and for which there may be capacity after
// the given time. Each such call gets a place of its own, and jitter in case other daemons have learned of the same time.
func (b *boundedOffers) returnTime(s *offerState, c call.Call, now time.Time, earliest time.Duration) time.Duration {
	interval := time.Duration(float64(s.acceptedInterval) / entryReturnShare)
	at := now.Add(earliest)
	if at.Before(s.nextReturn) {
		at = s.nextReturn
	}
	wait := at.Sub(now) + time.Duration(b.random.Float64()*max(float64(interval), entryReturnSpread*float64(earliest)))
	if wait <= c.Deadline.Sub(now)/returnTimeDivisor {
		s.nextReturn = at.Add(interval)
	}
	return wait
}

// returnTimeDivisor divides the time left to a call: its caller waits for at most that part.
const returnTimeDivisor = 3
