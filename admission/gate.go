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
func (g *Gate) Acquire(ctx context.Context, name class.Name, deadline time.Time, withdrawn <-chan struct{}) (*Ticket, error) {
	answer := make(chan bool, 1)
	job := g.offer(name, deadline, answer)
	if job == nil {
		return nil, &DeniedError{Class: name, Denial: Crowded}
	}
	timer := g.clock.NewTimer(deadline.Sub(job.Arrived))
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
		return nil, &DeniedError{Class: name, Denial: denial}
	}
	return g.ticket(job, <-answer) // decided in the same moment
}

func (g *Gate) ticket(job *Job, isLetIn bool) (*Ticket, error) {
	if !isLetIn {
		return nil, &DeniedError{Class: job.Class, Denial: Expired}
	}
	return &Ticket{gate: g, job: job, start: g.clock.Now()}, nil
}

func (g *Gate) offer(name class.Name, deadline time.Time, answer chan bool) *Job {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.nextID++
	job := &Job{ID: g.nextID, Class: name, Arrived: now, Deadline: deadline, Data: answer}
	if !g.policy.Offer(now, job) {
		return nil
	}
	g.pump()
	return job
}

func (g *Gate) remove(job *Job) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.policy.Remove(job)
}

// Done ends a ticket. A refused call was not begun, for lack of room at the server.
func (t *Ticket) Done(isRefused bool) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.running--
	if isRefused {
		g.limit.Shed()
	} else {
		g.policy.Done(now, t.job, now.Sub(t.start))
		g.limit.Done(t.job.Class, now.Sub(t.start))
	}
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
}

// State returns the gate's present state.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return State{Running: g.running, Waiting: g.policy.Waiting(), Limit: g.limit.Current()}
}
