package ownership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// Timing holds the times of the protocol.
type Timing struct {
	// Vouch is how long a witness vouches, from receipt of the request.
	Vouch time.Duration
	// Renew is the interval between requests to vouch.
	Renew time.Duration
	// Settle is how long membership must have been quiet before slots are levelled and witnesses added.
	Settle time.Duration
	// Retry is the first pause before a store call is repeated.
	Retry time.Duration
	// Batch is how long the idle slots of a move wait for the ones still busy.
	Batch time.Duration
	// Stagger keeps the members of a cell from moving slots at the same time: all but one write would be refused,
	// and the slots would wait.
	Stagger time.Duration
	// Spread is by how much a writer that lost a race waits, for each race lost in a row.
	Spread time.Duration
}

// DefaultTiming returns the times for a mesh with a few milliseconds between hosts.
func DefaultTiming() Timing {
	return Timing{
		Vouch:  time.Second,
		Renew:  400 * time.Millisecond,
		Settle: 300 * time.Millisecond,
		Retry:  50 * time.Millisecond,
		Batch:  10 * time.Millisecond,
		// Two round trips to the store and the spreading of the record.
		Stagger: 15 * time.Millisecond,
		Spread:  4 * time.Millisecond,
	}
}

const (
	// holderShare is the part of a vouch that its holder uses. With takerFactor it covers clocks that
	// run up to 5% fast or slow: 0.9/0.95 is below 1/1.05.
	holderShare = 0.9
	// takerFactor stretches a witness's remaining time on the taker's clock.
	takerFactor = 1.12
	// spreadMost bounds the growth of the wait after lost races.
	spreadMost = 8
)

// sentVouch remembers when a request was sent: its answer counts from there.
type sentVouch struct {
	witness Ref
	at      time.Time
}

// leavingSlot is a slot that this member has stopped serving in order to give it away.
type leavingSlot struct {
	token  uint64
	idle   bool
	idleAt time.Time
}

// Machine is one daemon's part in the ownership of its cell. It is not safe for concurrent use: one control
// goroutine feeds it.
type Machine struct {
	self    Member
	service class.Service
	slots   int
	timing  Timing
	random  *rand.Rand

	known      Versioned
	hasRead    bool
	hasUnowned bool
	pending    *pendingWrite

	reading     bool
	wantRead    bool
	readRetryAt time.Time
	readFails   int
	conflicts   int
	writeAfter  time.Time

	sequence  uint64
	sent      map[uint64]sentVouch
	held      map[Ref]time.Time
	sealedAt  Generation
	nextRenew time.Time
	// leasedAt is when this member last had a lease, or began to claim one.
	leasedAt time.Time
	probed   map[Ref]time.Time
	// removals counts how often this daemon was taken over; it joins again after a pause.
	removals    int
	rejoinAfter time.Time

	wanted    bool
	state     MemberState
	changedAt time.Time

	witnesses witnessChoice
	leaving   map[class.Slot]*leavingSlot
	token     uint64
	wish      wish
	loads     loads
	suspects  map[Ref]*suspicion
	abandoned map[Ref]bool

	version uint64
}

// NewMachine returns the machine of a daemon that is not a member yet.
func NewMachine(self Member, service class.Service, slots int, timing Timing, random *rand.Rand) *Machine {
	abandoned := map[Ref]bool{}
	return &Machine{
		self:      self,
		service:   service,
		slots:     slots,
		timing:    timing,
		random:    random,
		wantRead:  true,
		sent:      map[uint64]sentVouch{},
		held:      map[Ref]time.Time{},
		probed:    map[Ref]time.Time{},
		witnesses: newWitnessChoice(abandoned),
		leaving:   map[class.Slot]*leavingSlot{},
		suspects:  map[Ref]*suspicion{},
		abandoned: abandoned,
	}
}

// Known returns the newest record that this daemon has seen.
func (m *Machine) Known() Versioned { return m.known }

// Self returns this daemon's ref.
func (m *Machine) Self() Ref { return m.self.Ref }

// IsMember tells whether the newest known record names this daemon.
func (m *Machine) IsMember() bool { return m.entry() != nil }

// Join makes this daemon want to be a member in the given state.
func (m *Machine) Join(now time.Time, state MemberState) []Effect {
	m.wanted = true
	m.state = state
	return m.step(now)
}

