package daemon

import (
	"context"
	"time"

	"github.com/skylarkrelay/skylarkrelay/link"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

const (
	// silentHeartbeats is the number of heartbeat intervals without a heartbeat after which a server is silent.
	silentHeartbeats = 2.6
	// probeInterval is how often the address of a server that may have ended is probed.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 200 * time.Millisecond
	// crashWindow is how recently calls of the server must have broken for a refused connection to mean a crash.
	crashWindow = time.Second
)

// checkServer detects that the server has become silent or has ended.
func (c *control) checkServer(now ownership.Instant) {
	s := &c.server
	switch s.state {
	case ownership.ServerEnded:
		return
	case ownership.ServerClosed:
		c.checkClosedServer(now)
		return
	default:
	}
	age := now.Sub(s.heartbeatAt)
	// A server that has sent no heartbeat since the daemon started may have ended before. Its keys wait for the holds that an
	// earlier daemon process granted.
	isExpected := s.state == ownership.ServerReady || s.state == ownership.ServerUnknown
	if isExpected && age > time.Duration(silentHeartbeats*float64(s.heartbeatInterval)) {
		c.setServer(now, ownership.ServerSilent, "no heartbeat")
	}
	if s.state == ownership.ServerUnknown {
		return
	}
	mayHaveEnded := s.hasDeregistered || age > s.heartbeatInterval+s.heartbeatInterval/3
	if mayHaveEnded && !s.isProbing && now >= s.nextProbeAt {
		c.probeServer(now)
	}
}

// probeServerSoon requests a probe of the server after a call found no process at its address. It may be called from
// any goroutine and does not block. When many calls fail at the same time, one request is enough.
func (c *control) probeServerSoon() {
	probe := func(now ownership.Instant) {
		if !c.server.isProbing && now >= c.server.nextProbeAt && !c.server.isClosed() {
			c.probeServer(now)
		}
	}
	select {
	case c.inbox <- probe:
	default: // the inbox is full; checkServer probes the server later
	}
}

// checkClosedServer detects that a server that refuses connections has ended. Nothing depends on its end any more once
// its holds have expired.
func (c *control) checkClosedServer(now ownership.Instant) {
	switch {
	case c.hasServerCrashed(now):
		c.setServer(now, ownership.ServerEnded, "calls broken")
	case c.machine.HaveHoldsExpired(now):
		c.setServer(now, ownership.ServerEnded, "holds expired")
	}
}

// brokenCall is a call whose connection the server closed before it answered.
type brokenCall struct {
	instance ownership.Instance
	at       ownership.Instant
}

// newestBrokenCall returns the newest broken call of the current instance of the server, or nil.
func (c *control) newestBrokenCall() *brokenCall {
	if broken := c.brokenCall.Load(); broken != nil && broken.instance == c.server.heartbeat.Instance {
		return broken
	}
	return nil
}

// logRefused logs what the end of a server that refuses connections is judged by.
func (c *control) logRefused(now ownership.Instant) {
	s := &c.server
	active, brokenAgeMS := 0, int64(-1)
	if s.client != nil {
		active = s.client.Active()
	}
	if broken := c.newestBrokenCall(); broken != nil {
		brokenAgeMS = now.Sub(broken.at).Milliseconds()
	}
	c.log.Info("backend server refuses connections", "instance", s.heartbeat.Instance.String(),
		"is_leaving", s.usableUntil != 0, "active_calls", active, "broken_call_age_ms", brokenAgeMS,
		"heartbeat_age_ms", now.Sub(s.heartbeatAt).Milliseconds())
}

// hasServerCrashed reports whether the process of a server that refuses connections has ended. A server that shuts down
// closes its listener first and then finishes its calls, or closes their connections before it exits, so a refused
// connection shows no end by itself. Calls that broke although the server had announced no shutdown do.
func (c *control) hasServerCrashed(now ownership.Instant) bool {
	s := &c.server
	broken := c.newestBrokenCall()
	isLeaving := s.usableUntil != 0
	if broken == nil || isLeaving || broken.at <= s.heartbeatAt {
		return false
	}
	return now.Sub(broken.at) <= crashWindow && s.client.Active() == 0
}

// probeServer tries to connect to the server, and closes it to new work if the connection is refused.
func (c *control) probeServer(now ownership.Instant) {
	s := &c.server
	s.isProbing = true
	s.nextProbeAt = now.Add(probeInterval)
	instance := s.heartbeat.Instance
	c.async(func(ctx context.Context) func(ownership.Instant) {
		isRefused := link.IsRefused(ctx, s.address, probeTimeout)
		return func(now ownership.Instant) {
			s.isProbing = false
			if isRefused && s.heartbeat.Instance == instance {
				c.logRefused(now)
				c.setServer(now, ownership.ServerClosed, "connection refused")
				c.checkClosedServer(now)
				c.updateDataPlane(now)
			}
		}
	})
}
