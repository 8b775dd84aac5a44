package caller

import (
	"context"
	"time"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
)

const (
	// answeredShare is the share of the answered attempts of a class whose time counts as usual, and patienceFactor the
	// multiple of that time after which an attempt counts as unanswered. A server that is three times slower for some
	// hundred milliseconds still answers within it.
	answeredShare  = 0.98
	patienceFactor = 3
	// minPatience is the share of the latency target that an attempt may take in any case. Classes that take a few
	// milliseconds would otherwise be sent elsewhere for each pause of a process.
	minPatience = 0.5
)

// Resend describes an attempt that was not answered in time, for logs and metrics.
type Resend struct {
	Attempt
	// Withheld is why the call is not sent to another server, or empty if it is.
	Withheld string
}

// ObserveResends sets the observer of attempts that are not answered in time. It must be called before the first call, and
// the observer must not block.
func (r *Relay) ObserveResends(onResend func(Resend)) { r.onResend = onResend }

// send sends a call to a server, and to a second one if it is hedged. If another server may run the call as well, it gives
// the attempt up once nearly all attempts of the class would have been answered, while the latency target remains: a server
// that is full never answers. It returns the attempt whose result counts.
func (r *Relay) send(ctx context.Context, first *outgoing, state *callState) (*outgoing, call.Result) {
	patience := r.patience(state)
	delay := r.hedgeDelay(first)
	if delay > 0 && (patience <= 0 || delay < patience) {
		return r.raceHedge(ctx, first, state, delay, patience)
	}
	if patience <= 0 {
		return first, r.sender.Send(ctx, first.target, first.call)
	}
	r.launch(ctx, first)
	return first, r.awaitPatiently(first, state, patience)
}

// awaitPatiently returns the result of an attempt, or gives it up if it takes longer than patience and the call may be sent
// elsewhere. Zero means that it is not given up.
func (r *Relay) awaitPatiently(first *outgoing, state *callState, patience time.Duration) call.Result {
	defer first.cancel()
	if patience <= 0 || state.sentAttempts+1 >= first.call.Class.Attempts {
		return <-first.results
	}
	timer := r.clock.NewTimer(patience - r.clock.Since(first.start))
	defer timer.Stop()
	select {
	case result := <-first.results:
		return result
	case <-timer.Chan():
	}
	resend := Resend{Attempt: Attempt{
		Call: first.call, Host: first.target.Host, Result: call.Unknown(call.TimedOut), Duration: r.clock.Since(first.start),
	}}
	resend.Withheld = r.withholdResend(first.target, state)
	r.onResend(resend)
	if resend.Withheld != "" {
		return <-first.results
	}
	first.cancel()
	result := <-first.results
	if result.Outcome == class.Answered {
		return result // it arrived meanwhile
	}
	state.isResent, state.isPaid = true, true
	if result.Outcome == class.NotRun {
		return call.NotRun(call.Late) // it was still queued
	}
	return call.Unknown(call.TimedOut)
}

// patience returns how long an attempt may take before the call is sent elsewhere, or zero if it is not.
func (r *Relay) patience(state *callState) time.Duration {
	c := state.call
	if !r.bounded.isActive.Load() || !c.Class.Idempotent || c.HasKey || state.sentAttempts+1 >= c.Class.Attempts {
		return 0
	}
	usual := r.answerTimes.quantile(offerKey{service: c.Service, class: c.Class.Name}, answeredShare)
	if usual == 0 {
		return 0
	}
	patience := max(patienceFactor*usual, time.Duration(minPatience*float64(c.Class.Latency)))
	if c.Deadline.Sub(r.clock.Now())-patience < c.Class.Latency {
		return 0
	}
	return patience
}

// withholdResend returns why a call is not sent to another server, or spends a retry and returns an empty string.
func (r *Relay) withholdResend(target *Server, state *callState) string {
	route, _ := r.table.Lookup(state.call.Service)
	if !r.hasOtherServer(route, target, state) {
		return "no_server"
	}
	if !r.budget.Spend(state.call.Service) {
		return "budget"
	}
	return ""
}

// hasOtherServer reports whether a call that is at a server may be sent to another one, which is warm.
func (r *Relay) hasOtherServer(route *ServiceRoute, target *Server, state *callState) bool {
	if route == nil {
		return false
	}
	now := r.clock.Now()
	for i := range route.Servers {
		s := &route.Servers[i]
		isTried := s.Host == target.Host || state.triedHosts[s.Host]
		if s.IsUsable && !s.IsShuttingDown && !isTried && !s.isLimited(now) && r.leaving.accepts(s) {
			return true
		}
	}
	return false
}
