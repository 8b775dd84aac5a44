package admission

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/skylarkrelay/skylarkrelay/class"
)

//go:generate go tool stringer -type=RejectReason -linecomment

// RejectReason is the reason for which a call was rejected.
type RejectReason int

const (
	// NoCapacity means that the call was not queued because the targets of the classes leave no capacity for it.
	NoCapacity RejectReason = iota // crowded
	// Expired means that the call was dropped while queued: its deadline passed or could no longer be met, or on an
	// overloaded server it had waited too long for its latency target.
	Expired // expired
	// Canceled means that the caller disconnected, or that the channel passed to Acquire was closed, while the call was
	// queued.
	Canceled // withdrawn
	// WaitExceeded means that the call was or would have been queued for longer than its maximum wait. Another server may
	// start it sooner.
	WaitExceeded // wait_exceeded
	// Cold means that the call was not queued because the backend server is cold and accepts too few requests to start
	// it in time.
	Cold // cold
)

// RejectedError reports a call that was rejected. The call has not run.
type RejectedError struct {
	Class  class.Name
	Reason RejectReason
	// RetryAfter is the time until capacity is expected to be free, or zero if it was not estimated.
	RetryAfter time.Duration
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("call of class %s rejected by admission control: %s", e.Class, e.Reason)
}

// Controller admits calls to one backend server in the order of a policy, up to a concurrency limit. It is safe for
// concurrent use.
type Controller struct {
	clock clockwork.Clock

	mu      sync.Mutex
	policy  Policy
	limit   *ConcurrencyLimit
	running int
	nextID  uint64
	rate    rateLimiter
	warmup  warmupLimiter
	// isRateUnknown limits the concurrency to one until SetRateLimit.
	isRateUnknown bool
	// isWakeScheduled reports whether a timer will start queued jobs once the rate limit permits.
	isWakeScheduled bool
}

// rejectionMargin is how long before its deadline a queued call is rejected, so that the rejection reaches the daemon
// that sent the call before that daemon reports the outcome as unknown.
const rejectionMargin = 25 * time.Millisecond

// capacityAware is implemented by policies that depend on how many jobs the server runs at a time, and on how many may
// start per second.
type capacityAware interface {
	SetConcurrency(concurrency int)
	SetRateLimit(limit rate.Limit)
	Capacity() float64
	MeanServiceTime() time.Duration
}

// runTracker is implemented by policies that follow the running jobs.
type runTracker interface {
	Ended(job *Job)
}

// NewController returns a controller for a server that runs the given number of calls at a time.
func NewController(policy Policy, concurrency int, clock clockwork.Clock) *Controller {
	return &Controller{clock: clock, policy: policy, limit: NewConcurrencyLimit(concurrency)}
}

// SetConcurrency sets the number of calls that the server runs at a time, and resets the concurrency limit to it.
func (c *Controller) SetConcurrency(concurrency int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = NewConcurrencyLimit(concurrency)
	c.updatePolicyConcurrency()
	c.dispatch()
}

// AwaitRateLimit limits the concurrency to one until SetRateLimit. A daemon that starts beside a running server does not
// know the limit that the server may have stated before.
func (c *Controller) AwaitRateLimit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isRateUnknown = true
}

// SetRateLimit sets the number of calls per second that the server accepts. With rate.Inf there is no limit.
func (c *Controller) SetRateLimit(limit rate.Limit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isChanged := c.rate.set(c.clock.Now(), limit)
	if !isChanged && !c.isRateUnknown {
		return
	}
	c.isRateUnknown = false
	if p, ok := c.policy.(capacityAware); ok {
		p.SetRateLimit(c.rate.limit())
	}
	c.dispatch()
}

// Ticket permits one call to run. It counts against the concurrency limit until Done, Shed or Cancel is called.
type Ticket struct {
	controller *Controller
	job        *Job
	startedAt  time.Time
	onEnd      func()
}

// OnEnd sets a function that is called when the ticket ends. The call may outlive the one who waits for it.
func (t *Ticket) OnEnd(onEnd func()) { t.onEnd = onEnd }

// IsUnanswering reports whether the server has left the last calls unanswered until their deadline.
func (c *Controller) IsUnanswering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limit.timeouts > 0
}

// Acquire queues a call until it may run, and returns its ticket, which must be ended with Done, Shed or Cancel. It
// returns a RejectedError if the call is rejected, if ctx is canceled, or if the channel canceled is closed.
func (c *Controller) Acquire(ctx context.Context, callClass *class.Class, deadline time.Time,
	canceled <-chan struct{},
) (*Ticket, error) {
	return c.AcquireFor(ctx, Request{Class: callClass, Deadline: deadline}, canceled)
}

