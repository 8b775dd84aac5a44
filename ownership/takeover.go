package ownership

import (
	"hash/fnv"
	"slices"
	"time"
)

const (
	// reportMemory is how long a silence notice counts.
	reportMemory = 3 * noticeInterval
	// takerStagger keeps the members of a cell from taking over all at once. Doing so is harmless but wasteful.
	takerStagger = 200 * time.Millisecond
	// sealInterval is how often an unanswered seal request is repeated.
	sealInterval = 150 * time.Millisecond
)

//go:generate go tool stringer -type=takeoverStage -linecomment

// takeoverStage is how far a take-over has come.
type takeoverStage int

const (
	// stageReported means that silence notices are being collected.
	stageReported takeoverStage = iota // reported
	// stageReading means that the record is being read, which also proves that the store is up.
	stageReading // reading
	// stageSealing means that the member's witnesses are being asked to seal it.
	stageSealing // sealing
	// stageSealed means that a majority has sealed and the longest reported vouch is being waited out.
	stageSealed // sealed
)

// suspicion is one member's case against another.
type suspicion struct {
	stage   takeoverStage
	reports map[Ref]time.Time
	startAt time.Time
	// generation is the one that the seals name. A change of the record starts the case over.
	generation Generation
	acks       map[Ref]bool
	readyAt    time.Time
	nextSeal   time.Time
}

// suspect takes in a witness's notice that a member is silent.
func (m *Machine) suspect(now time.Time, notice SilenceNotice) {
	if m.entry() == nil || notice.Member == m.self.Ref {
		return
	}
	member := m.known.Record.Find(notice.Member)
	if member == nil || !slices.Contains(member.Witnesses, notice.Witness) {
		return
	}
	s, known := m.suspects[notice.Member]
	if !known {
		s = &suspicion{reports: map[Ref]time.Time{}}
		m.suspects[notice.Member] = s
	}
	s.reports[notice.Witness] = now
}

// advanceSuspicions moves each case forward as far as it can go.
func (m *Machine) advanceSuspicions(now time.Time) []Effect {
	if len(m.suspects) == 0 {
		return nil
	}
	refs := make([]Ref, 0, len(m.suspects))
	for ref := range m.suspects {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, compareRefs)
	var effects []Effect
	for _, ref := range refs {
		effects = append(effects, m.advance(now, ref, m.suspects[ref])...)
	}
	return effects
}

func (m *Machine) advance(now time.Time, ref Ref, s *suspicion) []Effect {
	member := m.known.Record.Find(ref)
	if member == nil || m.entry() == nil {
		delete(m.suspects, ref)
		return nil
	}
	switch s.stage {
	case stageReported:
		return m.collectReports(now, member, s)
	case stageSealing:
		return m.requestSeals(now, member, s)
	default:
		return nil // stageReading waits for a read, stageSealed for time and the next write
	}
}

// collectReports starts the take-over once a majority of the member's witnesses call it silent.
func (m *Machine) collectReports(now time.Time, member *Member, s *suspicion) []Effect {
	for witness, at := range s.reports {
		if now.Sub(at) > reportMemory || !slices.Contains(member.Witnesses, witness) {
			delete(s.reports, witness)
		}
	}
	if len(s.reports) == 0 {
		delete(m.suspects, member.Ref)
		return nil
	}
	if len(s.reports) < majority(member.Witnesses) {
		s.startAt = time.Time{}
		return nil
	}
	if s.startAt.IsZero() {
		s.startAt = now.Add(time.Duration(m.takerRank(member.Ref)) * takerStagger)
		return []Effect{Event{Kind: EventSuspected, Member: member.Ref}}
	}
	if !now.Before(s.startAt) {
		s.stage = stageReading
		m.wantRead = true
	}
	return nil
}

// takerRank orders the members of the cell as takers of a silent one. A later life of the same host goes first.
func (m *Machine) takerRank(silent Ref) int {
	if m.self.Host == silent.Host {
		return 0
	}
	own := takerWeight(silent, m.self.Ref)
	rank := 0
	for _, other := range m.known.Record.Members {
		if other.Ref != silent && takerWeight(silent, other.Ref) < own {
			rank++
		}
	}
	return rank
}

func takerWeight(silent, taker Ref) uint64 {
	h := fnv.New64a()
	h.Write([]byte(silent.String() + "/" + taker.String()))
	return h.Sum64()
}

// readAnswered moves the cases on that waited for a fresh record.
func (m *Machine) readAnswered(now time.Time) {
	for _, s := range m.suspects {
		if s.stage != stageReading {
			continue
		}
		s.stage = stageSealing
		s.generation = m.known.Record.Generation
		s.acks = map[Ref]bool{}
		s.readyAt = now
		s.nextSeal = now
	}
}

// requestSeals asks the member's witnesses, until a majority has sealed.
func (m *Machine) requestSeals(now time.Time, member *Member, s *suspicion) []Effect {
	if now.Before(s.nextSeal) {
		return nil
	}
	s.nextSeal = now.Add(sealInterval)
	var effects []Effect
	for _, witness := range member.Witnesses {
		if s.acks[witness] {
			continue
		}
		effects = append(effects, Send{To: witness, Message: SealRequest{
			Member:     member.Ref,
			Witness:    witness,
			Generation: s.generation,
			Taker:      m.self.Ref,
		}})
	}
	return effects
}

// sealed takes in a witness's seal and the time for which its newest vouch still runs.
func (m *Machine) sealed(now time.Time, reply SealReply) {
	s, known := m.suspects[reply.Member]
	if !known || s.stage < stageSealing || reply.Generation != s.generation {
		return
	}
	member := m.known.Record.Find(reply.Member)
	if member == nil || !slices.Contains(member.Witnesses, reply.Witness) {
		return
	}
	s.acks[reply.Witness] = true
	wait := time.Duration(float64(reply.Remaining+member.Guard) * takerFactor)
	s.readyAt = later(s.readyAt, now.Add(wait))
	if s.stage == stageSealing && len(s.acks) >= majority(member.Witnesses) {
		s.stage = stageSealed
	}
}

// isTaken tells whether a member may be removed from the known record by the next write.
func (m *Machine) isTaken(now time.Time, ref Ref) bool {
	if m.abandoned[ref] {
		return true
	}
	s, known := m.suspects[ref]
	if !known || s.stage != stageSealed || s.generation != m.known.Record.Generation {
		return false
	}
	return !now.Before(s.readyAt)
}

// recordChanged starts the cases over that named an older generation.
func (m *Machine) recordChanged() {
	for _, s := range m.suspects {
		if s.stage > stageReading && s.generation != m.known.Record.Generation {
			s.stage = stageReported
			s.startAt = time.Time{}
		}
	}
}

// majority returns how many of a set are more than half. An empty set has none: nobody can speak for it.
func majority(set []Ref) int { return len(set)/2 + 1 }
