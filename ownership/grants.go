package ownership

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/keyspace"
)

// minHold is the shortest hold that is granted: a shorter one would expire before the next heartbeat.
const minHold = 200 * time.Millisecond

// Heartbeat processes a heartbeat of the backend server's newest instance. HeartbeatResponse returns the response to
// it.
func (m *StateMachine) Heartbeat(now Instant, heartbeat Heartbeat) []Effect {
	if heartbeat.Instance != m.instance {
		m.resetForInstance(heartbeat.Instance)
	}
	m.heartbeatAt = now
	m.recordHolds(now, heartbeat)
	return m.step(now)
}

// resetForInstance discards what an earlier instance of the backend server held: its holds ended with its process.
func (m *StateMachine) resetForInstance(instance Instance) {
	if m.instance != (Instance{}) {
		m.held.Clear()
	}
	m.instance = instance
	m.seenFences.Clear()
	m.notHeld.Clear()
	m.unaccepted.Clear()
	m.handovers.Clear()
	m.stopServing()
}

// recordHolds replaces the known holds by those that the heartbeat lists. A backend server sends its heartbeats one
// after the other, so the list includes everything that an earlier response granted.
func (m *StateMachine) recordHolds(now Instant, heartbeat Heartbeat) {
	m.findUnacceptedGrants(heartbeat)
	before := m.held
	m.held = keyspace.Map[keyHold]{}
	unknownUntil := now.Add(addClockMargin(m.timing.HoldTime))
	for _, hold := range heartbeat.Holds {
		for span, h := range before.Within(hold.Span) {
			until := h.until
			if until == 0 {
				until = unknownUntil
			}
			m.held.Set(span, keyHold{until: until, fence: hold.Fence})
		}
		m.raiseSeenFence(hold.Span, hold.Fence)
	}
	for _, release := range heartbeat.Released {
		m.handovers.Set(release.Span, release.Handover)
	}
}

// findUnacceptedGrants finds granted keys that two consecutive heartbeats do not list as held. The backend server has
// then seen a higher fence than the record's, granted by an earlier daemon process. The fences of these keys are
// raised.
func (m *StateMachine) findUnacceptedGrants(heartbeat Heartbeat) {
	var holds, notHeld keyspace.Map[bool]
	for _, hold := range heartbeat.Holds {
		holds.Set(hold.Span, true)
	}
	for span, isServed := range m.served.Runs() {
		if !isServed {
			continue
		}
		for part, isHeld := range holds.Within(span) {
			if isHeld {
				continue
			}
			notHeld.Set(part, true)
			for piece, wasMissing := range m.notHeld.Within(part) {
				if wasMissing {
					m.unaccepted.Set(piece, true)
				}
			}
		}
	}
	m.notHeld = notHeld
}

// raiseSeenFence records a fence that the backend server has seen.
func (m *StateMachine) raiseSeenFence(span keyspace.Span, fence Fence) {
	var lower []keyspace.Span
	for part, seen := range m.seenFences.Within(span) {
		if fence > seen {
			lower = append(lower, part)
		}
	}
	for _, part := range lower {
		m.seenFences.Set(part, fence)
	}
}

// HeartbeatResponse returns the response to the last heartbeat and marks the granted keys as held and served. It may be
// called some time after the heartbeat arrived, while keys are being moved to this host.
func (m *StateMachine) HeartbeatResponse(now Instant) HeartbeatResponse {
	hold := min(m.timing.HoldTime, time.Duration(float64(m.authorityUntil.Sub(now))/clockMarginFactor))
	if !m.mayAct(now) || m.record == nil || hold-now.Sub(m.heartbeatAt) < minHold {
		return HeartbeatResponse{}
	}
	self := m.record.MemberIndex(m.self)
	if self == NoMember || m.record.Members[self].Instance != m.instance {
		return HeartbeatResponse{}
	}
	grants := m.ownGrants(self)
	until := now.Add(addClockMargin(hold))
	before := m.held.Clone()
	m.served.Clear()
	for _, g := range grants {
		for span, h := range before.Within(g.Span) {
			m.held.Set(span, keyHold{until: max(h.until, until), fence: max(h.fence, g.Fence)})
		}
		m.handovers.Set(g.Span, "")
		m.served.Set(g.Span, true)
	}
	m.servedUntil = m.heartbeatAt.Add(hold) // the backend server counts from when it sent the heartbeat
	m.servedVersion++
	return HeartbeatResponse{HoldTime: hold, Grants: grants}
}

