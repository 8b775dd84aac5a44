package backend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// Lease is what a daemon may do now. The control goroutine replaces it as a whole; traffic only reads it.
type Lease struct {
	// Until ends the right to give keyed orders.
	Until time.Time
	// Fences holds the fence of each slot that may be served; zero means not served.
	Fences []Fence
	// Epoch is the epoch of the server's grant.
	Epoch Epoch
	// IsReady says that the backend server can be used.
	IsReady bool
}

// allows tells whether a call may begin at a time.
func (l *Lease) allows(now time.Time, slot int) bool {
	if !l.IsReady {
		return false
	}
	if slot == call.Unkeyed {
		return true
	}
	return slot < len(l.Fences) && l.Fences[slot] != 0 && now.Before(l.Until)
}

// leased is a lease together with the channel that closes when it is replaced.
type leased struct {
	Lease
	replaced chan struct{}
}

// Runner runs calls on the backend server beside a daemon, inside the daemon's lease. It is safe for concurrent use.
type Runner struct {
	host   string
	clock  clockwork.Clock
	gate   *admission.Gate
	memory *memory
	lease  atomic.Pointer[leased]
	client atomic.Pointer[Client]
	busy   []atomic.Int32
	// worked holds the time that each slot's orders have taken, in nanoseconds.
	worked []atomic.Int64
	idle   chan struct{}

	mu      sync.Mutex
	nextRun uint64
	running map[uint64]running
}

// NewRunner returns a runner without a lease and without a server.
func NewRunner(host string, slots int, gate *admission.Gate, clock clockwork.Clock) *Runner {
	r := &Runner{
		host:    host,
		clock:   clock,
		gate:    gate,
		memory:  newMemory(clock),
		busy:    make([]atomic.Int32, slots),
		worked:  make([]atomic.Int64, slots),
		idle:    make(chan struct{}, 1),
		running: map[uint64]running{},
	}
	r.lease.Store(&leased{replaced: make(chan struct{})})
	return r
}

// SetClient replaces the backend server.
func (r *Runner) SetClient(client *Client) { r.client.Store(client) }

// SetLease replaces the lease. Calls that wait for a slot that is no longer served stop waiting.
func (r *Runner) SetLease(lease Lease) {
	old := r.lease.Swap(&leased{Lease: lease, replaced: make(chan struct{})})
	close(old.replaced)
	r.memory.forget(old.Fences, lease.Fences)
}

// Extend moves the end of the lease and leaves the rest.
func (r *Runner) Extend(until time.Time) {
	old := r.lease.Load()
	next := *old
	next.Until = until
	r.lease.Store(&next)
}

// CutOff ends the calls that run, so that they are answered as unknown: the keyed ones when the lease is gone,
// all when the server is.
func (r *Runner) CutOff(all bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.running {
		if all || run.isKeyed {
			run.cancel()
		}
	}
}

// IdleSignal receives a value when a slot has become idle.
func (r *Runner) IdleSignal() <-chan struct{} { return r.idle }

// Idle returns those of some slots that have no running or waiting call.
func (r *Runner) Idle(slots []class.Slot) []class.Slot {
	var idle []class.Slot
	for _, slot := range slots {
		if r.busy[slot].Load() == 0 {
			idle = append(idle, slot)
		}
	}
	return idle
}

// Run runs a call, or tells why it did not.
func (r *Runner) Run(ctx context.Context, c call.Call) call.Answer {
	leave, ok := r.enter(c.Slot)
	defer leave()
	if !ok {
		return call.NotRun(call.NotOwner)
	}
	if c.Idempotency == "" || c.Class.Idempotent || c.Slot == call.Unkeyed {
		return r.admit(ctx, c)
	}
	return r.memory.once(ctx, c, func() call.Answer { return r.admit(ctx, c) })
}

