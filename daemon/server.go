package daemon

import (
	"context"
	"time"

	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/settings"
)

// drainMargin is how long before the end of its drain time a draining server gets its last new work, so that no call is
// still in transit when it ends.
const drainMargin = 300 * time.Millisecond

// serverState is what the control goroutine knows of the local backend server.
type serverState struct {
	address           string
	heartbeatInterval time.Duration
	drainTime         time.Duration

	state     ownership.ServerState
	heartbeat ownership.Heartbeat
	// hasDeregistered reports whether the current instance has deregistered.
	hasDeregistered bool
	heartbeatAt     ownership.Instant
	// usableUntil is the time until which a server that is leaving gets new work. It is zero if the server is not leaving.
	usableUntil ownership.Instant
	// confirmation is that of the current instance. Until lateHeartbeatsUntil, a heartbeat may arrive that was sent before
	// the daemon started.
	confirmation        confirmation
	lateHeartbeatsUntil ownership.Instant
	warmupUntil         ownership.Instant
	// takenBackAt is when the evacuation of this failure domain last ended, or zero.
	takenBackAt ownership.Instant
	nextProbeAt ownership.Instant
	isProbing   bool
	client      *backend.Client
}

// isClosed reports whether the server refuses connections.
func (s *serverState) isClosed() bool {
	return s.state == ownership.ServerClosed || s.state == ownership.ServerEnded
}

// isSilentAfterReport reports whether the server is silent, but was in use by this daemon process before.
func (s *serverState) isSilentAfterReport() bool {
	return s.state == ownership.ServerSilent && s.confirmation.isConfirmed
}

// isColdUntilHeartbeat reports whether the server counts as cold because it has sent no heartbeat since its failure domain
// was taken back. It may have become cold without a heartbeat that states it.
func (s *serverState) isColdUntilHeartbeat() bool {
	return s.takenBackAt != 0 && s.heartbeatAt <= s.takenBackAt
}

// usableDrainTime returns how long a server gets new work after it began to drain.
func usableDrainTime(drainTime time.Duration) time.Duration { return drainTime - drainMargin }

func newServerState(s settings.Settings, now ownership.Instant) serverState {
	return serverState{
		address:           s.Backend.Address,
		heartbeatInterval: s.Backend.HeartbeatInterval,
		drainTime:         s.Backend.DrainTime,
		heartbeatAt:       now,

		lateHeartbeatsUntil: now.Add(maxHeartbeatDelay),
	}
}

// announcement returns the server's state as it is announced to other daemons.
func (s *serverState) announcement(now ownership.Instant) membership.Announcement {
	isReady := s.state == ownership.ServerReady
	a := membership.Announcement{
		Instance:    s.heartbeat.Instance,
		IsUsable:    isReady || s.isSilentAfterReport(),
		IsReady:     isReady,
		Concurrency: s.heartbeat.Concurrency,
	}
	if s.warmupUntil > now {
		a.WarmupMS = s.warmupUntil.Sub(now).Milliseconds()
	}
	if s.isColdUntilHeartbeat() {
		a.WarmupMS = max(a.WarmupMS, s.heartbeatInterval.Milliseconds())
	}
	return a
}

// checkOrder rejects a heartbeat that is not the latest of the latest instance.
func (s *serverState) checkOrder(heartbeat ownership.Heartbeat) error {
	stale := &ownership.StaleHeartbeatError{
		Instance:       heartbeat.Instance,
		Sequence:       heartbeat.Sequence,
		NewestInstance: s.heartbeat.Instance,
		NewestSequence: s.heartbeat.Sequence,
	}
	newest := s.heartbeat.Instance
	switch {
	case newest == (ownership.Instance{}):
		return nil
	case heartbeat.Instance == newest && (heartbeat.Sequence <= s.heartbeat.Sequence || s.hasDeregistered):
		return stale
	case heartbeat.Instance != newest && heartbeat.Instance.Born <= newest.Born:
		return stale
	default:
		return nil
	}
}

