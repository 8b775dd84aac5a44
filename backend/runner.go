package backend

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
)

// Permit is what a daemon may give its backend server now. The control goroutine replaces it as a whole; traffic only
// reads it.
type Permit struct {
	// IsUsable says that the server may get new work.
	IsUsable bool
	// Instance is the life of the server for which work is meant.
	Instance string
	// IsKeyed says that the server runs only work for keys that it holds: those of Keys, until Until.
	IsKeyed bool
	Keys    keyspace.Map[bool]
	Until   time.Time
	// Places is how many calls the server runs at a time.
	Places int
}

// allows tells whether a call may begin at a time.
func (p *Permit) allows(now time.Time, c call.Call) bool {
	if !p.IsUsable {
		return false
	}
	if !p.IsKeyed || !c.HasKey {
		return true
	}
	return p.Keys.At(c.Key) && now.Before(p.Until)
}

// state is a permit together with the channel that closes when it is replaced.
type state struct {
	Permit
	client   *Client
	replaced chan struct{}
}

// Runner runs calls on the backend server beside a daemon. It is safe for concurrent use.
type Runner struct {
	clock   clockwork.Clock
	gate    *admission.Controller
	current atomic.Pointer[state]
	running atomic.Int64
	closed  atomic.Bool
	// suspect is told of calls that found nobody at the server's address. It must not block.
	suspect func()

	mu sync.Mutex
	// worked holds how long calls of each key have run since it was last asked for.
	worked map[class.Key]time.Duration
	busy   time.Duration
}

// NewRunner returns a runner without a permit. It tells suspect, which must not block, of calls that found nobody at the
// server's address.
func NewRunner(gate *admission.Controller, suspect func(), clock clockwork.Clock) *Runner {
	r := &Runner{clock: clock, gate: gate, suspect: suspect, worked: map[class.Key]time.Duration{}}
	r.current.Store(&state{replaced: make(chan struct{})})
	return r
}

// SetPermit replaces the permit and the client. Calls that wait look again whether they may begin.
func (r *Runner) SetPermit(p Permit, client *Client) {
	old := r.current.Swap(&state{Permit: p, client: client, replaced: make(chan struct{})})
	if p.Places != old.Places && p.Places > 0 {
		r.gate.SetCapacity(p.Places)
	}
	close(old.replaced)
}

// Close refuses all further calls: this daemon would end before their answers come.
func (r *Runner) Close() { r.closed.Store(true) }

// IsClosed tells whether further calls are refused.
func (r *Runner) IsClosed() bool { return r.closed.Load() }

// Running returns how many calls the server has.
func (r *Runner) Running() int { return int(r.running.Load()) }

// TakeWorked returns how long calls have run since the last time, by key and in all.
func (r *Runner) TakeWorked() (map[class.Key]time.Duration, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	worked, busy := r.worked, r.busy
	r.worked, r.busy = map[class.Key]time.Duration{}, 0
	return worked, busy
}

// Load returns how much the server has to do.
func (r *Runner) Load() call.Load {
	s := r.gate.State()
	return call.Load{Running: s.Running, Waiting: s.Waiting, Places: s.Limit, Wait: s.Wait}
}

// Run runs a call, or tells why it did not.
func (r *Runner) Run(ctx context.Context, c call.Call) call.Answer {
	answer := r.admit(ctx, c)
	load := r.Load()
	answer.Load = &load
	if answer.Outcome == class.NotRun && answer.RetryAfter == 0 {
		answer.RetryAfter = load.Wait
	}
	return answer
}

// admit waits for a place and gives the order.
func (r *Runner) admit(ctx context.Context, c call.Call) call.Answer {
	for {
		s := r.current.Load()
		if r.IsClosed() || !s.allows(r.clock.Now(), c) || s.client == nil {
			return call.NotRun(call.NotOwner)
		}
		ticket, err := r.gate.Acquire(ctx, c.Class, c.Deadline, s.replaced)
		if err == nil {
			return r.order(ctx, c, ticket)
		}
		answer, isFinal := denied(ctx, err)
		if isFinal {
			return answer
		}
	}
}

// denied translates a refusal of the gate. One because the permit was replaced is looked at again.
func denied(ctx context.Context, err error) (call.Answer, bool) {
	var refusal *admission.RejectedError
	if !errors.As(err, &refusal) {
		return call.NotRun(call.Overload), true
	}
	switch refusal.Reason {
	case admission.Expired:
		answer := call.NotRun(call.Late)
		answer.RetryAfter = refusal.RetryAfter
		return answer, true
	case admission.Canceled:
		if ctx.Err() == nil {
			return call.Answer{}, false
		}
		return call.NotRun(call.CallerGone), true
	default:
		answer := call.NotRun(call.Overload)
		answer.RetryAfter = refusal.RetryAfter
		return answer, true
	}
}

// order gives the call to the server.
func (r *Runner) order(ctx context.Context, c call.Call, ticket *admission.Ticket) call.Answer {
	start := r.clock.Now()
	s := r.current.Load()
	if r.IsClosed() || !s.allows(start, c) || s.client == nil {
		ticket.Cancel()
		return call.NotRun(call.NotOwner)
	}
	ctx, cancel := clockwork.WithDeadline(ctx, r.clock, c.Deadline)
	defer cancel()
	r.running.Add(1)
	answer := s.client.Do(ctx, c, s.Instance)
	r.running.Add(-1)
	if answer.Reason == call.Unreachable {
		r.suspect()
	}
	took := r.clock.Since(start)
	r.mu.Lock()
	r.busy += took
	if c.HasKey {
		r.worked[c.Key] += took
	}
	r.mu.Unlock()
	switch {
	case answer.Reason == call.Shed:
		ticket.Shed()
	case answer.Outcome == class.NotRun:
		ticket.Cancel()
	default:
		ticket.Done()
	}
	return answer
}

// State returns the state of the gate, for operators.
func (r *Runner) State() admission.State { return r.gate.State() }