// enter counts a call on its slot before it looks at the lease, so that a slot once seen idle after the lease
// was replaced stays idle.
func (r *Runner) enter(slot int) (leave func(), ok bool) {
	if slot == call.Unkeyed {
		return func() {}, r.lease.Load().allows(r.clock.Now(), slot)
	}
	if slot < 0 || slot >= len(r.busy) {
		return func() {}, false
	}
	r.busy[slot].Add(1)
	leave = func() {
		if r.busy[slot].Add(-1) == 0 && r.lease.Load().Fences[slot] == 0 {
			r.signalIdle()
		}
	}
	lease := r.lease.Load()
	if len(lease.Fences) != len(r.busy) {
		return func() { r.busy[slot].Add(-1) }, false
	}
	return leave, lease.allows(r.clock.Now(), slot)
}

func (r *Runner) signalIdle() {
	select {
	case r.idle <- struct{}{}:
	default:
	}
}

// admit waits for a place and gives the order.
func (r *Runner) admit(ctx context.Context, c call.Call) call.Answer {
	ticket, err := r.acquire(ctx, c)
	if err != nil {
		return r.denied(ctx, c, err)
	}
	answer := r.order(ctx, c)
	ticket.Done(answer.Reason == call.Shed)
	answer.Host = r.host
	return answer
}

// acquire waits at the gate. A replaced lease makes it look again whether the slot is still served.
func (r *Runner) acquire(ctx context.Context, c call.Call) (*admission.Ticket, error) {
	for {
		lease := r.lease.Load()
		if !lease.allows(r.clock.Now(), c.Slot) {
			return nil, &admission.DeniedError{Class: c.Class.Name, Denial: admission.Withdrawn}
		}
		ticket, err := r.gate.Acquire(ctx, c.Class.Name, c.Deadline, lease.replaced)
		denied, isDenied := err.(*admission.DeniedError)
		isReplaced := isDenied && denied.Denial == admission.Withdrawn && ctx.Err() == nil
		if !isReplaced {
			return ticket, err
		}
	}
}

func (r *Runner) denied(ctx context.Context, c call.Call, err error) call.Answer {
	answer := call.NotRun(call.Overload)
	answer.Host = r.host
	denied, ok := err.(*admission.DeniedError)
	if !ok {
		return answer
	}
	switch {
	case denied.Denial == admission.Expired:
		answer.Reason = call.Late
	case denied.Denial == admission.Withdrawn && ctx.Err() != nil:
		answer.Reason = call.CallerGone
	case denied.Denial == admission.Withdrawn:
		answer.Reason = call.NotOwner
	}
	return answer
}

// order gives the order inside lease and deadline.
func (r *Runner) order(ctx context.Context, c call.Call) call.Answer {
	now := r.clock.Now()
	lease := r.lease.Load()
	client := r.client.Load()
	if client == nil || !lease.allows(now, c.Slot) {
		return call.NotRun(call.NotOwner)
	}
	o := Order{Epoch: lease.Epoch, Slot: c.Slot, Deadline: c.Deadline.Sub(now)}
	grant := o.Deadline
	if c.Slot != call.Unkeyed {
		o.Fence = lease.Fences[c.Slot]
		grant = lease.Until.Sub(now)
	}
	if o.Deadline < time.Millisecond {
		return call.NotRun(call.Late)
	}
	ctx, cancel := clockwork.WithDeadline(ctx, r.clock, c.Deadline)
	defer cancel()
	defer r.track(cancel, c.Slot != call.Unkeyed)()
	answer := client.Do(ctx, c, o, grant)
	if c.Slot != call.Unkeyed {
		r.worked[c.Slot].Add(int64(r.clock.Since(now)))
	}
	return answer
}

// Worked returns the time that each slot's orders have taken since the start.
func (r *Runner) Worked() []time.Duration {
	worked := make([]time.Duration, len(r.worked))
	for slot := range r.worked {
		worked[slot] = time.Duration(r.worked[slot].Load())
	}
	return worked
}

// running is a call that the server has.
type running struct {
	cancel  context.CancelFunc
	isKeyed bool
}

// track remembers a running call, so that CutOff can end it.
func (r *Runner) track(cancel context.CancelFunc, isKeyed bool) (forget func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextRun++
	id := r.nextRun
	r.running[id] = running{cancel: cancel, isKeyed: isKeyed}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.running, id)
	}
}

// Running returns how many calls run.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}
