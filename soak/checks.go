package soak

import (
	"context"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/standin/deployment"
)

const (
	// configApplyTimeout is the time within which an accepted configuration has to be in force on hosts not affected by
	// a fault; configApplyTolerance allows for the duration of the status request.
	configApplyTimeout   = 2 * time.Second
	configApplyTolerance = 400 * time.Millisecond
	// maxEvacuationStretch is by how much a disturbance of the store may extend the time of an evacuation.
	maxEvacuationStretch = 5 * time.Second
	// faultAftermath is how long after the end of a fault a host still counts as affected by it.
	faultAftermath = 3 * time.Second
	// statusTimeout bounds a status request for the configuration in force.
	statusTimeout = 300 * time.Millisecond
	// shutdownGracePeriod is how long a daemon may run after the signal to stop, according to its default settings.
	shutdownGracePeriod = 6 * time.Second
)

// incarnation identifies one process of a host's daemon, so that a restart is told apart from a configuration that is
// reverted.
type incarnation struct {
	host ownership.HostID
	pid  int
}

// monitorConfigs checks, until the context ends, that configurations come into force in time and are never reverted to
// an older version.
func (r *runner) monitorConfigs(ctx context.Context) {
	seen := map[incarnation]class.Version{}
	for deployment.Sleep(ctx, pollInterval) {
		for _, h := range r.deployment.Hosts {
			if h.IsDaemonRunning() {
				r.checkConfig(ctx, h, seen)
			}
		}
	}
}

// checkConfig compares the configuration in force on a host with the required version and the version seen before.
func (r *runner) checkConfig(ctx context.Context, h *deployment.Host, seen map[incarnation]class.Version) {
	process := incarnation{host: h.ID, pid: h.DaemonPID()}
	requestedAt := time.Now()
	required := r.requiredVersion(requestedAt)
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := h.Status(ctx)
	if err != nil || h.DaemonPID() != process.pid {
		return // the daemon is suspended, starting or stopping: awaitServing checks it after the last fault
	}
	if status.Config < seen[process] {
		r.deployment.Checker.ReportViolation("daemon on host %s reverted from configuration version %d to %d",
			h.ID, seen[process], status.Config)
	}
	seen[process] = max(seen[process], status.Config)
	if status.Config < required &&
		!r.mayDelayConfig(h, requestedAt.Add(-configApplyTimeout-configApplyTolerance), time.Now()) {
		r.deployment.Checker.ReportViolation("daemon on host %s has configuration version %d, expected at least %d",
			h.ID, status.Config, required)
	}
}

// requiredVersion returns the newest version that has to be in force on all unaffected hosts, or 0 before the first
// one.
func (r *runner) requiredVersion(now time.Time) class.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	required := class.Version(0)
	for _, config := range r.published {
		if now.Sub(config.at) > configApplyTimeout+configApplyTolerance {
			required = config.version
		}
	}
	return required
}

// mayDelayConfig reports whether a fault in the given period may have delayed a configuration on a host.
func (r *runner) mayDelayConfig(h *deployment.Host, from, to time.Time) bool {
	return r.hasInjection(from.Add(-faultAftermath), to, func(i injection) bool {
		return i.fault.delaysConfig == everywhere || i.fault.delaysConfig == onHost && i.host == h.ID
	})
}

// mayDelayEvacuation reports whether a fault explains a request that reached a server of an evacuated domain: one that cut
// off the daemon beside the server, or one of the store within the time by which that extends the bound.
func (r *runner) mayDelayEvacuation(e deployment.EvacuatedArrival) bool {
	isInStretch := e.At.Sub(e.EvacuatedAt) <= deployment.EvacuationTime+maxEvacuationStretch
	return r.hasInjection(e.EvacuatedAt.Add(-faultAftermath), e.At, func(i injection) bool {
		return i.fault.delaysConfig == everywhere && isInStretch || i.fault.delaysConfig == onHost && i.host == e.Host
	})
}

// mayBreakConnections reports whether a fault in the given period may have broken connections of callers to a host.
func (r *runner) mayBreakConnections(h *deployment.Host, from, to time.Time) bool {
	return r.hasInjection(from.Add(-faultAftermath), to, func(i injection) bool {
		return i.fault.breaksConnections == everywhere || i.fault.breaksConnections == onHost && i.host == h.ID
	})
}

// hasInjection reports whether a matching fault was active in the given period.
func (r *runner) hasInjection(from, to time.Time, matches func(injection) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.injections {
		isOver := !i.to.IsZero() && i.to.Before(from)
		if matches(i) && !isOver && i.from.Before(to) {
			return true
		}
	}
	return false
}

// checkAfterRun reports violations that are known only at the end of the run: a missed recovery, and connections that
// broke without a fault that explains it.
func (r *runner) checkAfterRun(load *deployment.Load, recovery error) {
	if recovery != nil {
		r.deployment.Checker.ReportViolation("%v", recovery)
	}
	for _, e := range r.deployment.Checker.AbandonedExecutions() {
		// The first calls of a daemon have nothing to compare their time on the way with.
		mayBeHeldUp := r.hasInjection(e.DepartedAt.Add(-faultAftermath), e.At, func(i injection) bool {
			return i.fault.holdsUpCalls && i.host == e.Host
		})
		if !mayBeHeldUp {
			r.deployment.Checker.ReportViolation("request %s began to run on host %s %s after its caller had left",
				e.Request, e.Host, e.At.Sub(e.DepartedAt))
		}
	}
	for _, e := range r.deployment.Checker.EvacuatedArrivals() {
		if !r.mayDelayEvacuation(e) {
			r.deployment.Checker.ReportViolation("%v", e)
		}
	}
	for _, broken := range load.BrokenCalls() {
		h := r.deployment.FindHost(string(broken.Host))
		if !r.mayBreakConnections(h, broken.At.Add(-shutdownGracePeriod), broken.At) {
			r.deployment.Checker.ReportViolation("request %s was executed, but its connection to the daemon on host %s broke: %v",
				broken.Request, broken.Host, broken.Cause)
		}
	}
}
