package admission

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

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
}

// rejectionMargin is how long before its deadline a queued call is rejected, so that the rejection reaches the daemon
// that sent the call before that daemon reports the outcome as unknown.
const rejectionMargin = 25 * time.Millisecond

// concurrencyAware is implemented by policies that depend on the number of jobs that the server runs at a time.
type concurrencyAware interface{ SetConcurrency(concurrency int) }

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

// Ticket permits one call to run. It counts against the concurrency limit until Done, Shed or Cancel is called.
type Ticket struct {
	controller *Controller
	job        *Job
	startedAt  time.Time
}

// Acquire queues a call until it may run, and returns its ticket, which must be ended with Done, Shed or Cancel. It
// returns a RejectedError if the call is rejected, if ctx is canceled, or if the channel canceled is closed.
func (c *Controller) Acquire(ctx context.Context, callClass *class.Class, deadline time.Time,
	canceled <-chan struct{},
) (*Ticket, error) {
	admitted := make(chan bool, 1)
	job, wait := c.offer(callClass, deadline, admitted)
	if job == nil {
		return nil, &RejectedError{Class: callClass.Name, Reason: NoCapacity, RetryAfter: wait}
	}
	select {
	case isAdmitted := <-admitted:
		return c.newTicket(job, isAdmitted)
	default:
	}
	timer := c.clock.NewTimer(deadline.Sub(job.Arrived) - rejectionMargin)
	defer timer.Stop()
	reason := Expired
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

func (c *Controller) offer(callClass *class.Class, deadline time.Time, admitted chan bool) (*Job, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.nextID++
	job := &Job{ID: c.nextID, Class: callClass.Name, Arrived: now, Deadline: deadline, Data: admitted}
	c.policy.UpdateClass(now, callClass)
	if !c.policy.Offer(now, job) {
		if job.RetryAfter > 0 {
			return nil, job.RetryAfter
		}
		return nil, c.estimatedWait()
	}
	c.dispatch()
	return job, 0
}

// estimatedWait returns how long a new call is expected to be queued.
func (c *Controller) estimatedWait() time.Duration {
	return c.policy.Backlog() / time.Duration(c.limit.Current())
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

// Shed ends the ticket of a call that the server rejected for lack of capacity.
func (t *Ticket) Shed() { t.finish(func(time.Time) { t.controller.limit.Shed() }) }

// Cancel ends the ticket of a call that for another reason did not run.
func (t *Ticket) Cancel() { t.finish(func(time.Time) {}) }

func (t *Ticket) finish(record func(now time.Time)) {
	c := t.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	record(c.clock.Now())
	c.updatePolicyConcurrency()
	c.dispatch()
}

func (c *Controller) updatePolicyConcurrency() {
	if p, ok := c.policy.(concurrencyAware); ok {
		p.SetConcurrency(c.limit.Current())
	}
}

// dispatch starts queued jobs while fewer run than the concurrency limit allows.
func (c *Controller) dispatch() {
	for c.running < c.limit.Current() {
		started := false
		for _, d := range c.policy.Next(c.clock.Now()) {
			d.Job.Data.(chan bool) <- d.Run
			started = started || d.Run
		}
		if !started {
			return
		}
		c.running++
	}
}

// State is a snapshot of a controller, for logs and status output.
type State struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Limit   int `json:"limit"`
	// Wait is how long a new call is expected to be queued.
	Wait time.Duration `json:"wait_ns"`
}

// State returns a snapshot of the controller.
func (c *Controller) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return State{Running: c.running, Waiting: c.policy.Waiting(), Limit: c.limit.Current(), Wait: c.estimatedWait()}
}
