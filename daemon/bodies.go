package daemon

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
)

const (
	// maxBodyMemory bounds the memory of all incomplete bodies, in bytes. With the garbage collector's share it is a third
	// of the memory of the smallest hosts.
	maxBodyMemory = 32 << 20
	// bodyMemoryDivisor is the ratio of the daemon's memory to the budget for all bodies. The garbage collector lets the
	// heap grow to twice of what is in use, and a third is left to the rest of the daemon.
	bodyMemoryDivisor = 3
	// defaultBodyBudget is the budget if the daemon's memory is not known, in bytes.
	defaultBodyBudget = 64 << 20
)

// bodyBudget returns the budget for all bodies of a daemon with a memory limit, which is zero if it is not known.
func bodyBudget(memoryMB int) int64 {
	if memoryMB == 0 {
		return defaultBodyBudget
	}
	return int64(memoryMB) << 20 / bodyMemoryDivisor
}

// setBodyLimits applies the limits for complete bodies, which only load-aware configurations have.
func (d *Daemon) setBodyLimits(isLoadAware bool) {
	budget := int64(0)
	if isLoadAware {
		budget = bodyBudget(d.settings.Limits.MemoryMB)
	}
	if budget != d.bodyMemory.Usage().Budget {
		d.log.Info("memory budget for bodies", "bytes", budget,
			"at_server_bytes", int64(d.settings.Backend.MaxRequestsMB)<<20, "load_aware", isLoadAware)
	}
	d.bodyMemory.SetBudget(budget)
	d.runner.EnforceRequestBytes(isLoadAware)
}

// reportBodies updates the gauges of the memory of bodies.
func (d *Daemon) reportBodies() {
	usage := d.bodyMemory.Usage()
	for name, value := range map[string]int64{
		"bodies.budget_bytes":     usage.Budget,
		"bodies.held_bytes":       usage.Held,
		"bodies.incomplete_bytes": usage.Incomplete,
		"bodies.at_server_bytes":  d.runner.RequestBytes(),
	} {
		metrics.GetOrRegisterGauge(name, d.registry).Update(value)
	}
}

// bodies returns the observer of bodies that come from and go to callers or daemons.
func (o *observer) bodies(side string) call.BodyObserver {
	return call.BodyObserver{
		Rejected: func(request class.RequestID, err error) {
			o.counter("bodies.rejected").inc()
			if o.allowLine() {
				o.log.Warn("call rejected: no room for its bodies", "request", request, "from", side, "error", err)
			}
		},
		Unread: func(request class.RequestID, bytes int, timeout time.Duration) {
			o.counter("bodies.unread").inc()
			if o.allowLine() {
				o.log.Warn("response given up: it was not read in time", "request", request, "to", side,
					"bytes", bytes, "timeout_ms", timeout.Milliseconds())
			}
		},
	}
}

// callCrowded records a call that waited for room for its body at the backend server.
func (o *observer) callCrowded(c backend.CrowdedCall) {
	o.counter("bodies.waited_for_server").inc()
	if c.IsRejected {
		o.counter("bodies.rejected_for_server").inc()
	}
	if o.allowLine() {
		o.log.Info("call waited for room for its body at the backend server", "request", c.Request, "bytes", c.Bytes,
			"waited_ms", c.Waited.Milliseconds(), "is_rejected", c.IsRejected)
	}
}
