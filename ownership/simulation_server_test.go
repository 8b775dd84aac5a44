package ownership_test

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// heartbeatLoop sends the backend server's heartbeats one after the other, faster while it finishes released keys.
func (sim *simulation) heartbeatLoop(h *simHost) {
	pause := heartbeatInterval
	for _, hold := range h.server.holds.Runs() {
		if hold.isFinishing {
			pause = heartbeatInterval / 10
		}
	}
	sim.schedule(pause+time.Duration(sim.random.Int64N(int64(heartbeatInterval/5))), func() {
		sim.sendHeartbeat(h, func() { sim.heartbeatLoop(h) })
	})
}

func (sim *simulation) sendHeartbeat(h *simHost, next func()) {
	s := &h.server
	if !s.isUp || s.isClosed {
		next()
		return
	}
	s.sequence++
	heartbeat := ownership.Heartbeat{Instance: s.instance, Service: "s", Concurrency: 4, Sequence: s.sequence}
	sim.dropExpiredHolds(s)
	for span, hold := range s.holds.Runs() {
		if hold.until != 0 {
			heartbeat.Holds = append(heartbeat.Holds, ownership.Hold{Span: span, Fence: hold.fence})
		}
	}
	heartbeat.Released = s.released
	sentAt, daemonRun, instance := sim.now, h.daemonRun, s.instance
	isDone := false
	finish := func(do func()) {
		if !isDone {
			isDone = true
			if s.isUp && s.instance == instance && do != nil {
				do()
			}
			next()
		}
	}
	sim.schedule(100*time.Millisecond, func() { finish(nil) })
	sim.schedule(sim.delay()/4, func() {
		sim.runOnDaemon(h, daemonRun, func() {
			now := sim.bootTime(h)
			sim.applyEffects(h, h.machine.SetServerState(now, ownership.ServerReady))
			sim.applyEffects(h, h.machine.Heartbeat(now, heartbeat))
			respond := func() {
				response := h.machine.HeartbeatResponse(sim.bootTime(h))
				if response.HoldTime > 0 && sim.mutation == holdBeyondAuthority {
					response.HoldTime = simTiming().HoldTime
				}
				sim.schedule(sim.delay()/4, func() { finish(func() { sim.applyResponse(h, response, sentAt) }) })
			}
			if sim.random.IntN(4) > 0 {
				respond()
				return
			}
			// The daemon delays the response until announced keys arrive.
			sim.schedule(time.Duration(sim.random.Int64N(int64(80*time.Millisecond))), func() {
				if !isDone {
					sim.runOnDaemon(h, daemonRun, respond)
				}
			})
		})
	})
}

// dropExpiredHolds removes the holds that have expired.
func (sim *simulation) dropExpiredHolds(s *simServer) {
	holds := s.holds.Clone()
	for span, hold := range holds.Runs() {
		if hold.until != 0 && hold.until <= sim.now {
			s.holds.Set(span, serverHold{})
		}
	}
}

// applyResponse applies a heartbeat response: keys that it does not grant are released, sometimes only after the
// requests running for them have finished.
func (sim *simulation) applyResponse(h *simHost, response ownership.HeartbeatResponse, sentAt time.Duration) {
	s := &h.server
	s.released = nil
	sim.tracef("%s applies a response with %d grants for %s to the heartbeat sent at %s",
		s.instance, len(response.Grants), response.HoldTime, sentAt)
	for _, g := range response.Grants {
		if g.Span.Contains(sim.tracedKey) {
			sim.tracef("  keys %d to %d fence %d", g.Span.From, g.Span.To, g.Fence)
		}
	}
	if response.HoldTime <= 0 {
		return
	}
	until := sentAt + time.Duration(float64(response.HoldTime)/s.clockRate)
	var granted keyspace.Map[bool]
	for _, g := range response.Grants {
		granted.Set(g.Span, true)
		sim.acquire(h, g, until)
	}
	holds := s.holds.Clone()
	for span, isGranted := range granted.Runs() {
		if isGranted {
			continue
		}
		for part, hold := range holds.Within(span) {
			if hold.until == 0 {
				continue
			}
			if sim.random.IntN(4) == 0 && !hold.isFinishing {
				hold.isFinishing = true // requests run until the next heartbeat
				s.holds.Set(part, hold)
				continue
			}
			s.holds.Set(part, serverHold{})
			s.released = append(s.released, ownership.Release{Span: part, Handover: "h"})
		}
	}
}

// acquire makes a backend server hold keys. It checks that no other server holds them and that the fence is higher than
// that of each earlier holder.
func (sim *simulation) acquire(h *simHost, g ownership.Grant, until time.Duration) {
	s := &h.server
	for _, fence := range s.seenFences.Within(g.Span) {
		if fence > g.Fence {
			return // the backend server does not accept a lower fence
		}
	}
	if until <= sim.now {
		return
	}
	for _, other := range sim.hosts {
		if other == h || !other.server.isUp {
			continue
		}
		for span, held := range other.server.holds.Within(g.Span) {
			if held.until > sim.now {
				sim.failf("%s and %s both hold keys %d to %d", h.id, other.id, span.From, span.To)
			}
		}
	}
	for span, holder := range sim.lastHolder.Within(g.Span) {
		if holder == s.instance || holder == (ownership.Instance{}) {
			continue
		}
		if fence := sim.lastFence.At(span.From); fence >= g.Fence {
			sim.failf("%s holds keys %d to %d under fence %d, which is not above the earlier holder's fence %d",
				h.id, span.From, span.To, g.Fence, fence)
		}
	}
	sim.lastHolder.Set(g.Span, s.instance)
	sim.lastFence.Set(g.Span, g.Fence)
	s.seenFences.Set(g.Span, g.Fence)
	s.holds.Set(g.Span, serverHold{until: until, fence: g.Fence})
}
