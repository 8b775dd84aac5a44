package soak

import (
	"context"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/standin/deployment"
)

const (
	// applyTime is how soon an accepted configuration is in force on hosts that no fault touches; applySlack is for the
	// asking.
	applyTime  = 2 * time.Second
	applySlack = 400 * time.Millisecond
	// calmTime is how long after a fault a host counts as touched by it.
	calmTime = 3 * time.Second
	// statusTimeout bounds a question about the configuration in force.
	statusTimeout = 300 * time.Millisecond
	// graceTime is how long after its signal to stop a daemon may run, as its default settings say.
	graceTime = 6 * time.Second
)

// life is one incarnation of a daemon.
type life struct {
	host ownership.HostID
	pid  int
}

// watch checks, until its context ends, that configurations come into force in time and never go back.
func (r *run) watch(ctx context.Context) {
	seen := map[life]class.Version{}
	for sleep(ctx, pollInterval) {
		for _, h := range r.deployment.Hosts {
			if h.IsDaemonRunning() {
				r.checkConfig(ctx, h, seen)
			}
		}
	}
}

func (r *run) checkConfig(ctx context.Context, h *deployment.Host, seen map[life]class.Version) {
	l := life{host: h.ID, pid: h.DaemonPID()}
	asked := time.Now()
	due := r.due(asked)
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := h.Status(ctx)
	if err != nil || h.DaemonPID() != l.pid {
		return // it is frozen, starting or stopping: the recovery is checked at the end
	}
	if status.Config < seen[l] {
		r.deployment.Checker.ReportViolation("%s went back from configuration %d to %d", h.ID, seen[l], status.Config)
	}
	seen[l] = max(seen[l], status.Config)
	if status.Config < due && !r.isUnsettled(h, asked.Add(-applyTime-applySlack), time.Now()) {
		r.deployment.Checker.ReportViolation("%s has configuration %d although %d was due", h.ID, status.Config, due)
	}
}

// due returns the version that should be in force everywhere.
func (r *run) due(now time.Time) class.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := class.Version(0)
	for _, a := range r.accepted {
		if now.Sub(a.at) > applyTime+applySlack {
			due = a.version
		}
	}
	return due
}

// isUnsettled tells whether a fault of some time may have held up a configuration on a host.
func (r *run) isUnsettled(h *deployment.Host, from, to time.Time) bool {
	return r.wasStruck(from.Add(-calmTime), to, func(s strike) bool {
		return s.fault.unsettles == everywhere || s.fault.unsettles == onHost && s.host == h.ID
	})
}

// isExcused tells whether callers of a host may have seen broken connections in some time.
func (r *run) isExcused(h *deployment.Host, from, to time.Time) bool {
	return r.wasStruck(from.Add(-calmTime), to, func(s strike) bool { return s.fault.excuses && s.host == h.ID })
}

// wasStruck tells whether a fault that counts struck in some time.
func (r *run) wasStruck(from, to time.Time, counts func(strike) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.struck {
		isOver := !s.to.IsZero() && s.to.Before(from)
		if counts(s) && !isOver && s.from.Before(to) {
			return true
		}
	}
	return false
}

// judge checks what can only be told at the end.
func (r *run) judge(load *deployment.Load, recovery error) {
	if recovery != nil {
		r.deployment.Checker.ReportViolation("%v", recovery)
	}
	for _, cut := range load.BrokenCalls() {
		h := r.deployment.FindHost(string(cut.Host))
		if !r.isExcused(h, cut.At.Add(-graceTime), cut.At) {
			r.deployment.Checker.ReportViolation("request %s ran and its connection to %s broke: %v", cut.Request, cut.Host, cut.Cause)
		}
	}
}