// foreignHeartbeatError rejects a heartbeat that is not from the local backend server.
type foreignHeartbeatError struct{ address, service string }

func (e *foreignHeartbeatError) Error() string {
	return "heartbeat rejected: backend server at " + e.address + " of service " + e.service +
		" is not the one configured for this host"
}

// heartbeatHandler handles the calls of the backend server.
type heartbeatHandler struct{ control *control }

// Heartbeat implements platform.HeartbeatReceiver.
func (h heartbeatHandler) Heartbeat(
	ctx context.Context, heartbeat ownership.Heartbeat,
) (ownership.HeartbeatResponse, error) {
	c := h.control
	c.awaitStartKnowledge(ctx)
	results := make(chan heartbeatResult, 1)
	var stored <-chan struct{}
	c.post(ctx, func(now ownership.Instant) {
		if ctx.Err() != nil {
			// The server no longer waits for the response. It would not receive the grants that this daemon relies on.
			return
		}
		if err := c.handleHeartbeat(now, heartbeat); err != nil {
			results <- heartbeatResult{err: err}
			return
		}
		if heartbeat.IsDraining {
			stored = c.departure.stored
		}
		c.queueHeartbeat(now, pendingHeartbeat{ctx: ctx, results: results})
		c.updateDataPlane(now)
	})
	select {
	case result := <-results:
		c.awaitStored(ctx, stored)
		return result.response, result.err
	case <-ctx.Done():
		return ownership.HeartbeatResponse{}, ctx.Err()
	}
}