// ownGrants returns the grants for the keys of this host that are not moving away, as many as fit into a response.
func (m *StateMachine) ownGrants(self int) []Grant {
	var grants []Grant
	for span, a := range m.record.Keys.Runs() {
		if a.Owner != self {
			continue
		}
		for part, to := range m.moveTargets.Within(span) {
			if to != "" {
				continue
			}
			for piece, retained := range m.retained.Within(part) {
				if !m.isServable(a, retained) {
					continue
				}
				handover := a.Handover
				if m.held.At(piece.From).fence >= a.Fence {
					handover = "" // the backend server holds the keys already
				}
				grants = append(grants, Grant{Span: piece, Fence: m.fenceFor(piece, a.Fence), Handover: handover})
			}
		}
	}
	if encodedSize(grants) > maxGrantBytes {
		grants = mergeAdjacent(grants)
	}
	for encodedSize(grants) > maxGrantBytes {
		grants = grants[:len(grants)-1]
	}
	for _, g := range grants {
		m.raiseSeenFence(g.Span, g.Fence)
	}
	return grants
}

// fenceFor returns the fence under which to grant keys: that of the record, or a higher one that the backend server has
// seen. Any fence that this host has granted is lower than that of a later owner.
func (m *StateMachine) fenceFor(span keyspace.Span, fence Fence) Fence {
	for _, seen := range m.seenFences.Within(span) {
		fence = max(fence, seen)
	}
	return fence
}

const (
	// maxGrantBytes limits the encoded grants of a heartbeat response: 4 KiB less the rest of the response.
	maxGrantBytes = 4000
	// grantOverheadBytes is the encoded size of a grant without the digits of its numbers and without its handover token.
	grantOverheadBytes = 8
)

// encodedSize returns the approximate encoded size of the grants in a heartbeat response, in bytes.
func encodedSize(grants []Grant) int {
	total := 0
	for _, g := range grants {
		total += grantOverheadBytes + digitCount(uint64(g.Span.From)) + digitCount(uint64(g.Span.To)) +
			digitCount(uint64(g.Fence)) + len(g.Handover)
	}
	return total
}

func digitCount(n uint64) int {
	count := 1
	for n >= 10 {
		n /= 10
		count++
	}
	return count
}

// mergeAdjacent merges grants of adjacent spans without handover tokens, under the higher fence.
func mergeAdjacent(grants []Grant) []Grant {
	merged := grants[:0:0]
	for _, g := range grants {
		if len(merged) > 0 {
			last := &merged[len(merged)-1]
			if int(last.Span.To)+1 == int(g.Span.From) && last.Handover == "" && g.Handover == "" {
				last.Span.To = g.Span.To
				last.Fence = max(last.Fence, g.Fence)
				continue
			}
		}
		merged = append(merged, g)
	}
	return merged
}

// isFree reports whether it is certain that the backend server holds no key of the span.
func (m *StateMachine) isFree(now Instant, span keyspace.Span) bool {
	return now >= m.unknownHoldsUntil && m.holdsNone(now, span)
}

// HaveHoldsExpired reports whether it is certain that the backend server holds no keys.
func (m *StateMachine) HaveHoldsExpired(now Instant) bool {
	return m.isFree(now, keyspace.All())
}

// isFreeOfEarlierInstances reports whether the keys of the span are free for a new instance of the backend server while
// the record still names an earlier one. Keys are granted only to the instance that the record names, and an instance
// that started earlier than the present one has ended. So if the present instance started later than the named one, no
// keys can have been granted to it.
func (m *StateMachine) isFreeOfEarlierInstances(now Instant, span keyspace.Span, named Instance) bool {
	if m.instance.Born > named.Born {
		return m.holdsNone(now, span)
	}
	return m.isFree(now, span)
}

// holdsNone reports whether the backend server holds no key of the span, as far as this daemon knows.
func (m *StateMachine) holdsNone(now Instant, span keyspace.Span) bool {
	for _, h := range m.held.Within(span) {
		if h.until > now {
			return false
		}
	}
	return true
}
