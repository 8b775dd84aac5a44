package backend

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/capacity"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/dependency"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/quarantine"
)

// Runner runs calls on the backend server of this host, within the permit and the concurrency limit. It is safe for
// concurrent use.
type Runner struct {
	clock      clockwork.Clock
	controller *admission.Controller
	current    atomic.Pointer[activePermit]
	running    atomic.Int64
	// sentSinceCheck counts the calls that were sent to a server with a limit while cold since its last check.
	sentSinceCheck atomic.Int64
	isRejecting    atomic.Bool
	// end is when this daemon ends, or nil if it is not known.
	end atomic.Pointer[time.Time]
	// onUnreachable is called when a call could not connect to the server's address. It must not block.
	onUnreachable func()
	// onBroken is called when the server closed the connection of a running call. It must not block.
	onBroken func(ownership.Instance)
	// onAbandoned is called for a call whose caller left before it was sent. It must not block.
	onAbandoned func(AbandonedCall)
	// onUnanswered is called for a call that the server did not answer until its deadline. It must not block.
	onUnanswered func(UnansweredCall)
	isLoadAware  atomic.Bool
	// isAssigned is nil if calls never wait for their key.
	isAssigned     AssignmentCheck
	noticeObserver NoticeObserver
	warmupObserver WarmupObserver
	quarantine     *quarantine.List
	// nesting is nil if nested calls are treated like others.
	nesting  *dependency.Tracker
	returns  keyedReturns
	host     ownership.HostID
	onReport CrashObserver
	// isolation holds a value while a suspected call runs.
	isolation chan struct{}
	requests  *requestBound
	onCrowded func(CrowdedCall)

	mu sync.Mutex
	// stated is what the server at the current client stated about itself.
	stated notices
	// cold is what is known of whether the server at the current client is cold.
	cold coldness
	// lostCalls contains the calls whose connection to the server at the current client broke.
	lostCalls []lostCall
	// demand and totalDemand hold the run time that calls asked for, by key and in total, since TakeDemand last reset
	// them.
	demand      map[class.Key]time.Duration
	totalDemand time.Duration
	runTimes    *capacity.Meter
}

// AssignmentCheck reports whether the ownership record assigns a key of this host's service to this host, and returns a
// channel that is closed when the answer may have changed.
type AssignmentCheck func(key class.Key) (isAssigned bool, changed <-chan struct{})

// WaitForKeys makes calls for keys that are assigned to this host wait until the server holds them, because a key on its
// way arrives with one of the next heartbeats. It must be called before the first call.
func (r *Runner) WaitForKeys(isAssigned AssignmentCheck) { r.isAssigned = isAssigned }

// ObserveNotices sets the observer of what the server states about itself. It must be called before the first call.
func (r *Runner) ObserveNotices(o NoticeObserver) { r.noticeObserver = o }

// ObserveBrokenCalls sets the observer of calls whose connection the server closed before it answered. It must be called
// before the first call, and the observer must not block.
func (r *Runner) ObserveBrokenCalls(onBroken func(instance ownership.Instance)) {
	r.onBroken = onBroken
}

// AbandonedCall describes a call whose caller left before the call was sent to the server, for logs and metrics.
type AbandonedCall struct {
	Call call.Call
	// Waited is how long the call was queued on this host.
	Waited time.Duration
}

// ObserveAbandoned sets the observer of callers that left before their call was sent. It must be called before the first
// call, and the observer must not block.
func (r *Runner) ObserveAbandoned(onAbandoned func(AbandonedCall)) { r.onAbandoned = onAbandoned }

// NewRunner returns a runner without a permit, which rejects all calls. It calls onUnreachable, which must not block,
// when a call could not connect to the server's address.
func NewRunner(controller *admission.Controller, onUnreachable func(), clock clockwork.Clock) *Runner {
	r := &Runner{
		clock:         clock,
		controller:    controller,
		onUnreachable: onUnreachable,
		onBroken:      func(ownership.Instance) {},
		onAbandoned:   func(AbandonedCall) {},
		onUnanswered:  func(UnansweredCall) {},
		demand:        map[class.Key]time.Duration{},
		runTimes:      capacity.NewMeter(),
		stated:        newNotices(),
		quarantine:    quarantine.NewList(clock),
		onReport:      func(quarantine.Report, class.RequestID) {},
		isolation:     make(chan struct{}, 1),
		requests:      newRequestBound(0),
		onCrowded:     func(CrowdedCall) {},
		noticeObserver: NoticeObserver{
			RateLimitChanged: func(RateLimitChange) {},
			Leaving:          func(string, class.RequestID) {},
			Invalid:          func(error) {},
		},
		warmupObserver: WarmupObserver{
			Rejected:  func(call.Call, time.Duration) {},
			Suspected: func(ownership.Instance, string) {},
			CheckDue:  func() {},
		},
	}
	r.current.Store(&activePermit{replaced: make(chan struct{})})
	return r
}