// Deregister implements platform.HeartbeatReceiver.
func (h heartbeatHandler) Deregister(ctx context.Context, id string, born int64) error {
	done := make(chan struct{})
	c := h.control
	var stored <-chan struct{}
	c.post(ctx, func(now ownership.Instant) {
		c.deregister(now, id, born)
		stored = c.departure.stored
		close(done)
	})
	select {
	case <-done:
		c.awaitStored(ctx, stored)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ReportError implements platform.HeartbeatReceiver.
func (h heartbeatHandler) ReportError(err error) {
	h.control.observer.inputRejected("backend server", err)
}

// handleHeartbeat applies a heartbeat of the backend server.
func (c *control) handleHeartbeat(now ownership.Instant, heartbeat ownership.Heartbeat) error {
	s := &c.server
	if heartbeat.Address != s.address || heartbeat.Service != c.service {
		return &foreignHeartbeatError{address: heartbeat.Address, service: string(heartbeat.Service)}
	}
	if err := s.checkOrder(heartbeat); err != nil {
		return err
	}
	isNew := heartbeat.Instance != s.heartbeat.Instance
	if isNew {
		c.log.Info("backend server found", "instance", heartbeat.Instance.String(), "places", heartbeat.Concurrency,
			"warmup_ms", heartbeat.WarmupLeft.Milliseconds(), "draining", heartbeat.IsDraining)
		s.hasDeregistered = false
		s.usableUntil = 0
		s.confirmation = confirmation{firstHeartbeatAt: now}
		c.replaceClient(heartbeat)
	}
	if heartbeat.IsDraining && !c.departure.newest.Covers(heartbeat.Instance) {
		c.serverLeaves(now, heartbeat.Instance, "heartbeat")
	}
	s.heartbeat = heartbeat
	c.applyDeparture(now)
	s.heartbeatAt = now
	c.applyWarmup(now, heartbeat, isNew)
	c.confirmServer(now)
	c.setServer(now, c.reportedServerState(), "heartbeat")
	if c.isKeyed() {
		c.runOwnershipEffects(now, c.machine.Heartbeat(now, heartbeat))
	}
	return nil
}

// reportedServerState returns the state of the server by its last heartbeat.
func (c *control) reportedServerState() ownership.ServerState {
	switch {
	case c.server.usableUntil != 0:
		return ownership.ServerDraining
	case c.server.confirmation.isConfirmed:
		return ownership.ServerReady
	default:
		return ownership.ServerUnknown
	}
}

// serverLeaves records that the server is leaving, unless that is known. It gets new work for a while if it was in use.
func (c *control) serverLeaves(now ownership.Instant, instance ownership.Instance, reason string) {
	if c.server.usableUntil != 0 {
		return
	}
	usable := time.Duration(0)
	if c.server.confirmation.isConfirmed {
		usable = usableDrainTime(c.server.drainTime)
	}
	c.server.usableUntil = now.Add(usable)
	c.log.Info("backend server is draining", "instance", instance.String(), "reason", reason,
		"usable_ms", usable.Milliseconds())
	c.recordDeparture(instance)
}

// leavingNotice reports that an instance of the server stated in the response to a request that it is leaving.
type leavingNotice struct {
	instance string
	request  class.RequestID
}

// applyLeavingNotice applies a notice that the runner got since the last invocation.
func (c *control) applyLeavingNotice(now ownership.Instant) {
	notice := c.leavingNotice.Swap(nil)
	s := &c.server
	if notice == nil || notice.instance != s.heartbeat.Instance.ID || s.isClosed() {
		return
	}
	c.serverLeaves(now, s.heartbeat.Instance, "response to "+string(notice.request))
	c.setServer(now, ownership.ServerDraining, "response")
}

// isKeyed reports whether the keys of this host's service are divided among its servers.
func (c *control) isKeyed() bool { return c.config != nil && c.config.Services[c.service].IsKeyed }

// replaceClient creates a client for a new instance of the server, and closes the previous client.
func (c *control) replaceClient(heartbeat ownership.Heartbeat) {
	if c.server.client != nil {
		c.server.client.Close()
	}
	c.server.client = backend.NewClient(heartbeat.Address, heartbeat.Concurrency, platform.Headers(),
		c.observer.counter("backend.connections").inc, c.clock)
	c.server.client.LimitMemory(c.daemon.bodyMemory)
	c.server.client.ObserveIdleClosed(c.requestCheck)
}

// setServer changes the state of the backend server.
func (c *control) setServer(now ownership.Instant, state ownership.ServerState, reason string) {
	s := &c.server
	if s.state == state {
		return
	}
	c.log.Info("backend server state", "from", s.state.String(), "to", state.String(), "reason", reason,
		"heartbeat_age_ms", now.Sub(s.heartbeatAt).Milliseconds(), "instance", s.heartbeat.Instance.String())
	s.state = state
	c.isDirty = true
	if c.isKeyed() {
		c.runOwnershipEffects(now, c.machine.SetServerState(now, c.serverStateForOwnership()))
	}
	c.announce(now)
}

// serverStateForOwnership returns the server's state as the ownership machine gets it. During the shutdown of the
// daemon, a ready server is reported as draining so that its keys are handed over.
func (c *control) serverStateForOwnership() ownership.ServerState {
	if c.isShuttingDown && c.server.state == ownership.ServerReady {
		return ownership.ServerDraining
	}
	return c.server.state
}

// deregister records that the server is ending and sends no more heartbeats.
func (c *control) deregister(now ownership.Instant, id string, born int64) {
	s := &c.server
	leaving := ownership.Instance{ID: id, Born: born}
	isOther := s.heartbeat.Instance.ID != id || born != 0 && born != s.heartbeat.Instance.Born
	if isOther && (s.heartbeat.Instance == ownership.Instance{} || born > s.heartbeat.Instance.Born) {
		// No heartbeat of this instance has reached this process. One that was sent before may still do so.
		c.log.Info("backend server deregistered before its first heartbeat", "instance", leaving.String())
		c.recordDeparture(leaving)
		return
	}
	if isOther {
		c.log.Warn("deregistration ignored: it is not from the current instance", "id", id, "born", born,
			"instance", s.heartbeat.Instance.String())
		return
	}
	c.serverLeaves(now, s.heartbeat.Instance, "deregistered")
	s.hasDeregistered = true
	if !s.isClosed() {
		c.setServer(now, ownership.ServerDraining, "deregistered")
	}
	c.updateDataPlane(now)
}
