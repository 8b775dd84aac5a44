package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

const (
	// heartbeatTransit is the longest time that a heartbeat is assumed to take until it is processed. One that arrives
	// sooner after a broken connection may be from before it.
	heartbeatTransit = 200 * time.Millisecond
	// checkTimeout bounds a health check. A full server may never answer it.
	checkTimeout = 250 * time.Millisecond
	// minCheckInterval bounds the cost of the checks of a server with hundreds of calls a second, and suspicionInterval is
	// how often a server that may have restarted is checked.
	minCheckInterval  = 20 * time.Millisecond
	suspicionInterval = 100 * time.Millisecond
	// minColdShare bounds the share of its usual requests that a cold server is assumed to accept.
	minColdShare = 0.02
)

// warmupState is what the control goroutine keeps about the warm-up of the local backend server.
type warmupState struct {
	// isCold is whether the server last stated to be cold, as it was logged and announced.
	isCold     bool
	isChecking bool
	checkedAt  ownership.Instant
	// isCheckRequested is set by the goroutines of calls.
	isCheckRequested atomic.Bool
}

// warmupLimit returns the limit for cold servers of a service.
func (c *control) warmupLimit(service class.Service) admission.WarmupLimit {
	if c.config == nil {
		return admission.WarmupLimit{}
	}
	with := c.daemon.settings.Warmup
	return admission.NewWarmupLimit(c.config.Services[service].WarmupRate, with.Overage, with.Slack)
}

// coldRate returns this daemon's share of the requests per second that cold servers of a service accept.
func (c *control) coldRate(service class.Service) float64 {
	if c.config == nil {
		return 0
	}
	return caller.ColdRate(c.config.Services[service].WarmupRate, len(c.roster.Hosts()))
}

// applyWarmup applies what a heartbeat states about the warm-up. An invalid figure leaves the last one in effect, and a new
// instance counts as just started.
func (c *control) applyWarmup(now ownership.Instant, heartbeat ownership.Heartbeat, isNew bool) {
	s := &c.server
	if isNew {
		c.warmup.isCold = false // it is logged for each instance
	}
	switch {
	case heartbeat.WarmupErr == nil:
		s.warmupUntil = now.Add(heartbeat.WarmupLeft)
		arrived := c.clock.Now()
		c.runner.StateWarmup(heartbeat.Instance, backend.WarmupStatement{
			SentAfter: arrived.Add(-heartbeatTransit), ArrivedAt: arrived, Left: heartbeat.WarmupLeft,
		})
	case isNew && c.config != nil:
		s.warmupUntil = now.Add(c.config.Services[c.service].WarmupTime)
		fallthrough
	default:
		c.observer.inputRejected("backend server", heartbeat.WarmupErr)
	}
}

// checkWarmup logs and announces that the server has become cold or warm, and starts the health check that is due.
func (c *control) checkWarmup(now ownership.Instant) {
	w, s := &c.warmup, &c.server
	if s.client == nil || c.permit.warmup.IsZero() {
		return
	}
	cold := c.runner.Cold()
	s.warmupUntil = now.Add(cold.Left)
	if isCold := cold.Left > 0; isCold != w.isCold {
		w.isCold = isCold
		c.observer.warmupChanged(s.heartbeat.Instance, c.permit.warmup, cold.Left)
		c.announce(now)
	}
	path := c.config.Services[c.service].HealthPath
	isDue := w.isCheckRequested.Load() && now.Sub(w.checkedAt) >= minCheckInterval ||
		cold.IsSuspected && now.Sub(w.checkedAt) >= suspicionInterval
	// A health check is a request too, so a server of an evacuated domain gets none after the bound.
	mayCheck := path != "" && !s.isClosed() && c.mayUseDomain(now, c.daemon.settings.FailureDomain)
	if !isDue || w.isChecking || !mayCheck {
		return
	}
	w.isChecking, w.checkedAt = true, now
	w.isCheckRequested.Store(false)
	c.runner.CheckBegins()
	c.checkHealth(path)
}

