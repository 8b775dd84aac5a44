package daemon

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/settings"
)

const (
	// silentAfter is how many heartbeat intervals without a heartbeat make a server silent.
	silentAfter = 2.6
	// probeInterval is how often the address of a server that may have ended is tried.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds one try.
	probeTimeout = 200 * time.Millisecond
	// drainMargin is how long before the end of its drain time a leaving server gets its last new work, so that none
	// is still on its way.
	drainMargin = 300 * time.Millisecond
)

// serverState is what the control goroutine knows of the backend server beside this daemon.
type serverState struct {
	address  string
	interval time.Duration
	drain    time.Duration

	state ownership.ServerState
	beat  ownership.Heartbeat
	// hasLeft says that this life of it has deregistered.
	hasLeft bool
	beatAt  ownership.Instant
	// usableUntil bounds new work after the notice to leave.
	usableUntil ownership.Instant
	slowUntil   ownership.Instant
	probeAt     ownership.Instant
	isProbing   bool
	client      *backend.Client
}

func newServerState(s settings.Settings, now ownership.Instant) serverState {
	return serverState{address: s.Backend.Address, interval: s.Backend.HeartbeatInterval, drain: s.Backend.DrainTime, beatAt: now}
}

// announcement returns what others should know.
func (s *serverState) announcement(now ownership.Instant) membership.Announcement {
	isReady := s.state == ownership.ServerReady
	a := membership.Announcement{
		Instance: s.beat.Instance,
		IsUsable: isReady || s.state == ownership.ServerSilent,
		IsReady:  isReady,
		Places:   s.beat.Places,
	}
	if s.slowUntil > now {
		a.WarmupMS = s.slowUntil.Sub(now).Milliseconds()
	}
	return a
}

// check refuses a heartbeat that is not the newest of the newest life.
func (s *serverState) check(b ownership.Heartbeat) error {
	stale := &ownership.StaleError{Got: b.Instance, Sequence: b.Sequence, Newest: s.beat.Instance, Last: s.beat.Sequence}
	newest := s.beat.Instance
	switch {
	case newest == (ownership.Instance{}):
		return nil
	case b.Instance == newest && (b.Sequence <= s.beat.Sequence || s.hasLeft):
		return stale
	case b.Instance != newest && b.Instance.Born <= newest.Born:
		return stale
	default:
		return nil
	}
}

// foreignError refuses what is not from the backend server beside this daemon.
type foreignError struct{ address, service string }

func (e *foreignError) Error() string {
	return "heartbeat of a server at " + e.address + " of service " + e.service + " is not from this host's"
}

// heartbeats serves the calls of the backend server.
type heartbeats struct{ control *control }

// Heartbeat implements platform.BackendServer.
func (h heartbeats) Heartbeat(ctx context.Context, beat ownership.Heartbeat) (ownership.Orders, error) {
	c := h.control
	answers := make(chan beatAnswer, 1)
	c.post(ctx, func(now ownership.Instant) {
		if ctx.Err() != nil {
			return // the server has given this heartbeat up: orders for it would be believed here and not there
		}
		if err := c.heartbeat(now, beat); err != nil {
			answers <- beatAnswer{err: err}
			return
		}
		c.queueBeat(now, waitingBeat{ctx: ctx, answers: answers})
		c.settle(now)
	})
	select {
	case a := <-answers:
		return a.orders, a.err
	case <-ctx.Done():
		return ownership.Orders{}, ctx.Err()
	}
}