// Request describes a call that is to be admitted.
type Request struct {
	Class    *class.Class
	Deadline time.Time
	// MaxWait bounds the time in the queue. The call is rejected at once if it is not expected to start within it, and
	// dropped once it has waited for that time. Zero is no bound.
	MaxWait time.Duration
	// IsReturn reports whether the call returned after the Retry-After of an earlier rejection.
	IsReturn bool
}

// AcquireWithin is like Acquire with a maximum wait.
func (c *Controller) AcquireWithin(ctx context.Context, callClass *class.Class, deadline time.Time,
	maxWait time.Duration, canceled <-chan struct{},
) (*Ticket, error) {
	return c.AcquireFor(ctx, Request{Class: callClass, Deadline: deadline, MaxWait: maxWait}, canceled)
}

// AcquireFor is like Acquire for a request.
func (c *Controller) AcquireFor(ctx context.Context, r Request, canceled <-chan struct{}) (*Ticket, error) {
	callClass, maxWait := r.Class, r.MaxWait
	admitted := make(chan bool, 1)
	job, rejected := c.offer(r, admitted)
	if job == nil {
		return nil, rejected
	}
	select {
	case isAdmitted := <-admitted:
		return c.newTicket(job, isAdmitted)
	default:
	}
	reason, limit := Expired, job.Deadline.Sub(job.Arrived)-rejectionMargin
	if maxWait > 0 && maxWait < limit {
		reason, limit = WaitExceeded, maxWait
	}
	timer := c.clock.NewTimer(limit)
	defer timer.Stop()
	select {
	case isAdmitted := <-admitted:
		return c.newTicket(job, isAdmitted)
	case <-timer.Chan():
	case <-ctx.Done():
		reason = Canceled
	case <-canceled:
		reason = Canceled
	}
	if c.remove(job) {
		return nil, &RejectedError{Class: callClass.Name, Reason: reason}
	}
	return c.newTicket(job, <-admitted) // the policy decided before the job could be removed
}

func (c *Controller) newTicket(job *Job, isAdmitted bool) (*Ticket, error) {
	if !isAdmitted {
		return nil, &RejectedError{Class: job.Class, Reason: Expired, RetryAfter: job.RetryAfter}
	}
	return &Ticket{controller: c, job: job, startedAt: c.clock.Now()}, nil
}

// ServiceTime returns the expected run time of a call of a class.
func (c *Controller) ServiceTime(name class.Name) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.policy.ServiceTime(name)
}

// CapacityShare returns the share of the server's concurrency that its rate limit permits to use, one without a limit.
func (c *Controller) CapacityShare() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.policy.(capacityAware); ok {
		return p.Capacity() / float64(c.limit.Current())
	}
	return 1
}

// offer queues a call, or returns the error that rejects it.
func (c *Controller) offer(r Request, admitted chan bool) (*Job, *RejectedError) {
	callClass, deadline, maxWait := r.Class, r.Deadline, r.MaxWait
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.nextID++
	job := &Job{ID: c.nextID, Class: callClass.Name, Arrived: now, Deadline: deadline, IsReturn: r.IsReturn, Data: admitted}
	c.policy.UpdateClass(now, callClass)
	if rejected := c.rejectByWait(now, job, maxWait); rejected != nil {
		return nil, rejected
	}
	if delay := c.rejectWhileCold(now, job, callClass.Latency); delay > 0 {
		return nil, &RejectedError{Class: job.Class, Reason: Cold, RetryAfter: delay}
	}
	if !c.policy.Offer(now, job) {
		rejected := &RejectedError{Class: job.Class, Reason: NoCapacity, RetryAfter: job.RetryAfter}
		if rejected.RetryAfter <= 0 {
			rejected.RetryAfter = c.estimatedWait()
		}
		return nil, rejected
	}
	c.dispatch()
	return job, nil
}

// rejectByWait returns the error that rejects a job which the rate limit keeps until its deadline, or which is expected to
// wait for longer than its bound. It returns nil for other jobs.
func (c *Controller) rejectByWait(now time.Time, job *Job, maxWait time.Duration) *RejectedError {
	if delay := c.rate.delay(now, 1); delay > 0 && now.Add(delay).After(job.Deadline.Add(-rejectionMargin)) {
		return &RejectedError{Class: job.Class, Reason: NoCapacity, RetryAfter: delay}
	}
	if maxWait > 0 {
		if wait := c.expectedWait(now, job.Class, job.IsReturn); wait > maxWait {
			return &RejectedError{Class: job.Class, Reason: WaitExceeded, RetryAfter: wait - maxWait}
		}
	}
	return nil
}

// estimatedWait returns how long a new call is expected to be queued.
func (c *Controller) estimatedWait() time.Duration {
	return max(c.concurrencyDelay(), c.rateDelay())
}

// concurrencyDelay returns how long a new call is expected to be queued because of the concurrency limit.
func (c *Controller) concurrencyDelay() time.Duration {
	return c.policy.Backlog() / time.Duration(c.limit.Current())
}

