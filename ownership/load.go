package ownership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/placement"
)

// reliefRounds is how many reports in a row must call for the same relief before a slot moves.
const reliefRounds = 2

// LoadNote tells the members of a cell how many places of a member's backend server are busy.
type LoadNote struct {
	Member Ref     `json:"m"`
	Load   float64 `json:"l"`
}

func (LoadNote) message() {}

// loads is what a member knows of load.
type loads struct {
	slots []float64
	// generation is the one in which slots was measured. Slots that came later have no known load.
	generation Generation
	members    map[Ref]float64
	// rounds counts the reports in a row that called for relief.
	rounds int
	// relief is the slot to give away for the sake of load, if hasRelief.
	relief    class.Slot
	to        Ref
	hasRelief bool
}

// SetLoads takes in the load of each slot that this member serves, in busy places, and tells the other members the
// sum. Calls set the pace of moves: each allows one.
func (m *Machine) SetLoads(now time.Time, slots []float64) []Effect {
	m.loads.slots = slots
	total := 0.0
	for _, load := range slots {
		total += load
	}
	if m.entry() == nil {
		return nil
	}
	if m.loads.members == nil {
		m.loads.members = map[Ref]float64{}
	}
	m.loads.members[m.self.Ref] = total
	m.loads.generation = m.known.Record.Generation
	var effects []Effect
	for _, member := range m.known.Record.Members {
		if member.Ref != m.self.Ref {
			effects = append(effects, Send{To: member.Ref, Message: LoadNote{Member: m.self.Ref, Load: total}})
		}
	}
	m.chooseRelief()
	return append(effects, m.step(now)...)
}

// noteLoad takes in another member's load.
func (m *Machine) noteLoad(note LoadNote) {
	if m.loads.members == nil {
		m.loads.members = map[Ref]float64{}
	}
	m.loads.members[note.Member] = note.Load
}

// chooseRelief decides whether a slot should move for the sake of load. It waits until the loads of all members are
// known and no move is under way.
func (m *Machine) chooseRelief() {
	record := m.known.Record
	isBusy := m.state != Active || m.pending != nil || len(m.leaving) > 0
	if isBusy || len(m.loads.slots) != len(record.Owners) {
		return
	}
	memberLoads := make([]float64, len(record.Members))
	for i, member := range record.Members {
		load, known := m.loads.members[member.Ref]
		if !known {
			return
		}
		memberLoads[i] = load
	}
	owners, places := layout(record, nil)
	move, ok := placement.Relieve(owners, record.index(m.self.Ref), m.loads.slots, memberLoads, places)
	if !ok {
		m.loads.rounds = 0
		return
	}
	m.loads.rounds++
	if m.loads.rounds < reliefRounds {
		return
	}
	m.loads.rounds = 0
	m.loads.relief = class.Slot(move.Slot)
	m.loads.to = record.Members[move.To].Ref
	m.loads.hasRelief = true
	m.wish = wish{}
}

// checkRelief forgets a relief that is done or has lost its target.
func (m *Machine) checkRelief() {
	if !m.loads.hasRelief {
		return
	}
	owner := m.known.Record.Owner(m.loads.relief)
	to := m.known.Record.Find(m.loads.to)
	isOpen := owner != nil && owner.Ref == m.self.Ref && to != nil && to.State == Active
	if !isOpen {
		m.loads.hasRelief = false
		m.wish = wish{}
	}
}

// ownMoves returns the moves that take slots from this member. Which slots go to even out counts is this member's
// choice: those already leaving first, then the ones with the least load.
func (m *Machine) ownMoves(r *Record, gone []Ref) []placement.Move {
	self := r.index(m.self.Ref)
	var moves []placement.Move
	for _, move := range plan(r, gone) {
		if move.From == self {
			moves = append(moves, move)
		}
	}
	isLevelling := self >= 0 && r.Members[self].State == Active
	if isLevelling && len(moves) > 0 {
		for i, slot := range m.lightest(r, len(moves)) {
			moves[i].Slot = int(slot)
		}
	}
	if to := r.index(m.loads.to); m.loads.hasRelief && isLevelling && to >= 0 {
		moves = append(moves, placement.Move{Slot: int(m.loads.relief), From: self, To: to})
	}
	return moves
}

// lightest returns the slots of this member that are best given away, without the one that moves for load.
func (m *Machine) lightest(r *Record, count int) []class.Slot {
	slots := r.SlotsOf(m.self.Ref)
	slots = slices.DeleteFunc(slots, func(s class.Slot) bool { return m.loads.hasRelief && s == m.loads.relief })
	slices.SortStableFunc(slots, func(a, b class.Slot) int {
		return cmp.Or(
			cmp.Compare(m.leavingOrder(a), m.leavingOrder(b)),
			cmp.Compare(m.slotLoad(r, a), m.slotLoad(r, b)),
			cmp.Compare(b, a),
		)
	})
	return slots[:min(count, len(slots))]
}

func (m *Machine) leavingOrder(slot class.Slot) int {
	if m.leaving[slot] != nil {
		return 0
	}
	return 1
}

// slotLoad returns a slot's load. One that has just come counts as heavy: it may have come for its load, and must not
// go straight back.
func (m *Machine) slotLoad(r *Record, slot class.Slot) float64 {
	switch {
	case int(slot) >= len(m.loads.slots):
		return 0
	case r.Fences[slot] > m.loads.generation:
		return math.Inf(1)
	default:
		return m.loads.slots[slot]
	}
}
