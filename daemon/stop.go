package daemon

import (
	"context"
	"time"

	"github.com/oklog/run"

	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// stoppedError ends the run group after a stop.
type stoppedError struct{ reason string }

func (e *stoppedError) Error() string { return e.reason }

const (
	// callersLeave is how long callers may go on coming after a daemon is no longer ready: two questions a second
	// apart, and a request that is under way then.
	callersLeave = 2600 * time.Millisecond
	// stopMargin is how long before the end of the grace time the process ends by itself.
	stopMargin = 700 * time.Millisecond
	// lastWork is how long before that end the backend server gets its last work from this daemon, also for keys that could
	// not be given away: as long as the slowest classes of the deployments may take.
	lastWork = 1600 * time.Millisecond
	// stopPoll is how often a stopping daemon looks whether it may end.
	stopPoll = 50 * time.Millisecond
	// quietTime is how long no call must have run before a stopping daemon ends.
	quietTime = 200 * time.Millisecond
)

// addStop ends the daemon in order: callers go elsewhere, keys get new owners, running calls end.
func (d *Daemon) addStop(stop <-chan struct{}) part {
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

// stopSchedule says when, after the signal to stop, a daemon turns callers away, gives its backend server no more work, and
// ends whatever still runs.
type stopSchedule struct{ callers, work, end time.Duration }

func newStopSchedule(grace time.Duration) stopSchedule {
	end := grace - stopMargin
	return stopSchedule{callers: callersLeave, work: end - lastWork, end: end}
}

func (d *Daemon) drain(ctx context.Context, again <-chan struct{}) error {
	d.stopping.Store(true)
	d.entry.Drain()
	d.log.Info("stop begun", "grace_ms", d.settings.Stop.GraceTime.Milliseconds())
	d.control.post(ctx, d.control.leave)
	schedule := newStopSchedule(d.settings.Stop.GraceTime)
	start := d.clock.Now()
	quietSince := start
	ticker := d.clock.NewTicker(stopPoll)
	defer ticker.Stop()
	for {
		select {
		case <-again:
			return &stoppedError{reason: "second signal"}
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		now := d.clock.Now()
		if d.entry.Active() > 0 || d.runner.Running() > 0 {
			quietSince = now
		}
		elapsed := now.Sub(start)
		if elapsed >= schedule.callers {
			d.entry.RejectCalls()
		}
		if elapsed >= schedule.work && !d.runner.IsRejecting() {
			d.runner.RejectCalls()
			d.control.post(ctx, d.control.stopServing)
		}
		isQuiet := now.Sub(quietSince) >= quietTime && elapsed >= schedule.callers+quietTime
		if isQuiet && d.control.hasGivenAway(ctx) || elapsed >= schedule.end {
			d.control.signOff()
			return &stoppedError{reason: "drained"}
		}
	}
}

// leave gives everything away.
func (c *control) leave(now ownership.Instant) {
	c.isLeaving = true
	c.isDirty = true
	c.announce(now)
	c.settle(now)
}

// stopServing tells others that this daemon's backend server gets no more work, also for its keys.
func (c *control) stopServing(now ownership.Instant) {
	c.log.Info("last work given", "owns_keys", c.ownsKeys())
	c.announce(now)
	c.settle(now)
}

// hasGivenAway tells whether no key depends on this daemon any more, or none ever can be given away.
func (c *control) hasGivenAway(ctx context.Context) bool {
	answer := make(chan bool, 1)
	c.post(ctx, func(ownership.Instant) { answer <- !c.ownsKeys() })
	select {
	case is := <-answer:
		return is
	case <-ctx.Done():
		return true
	}
}

func (c *control) ownsKeys() bool {
	record, _ := c.machine.Known()
	if !c.isKeyed() || record == nil {
		return false
	}
	keys, _ := record.Held()
	self := record.Find(c.self)
	return self != ownership.Nobody && keys[self] > 0
}

// signOffTimeout bounds the last call of a daemon.
const signOffTimeout = 200 * time.Millisecond

// signOff ends the lease, so that others need not wait for its end. With keys left the lease stays: the next daemon on
// this host takes them up.
func (c *control) signOff() {
	ctx, cancel := context.WithTimeout(context.Background(), signOffTimeout)
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
			c.log.Warn("lease not ended", "error", err)
		}
	case <-ctx.Done():
	}
}

// addReload takes up changed settings.
func (d *Daemon) addReload(reload <-chan struct{}) part {
	return func(ctx context.Context, group *run.Group) error {
		loop(ctx, group, func(ctx context.Context) error {
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
