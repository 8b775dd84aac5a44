package backend

import (
	"context"
	"slices"
	"time"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/quarantine"
)

// CrashObserver is called for each new report about a request that was running when the server ended, or that cleared
// such a request. It must not block.
type CrashObserver func(report quarantine.Report, request class.RequestID)

// Quarantine makes the runner report requests during which the server of this host ends, and hold back those that the
// list holds back. It must be called before the first call.
func (r *Runner) Quarantine(list *quarantine.List, host ownership.HostID, onReport CrashObserver) {
	r.quarantine, r.host, r.onReport = list, host, onReport
}

const (
	// isolationWaitShare is the share of its remaining time that a suspected call waits for another one to end.
	isolationWaitShare = 0.3
	// lostCallTTL is how long a call whose answer was lost is remembered in case that the server turns out to have ended.
	lostCallTTL = 3 * time.Second
	// maxLostCalls bounds the calls that are remembered so.
	maxLostCalls = 64
)

// lostCall is a call whose connection to the server broke. It does not keep the call's body.
type lostCall struct {
	id       class.RequestID
	request  call.Fingerprint
	instance ownership.Instance
	at       time.Time
}

// quarantineVerdict returns what is known of a call.
func (r *Runner) quarantineVerdict(c call.Call) quarantine.Verdict {
	verdict := r.quarantine.Check(c)
	verdict.IsSuspected = verdict.IsSuspected || c.IsSuspected
	return verdict
}

// isolate waits until no other suspected call runs on the server. It returns a function that ends the isolation, or nil
// if the call could not start in time.
func (r *Runner) isolate(ctx context.Context, c call.Call) func() {
	remaining := c.Deadline.Sub(r.clock.Now())
	timer := r.clock.NewTimer(time.Duration(isolationWaitShare * float64(remaining)))
	defer timer.Stop()
	select {
	case r.isolation <- struct{}{}:
		return func() { <-r.isolation }
	case <-timer.Chan():
	case <-ctx.Done():
	}
	return nil
}

// observeSurvival clears a suspected call that the server answered.
func (r *Runner) observeSurvival(c call.Call) {
	if r.quarantine.Check(c).IsSuspected {
		r.report(quarantine.Report{Request: c.Fingerprint(), At: r.clock.Now()}, c.ID)
	}
}

func (r *Runner) report(report quarantine.Report, request class.RequestID) {
	if r.quarantine.Add(report) {
		r.onReport(report, request)
	}
}

// observeLostAnswer determines whether the server ended during a call whose connection broke, and reports it. A server
// that announced its end is no crash.
func (r *Runner) observeLostAnswer(ctx context.Context, permit *activePermit, c call.Call) (hasEnded bool) {
	r.onBroken(permit.ServerInstance)
	if permit.IsLeaving || r.isServerLeaving(permit) {
		return false
	}
	lost := lostCall{id: c.ID, request: c.Fingerprint(), instance: permit.ServerInstance, at: r.clock.Now()}
	if permit.client.IsRefusing(context.WithoutCancel(ctx)) {
		r.reportCrash(lost)
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current.Load().client == permit.client {
		// The server may have ended and started again already.
		r.lostCalls = append(r.recentLostCalls(), lost)
	}
	return false
}

// recentLostCalls returns the calls that were lost within lostCallTTL, and fewer than maxLostCalls. The caller holds the
// lock.
func (r *Runner) recentLostCalls() []lostCall {
	recent := slices.DeleteFunc(r.lostCalls, func(l lostCall) bool { return r.clock.Since(l.at) >= lostCallTTL })
	return recent[max(0, len(recent)-maxLostCalls+1):]
}

func (r *Runner) isServerLeaving(permit *activePermit) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current.Load().client == permit.client && r.stated.isLeaving
}

func (r *Runner) reportCrash(lost lostCall) {
	r.report(quarantine.Report{
		Request: lost.request,
		Crash:   quarantine.Crash{Host: r.host, Instance: lost.instance},
		At:      lost.at,
	}, lost.id)
}

// takeLostCalls returns the calls that were lost shortly before another instance of the server was found. The caller
// holds the lock.
func (r *Runner) takeLostCalls(wasLeaving bool) []lostCall {
	recent := r.recentLostCalls()
	r.lostCalls = nil
	if wasLeaving || r.stated.isLeaving {
		return nil
	}
	return recent
}
