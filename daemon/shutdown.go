package daemon

import (
	"context"
	"time"

	"github.com/oklog/run"

	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// shutdownError ends the run group after a requested shutdown.
type shutdownError struct{ reason string }

func (e *shutdownError) Error() string { return e.reason }

const (
	// callerDrainTime is how long callers may continue to send requests after the daemon is no longer ready: two
	// readiness checks one second apart, and a request that is in transit by then.
	callerDrainTime = 2600 * time.Millisecond
	// exitMargin is how long before the end of the grace time the process exits by itself.
	exitMargin = 700 * time.Millisecond
	// serverDrainTime is how long before that exit the backend server gets its last work from this daemon, also for
	// keys that could not be handed over. It is as long as the slowest classes of the deployments may take.
	serverDrainTime = 1600 * time.Millisecond
	// drainPollInterval is how often a draining daemon checks whether it may exit.
	drainPollInterval = 50 * time.Millisecond
	// idleTime is how long a draining daemon has to be without a running call before it exits.
	idleTime = 200 * time.Millisecond
)

// addShutdown adds the graceful shutdown: callers move to other daemons, keys are handed over, and running calls end.
func (d *Daemon) addShutdown(stop <-chan struct{}) component {
	return func(ctx context.Context, group *run.Group) error {
		ctx, cancel := context.WithCancel(ctx)
		group.Add(func() error {
			select {
			case <-ctx.Done():
				return nil
			case <-stop:
			}
			return d.drain(ctx, stop)
		}, func(error) { cancel() })
		return nil
	}
}

// shutdownSchedule holds how long after the signal to stop a daemon rejects the requests of callers and the calls whose
// deadline is after its exit, rejects all calls for its backend server, and exits even if calls are still running.
type shutdownSchedule struct{ rejectCallers, rejectServerCalls, exit time.Duration }

func newShutdownSchedule(grace time.Duration) shutdownSchedule {
	end := grace - exitMargin
	return shutdownSchedule{rejectCallers: callerDrainTime, rejectServerCalls: end - serverDrainTime, exit: end}
}

// drain runs the graceful shutdown. It returns when the daemon may exit, or at once after a second signal.
func (d *Daemon) drain(ctx context.Context, stopAgain <-chan struct{}) error {
	d.isStopping.Store(true)
	d.callerHandler.Drain()
	d.log.Info("stop begun", "grace_ms", d.settings.Stop.GraceTime.Milliseconds())
	d.control.post(ctx, d.control.beginShutdown)
	schedule := newShutdownSchedule(d.settings.Stop.GraceTime)
	start := d.clock.Now()
	idleSince := start
	ticker := d.clock.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stopAgain:
			return &shutdownError{reason: "second signal"}
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		now := d.clock.Now()
		if d.callerHandler.Active() > 0 || d.runner.Running() > 0 {
			idleSince = now
		}
		elapsed := now.Sub(start)
		if elapsed >= schedule.rejectCallers {
			d.callerHandler.RejectCalls()
			d.runner.RejectCallsPast(start.Add(schedule.exit))
		}
		if elapsed >= schedule.rejectServerCalls && !d.runner.IsRejecting() {
			d.runner.RejectCalls()
			d.control.post(ctx, d.control.announceRejection)
		}
		isIdle := now.Sub(idleSince) >= idleTime && elapsed >= schedule.rejectCallers+idleTime
		if isIdle && d.control.isHandoverDone(ctx) || elapsed >= schedule.exit {
			d.control.revokeOwnLease()
			return &shutdownError{reason: "drained"}
		}
	}
}

// beginShutdown announces the shutdown and starts the handover of all keys.
func (c *control) beginShutdown(now ownership.Instant) {
	c.isShuttingDown = true
	c.isDirty = true
	c.announce(now)
	c.updateDataPlane(now)
}

// announceRejection notifies other daemons that the local backend server gets no more work from this daemon, not
// even for the keys that it owns.
func (c *control) announceRejection(now ownership.Instant) {
	c.log.Info("backend server gets no more work from this daemon", "owns_keys", c.ownsKeys())
	c.announce(now)
	c.updateDataPlane(now)
}

// isHandoverDone reports whether this daemon owns no more keys. It also returns true when the context has ended,
// because then no key can be handed over any more.
func (c *control) isHandoverDone(ctx context.Context) bool {
	result := make(chan bool, 1)
	c.post(ctx, func(ownership.Instant) { result <- !c.ownsKeys() })
	select {
	case isDone := <-result:
		return isDone
	case <-ctx.Done():
		return true
	}
}

func (c *control) ownsKeys() bool {
	record, _ := c.machine.KnownRecord()
	if !c.isKeyed() || record == nil {
		return false
	}
	keys, _ := record.CountsByMember()
	self := record.MemberIndex(c.self)
	return self != ownership.NoMember && keys[self] > 0
}

// revokeTimeout bounds the revocation of the lease at the end of the shutdown.
const revokeTimeout = 200 * time.Millisecond

// revokeOwnLease revokes the lease of this host, so that other hosts do not wait for its expiry. A daemon that still
// owns keys keeps the lease: the next daemon on this host continues to serve them.
func (c *control) revokeOwnLease() {
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	done := make(chan store.LeaseID, 1)
	c.post(ctx, func(ownership.Instant) {
		lease := store.LeaseID(0)
		if !c.ownsKeys() {
			lease = c.registrar.Lease()
		}
		done <- lease
	})
	select {
	case lease := <-done:
		if lease == 0 {
			return
		}
		if err := c.store.Revoke(ctx, lease); err != nil {
			c.log.Warn("revoking the lease of this host failed or was not confirmed; unless revoked, it remains until it expires",
				"error", err)
		}
	case <-ctx.Done():
	}
}

// addReload adds the reloading of the settings on request.
func (d *Daemon) addReload(reload <-chan struct{}) component {
	return func(ctx context.Context, group *run.Group) error {
		addLoop(ctx, group, func(ctx context.Context) error {
			for {
				select {
				case <-ctx.Done():
					return nil
				case <-reload:
					d.reload()
				}
			}
		})
		return nil
	}
}