// Deregister implements platform.BackendServer.
func (h heartbeats) Deregister(ctx context.Context, id string, born int64) error {
	done := make(chan struct{})
	c := h.control
	c.post(ctx, func(now ownership.Instant) {
		c.deregister(now, id, born)
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ReportError implements platform.BackendServer.
func (h heartbeats) ReportError(err error) { h.control.observer.refused("backend server", err) }

// heartbeat takes in what the backend server says of itself.
func (c *control) heartbeat(now ownership.Instant, beat ownership.Heartbeat) error {
	s := &c.server
	if beat.Address != s.address || beat.Service != c.service {
		return &foreignError{address: beat.Address, service: string(beat.Service)}
	}
	if err := s.check(beat); err != nil {
		return err
	}
	isNew := beat.Instance != s.beat.Instance
	if isNew {
		c.log.Info("backend server found", "instance", beat.Instance.String(), "places", beat.Places,
			"warmup_ms", beat.WarmupLeft.Milliseconds(), "draining", beat.IsDraining)
		s.hasLeft = false
		s.usableUntil = 0
		c.replaceClient(beat)
	}
	if beat.IsDraining && !(s.beat.IsDraining && !isNew) {
		s.usableUntil = now.Add(s.drain - drainMargin)
		c.log.Info("backend server drains", "instance", beat.Instance.String(), "usable_ms", (s.drain - drainMargin).Milliseconds())
	}
	s.beat = beat
	s.beatAt = now
	s.slowUntil = now.Add(beat.WarmupLeft)
	state := ownership.ServerReady
	if beat.IsDraining {
		state = ownership.ServerDraining
	}
	c.setServer(now, state, "heartbeat")
	if c.isKeyed() {
		c.ownership(now, c.machine.Heartbeat(now, beat))
	}
	return nil
}

// isKeyed tells whether the keys of this host's service are divided over its servers.
func (c *control) isKeyed() bool { return c.config != nil && c.config.Services[c.service].IsKeyed }

// replaceClient makes connections to a new life of the server.
func (c *control) replaceClient(beat ownership.Heartbeat) {
	if c.server.client != nil {
		c.server.client.Close()
	}
	c.server.client = backend.NewClient(beat.Address, beat.Places, platform.Headers(),
		c.observer.counter("backend.connections").inc, c.clock)
}

// setServer takes in what is believed of the server.
func (c *control) setServer(now ownership.Instant, state ownership.ServerState, reason string) {
	s := &c.server
	if s.state == state {
		return
	}
	c.log.Info("backend server state", "from", s.state.String(), "to", state.String(), "reason", reason,
		"heartbeat_age_ms", now.Sub(s.beatAt).Milliseconds(), "instance", s.beat.Instance.String())
	s.state = state
	c.isDirty = true
	if c.isKeyed() {
		c.ownership(now, c.machine.SetServer(now, c.machineState()))
	}
	c.announce(now)
}

// machineState is the server's state as the ownership sees it: a daemon that stops gives its keys away.
func (c *control) machineState() ownership.ServerState {
	if c.isLeaving && c.server.state == ownership.ServerReady {
		return ownership.ServerDraining
	}
	return c.server.state
}

// deregister takes note that the server leaves without further heartbeats.
func (c *control) deregister(now ownership.Instant, id string, born int64) {
	s := &c.server
	isOther := s.beat.Instance.ID != id || born != 0 && born != s.beat.Instance.Born
	if isOther {
		c.log.Warn("deregistration of another life ignored", "id", id, "born", born, "instance", s.beat.Instance.String())
		return
	}
	if !s.hasLeft && !s.beat.IsDraining {
		s.usableUntil = now.Add(s.drain - drainMargin)
	}
	s.hasLeft = true
	c.setServer(now, ownership.ServerDraining, "deregistered")
	c.settle(now)
}

// checkServer notices a server that has fallen silent or has ended.
func (c *control) checkServer(now ownership.Instant) {
	s := &c.server
	if s.state == ownership.ServerUnknown || s.state == ownership.ServerEnded {
		return
	}
	age := now.Sub(s.beatAt)
	if s.state == ownership.ServerReady && age > time.Duration(silentAfter*float64(s.interval)) {
		c.setServer(now, ownership.ServerSilent, "no heartbeat")
	}
	mayHaveEnded := s.hasLeft || age > s.interval+s.interval/3
	if mayHaveEnded && !s.isProbing && now >= s.probeAt {
		c.probe(now)
	}
}

// suspectServer has the server's address tried at once: a call found nobody there. It may be called from any goroutine and
// does not block; of many calls that fail at once only one matters.
func (c *control) suspectServer() {
	try := func(now ownership.Instant) {
		if !c.server.isProbing && now >= c.server.probeAt && c.server.state != ownership.ServerEnded {
			c.probe(now)
		}
	}
	select {
	case c.inbox <- try:
	default: // the regular look comes anyway
	}
}

// probe tries to connect to the server. A refusal means that its process is gone.
func (c *control) probe(now ownership.Instant) {
	s := &c.server
	s.isProbing = true
	s.probeAt = now.Add(probeInterval)
	instance := s.beat.Instance
	c.async(func(ctx context.Context) func(ownership.Instant) {
		dialer := net.Dialer{Timeout: probeTimeout}
		conn, err := dialer.DialContext(ctx, "tcp", s.address)
		if err == nil {
			_ = conn.Close() // only the connection's making was of interest
		}
		return func(now ownership.Instant) {
			s.isProbing = false
			isGone := errors.Is(err, syscall.ECONNREFUSED)
			if isGone && s.beat.Instance == instance {
				c.setServer(now, ownership.ServerEnded, "connection refused")
				c.settle(now)
			}
		}
	})
}
