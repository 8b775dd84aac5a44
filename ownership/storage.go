package ownership

import (
	"slices"
	"strconv"
	"time"
)

// pendingWrite is a write whose fate is not known yet. It is never given up on a timer: it may still land.
type pendingWrite struct {
	base     Revision
	record   *Record
	inFlight bool
	retryAt  time.Time
	attempts int
}

//go:generate go tool stringer -type=WriteFate -linecomment

// WriteFate is what is known about a write.
type WriteFate int

const (
	// WriteLost means that no answer came: the write may have landed, or may land later.
	WriteLost WriteFate = iota // lost
	// WriteLanded means that the store confirmed the write.
	WriteLanded // landed
	// WriteRefused means that the store held another revision.
	WriteRefused // refused
)

// ReadDone takes in the answer to a Read. A failed read has ok false; a missing value has revision zero.
func (m *Machine) ReadDone(now time.Time, v Versioned, ok bool) []Effect {
	m.reading = false
	if !ok {
		m.readFails++
		m.readRetryAt = now.Add(m.backoff(m.readFails))
		return m.step(now)
	}
	m.readFails = 0
	m.wantRead = false
	if v.Record == nil {
		v.Record = newRecord(m.service, m.slots)
	}
	effects := m.adopt(now, v)
	m.readAnswered(now)
	return append(effects, m.step(now)...)
}

// WriteDone takes in the answer to a Write.
func (m *Machine) WriteDone(now time.Time, w Write, fate WriteFate, revision Revision) []Effect {
	p := m.pending
	if p == nil || p.record != w.Record {
		return m.step(now)
	}
	p.inFlight = false
	switch fate {
	case WriteLanded:
		m.conflicts = 0
		return append(m.adopt(now, Versioned{Record: w.Record, Revision: revision}), m.step(now)...)
	case WriteRefused:
		// The base is gone, so this write cannot land any more; but an earlier copy of it may have. The read tells.
		m.conflicts++
		m.wantRead = true
		p.retryAt = now.Add(m.backoff(p.attempts))
	case WriteLost:
		p.attempts++
		m.wantRead = true
		p.retryAt = now.Add(m.backoff(p.attempts))
	}
	return m.step(now)
}

// adopt takes a newer record as the known one, and settles the pending write that it answers.
func (m *Machine) adopt(now time.Time, v Versioned) []Effect {
	if v.Record == nil || m.hasRead && v.Revision <= m.known.Revision {
		return nil
	}
	old := m.known.Record
	wasMember := m.entry() != nil
	m.known = v
	m.hasRead = true
	m.hasUnowned = slices.Contains(v.Record.Owners, unowned)
	m.version++
	effects := []Effect{}
	if v.Revision > 0 {
		effects = append(effects, Adopted{Known: v})
	}
	effects = append(effects, m.settlePending(now, v)...)
	if old == nil || !sameMembers(old, v.Record) {
		m.changedAt = now
	}
	for slot := range m.leaving {
		if owner := v.Record.Owner(slot); owner == nil || owner.Ref != m.self.Ref {
			delete(m.leaving, slot)
		}
	}
	if wasMember && !m.IsMember() {
		effects = append(effects, m.departed(now)...)
	}
	if !wasMember && m.IsMember() {
		m.leasedAt = now
		m.nextRenew = now
	}
	m.recordChanged()
	m.checkRelief()
	return effects
}

// settlePending resolves the pending write once a newer record than its base is known.
func (m *Machine) settlePending(now time.Time, v Versioned) []Effect {
	p := m.pending
	if p == nil || v.Revision <= p.base {
		return nil
	}
	m.pending = nil
	if v.Record.Nonce == p.record.Nonce {
		m.conflicts = 0
		return m.describe(p.record)
	}
	m.writeAfter = now.Add(m.jitter(m.conflicts))
	return nil
}

// departed reports that this daemon is no longer a member.
func (m *Machine) departed(now time.Time) []Effect {
	m.held = map[Ref]time.Time{}
	m.rejoinAfter = now.Add(rejoinPause << min(m.removals, rejoinMost))
	m.removals++
	if m.state == Draining {
		m.wanted = false
		return []Effect{Event{Kind: EventLeft, Member: m.self.Ref}}
	}
	return []Effect{Event{Kind: EventRemoved, Member: m.self.Ref}}
}

// describe returns the events of a write of this daemon that landed.
func (m *Machine) describe(r *Record) []Effect {
	detail := "generation " + strconv.FormatUint(uint64(r.Generation), 10)
	var effects []Effect
	for ref, s := range m.suspects {
		if s.stage == stageSealed && r.Find(ref) == nil {
			effects = append(effects, Event{Kind: EventTookOver, Member: ref, Detail: detail})
		}
	}
	for ref := range m.abandoned {
		if r.Find(ref) == nil {
			effects = append(effects, Event{Kind: EventTookOver, Member: ref, Detail: detail + ", abandoned"})
		}
	}
	moved := 0
	for slot := range m.leaving {
		if owner := r.Owner(slot); owner == nil || owner.Ref != m.self.Ref {
			moved++
		}
	}
	if moved > 0 {
		text := strconv.Itoa(moved) + " slots, " + detail
		effects = append(effects, Event{Kind: EventMoved, Member: m.self.Ref, Detail: text})
	}
	return effects
}

// read asks for the record when something waits for a fresh one.
func (m *Machine) read(now time.Time) []Effect {
	if m.reading || !m.wantRead || now.Before(m.readRetryAt) {
		return nil
	}
	m.reading = true
	return []Effect{Read{}}
}

// write sends the pending write again, or the next one that is wished.
func (m *Machine) write(now time.Time) []Effect {
	if !m.hasRead {
		return nil
	}
	if p := m.pending; p != nil {
		if p.inFlight || m.wantRead || m.reading || now.Before(p.retryAt) {
			return nil
		}
		p.inFlight = true
		return []Effect{Write{Base: p.base, Record: p.record}}
	}
	if now.Before(m.writeAfter) {
		return nil
	}
	next := m.compose(now)
	if next == nil {
		return nil
	}
	m.pending = &pendingWrite{base: m.known.Revision, record: next, inFlight: true}
	return []Effect{Write{Base: m.known.Revision, Record: next}}
}

func (m *Machine) backoff(attempts int) time.Duration {
	pause := m.timing.Retry << min(attempts, 4)
	return pause/2 + time.Duration(m.random.Int64N(int64(pause)))
}

// jitter spreads the writers that lost a race.
func (m *Machine) jitter(conflicts int) time.Duration {
	spread := int64(m.timing.Spread) * int64(min(conflicts, spreadMost))
	if spread == 0 {
		return 0
	}
	return time.Duration(m.random.Int64N(spread))
}

func sameMembers(a, b *Record) bool {
	return slices.EqualFunc(a.Members, b.Members, func(x, y Member) bool {
		return x.Ref == y.Ref && x.State == y.State
	})
}
