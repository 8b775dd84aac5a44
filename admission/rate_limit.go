package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstTime is the time whose requests a rate-limited server may get at once. A short burst keeps the requests of
	// any window close to the limit, also if the daemon restarts within it.
	burstTime = 500 * time.Millisecond
	// minRate is the rate at which a server that accepts fewer requests is still sent some, because only a response
	// can end its limit.
	minRate rate.Limit = 0.25
	// rateWindow is the time over which the starts are counted when the limit falls, and maxWindowShare how many may lie
	// in it, as a multiple of the number that the limit permits.
	rateWindow     = 4 * time.Second
	maxWindowShare = 1.25
	// countedBefore is how long before a change of the limit starts are counted against the new one.
	countedBefore = time.Second
	// timerTolerance is the wait that counts as none, so that rounding does not cause another timer.
	timerTolerance = time.Microsecond
)

// rateLimiter limits the rate of job starts. The zero value does not limit it.
//
// A token bucket spaces the starts. It does not know of those before a change of the limit, so the starts of the last
// rateWindow are counted as well: after a fall, the server gets less than the new limit until the window is balanced.
type rateLimiter struct {
	bucket *rate.Limiter
	// starts holds the times of the starts of the last rateWindow or, without a limit, of the last countedBefore.
	starts    []time.Time
	changedAt time.Time
}

// set sets the limit and reports whether it differs from the one before. With rate.Inf there is none. A new limit starts
// without tokens, because the requests just before it count as well.
func (r *rateLimiter) set(now time.Time, limit rate.Limit) bool {
	limit = max(limit, minRate)
	before := r.limit()
	if limit == before {
		return false
	}
	if limit == rate.Inf {
		r.bucket = nil
		return true
	}
	if limit < before {
		r.changedAt = now
	}
	burst := max(1, int(float64(limit)*burstTime.Seconds()))
	if r.bucket == nil {
		r.bucket = rate.NewLimiter(limit, burst)
		r.bucket.ReserveN(now, burst)
		return true
	}
	r.bucket.SetLimitAt(now, limit)
	r.bucket.SetBurstAt(now, burst)
	return true
}

// limit returns the rate in force, or rate.Inf.
func (r *rateLimiter) limit() rate.Limit {
	if r.bucket == nil {
		return rate.Inf
	}
	return r.bucket.Limit()
}

// delay returns the time until the given number of jobs may have started.
func (r *rateLimiter) delay(now time.Time, jobs int) time.Duration {
	if r.bucket == nil {
		return 0
	}
	missing := float64(jobs) - r.bucket.TokensAt(now)
	delay := time.Duration(math.Ceil(missing / float64(r.bucket.Limit()) * float64(time.Second)))
	delay = max(delay, r.windowDelay(now))
	if delay <= timerTolerance {
		return 0
	}
	return delay
}

// windowDelay returns the time until the window has room for another start.
func (r *rateLimiter) windowDelay(now time.Time) time.Duration {
	counted := r.counted(now)
	for len(counted) > 0 && r.changedAt.Sub(counted[0]) > countedBefore {
		counted = counted[1:]
	}
	most := max(1, int(maxWindowShare*float64(r.bucket.Limit())*rateWindow.Seconds()))
	if len(counted) < most {
		return 0
	}
	return counted[len(counted)-most].Add(rateWindow).Sub(now)
}

// prune forgets the starts that no longer count.
func (r *rateLimiter) prune(now time.Time) { r.starts = r.counted(now) }

// counted returns the starts that still count.
func (r *rateLimiter) counted(now time.Time) []time.Time {
	window := rateWindow
	if r.bucket == nil {
		window = countedBefore
	}
	expired := 0
	for expired < len(r.starts) && now.Sub(r.starts[expired]) >= window {
		expired++
	}
	return r.starts[expired:]
}

// start counts a job that starts.
func (r *rateLimiter) start(now time.Time) {
	r.prune(now)
	r.starts = append(r.starts, now)
	if r.bucket != nil {
		r.bucket.ReserveN(now, 1)
	}
}
