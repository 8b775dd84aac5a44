package ownership

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/keyspace"
)

// leastHold is the shortest hold worth granting: less would run out before the next heartbeat.
const leastHold = 200 * time.Millisecond

// Heartbeat takes in a heartbeat of the backend server's newest life. Orders returns the answer to it.
func (m *Machine) Heartbeat(now Instant, beat Heartbeat) []Effect {
	if beat.Instance != m.instance {
		m.newLife(beat.Instance)
	}
	m.beatAt = now
	m.takeHolds(now, beat)
	return m.step(now)
}

// newLife forgets what an earlier life of the backend server held: that ended with it.
func (m *Machine) newLife(instance Instance) {
	if m.instance != (Instance{}) {
		m.held.Clear()
	}
	m.instance = instance
	m.seen.Clear()
	m.missing.Clear()
	m.unaccepted.Clear()
	m.handovers.Clear()
	m.stopServing()
}

// takeHolds makes the heartbeat's own account of what it holds the known one. Heartbeats follow each other, so nothing
// that an earlier answer granted is missing from it.
func (m *Machine) takeHolds(now Instant, beat Heartbeat) {
	m.findUnaccepted(beat)
	before := m.held
	m.held = keyspace.Map[held]{}
	unknown := now.Add(stretch(m.timing.Hold))
	for _, hold := range beat.Holds {
		for span, h := range before.Within(hold.Span) {
			until := h.until
			if until == 0 {
				until = unknown
			}
			m.held.Set(span, held{until: until, fence: hold.Fence})
		}
		m.raiseSeen(hold.Span, hold.Fence)
	}
	for _, release := range beat.Released {
		m.handovers.Set(release.Span, release.Handover)
	}
}

// findUnaccepted finds granted keys that two heartbeats in a row do not hold: the server must have seen a higher fence
// than the record's, granted by an earlier daemon. Their fences are raised.
func (m *Machine) findUnaccepted(beat Heartbeat) {
	var holds, missing keyspace.Map[bool]
	for _, hold := range beat.Holds {
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
			missing.Set(part, true)
			for piece, wasMissing := range m.missing.Within(part) {
				if wasMissing {
					m.unaccepted.Set(piece, true)
				}
			}
		}
	}
	m.missing = missing
}

// raiseSeen takes note of a fence that the server has seen.
func (m *Machine) raiseSeen(span keyspace.Span, fence Fence) {
	before := m.seen.Clone()
	for part, seen := range before.Within(span) {
		if fence > seen {
			m.seen.Set(part, fence)
		}
	}
}

// Orders returns what the backend server is to hold from its last heartbeat on. It may be asked for a while after that
// heartbeat, when keys are on their way to this host.
func (m *Machine) Orders(now Instant) Orders {
	hold := min(m.timing.Hold, time.Duration(float64(m.authority.Sub(now))/clockMargin))
	if !m.mayAct(now) || m.known == nil || hold-now.Sub(m.beatAt) < leastHold {
		return Orders{}
	}
	self := m.known.Find(m.self)
	if self == Nobody || m.known.Members[self].Instance != m.instance {
		return Orders{}
	}
	grants := m.grants(self)
	until := now.Add(stretch(hold))
	before := m.held.Clone()
	m.served.Clear()
	for _, g := range grants {
		for span, h := range before.Within(g.Span) {
			m.held.Set(span, held{until: max(h.until, until), fence: max(h.fence, g.Fence)})
		}
		m.handovers.Set(g.Span, "")
		m.served.Set(g.Span, true)
	}
	m.servedUntil = m.beatAt.Add(hold) // the server counts from the sending of its heartbeat
	m.version++
	return Orders{Hold: hold, Grants: grants}
}

// grants returns the rows for the keys of this host that stay, as far as they fit into an answer.
func (m *Machine) grants(self int) []Grant {
	var grants []Grant
	for span, a := range m.known.Keys.Runs() {
		if a.Owner != self {
			continue
		}
		for part, to := range m.leaving.Within(span) {
			if to != "" {
				continue
			}
			handover := a.Handover
			if m.held.At(part.From).fence >= a.Fence {
				handover = "" // it holds them already
			}
			grants = append(grants, Grant{Span: part, Fence: m.fenceFor(part, a.Fence), Handover: handover})
		}
	}
	if size(grants) > answerBytes {
		grants = merge(grants)
	}
	for size(grants) > answerBytes {
		grants = grants[:len(grants)-1]
	}
	for _, g := range grants {
		m.raiseSeen(g.Span, g.Fence)
	}
	return grants
}

// fenceFor returns the fence under which to grant keys: that of the record, or a higher one that the server has seen. Any
// that this host has granted is below that of a later owner.
func (m *Machine) fenceFor(span keyspace.Span, fence Fence) Fence {
	for _, seen := range m.seen.Within(span) {
		fence = max(fence, seen)
	}
	return fence
}

const (
	// answerBytes bounds the rows of an answer to a heartbeat: 4 KiB less what is around them.
	answerBytes = 4000
	// rowBytes is the size of a row without its digits and its handover.
	rowBytes = 8
)

// size returns about how long rows are in an answer.
func size(grants []Grant) int {
	total := 0
	for _, g := range grants {
		total += rowBytes + digits(uint64(g.Span.From)) + digits(uint64(g.Span.To)) + digits(uint64(g.Fence)) + len(g.Handover)
	}
	return total
}

func digits(n uint64) int {
	count := 1
	for n >= 10 {
		n /= 10
		count++
	}
	return count
}

// merge joins neighbouring rows under the higher fence.
func merge(grants []Grant) []Grant {
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

// isFree tells whether the backend server surely holds none of some keys.
func (m *Machine) isFree(now Instant, span keyspace.Span) bool {
	return now >= m.unknownUntil && m.holdsNone(now, span)
}

// isFreeOfEarlierLives tells whether some keys are free for a new life of the backend server, where the record still names
// an earlier one. Keys are granted only to the life that the record names, and the earlier one has ended where this one
// was born later: nobody can have granted anything to this one.
func (m *Machine) isFreeOfEarlierLives(now Instant, span keyspace.Span, named Instance) bool {
	if m.instance.Born > named.Born {
		return m.holdsNone(now, span)
	}
	return m.isFree(now, span)
}

// holdsNone tells whether the backend server holds none of some keys, as far as this daemon knows.
func (m *Machine) holdsNone(now Instant, span keyspace.Span) bool {
	for _, h := range m.held.Within(span) {
		if h.until > now {
			return false
		}
	}
	return true
}
