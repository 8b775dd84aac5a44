package daemon

import (
	"context"
	"time"

	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// A heartbeat may be seconds late. One that arrives soon after the daemon's start may have been sent before it, and the
// server may have announced its end to an earlier process since. The store does not have each such departure: it may have
// been down, or restored from an older copy. Until the server is confirmed, it gets no work and no grants.

const (
	// maxHeartbeatDelay is the longest time for which a heartbeat is assumed to be on its way.
	maxHeartbeatDelay = 10 * time.Second
	// confirmInterval is the pause between two health checks of an unconfirmed server.
	confirmInterval = 100 * time.Millisecond
)

// confirmation is what shows that the current instance of the server has not announced its end before the daemon started.
type confirmation struct {
	isConfirmed bool
	// isHealthy is whether the instance has answered a health check. A server that is leaving does not.
	isHealthy   bool
	isChecking  bool
	nextCheckAt ownership.Instant
	// firstHeartbeatAt is when the first heartbeat of the instance arrived.
	firstHeartbeatAt ownership.Instant
}

// confirmServer confirms the server, or starts the health check that this needs.
func (c *control) confirmServer(now ownership.Instant) {
	s := &c.server
	k := &s.confirmation
	if k.isConfirmed || s.client == nil || s.usableUntil != 0 {
		return
	}
	if s.heartbeatAt >= s.lateHeartbeatsUntil {
		c.serverConfirmed(now, "heartbeat sent after the start")
		return
	}
	if c.config == nil {
		return
	}
	path := c.config.Services[c.service].HealthPath
	switch hasMoreHeartbeats := s.heartbeatAt.Sub(k.firstHeartbeatAt) >= s.heartbeatInterval/2; {
	case path != "" && !k.isHealthy:
		if !k.isChecking && now >= k.nextCheckAt && c.mayUseDomain(now, c.daemon.settings.FailureDomain) {
			c.startConfirmation(now, path)
		}
	case c.departure.isCertain:
		c.serverConfirmed(now, "departures known")
	case hasMoreHeartbeats:
		c.serverConfirmed(now, "several heartbeats")
	}
}

// startConfirmation asks the server whether it accepts work.
func (c *control) startConfirmation(now ownership.Instant, path string) {
	client, instance := c.server.client, c.server.heartbeat.Instance
	c.server.confirmation.isChecking = true
	c.server.confirmation.nextCheckAt = now.Add(confirmInterval)
	c.observer.counter("confirmation.checks").inc()
	c.async(func(ctx context.Context) func(ownership.Instant) {
		ctx, cancel := context.WithTimeout(ctx, checkTimeout)
		defer cancel()
		err := client.CheckHealth(ctx, path, instance.ID)
		return func(now ownership.Instant) {
			s := &c.server
			if s.heartbeat.Instance != instance {
				return
			}
			s.confirmation.isChecking = false
			if err != nil {
				c.observer.confirmationFailed(instance, err)
			} else {
				s.confirmation.isHealthy = true
				c.confirmServer(now)
				if !s.confirmation.isConfirmed {
					c.log.Info("backend server not confirmed until its next heartbeat", "instance", instance.String())
				}
			}
			c.pendingHeartbeat.deadline = min(c.pendingHeartbeat.deadline, now)
			c.updateDataPlane(now)
		}
	})
}

// serverConfirmed records that the server may be used.
func (c *control) serverConfirmed(now ownership.Instant, reason string) {
	c.server.confirmation.isConfirmed = true
	c.log.Info("backend server confirmed", "instance", c.server.heartbeat.Instance.String(), "reason", reason,
		"healthy", c.server.confirmation.isHealthy, "departures_certain", c.departure.isCertain)
	if c.server.state == ownership.ServerUnknown {
		c.setServer(now, ownership.ServerReady, "confirmed")
	}
}

// isConfirming reports whether the server's answer to a health check is due.
func (c *control) isConfirming() bool {
	return c.server.state == ownership.ServerUnknown && c.server.confirmation.isChecking
}

// confirmationFailed records a health check that does not show that the server accepts work.
func (o *observer) confirmationFailed(instance ownership.Instance, err error) {
	o.counter("confirmation.checks_failed").inc()
	if o.allowLine() {
		o.log.Info("backend server not confirmed", "instance", instance.String(), "error", err)
	}
}
