package ownership

import (
	"slices"
	"strconv"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/placement"
)

// compose returns the record that this member wants next, or nil if the known one is as wanted.
//
// It changes only what this member may change: its own entry, slots that it has stopped serving, slots that
// nobody owns, and members that it has sealed.
func (m *Machine) compose(now time.Time) *Record {
	if m.isContent(now) {
		return nil
	}
	next := m.known.Record.Clone()
	next.Generation++
	changed := m.composeSelf(now, next)
	gone := m.composeGone(now, next)
	if m.composeSlots(now, next, gone) || len(gone) > 0 {
		changed = true
	}
	for _, ref := range gone {
		next.lose(ref)
	}
	if m.composeLeave(next) {
		changed = true
	}
	if !changed {
		return nil
	}
	next.Nonce = m.self.Ref.String() + "/" + strconv.FormatUint(m.random.Uint64(), 36)
	return next
}

// isContent tells cheaply that nothing can be wanted, as is the rule.
func (m *Machine) isContent(now time.Time) bool {
	entry := m.entry()
	if entry == nil || entry.State != m.state || entry.Guard != m.self.Guard || m.isSealed() {
		return false
	}
	if m.state == Draining || m.witnesses.isWanted || len(m.suspects) > 0 {
		return false
	}
	for ref := range m.abandoned {
		if m.known.Record.Find(ref) != nil {
			return false
		}
	}
	hasIdle := len(m.leaving) > 0 && len(m.idleSlots(now)) > 0
	return !hasIdle && !m.hasUnowned
}

// composeSelf brings this member's own entry up to date.
func (m *Machine) composeSelf(now time.Time, next *Record) bool {
	if !m.wanted {
		return false
	}
	entry := next.Find(m.self.Ref)
	if entry == nil {
		if m.state == Draining || !m.mayJoin(now) {
			return false
		}
		joining := m.self
		joining.State = m.state
		joining.Witnesses = m.witnesses.pick(now, m.self, nil)
		next.Members = append(next.Members, joining)
		return true
	}
	changed := m.isSealed()
	if entry.State != m.state {
		entry.State = m.state
		changed = true
	}
	if entry.Guard != m.self.Guard {
		entry.Guard = m.self.Guard
		changed = true
	}
	if ready, ok := m.readyWitnesses(now); ok && !slices.Equal(ready, entry.Witnesses) {
		entry.Witnesses = slices.Clone(ready)
		changed = true
	}
	return changed
}

// composeGone returns the members that this one may remove.
func (m *Machine) composeGone(now time.Time, next *Record) []Ref {
	if m.entry() == nil && len(m.abandoned) == 0 {
		return nil
	}
	var gone []Ref
	for _, member := range next.Members {
		if member.Ref != m.self.Ref && m.isTaken(now, member.Ref) {
			gone = append(gone, member.Ref)
		}
	}
	return gone
}

// composeSlots gives new owners to slots without one and to idle slots that this member gives away.
func (m *Machine) composeSlots(now time.Time, next *Record, gone []Ref) bool {
	changed := false
	for _, move := range plan(next, gone) {
		isFree := move.From == placement.Nobody || slices.Contains(gone, next.Members[move.From].Ref)
		if isFree {
			next.assign(class.Slot(move.Slot), move.To)
			changed = true
		}
	}
	idle := m.idleSlots(now)
	if len(idle) == 0 {
		return changed
	}
	for _, move := range m.ownMoves(next, gone) {
		if idle[class.Slot(move.Slot)] {
			next.assign(class.Slot(move.Slot), move.To)
			changed = true
		}
	}
	return changed
}

// composeLeave removes this member once it drains and owns nothing. Without another member to take its slots,
// they are left without an owner.
func (m *Machine) composeLeave(next *Record) bool {
	if m.state != Draining || next.Find(m.self.Ref) == nil {
		return false
	}
	for _, slot := range next.SlotsOf(m.self.Ref) {
		if l := m.leaving[slot]; l == nil || !l.idle {
			return false
		}
		if hasActive(next) {
			return false
		}
	}
	next.remove(m.self.Ref)
	return true
}

