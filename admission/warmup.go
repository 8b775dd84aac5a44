package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// warmupWindow is the time over which the requests of a cold server are counted.
	warmupWindow = time.Second
	// warmupBurst bounds the requests that a cold server gets at once. A short burst keeps the requests of any second
	// close to the rate, also if another daemon process sent some earlier in that second.
	warmupBurst = 3
	// warmupMargin is the share of the permitted requests of a second that is used. The rest covers requests that were
	// delayed on their way and arrive together with later ones.
	warmupMargin = 0.75
	// warmReturnFactor is how many times as many callers are asked to return in a second once the server is warm.
	warmReturnFactor = 10
)

// WarmupLimit is the limit of the requests to a cold server. The zero value is none.
type WarmupLimit struct {
	// Rate is the number of requests per second that a cold server accepts.
	Rate rate.Limit
	// Most is the number of requests that a cold server may get in any second. It includes those from before it became
	// cold.
	Most int
}

// NewWarmupLimit returns the limit for servers that accept perSecond requests while they are cold, and that may get
// overage times as many, and slack more, in a second. Without a rate there is no limit.
func NewWarmupLimit(perSecond, overage, slack float64) WarmupLimit {
	if perSecond <= 0 {
		return WarmupLimit{}
	}
	most := max(1, int(warmupMargin*(perSecond*overage+slack)))
	return WarmupLimit{Rate: rate.Limit(min(perSecond, float64(most))), Most: most}
}

// IsZero reports whether there is no limit.
func (l WarmupLimit) IsZero() bool { return l.Most == 0 }

// burst returns the number of requests that a cold server may get at once after a pause.
func (l WarmupLimit) burst() int {
	return max(1, min(warmupBurst, l.Most-int(math.Ceil(float64(l.Rate)))))
}

// warmupLimiter limits the job starts of a cold server. The zero value does not limit it.
//
// A token bucket spaces the starts. It begins empty, so that a daemon that restarts repeatedly adds no burst each time. The
// starts of the last second are counted as well, because the server may have become cold in the middle of a flood.
type warmupLimiter struct {
	limit WarmupLimit
	// until is when the server is no longer cold.
	until  time.Time
	bucket *rate.Limiter
	// starts holds the times of the last starts, at most limit.Most of them.
	starts []time.Time
	// promised is the latest time at which a rejected caller was asked to return.
	promised time.Time
}

// set sets the limit and the time until which it applies, and reports whether the server has become cold.
func (w *warmupLimiter) set(now time.Time, limit WarmupLimit, until time.Time) bool {
	wasCold := w.isCold(now)
	w.limit, w.until = limit, until
	if limit.IsZero() {
		w.starts, w.bucket = nil, nil
		return false
	}
	w.trim()
	if !w.isCold(now) {
		return false
	}
	if !wasCold || w.bucket == nil {
		w.bucket = rate.NewLimiter(limit.Rate, limit.burst())
		w.bucket.ReserveN(now, limit.burst())
		w.promised = time.Time{}
		return true
	}
	if w.bucket.Limit() != limit.Rate || w.bucket.Burst() != limit.burst() {
		w.bucket.SetLimitAt(now, limit.Rate)
		w.bucket.SetBurstAt(now, limit.burst())
	}
	return false
}

// isCold reports whether the limit applies.
func (w *warmupLimiter) isCold(now time.Time) bool { return !w.limit.IsZero() && now.Before(w.until) }

// delay returns the time until the given number of jobs may have started.
func (w *warmupLimiter) delay(now time.Time, jobs int) time.Duration {
	if !w.isCold(now) {
		return 0
	}
	missing := float64(jobs) - w.bucket.TokensAt(now)
	delay := time.Duration(math.Ceil(missing / float64(w.limit.Rate) * float64(time.Second)))
	delay = max(delay, w.windowDelay(now, jobs))
	delay = min(delay, w.until.Sub(now))
	if delay <= timerTolerance {
		return 0
	}
	return delay
}

// windowDelay returns the time until the last second has room for the given number of further starts.
func (w *warmupLimiter) windowDelay(now time.Time, jobs int) time.Duration {
	expiring := len(w.starts) - w.limit.Most + min(jobs, w.limit.Most)
	if expiring <= 0 {
		return 0
	}
	return w.starts[expiring-1].Add(warmupWindow).Sub(now)
}

// start counts a job that starts.
func (w *warmupLimiter) start(now time.Time) {
	if w.limit.IsZero() {
		return
	}
	w.starts = append(w.starts, now)
	w.trim()
	if w.isCold(now) {
		w.bucket.ReserveN(now, 1)
	}
}

// trim forgets all starts but the last limit.Most.
func (w *warmupLimiter) trim() {
	if excess := len(w.starts) - w.limit.Most; excess > 0 {
		w.starts = append(w.starts[:0], w.starts[excess:]...)
	}
}

// retryAfter returns when the caller of a job that is rejected now, and that would wait for the given time, finds room.
// Each caller gets a time of its own, so that they do not return together.
func (w *warmupLimiter) retryAfter(now time.Time, wait time.Duration) time.Duration {
	at := now.Add(wait)
	if w.promised.After(at) {
		at = w.promised
	}
	interval := time.Duration(float64(time.Second) / float64(w.limit.Rate))
	if !at.Before(w.until) {
		interval /= warmReturnFactor
	}
	w.promised = at.Add(interval)
	return at.Sub(now)
}

// SetWarmup sets the limit of the backend server's requests while it is cold, and the time until which it is.
func (c *Controller) SetWarmup(limit WarmupLimit, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.warmup.set(c.clock.Now(), limit, until)
	c.dispatch()
}

// ColdShare returns the share of the requests that a server can run in a second that one accepts while it is cold, or one
// without a limit. It assumes the run times of this server's calls.
func (c *Controller) ColdShare(limit WarmupLimit, concurrency int) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.policy.(capacityAware)
	if !ok || limit.IsZero() {
		return 1
	}
	return min(1, float64(limit.Rate)*p.MeanServiceTime().Seconds()/float64(max(1, concurrency)))
}

// IsCold reports whether the backend server is limited because it is cold.
func (c *Controller) IsCold() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.warmup.isCold(c.clock.Now())
}

// rejectWhileCold returns how long the caller of a job is asked to wait if the backend server is cold and the job cannot
// start within its latency target, or zero. A job that can is dropped once its target has passed.
func (c *Controller) rejectWhileCold(now time.Time, job *Job, latency time.Duration) time.Duration {
	wait, isRejected := c.coldWait(now, job, latency)
	if wait == 0 {
		return 0
	}
	if isRejected {
		return c.warmup.retryAfter(now, wait)
	}
	if end := now.Add(latency); end.Before(job.Deadline) {
		job.Deadline = end
	}
	return 0
}

// coldWait returns how long a job waits because the backend server is cold, and whether that is too long.
func (c *Controller) coldWait(now time.Time, job *Job, latency time.Duration) (wait time.Duration, isRejected bool) {
	wait = c.warmup.delay(now, c.policy.Waiting()+1)
	if wait == 0 {
		return 0, false
	}
	runTime := min(c.policy.ServiceTime(job.Class), latency/2)
	startBy := now.Add(latency - runTime)
	if limit := job.Deadline.Add(-rejectionMargin - runTime); limit.Before(startBy) {
		startBy = limit
	}
	return wait, now.Add(wait).After(startBy)
}

// MeanServiceTime returns the mean service time of the classes, weighted by their demand.
func (t *TargetPolicy) MeanServiceTime() time.Duration { return t.meanServiceTime() }
