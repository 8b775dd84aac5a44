package backend

import (
	"context"
	"time"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// WarmupObserver holds the functions that are called for decisions about a cold server. They must not block.
type WarmupObserver struct {
	// Rejected is called for each call that was rejected because the server is cold.
	Rejected func(c call.Call, retryAfter time.Duration)
	// Suspected is called when a server that counted as warm may have restarted, for the given reason.
	Suspected func(instance ownership.Instance, reason string)
	// CheckDue is called when the server has got so many calls that it should be checked whether it has become cold.
	CheckDue func()
}

// ObserveWarmup sets the observer of decisions about a cold server. It must be called before the first call.
func (r *Runner) ObserveWarmup(o WarmupObserver) { r.warmupObserver = o }

// ColdState is what is known of whether the backend server is cold.
type ColdState struct {
	// Left is how long the server remains cold as it stated itself, or zero.
	Left time.Duration
	// IsSuspected reports that the server may have restarted since its last statement, and is limited for that.
	IsSuspected bool
}

// Cold returns what is known of whether the server is cold.
func (r *Runner) Cold() ColdState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return ColdState{
		Left:        max(0, r.cold.until.Sub(r.clock.Now())),
		IsSuspected: r.cold.isSuspected(),
	}
}

// checkShare is the share of the requests that a cold server may get in a second after which a warm one is checked.
// Without the checks, a busy server that becomes cold would get hundreds of requests before its next heartbeat.
const checkShare = 0.5

// countForCheck counts a call that is sent to the server, and reports when enough were sent for the next check.
func (r *Runner) countForCheck(permit *activePermit) {
	if permit.Warmup.IsZero() {
		return
	}
	if r.sentSinceCheck.Add(1) == int64(max(1, checkShare*float64(permit.Warmup.Most))) {
		r.warmupObserver.CheckDue()
	}
}

// CheckBegins records that a check of the server's warm-up begins.
func (r *Runner) CheckBegins() { r.sentSinceCheck.Store(0) }

// ColdShare returns the share of its usual requests that a cold server with the given concurrency accepts.
func (r *Runner) ColdShare(limit admission.WarmupLimit, concurrency int) float64 {
	return r.controller.ColdShare(limit, concurrency)
}

// StateWarmup applies what the current instance of the server stated in a heartbeat or a health response. A statement of
// another instance is ignored.
func (r *Runner) StateWarmup(instance ownership.Instance, s WarmupStatement) {
	r.mu.Lock()
	if r.current.Load().ServerInstance != instance {
		r.mu.Unlock()
		return
	}
	r.cold.apply(s)
	r.limitCold()
	r.mu.Unlock()
}

// SuspectRestart limits the server as cold until its next statement, because it may have restarted.
func (r *Runner) SuspectRestart(instance ownership.Instance, reason string) {
	r.mu.Lock()
	permit := r.current.Load()
	if permit.Warmup.IsZero() || permit.ServerInstance != instance {
		r.mu.Unlock()
		return
	}
	wasCold := r.clock.Now().Before(r.cold.limitedUntil())
	r.cold.suspect(r.clock.Now())
	r.limitCold()
	r.mu.Unlock()
	if !wasCold {
		r.warmupObserver.Suspected(instance, reason)
	}
}

// limitCold passes what is known to admission control. If the server has become cold, the permit is replaced by a copy, so
// that queued calls check again whether they can start in time. The caller holds the lock.
func (r *Runner) limitCold() {
	permit := r.current.Load()
	now, until := r.clock.Now(), r.cold.limitedUntil()
	wasCold := r.controller.IsCold()
	r.controller.SetWarmup(permit.Warmup, until)
	isCold := !permit.Warmup.IsZero() && now.Before(until)
	if isCold && !wasCold {
		r.current.Store(&activePermit{Permit: permit.Permit, client: permit.client, replaced: make(chan struct{})})
		close(permit.replaced)
	}
}

// suspectAfter suspects a restart if the result of a call shows that connections to the server break.
func (r *Runner) suspectAfter(permit *activePermit, result call.Result) {
	if permit.Warmup.IsZero() {
		return
	}
	switch {
	case result.Reason == call.Unreachable:
		r.SuspectRestart(permit.ServerInstance, "unreachable")
	case result.IsDisconnected && result.Outcome == class.Unknown:
		r.SuspectRestart(permit.ServerInstance, "broken connection")
	}
}

// CheckWarmup requests the server's health and returns what it stated about its warm-up, or nil if it stated nothing.
func (client *Client) CheckWarmup(ctx context.Context, path string) (*WarmupStatement, error) {
	sentAt := client.clock.Now()
	response, err := client.requestHealth(ctx, path)
	if err != nil {
		return nil, err
	}
	text := response.Header.Get(client.headerNames.Warmup)
	if text == "" {
		return nil, nil //nolint:nilnil // a server need not state its warm-up in each response
	}
	left, err := call.ParseWarmup(text)
	if err != nil {
		return nil, err
	}
	return &WarmupStatement{SentAfter: sentAt, ArrivedAt: client.clock.Now(), Left: left}, nil
}