// idleSlots returns the leaving slots that can be given away now. Those still busy are waited for a short while.
func (m *Machine) idleSlots(now time.Time) map[class.Slot]bool {
	idle := map[class.Slot]bool{}
	isDue := true
	var first time.Time
	for slot, l := range m.leaving {
		if !l.idle {
			isDue = false
			continue
		}
		idle[slot] = true
		if first.IsZero() || l.idleAt.Before(first) {
			first = l.idleAt
		}
	}
	if !isDue && now.Sub(first) < m.timing.Batch {
		return nil
	}
	return idle
}

// startLeaving stops serving the slots that the plan takes from this member.
func (m *Machine) startLeaving(now time.Time) []Effect {
	if m.entry() == nil || m.pending != nil {
		return nil
	}
	turn := time.Duration(m.known.Record.index(m.self.Ref)) * m.timing.Stagger
	isSettled := now.Sub(m.changedAt) >= m.timing.Settle+turn
	if m.state == Active && !isSettled {
		return nil
	}
	key := wishKey{revision: m.known.Revision, state: m.state}
	if m.wish.key != key || m.wish.slots == nil {
		m.wish = wish{key: key, slots: m.wantedGone()}
	}
	wanted := m.wish.slots
	for slot := range m.leaving {
		if !wanted[slot] {
			delete(m.leaving, slot)
			m.version++
		}
	}
	var slots []class.Slot
	for slot := range wanted {
		if m.leaving[slot] == nil {
			slots = append(slots, slot)
		}
	}
	if len(slots) == 0 {
		return nil
	}
	m.token++
	for _, slot := range slots {
		m.leaving[slot] = &leavingSlot{token: m.token}
	}
	slices.Sort(slots)
	m.version++
	return []Effect{Quiesce{Slots: slots, Token: m.token}}
}

// wishKey is what the slots that a member wants to give away depend on.
type wishKey struct {
	revision Revision
	state    MemberState
}

// wish remembers them until something that they depend on changes.
type wish struct {
	key   wishKey
	slots map[class.Slot]bool
}

// wantedGone returns the slots of this member that should have another owner, or none.
func (m *Machine) wantedGone() map[class.Slot]bool {
	wanted := map[class.Slot]bool{}
	next := m.known.Record
	if m.state == Draining {
		for _, slot := range next.SlotsOf(m.self.Ref) {
			wanted[slot] = true
		}
		return wanted
	}
	if m.state != m.entry().State {
		next = next.Clone()
		next.Find(m.self.Ref).State = m.state
	}
	for _, move := range m.ownMoves(next, nil) {
		wanted[class.Slot(move.Slot)] = true
	}
	return wanted
}

// plan computes where slots should go, with the given members gone.
func plan(r *Record, gone []Ref) []placement.Move {
	return placement.Plan(layout(r, gone))
}

// layout turns a record into what placement works on.
func layout(r *Record, gone []Ref) (owners []int, places []placement.Place) {
	places = make([]placement.Place, len(r.Members))
	for i, member := range r.Members {
		places[i] = placement.Place{
			Eligible:  member.State == Active && !slices.Contains(gone, member.Ref),
			Successor: successor(r, member.Ref),
		}
	}
	owners = make([]int, len(r.Owners))
	for slot, owner := range r.Owners {
		owners[slot] = int(owner)
	}
	return owners, places
}

// successor returns the index of a later active life of the same host, or Nobody.
func successor(r *Record, ref Ref) int {
	for i, member := range r.Members {
		if member.Host == ref.Host && member.Incarnation > ref.Incarnation && member.State == Active {
			return i
		}
	}
	return placement.Nobody
}

func hasActive(r *Record) bool {
	return slices.ContainsFunc(r.Members, func(m Member) bool { return m.State == Active })
}
