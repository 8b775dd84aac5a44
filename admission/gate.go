package admission

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/class"
)

//go:generate go tool stringer -type=Denial -linecomment

// Denial says why a call was not let in.
type Denial int

const (
	// Crowded means that the classes' targets leave no room for the call.
	Crowded Denial = iota // crowded
	// Expired means that the call's deadline passed, or could not be met, while it waited.
	Expired // expired
	// Withdrawn means that the caller or the slot went away while the call waited.
	Withdrawn // withdrawn
)

// DeniedError reports a call that was not let in. It surely did not run.
type DeniedError struct {
	Class  class.Name
	Denial Denial
	// Wait is when there will be room, for a call that was denied for lack of it.
	Wait time.Duration
}

func (e *DeniedError) Error() string { return fmt.Sprintf("class %s: %s", e.Class, e.Denial) }

// Gate lets calls through to one backend server in the order of a policy. It is safe for concurrent use.
type Gate struct {
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

// NewGate returns a gate to a server that announced a number of places.
func NewGate(policy Policy, places int, clock clockwork.Clock) *Gate {
	return &Gate{clock: clock, policy: policy, limit: NewLimit(places)}
}

// SetClasses takes in the classes in force. It applies to waiting calls too.
func (g *Gate) SetClasses(classes []class.Class) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.policy.SetClasses(g.clock.Now(), classes)
	g.pump()
}

// SetPlaces takes in a new announcement of the server.
func (g *Gate) SetPlaces(places int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = NewLimit(places)
	g.tellPlaces()
	g.pump()
}

// Ticket is the right to run one call.
type Ticket struct {
	gate  *Gate
	job   *Job
	start time.Time
}

// Acquire waits until the call may run. The ticket must be ended with Done. The call also stops waiting when
// withdrawn closes.
func (g *Gate) Acquire(ctx context.Context, c *class.Class, deadline time.Time, withdrawn <-chan struct{}) (*Ticket, error) {
	answer := make(chan bool, 1)
	job, wait := g.offer(c, deadline, answer)
	if job == nil {
		return nil, &DeniedError{Class: c.Name, Denial: Crowded, Wait: wait}
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
		denial = Withdrawn
	case <-withdrawn:
		denial = Withdrawn
	}
	if g.remove(job) {
		return nil, &DeniedError{Class: c.Name, Denial: denial}
	}
	return g.ticket(job, <-answer) // decided in the same moment
}

func (g *Gate) ticket(job *Job, isLetIn bool) (*Ticket, error) {
	if !isLetIn {
		return nil, &DeniedError{Class: job.Class, Denial: Expired, Wait: job.RetryAfter}
	}
	return &Ticket{gate: g, job: job, start: g.clock.Now()}, nil
}

func (g *Gate) offer(c *class.Class, deadline time.Time, answer chan bool) (*Job, time.Duration) {
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
func (g *Gate) wait() time.Duration {
	return g.policy.Backlog() / time.Duration(g.limit.Current())
}

func (g *Gate) remove(job *Job) bool {
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

func (g *Gate) tellPlaces() {
	if p, ok := g.policy.(placed); ok {
		p.SetPlaces(g.limit.Current())
	}
}

// pump lets jobs through while there are free places.
func (g *Gate) pump() {
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
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return State{Running: g.running, Waiting: g.policy.Waiting(), Limit: g.limit.Current(), Wait: g.wait()}
}