// Drain makes this daemon give its slots away and leave.
func (m *Machine) Drain(now time.Time) []Effect {
	m.state = Draining
	return m.step(now)
}

// Abandon takes an operator's word that a member is gone for good: its slots move without seals.
func (m *Machine) Abandon(now time.Time, ref Ref) []Effect {
	m.abandoned[ref] = true
	m.wantRead = true
	return m.step(now)
}

// SetPool tells which daemons of the mesh could be witnesses.
func (m *Machine) SetPool(now time.Time, pool []PoolMember) []Effect {
	if m.witnesses.setPool(now, m.self.Host, pool) {
		return m.step(now)
	}
	return nil
}

// Learn takes in a record that another daemon or a watch brought.
func (m *Machine) Learn(now time.Time, v Versioned) []Effect {
	return append(m.adopt(now, v), m.step(now)...)
}

// Deliver takes in a message for this member. Messages for the witness role go to Witness.
func (m *Machine) Deliver(now time.Time, message Message) []Effect {
	switch msg := message.(type) {
	case VouchReply:
		m.vouched(now, msg)
	case SealReply:
		m.sealed(now, msg)
	case SilenceNotice:
		m.suspect(now, msg)
	case LoadNote:
		m.noteLoad(msg)
	}
	return m.step(now)
}

// Idle reports that slots of a Quiesce have no running work left.
func (m *Machine) Idle(now time.Time, token uint64, slots []class.Slot) []Effect {
	for _, slot := range slots {
		if l, ok := m.leaving[slot]; ok && l.token == token && !l.idle {
			l.idle = true
			l.idleAt = now
		}
	}
	return m.step(now)
}

// Tick does what time asks for. Call it at least every few tens of milliseconds.
func (m *Machine) Tick(now time.Time) []Effect { return m.step(now) }

// LeaseEnd returns until when this member may serve, on its own clock.
func (m *Machine) LeaseEnd(now time.Time) time.Time {
	entry := m.entry()
	if entry == nil {
		return time.Time{}
	}
	end := m.majorityEnd(now, entry.Witnesses)
	if m.pending != nil {
		// While a change of its own witnesses is unresolved, both sets must vouch.
		if next := m.pending.record.Find(m.self.Ref); next != nil {
			end = earlier(end, m.majorityEnd(now, next.Witnesses))
		}
	}
	return end
}

// Serves tells whether this member may give work for a slot to its backend server now.
func (m *Machine) Serves(now time.Time, slot class.Slot) bool {
	if m.known.Record == nil {
		return false
	}
	owner := m.known.Record.Owner(slot)
	if owner == nil || owner.Ref != m.self.Ref || m.leaving[slot] != nil {
		return false
	}
	return now.Before(m.LeaseEnd(now))
}

// Fences returns the fence of each slot that this member serves while its lease lasts; zero means not served.
func (m *Machine) Fences() []Generation {
	fences := make([]Generation, m.slots)
	if m.entry() == nil {
		return fences
	}
	for _, slot := range m.known.Record.SlotsOf(m.self.Ref) {
		if m.leaving[slot] == nil {
			fences[slot] = m.known.Record.Fences[slot]
		}
	}
	return fences
}

// Version changes whenever Fences may have changed.
func (m *Machine) Version() uint64 { return m.version }

// entry returns this member's entry in the newest known record, or nil.
func (m *Machine) entry() *Member {
	if m.known.Record == nil {
		return nil
	}
	return m.known.Record.Find(m.self.Ref)
}

// majorityEnd returns the time until which a majority of a set has vouched. A member without witnesses serves
// on the record alone: nobody can take over from it.
func (m *Machine) majorityEnd(now time.Time, set []Ref) time.Time {
	if len(set) == 0 {
		return now.Add(m.timing.Vouch)
	}
	ends := make([]time.Time, 0, len(set))
	for _, witness := range set {
		ends = append(ends, m.held[witness])
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	return ends[len(set)/2]
}

// step does everything that the present state asks for.
func (m *Machine) step(now time.Time) []Effect {
	effects := m.renew(now)
	effects = append(effects, m.startLeaving(now)...)
	effects = append(effects, m.advanceSuspicions(now)...)
	effects = append(effects, m.write(now)...)
	return append(effects, m.read(now)...)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func compareRefs(a, b Ref) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
}
