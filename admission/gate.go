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

// RejectReason says why a call was not let in.
type RejectReason int

const (
	// Crowded means that the classes' targets leave no room for the call.
	Crowded RejectReason = iota // crowded
	// Expired means that the call's deadline passed, or could not be met, while it waited.
	Expired // expired
	// Canceled means that the caller or the slot went away while the call waited.
	Canceled // withdrawn
)

// RejectedError reports a call that was not let in. It surely did not run.
type RejectedError struct {
	Class  class.Name
	Reason RejectReason
	// RetryAfter is when there will be room, for a call that was denied for lack of it.
	RetryAfter time.Duration
}

func (e *RejectedError) Error() string { return fmt.Sprintf("class %s: %s", e.Class, e.Reason) }

// Controller lets calls through to one backend server in the order of a policy. It is safe for concurrent use.
type Controller struct {
	clock clockwork.Clock

	mu      sync.Mutex
	policy  Policy
	limit   *Limit
	running int
	nextID  uint64
}

// answerTime is how long before its deadline a call that has not begun is given up, so that the refusal reaches the daemon
// that asked before that one has to call the outcome unknown.
const answerTime = 25 * time.Millisecond

// placed is implemented by policies that depend on the number of places.
type placed interface{ SetPlaces(places int) }

// NewController returns a gate to a server that announced a number of places.
func NewController(policy Policy, places int, clock clockwork.Clock) *Controller {
	return &Controller{clock: clock, policy: policy, limit: NewLimit(places)}
}

// SetClasses takes in the classes in force. It applies to waiting calls too.
func (g *Controller) SetClasses(classes []class.Class) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.policy.SetClasses(g.clock.Now(), classes)
	g.pump()
}

// SetCapacity takes in a new announcement of the server.
func (g *Controller) SetCapacity(places int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = NewLimit(places)
	g.tellPlaces()
	g.pump()
}

// Ticket is the right to run one call.
type Ticket struct {
	gate  *Controller
	job   *Job
	start time.Time
}

// Acquire waits until the call may run. The ticket must be ended with Done. The call also stops waiting when
// withdrawn closes.
func (g *Controller) Acquire(ctx context.Context, c *class.Class, deadline time.Time, withdrawn <-chan struct{}) (*Ticket, error) {
	answer := make(chan bool, 1)
	job, wait := g.offer(c, deadline, answer)
	if job == nil {
		return nil, &RejectedError{Class: c.Name, Reason: Crowded, RetryAfter: wait}
	}
	select {
	case isLetIn := <-answer:
		return g.ticket(job, isLetIn)
	default:
	}
	timer := g.clock.NewTimer(deadline.Sub(job.Arrived) - answerTime)
	defer timer.Stop()
	denial := Expired
	select {
	case isLetIn := <-answer:
		return g.ticket(job, isLetIn)
	case <-timer.Chan():
	case <-ctx.Done():
		denial = Canceled
	case <-withdrawn:
		denial = Canceled
	}
	if g.remove(job) {
		return nil, &RejectedError{Class: c.Name, Reason: denial}
	}
	return g.ticket(job, <-answer) // decided in the same moment
}

func (g *Controller) ticket(job *Job, isLetIn bool) (*Ticket, error) {
	if !isLetIn {
		return nil, &RejectedError{Class: job.Class, Reason: Expired, RetryAfter: job.RetryAfter}
	}
	return &Ticket{gate: g, job: job, start: g.clock.Now()}, nil
}

func (g *Controller) offer(c *class.Class, deadline time.Time, answer chan bool) (*Job, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.nextID++
	job := &Job{ID: g.nextID, Class: c.Name, Arrived: now, Deadline: deadline, Data: answer}
	g.policy.Know(now, c)
	if !g.policy.Offer(now, job) {
		if job.RetryAfter > 0 {
			return nil, job.RetryAfter
		}
		return nil, g.wait()
	}
	g.pump()
	return job, 0
}

// wait returns how long a new call would wait for a place.
func (g *Controller) wait() time.Duration {
	return g.policy.Backlog() / time.Duration(g.limit.Current())
}

func (g *Controller) remove(job *Job) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.policy.Remove(job)
}

// Done ends the ticket of a call that ran.
func (t *Ticket) Done() {
	t.end(func(now time.Time) {
		took := now.Sub(t.start)
		t.gate.policy.Done(now, t.job, took)
		t.gate.limit.Done()
	})
}

// Shed ends the ticket of a call that the server refused for lack of room.
func (t *Ticket) Shed() { t.end(func(time.Time) { t.gate.limit.Shed() }) }

// Cancel ends the ticket of a call that did not run for another reason.
func (t *Ticket) Cancel() { t.end(func(time.Time) {}) }

func (t *Ticket) end(learn func(now time.Time)) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	learn(g.clock.Now())
	g.tellPlaces()
	g.pump()
}

func (g *Controller) tellPlaces() {
	if p, ok := g.policy.(placed); ok {
		p.SetPlaces(g.limit.Current())
	}
}

// pump lets jobs through while there are free places.
func (g *Controller) pump() {
	for g.running < g.limit.Current() {
		isRunning := false
		for _, v := range g.policy.Next(g.clock.Now()) {
			v.Job.Data.(chan bool) <- v.Run
			isRunning = isRunning || v.Run
		}
		if !isRunning {
			return
		}
		g.running++
	}
}

// State is what the gate tells for logs and status.
type State struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Limit   int `json:"limit"`
	// Wait is how long a new call would wait for a place.
	Wait time.Duration `json:"wait_ns"`
}

// State returns the gate's present state.
func (g *Controller) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return State{Running: g.running, Waiting: g.policy.Waiting(), Limit: g.limit.Current(), Wait: g.wait()}
}
