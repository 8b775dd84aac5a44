package caller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

const (
	// reroutePause is the wait before a call is sent again when the routes have not changed meanwhile.
	reroutePause = 10 * time.Millisecond
	// retryPause is the wait before idempotent work is sent again after its answer was lost.
	retryPause = 25 * time.Millisecond
)

// Sender gives a call to a daemon.
type Sender interface {
	Send(ctx context.Context, to *ownership.Member, c call.Call) call.Answer
}

// Relay brings a call to the daemon that owns its key, or to one that suits it, and sends it again where that is
// safe: work that surely did not run always, idempotent work from a budget, and nothing because of an overload.
type Relay struct {
	clock    clockwork.Clock
	table    *Table
	sender   Sender
	balancer *balancer
	throttle *throttle
	budget   *budget
	inFlight *inFlight
}

// NewRelay returns a relay for a daemon in a failure domain.
func NewRelay(domain ownership.Domain, table *Table, sender Sender, clock clockwork.Clock, seed uint64) *Relay {
	return &Relay{
		clock:    clock,
		table:    table,
		sender:   sender,
		balancer: newBalancer(domain, clock, rand.New(rand.NewPCG(seed, 1))),
		throttle: newThrottle(clock, rand.New(rand.NewPCG(seed, 2))),
		budget:   newBudget(),
		inFlight: newInFlight(),
	}
}

// Update drops what is known of daemons that are in no cell any more, and ends the wait for answers of lost ones.
func (r *Relay) Update(routes Routes) {
	for _, record := range routes {
		for _, lost := range record.Lost {
			r.inFlight.abort(lost)
		}
	}
	r.balancer.forget(routes)
	r.throttle.forget(routes)
}

//go:generate go tool stringer -type=next -linecomment

// next says what follows an attempt.
type next int

const (
	// finish ends the call with the outcome of the attempt.
	finish next = iota // finish
	// elsewhere sends the call again, to another server if it has no key.
	elsewhere // elsewhere
	// afterChange sends the call again when the routes have changed.
	afterChange // after_change
)

// Do brings a call to its outcome.
func (r *Relay) Do(ctx context.Context, c call.Call) call.Answer {
	tried := map[ownership.Ref]bool{}
	last := call.NotRun(call.NoServer)
	mayHaveRun := false
	for {
		record, changed := r.table.Cell(c.Class.Service)
		target := r.target(record, c, tried)
		step := afterChange
		pause := reroutePause
		if target != nil {
			last = r.attempt(ctx, target, c)
			tried[target.Ref] = true
			step = r.decide(c, last)
			if last.Outcome == class.Unknown {
				mayHaveRun = true
				pause = retryPause
			}
		}
		if target == nil && len(tried) > 0 {
			clear(tried) // all were tried: begin again after a pause
		}
		if step == finish {
			return conclude(last, mayHaveRun)
		}
		if step == elsewhere && target != nil && c.Slot == call.Unkeyed {
			continue
		}
		if !r.pause(ctx, c.Deadline, changed, pause) {
			return conclude(r.outOfTime(ctx, last), mayHaveRun)
		}
	}
}

// conclude keeps an earlier unknown outcome: a later attempt that did not run does not undo it.
func conclude(last call.Answer, mayHaveRun bool) call.Answer {
	if mayHaveRun && last.Outcome == class.NotRun {
		return call.Unknown(call.AnswerLost)
	}
	return last
}

func (r *Relay) outOfTime(ctx context.Context, last call.Answer) call.Answer {
	if ctx.Err() != nil && last.Outcome == class.NotRun {
		return call.NotRun(call.CallerGone)
	}
	return last
}

// target returns the daemon to ask, or nil if none is known.
func (r *Relay) target(record *ownership.Record, c call.Call, tried map[ownership.Ref]bool) *ownership.Member {
	if record == nil {
		return nil
	}
	if c.Slot == call.Unkeyed {
		return r.balancer.pick(record, tried)
	}
	return record.Owner(class.Slot(c.Slot))
}

func (r *Relay) attempt(ctx context.Context, target *ownership.Member, c call.Call) call.Answer {
	f := flow{to: target.Ref, class: c.Class.Name}
	if !r.throttle.allow(f) {
		return call.NotRun(call.Overload)
	}
	ctx, forget := r.inFlight.add(ctx, target.Ref)
	defer forget()
	end := r.balancer.begin(target.Ref)
	answer := r.sender.Send(ctx, target, c)
	end(answer)
	r.throttle.ended(f, answer)
	if answer.Outcome == class.Answered {
		r.budget.earn()
	}
	return answer
}

// decide tells whether a call is sent again.
func (r *Relay) decide(c call.Call, a call.Answer) next {
	switch a.Outcome {
	case class.NotRun:
		isMoving := a.Reason == call.NotOwner || a.Reason == call.Unreachable || a.Reason == call.Refused || a.Reason == call.NoServer
		if isMoving {
			return elsewhere
		}
		return finish
	case class.Unknown:
		isWorthwhile := a.Reason == call.AnswerLost || a.Reason == call.Interrupted
		if c.Class.Idempotent && isWorthwhile && r.clock.Now().Before(c.Deadline) && r.budget.spend() {
			return elsewhere
		}
		return finish
	default:
		return finish
	}
}

// pause waits for the routes to change, for a short while at most. It returns false when time is up.
func (r *Relay) pause(ctx context.Context, deadline time.Time, changed <-chan struct{}, most time.Duration) bool {
	left := deadline.Sub(r.clock.Now())
	if left <= 0 {
		return false
	}
	timer := r.clock.NewTimer(min(left, most))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.Chan():
	case <-ctx.Done():
		return false
	}
	return r.clock.Now().Before(deadline)
}
