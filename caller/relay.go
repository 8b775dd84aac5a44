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
	// holdShare is the part of a call's remaining time for which it is held while its key has no server.
	holdShare = 0.3
	// reroutePause is the wait before a call is sent again when the routes have not changed meanwhile.
	reroutePause = 15 * time.Millisecond
	// returnShare is the part of its remaining time after which a caller should come back for a key without a server.
	returnShare = 0.25
	// retryReserve is the part of a class's latency target that must be left to try once more.
	retryReserve = 0.25
)

// Sender gives a call to the daemon beside a server.
type Sender interface {
	Send(ctx context.Context, to *Server, c call.Call) call.Result
}

// Attempt is one sending of a call, for the log.
type Attempt struct {
	Call   call.Call
	Host   ownership.HostID
	Result call.Result
	Duration   time.Duration
}

// Relay brings a call to the daemon beside the server that owns its key, or beside one that suits it, and sends it again
// where that is safe: work that surely did not run, and idempotent work from a budget.
type Relay struct {
	clock    clockwork.Clock
	table    *Table
	sender   Sender
	balancer *balancer
	budget   *Budget
	observe  func(Attempt)
}

// NewRelay returns a relay for a daemon in a failure domain. It reports each attempt that was not answered.
func NewRelay(domain ownership.Domain, table *Table, sender Sender, budget *Budget, observe func(Attempt), clock clockwork.Clock, seed uint64) *Relay {
	return &Relay{
		clock:    clock,
		table:    table,
		sender:   sender,
		balancer: newBalancer(domain, clock, rand.New(rand.NewPCG(seed, 1))),
		budget:   budget,
		observe:  observe,
	}
}

// PruneServers drops what is known of daemons that are in no cell any more.
func (r *Relay) PruneServers(routes Routes) { r.balancer.forget(routes) }

// journey is one call on its way through the attempts.
type journey struct {
	call call.Call
	// tried holds the servers without a key that were asked.
	tried map[ownership.HostID]bool
	// sent counts the servers that may have got the call.
	sent int
	// heldUntil is until when the call waits for its key to have a server.
	heldUntil time.Time
	last      call.Result
	// mayHaveRun says that an attempt had no answer.
	mayHaveRun bool
}

// Do brings a call to its outcome.
func (r *Relay) Do(ctx context.Context, c call.Call) call.Result {
	now := r.clock.Now()
	j := &journey{
		call:      c,
		tried:     map[ownership.HostID]bool{},
		heldUntil: now.Add(time.Duration(holdShare * float64(c.Deadline.Sub(now)))),
		last:      call.NotRun(call.NoServer),
	}
	r.budget.Earn(c.Service)
	for {
		cell, changed := r.table.Cell(c.Service)
		target := r.target(cell, j)
		if target == nil {
			if !r.mayWait(cell, j) || !r.pause(ctx, j, changed) {
				return r.conclude(ctx, j)
			}
			continue
		}
		if j.sent > 0 && !r.budget.Spend(c.Service) {
			return r.conclude(ctx, j)
		}
		r.attempt(ctx, target, j)
		switch r.decide(j) {
		case finish:
			return r.conclude(ctx, j)
		case afterChange:
			if !r.pause(ctx, j, changed) {
				return r.conclude(ctx, j)
			}
		case elsewhere:
		}
	}
}

// target returns the server to ask, or nil if none is known.
func (r *Relay) target(cell *Cell, j *journey) *Server {
	if cell == nil {
		return nil
	}
	if cell.IsKeyed && j.call.HasKey {
		return cell.owner(j.call.Key)
	}
	return r.balancer.pick(cell, j.tried)
}

// mayWait tells whether a server may turn up while the call is held: only keys move within a call's time.
func (r *Relay) mayWait(cell *Cell, j *journey) bool {
	return cell != nil && cell.IsKeyed && j.call.HasKey
}

func (r *Relay) attempt(ctx context.Context, target *Server, j *journey) {
	j.call.IsRetry = j.sent > 0
	end := r.balancer.begin(target.Host)
	start := r.clock.Now()
	answer := r.sender.Send(ctx, target, j.call)
	end(answer)
	j.last = answer
	j.tried[target.Host] = true
	wasSent := answer.Outcome != class.NotRun || answer.Reason == call.Refused || answer.Reason == call.Shed
	if wasSent {
		j.sent++
	}
	j.mayHaveRun = j.mayHaveRun || answer.Outcome == class.Unknown
	if answer.Outcome != class.Answered {
		r.observe(Attempt{Call: j.call, Host: target.Host, Result: answer, Duration: r.clock.Since(start)})
	}
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

// decide tells whether a call is sent again.
func (r *Relay) decide(j *journey) next {
	hasAttempts := j.sent < j.call.Class.Attempts
	switch j.last.Outcome {
	case class.NotRun:
		return r.decideNotRun(j, hasAttempts)
	case class.Unknown:
		if j.call.Class.Idempotent && hasAttempts && j.last.Reason == call.AnswerLost && r.hasTime(j) {
			return elsewhere
		}
		return finish
	default:
		isFailure := j.last.Status >= leastServerError
		r.budget.Answered(j.call.Service, isFailure)
		if isFailure && !r.budget.IsFailing(j.call.Service) && j.call.Class.Idempotent && hasAttempts && r.hasTime(j) {
			return elsewhere
		}
		return finish
	}
}

func (r *Relay) decideNotRun(j *journey, hasAttempts bool) next {
	switch j.last.Reason {
	case call.NotOwner, call.Unreachable, call.NoServer:
		if j.call.HasKey {
			return afterChange
		}
		return elsewhere
	case call.Refused:
		if !hasAttempts {
			return finish
		}
		if j.call.HasKey {
			return afterChange
		}
		return elsewhere
	case call.Shed:
		if hasAttempts && !j.call.HasKey {
			return elsewhere
		}
		return finish
	case call.Overload, call.Late:
		if !j.call.HasKey && r.hasTime(j) {
			return elsewhere
		}
		return finish
	default:
		return finish
	}
}

// hasTime tells whether enough of the call's time is left for another try.
func (r *Relay) hasTime(j *journey) bool {
	reserve := time.Duration(retryReserve * float64(j.call.Class.Latency))
	return j.call.Deadline.Sub(r.clock.Now()) > reserve
}

// pause waits for the routes to change, for a short while at most. It returns false when the call should not be held
// any longer.
func (r *Relay) pause(ctx context.Context, j *journey, changed <-chan struct{}) bool {
	left := j.heldUntil.Sub(r.clock.Now())
	if left <= 0 {
		return false
	}
	timer := r.clock.NewTimer(min(left, reroutePause))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.Chan():
	case <-ctx.Done():
		return false
	}
	return r.clock.Now().Before(j.heldUntil)
}

// conclude keeps an earlier unknown outcome: a later attempt that did not run does not undo it.
func (r *Relay) conclude(ctx context.Context, j *journey) call.Result {
	answer := j.last
	if answer.Outcome != class.NotRun {
		return answer
	}
	if j.mayHaveRun {
		return call.Unknown(call.AnswerLost)
	}
	if ctx.Err() != nil && answer.Reason != call.Late {
		answer.Reason = call.CallerGone
	}
	isWithoutServer := answer.Reason == call.NotOwner || answer.Reason == call.Unreachable || answer.Reason == call.NoServer
	if isWithoutServer {
		answer.RetryAfter = time.Duration(returnShare * float64(j.call.Deadline.Sub(r.clock.Now())))
	}
	return answer
}