// SetPermit replaces the permit and the client. Queued calls check again whether they may start.
func (r *Runner) SetPermit(p Permit, client *Client) {
	r.mu.Lock()
	if client != r.current.Load().client {
		r.cold = coldness{until: p.ColdUntil, statedAt: r.clock.Now()}
	}
	// The limit is set before the permit, so that no call starts on a new instance without it.
	r.controller.SetWarmup(p.Warmup, r.cold.limitedUntil())
	old := r.current.Swap(&activePermit{Permit: p, client: client, replaced: make(chan struct{})})
	var lost []lostCall
	if old.client != nil && client != old.client {
		lost = r.takeLostCalls(old.IsLeaving)
		// The client is replaced with the instance of the server, and another instance may accept more.
		r.stated = newNotices()
		r.runTimes.Reset()
		r.controller.SetRateLimit(rate.Inf)
	}
	r.mu.Unlock()
	for _, l := range lost {
		r.reportCrash(l)
	}
	if p.Concurrency != old.Concurrency && p.Concurrency > 0 {
		r.controller.SetConcurrency(p.Concurrency)
	}
	close(old.replaced)
}

// Running returns the number of calls that are running on the server.
func (r *Runner) Running() int { return int(r.running.Load()) }

// Load returns the load of the server and of the admission queue before it.
func (r *Runner) Load() call.Load {
	state := r.controller.State()
	return call.Load{
		Running:     state.Running,
		Waiting:     state.Waiting,
		Concurrency: state.Limit,
		QueueDelay:  state.Wait,
		RateDelay:   state.RateDelay,
		Slowdown:    r.slowdown(),
	}
}

// Run admits a call and sends it to the server. The result carries the load, and a RetryAfter if the call did not run.
func (r *Runner) Run(ctx context.Context, c call.Call) call.Result {
	arrived := r.clock.Now()
	isNested := r.observeArrival(c)
	c.IsReturn = r.returns.claim(c)
	result := r.admit(ctx, c)
	result.IsNested = isNested
	if result.Outcome == class.NotRun && result.Reason == call.CallerGone {
		r.onAbandoned(AbandonedCall{Call: c, Waited: r.clock.Since(arrived)})
	}
	load := r.Load()
	result.Load = &load
	if result.Outcome == class.NotRun && result.RetryAfter == 0 {
		result.RetryAfter = load.QueueDelay
	}
	r.returns.observe(c, result)
	return result
}

// admit queues the call until it may run, or rejects it, and then dispatches it.
func (r *Runner) admit(ctx context.Context, c call.Call) call.Result {
	now := r.clock.Now()
	keyDeadline := now.Add(time.Duration(keyWaitShare * float64(c.Deadline.Sub(now))))
	isIsolated, isRunAdmitted := false, false
	room := r.requests.room(len(c.Body))
	defer room.release()
	for {
		verdict := r.quarantineVerdict(c)
		if !verdict.HeldUntil.IsZero() {
			return verdict.Refusal(r.clock.Now())
		}
		if verdict.IsSuspected && !isIsolated {
			release := r.isolate(ctx, c)
			if release == nil {
				return call.NotRun(call.Overload)
			}
			defer release()
			isIsolated = true
			continue // the call before it may have ended the server
		}
		permit := r.current.Load()
		if r.isRejected(c) || permit.client == nil || !permit.isUsableFor(c) {
			return call.NotRun(call.NotOwner)
		}
		if !permit.allows(r.clock.Now(), c) {
			if r.waitForKey(ctx, permit, c, keyDeadline) {
				continue
			}
			return call.NotRun(call.NotOwner)
		}
		if !isRunAdmitted {
			if retryAfter := r.runRejection(c); retryAfter > 0 {
				result := call.NotRun(call.Dependency)
				result.RetryAfter = retryAfter
				return result
			}
			isRunAdmitted = true
		}
		ticket, err := r.controller.AcquireFor(ctx, admission.Request{
			Class: c.Class, Deadline: c.Deadline, MaxWait: maxWait(c, now, r.clock.Now()), IsReturn: c.IsReturn,
		}, permit.replaced)
		if err == nil && !isIsolated && r.quarantineVerdict(c).IsSuspected {
			ticket.Cancel()
			continue
		}
		if err == nil && !room.tryTake() {
			ticket.Cancel() // calls without a body run meanwhile
			if !r.waitForRoom(ctx, c, &room) {
				return noRoomResult(ctx, c)
			}
			continue
		}
		if err == nil {
			ticket.OnEnd(room.handOver())
			return r.dispatch(ctx, c, ticket)
		}
		result, isFinal := rejectionResult(ctx, err)
		if isFinal {
			r.recordRejection(c, err)
			return result
		}
	}
}