// checkHealth asks the server whether it is cold.
func (c *control) checkHealth(path string) {
	client, instance := c.server.client, c.server.heartbeat.Instance
	c.observer.counter("warmup.checks").inc()
	c.async(func(ctx context.Context) func(ownership.Instant) {
		ctx, cancel := context.WithTimeout(ctx, checkTimeout)
		defer cancel()
		statement, err := client.CheckWarmup(ctx, path)
		if statement != nil {
			c.runner.StateWarmup(instance, *statement)
		}
		return func(now ownership.Instant) {
			c.warmup.isChecking = false
			defer c.checkWarmup(now)
			if _, isInvalid := err.(*call.WarmupError); isInvalid {
				c.observer.inputRejected("backend server", err)
			} else if err != nil {
				c.observer.counter("warmup.checks_failed").inc()
			}
		}
	})
}

// requestCheck requests a health check: the server got many calls since the last one, or closed an idle connection, which
// it also does when it restarts. It may be called from any goroutine and does not block.
func (c *control) requestCheck() {
	if c.warmup.isCheckRequested.Swap(true) {
		return
	}
	select {
	case c.inbox <- c.checkWarmup:
	default: // the inbox is full; the next tick starts the check
	}
}

// applyAnnouncement applies an announcement. If the service limits its cold servers, routes change also when the server has
// become cold, or warm sooner than announced.
func (c *control) applyAnnouncement(now ownership.Instant, a membership.Announcement) membership.ApplyResult {
	if c.config == nil || c.config.Services[a.Service].WarmupRate <= 0 {
		return c.roster.ApplyAnnouncement(now, a)
	}
	known, _ := c.roster.Get(a.Host)
	wasCold := announcedWarmup(now, &known) > 0
	result := c.roster.ApplyAnnouncement(now, a)
	if result == membership.Repeated && wasCold != (a.WarmupMS > 0) {
		return membership.Changed
	}
	return result
}

// announcedWarmup returns how long a host's backend server remains cold by its last announcement.
func announcedWarmup(now ownership.Instant, h *membership.Host) time.Duration {
	return max(0, h.AnnouncedAt.Add(time.Duration(h.Announcement.WarmupMS)*time.Millisecond).Sub(now))
}

// coldShare returns the share of its usual requests that a host's backend server accepts because it is cold, or zero if it
// is not limited.
func (c *control) coldShare(now ownership.Instant, h *membership.Host) float64 {
	limit := c.warmupLimit(c.service)
	if limit.IsZero() || announcedWarmup(now, h) == 0 {
		return 0
	}
	return max(minColdShare, c.runner.ColdShare(limit, h.Announcement.Concurrency))
}

// warmupChanged records that the backend server has become cold or warm.
func (o *observer) warmupChanged(instance ownership.Instance, limit admission.WarmupLimit, left time.Duration) {
	metrics.GetOrRegisterGauge("warmup.left_ms", o.registry).Update(left.Milliseconds())
	if left == 0 {
		o.log.Info("backend server is warm", "instance", instance.String())
		return
	}
	o.counter("warmup.periods").inc()
	o.log.Info("backend server is cold", "instance", instance.String(), "left_ms", left.Milliseconds(),
		"rate_per_s", float64(limit.Rate), "most_in_a_second", limit.Most)
}

// restartSuspected records that the backend server may have restarted and is limited as cold until its next statement.
func (o *observer) restartSuspected(instance ownership.Instance, reason string) {
	o.counter("warmup.suspected").inc()
	if o.allowLine() {
		o.log.Info("backend server may have restarted; limited as cold", "instance", instance.String(), "reason", reason)
	}
}

// rejectedWhileCold records a call that was rejected because the backend server is cold.
func (o *observer) rejectedWhileCold(c call.Call, retryAfter time.Duration) {
	o.counter("warmup.rejected").inc()
	if o.allowLine() {
		o.log.Info("call rejected: the backend server is cold", "request", c.ID, "class", c.Class.Name, "key", c.Key,
			"retry_after_ms", retryAfter.Milliseconds())
	}
}
