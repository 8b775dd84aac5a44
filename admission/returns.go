package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// returnShare is the part of the capacity that a class uses which is promised to calls that return after their
	// Retry-After. The rest is left for new calls.
	returnShare = 0.5
	// returnTimeShare is the part of the time left to a call that its caller waits for a Retry-After. Callers that are
	// told to wait longer give up, and no capacity is kept for them.
	returnTimeShare = 1.0 / 3
	// returnSpread is the part of the time until capacity is free by which the stated times are spread.
	returnSpread = 0.5
)

// returnSchedule assigns the times at which rejected calls of a class are to return. Each gets a place of its own, so
// that those rejected together do not return together and find room when they do.
type returnSchedule struct {
	next time.Time
}

// returnTime returns the Retry-After of a rejected job: the time at which the server is expected to have room for it.
func (t *TargetPolicy) returnTime(now time.Time, s *classState, wait time.Duration, job *Job) time.Duration {
	interval := t.returnInterval(now, s)
	earliest := max(0, wait-t.maxTargetWait(s)) + interval
	// The jitter is not less than the interval, since other servers reject calls of the same callers.
	jitter := time.Duration(t.random.Float64() * max(float64(interval), returnSpread*float64(earliest)))
	at := now.Add(earliest)
	if at.Before(s.load.returns.next) {
		at = s.load.returns.next
	}
	if float64(at.Add(jitter).Sub(now)) <= returnTimeShare*float64(job.Deadline.Sub(now)) {
		s.load.returns.next = at.Add(interval)
	}
	return at.Add(jitter).Sub(now)
}

// returnInterval returns the mean time between two returns of a class that leave enough capacity for new calls.
func (t *TargetPolicy) returnInterval(now time.Time, s *classState) time.Duration {
	used := max(s.load.admittedLoad(now), t.starvationShare(s), minEstimateRate)
	return time.Duration(s.serviceTime.Seconds() / (returnShare * used) * float64(time.Second))
}

// SeedReturns seeds the jitter of Retry-After, so that servers do not state the same times.
func (t *TargetPolicy) SeedReturns(seed uint64) { t.random = newReturnRandom(seed) }

// newReturnRandom returns the source of the jitter of a policy.
func newReturnRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 2)) }