// rateDelay returns how long a new call is expected to be queued because of the rate limit, or because the server is
// cold.
func (c *Controller) rateDelay() time.Duration {
	now, jobs := c.clock.Now(), c.policy.Waiting()+1
	return max(c.rate.delay(now, jobs), c.warmup.delay(now, jobs))
}

func (c *Controller) remove(job *Job) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.policy.Remove(job)
}

// Done ends the ticket of a call that ran.
func (t *Ticket) Done() {
	t.finish(func(now time.Time) {
		runTime := now.Sub(t.startedAt)
		t.controller.policy.Done(now, t.job, runTime)
		t.controller.limit.Done()
	})
}

// TimedOut ends the ticket of a call that the server did not answer until its deadline. It returns the concurrency limit
// and whether the call has lowered it. A call that had less time than its latency target and unanswerableFactor times its
// usual run time shows nothing about the server. The time of one that had more is no run time: it would raise the usual run
// time so far that the next timeouts no longer count.
func (t *Ticket) TimedOut(latency time.Duration) (limit int, isLowered bool) {
	t.finish(func(now time.Time) {
		c := t.controller
		waited := now.Sub(t.startedAt)
		// Unanswered calls raise the learned run time, so no more than half of the latency target counts as usual.
		usual := min(c.policy.ServiceTime(t.job.Class), latency/2)
		if waited >= max(latency, unanswerableFactor*usual) {
			before := c.limit.Current()
			c.limit.TimedOut()
			isLowered = c.limit.Current() < before
		} else {
			c.policy.Done(now, t.job, waited)
		}
		limit = c.limit.Current()
	})
	return limit, isLowered
}

// unanswerableFactor is the multiple of its usual run time that a call must have had for its timeout to count against the
// server.
const unanswerableFactor = 3

// Shed ends the ticket of a call that the server rejected for lack of capacity.
func (t *Ticket) Shed() { t.finish(func(time.Time) { t.controller.limit.Shed() }) }

// Cancel ends the ticket of a call that for another reason did not run.
func (t *Ticket) Cancel() { t.finish(func(time.Time) {}) }

func (t *Ticket) finish(record func(now time.Time)) {
	if t.onEnd != nil {
		defer t.onEnd()
	}
	c := t.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	if p, ok := c.policy.(runTracker); ok {
		p.Ended(t.job)
	}
	record(c.clock.Now())
	c.updatePolicyConcurrency()
	c.dispatch()
}

func (c *Controller) updatePolicyConcurrency() {
	if p, ok := c.policy.(capacityAware); ok {
		p.SetConcurrency(c.limit.Current())
	}
}

// maxRunning returns the number of jobs that may run at a time.
func (c *Controller) maxRunning() int {
	if c.isRateUnknown {
		return 1
	}
	return c.limit.Current()
}

// dispatch starts queued jobs while fewer run than the concurrency limit allows and the rate limit permits.
func (c *Controller) dispatch() {
	for c.running < c.maxRunning() {
		now := c.clock.Now()
		if delay := max(c.rate.delay(now, 1), c.warmup.delay(now, 1)); delay > 0 {
			c.dispatchAfter(delay)
			return
		}
		started := false
		for _, d := range c.policy.Next(now) {
			d.Job.Data.(chan bool) <- d.Run
			started = started || d.Run
		}
		if !started {
			return
		}
		c.running++
		c.rate.start(now)
		c.warmup.start(now)
	}
}

// dispatchAfter schedules the next dispatch if jobs are queued.
func (c *Controller) dispatchAfter(delay time.Duration) {
	if c.isWakeScheduled || c.policy.Waiting() == 0 {
		return
	}
	c.isWakeScheduled = true
	c.clock.AfterFunc(delay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.isWakeScheduled = false
		c.dispatch()
	})
}

// State is a snapshot of a controller, for logs and status output.
type State struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Limit   int `json:"limit"`
	// Wait is how long a new call is expected to be queued, and RateDelay how long for the rate limit alone.
	Wait      time.Duration `json:"wait_ns"`
	RateDelay time.Duration `json:"rate_delay_ns,omitempty"`
	// RatePerSecond is the rate limit in calls per second, or zero if there is none.
	RatePerSecond float64 `json:"rate_per_s,omitempty"`
	// IsCold reports whether the server is limited because it is cold.
	IsCold bool `json:"cold,omitempty"`
}

// State returns a snapshot of the controller.
func (c *Controller) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	rateDelay := c.rateDelay()
	s := State{
		Running:   c.running,
		Waiting:   c.policy.Waiting(),
		Limit:     c.limit.Current(),
		Wait:      max(c.concurrencyDelay(), rateDelay),
		RateDelay: rateDelay,
		IsCold:    c.warmup.isCold(c.clock.Now()),
	}
	if limit := c.rate.limit(); limit != rate.Inf {
		s.RatePerSecond = float64(limit)
	}
	return s
}