// minMaxWait is the bound of a call that has used up its maximum wait before it reached admission control. Zero would be
// no bound.
const minMaxWait = time.Microsecond

// maxWait returns how much of its maximum wait is left to a call that arrived at the given time, or zero if it has none.
func maxWait(c call.Call, arrived, now time.Time) time.Duration {
	if c.MaxWait <= 0 {
		return 0
	}
	return max(minMaxWait, c.MaxWait-now.Sub(arrived))
}

// keyWaitShare is the share of its remaining time that a call waits for the server to hold its key.
const keyWaitShare = 0.3

// waitForKey waits for a change of the permit or of the assignment of the call's key. It returns false if the key is not
// assigned to this host, or if the call has waited until its limit.
func (r *Runner) waitForKey(ctx context.Context, permit *activePermit, c call.Call, limit time.Time) bool {
	if r.isAssigned == nil {
		return false
	}
	isAssigned, changed := r.isAssigned(c.Key)
	remaining := limit.Sub(r.clock.Now())
	if !isAssigned || remaining <= 0 {
		return false
	}
	timer := r.clock.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-permit.replaced:
		return true
	case <-changed:
		return true
	case <-timer.Chan():
		return false
	case <-ctx.Done():
		return false
	}
}

// rejectionResult converts a rejection by admission control to a result. It returns false if the permit was replaced
// while the call was queued, in which case the call is queued again under the new permit.
func rejectionResult(ctx context.Context, err error) (call.Result, bool) {
	var rejected *admission.RejectedError
	if !errors.As(err, &rejected) {
		return call.NotRun(call.Overload), true
	}
	switch rejected.Reason {
	case admission.Expired:
		result := call.NotRun(call.Late)
		result.RetryAfter = rejected.RetryAfter
		return result, true
	case admission.WaitExceeded:
		result := call.NotRun(call.WaitExceeded)
		result.RetryAfter = rejected.RetryAfter
		return result, true
	case admission.Canceled:
		if ctx.Err() == nil {
			return call.Result{}, false
		}
		return call.NotRun(call.EndReason(ctx)), true
	default:
		result := call.NotRun(call.Overload)
		result.RetryAfter = rejected.RetryAfter
		return result, true
	}
}

// dispatch sends an admitted call to the server, unless the permit no longer allows it, and ends the ticket.
func (r *Runner) dispatch(ctx context.Context, c call.Call, ticket *admission.Ticket) call.Result {
	start := r.clock.Now()
	permit := r.current.Load()
	if r.isRejected(c) || !permit.allows(start, c) || permit.client == nil {
		ticket.Cancel()
		return call.NotRun(call.NotOwner)
	}
	ctx, cancel := clockwork.WithDeadline(ctx, r.clock, c.Deadline)
	defer cancel()
	return r.send(ctx, c, ticket, permit)
}

// send sends a call to the server and ends the ticket.
func (r *Runner) send(ctx context.Context, c call.Call, ticket *admission.Ticket, permit *activePermit) call.Result {
	start := r.clock.Now()
	r.countForCheck(permit)
	r.running.Add(1)
	endRun := r.observeRun(c)
	result := permit.client.Do(ctx, c, permit.Instance)
	endRun()
	r.running.Add(-1)
	r.observeNotice(permit, c, start, result)
	r.suspectAfter(permit, result)
	switch {
	case result.Reason == call.Unreachable:
		r.onUnreachable()
	case result.Outcome == class.Answered:
		r.observeSurvival(c)
	case result.IsDisconnected && result.Reason == call.AnswerLost && r.observeLostAnswer(ctx, permit, c):
		result.Reason = call.ServerEnded
		r.onUnreachable()
	}
	runTime := r.clock.Since(start)
	r.addDemand(c, runTime)
	r.observeRunTime(permit, c, runTime, result)
	switch {
	case result.Outcome == class.Unknown && result.Reason == call.CallerGone:
		r.endAbandoned(c, ticket)
	case result.Reason == call.TimedOut && r.isLoadAware.Load():
		r.endUnanswered(c, ticket, r.clock.Since(start))
	case result.Reason == call.Shed:
		ticket.Shed()
	case result.Outcome == class.NotRun:
		ticket.Cancel()
	default:
		ticket.Done()
	}
	return result
}

// State returns the state of admission control.
func (r *Runner) State() admission.State { return r.controller.State() }

// Assess states how a call would be treated by admission control if it arrived now, and whether the server may get it at
// all. It changes nothing. Reasons to hold the single request back are not judged.
func (r *Runner) Assess(c call.Call) (assessment admission.Assessment, isAllowed bool) {
	permit := r.current.Load()
	isAllowed = !r.isRejected(c) && permit.client != nil && permit.isUsableFor(c) && permit.allows(r.clock.Now(), c)
	return r.controller.Assess(admission.Request{Class: c.Class, Deadline: c.Deadline, MaxWait: c.MaxWait}), isAllowed
}
