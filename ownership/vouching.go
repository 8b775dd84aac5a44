package ownership

import (
	"slices"
	"time"

	"github.com/skylarkrelay/skylarkrelay/placement"
)

const (
	// failedMemory is how long a witness that failed is not chosen again.
	failedMemory = 10 * time.Second
	// deafVouches is how many vouch times a member may be without a lease before it stops claiming one. A member that
	// can ask but hears no answer would otherwise look alive to its witnesses, and nobody could take over.
	deafVouches = 2
	// rejoinPause is how long a member that was taken over stays away, doubled each time up to rejoinMost.
	rejoinPause = 2 * time.Second
	rejoinMost  = 5
	// failedVouches is how many vouch times a witness may stay mute before it is replaced.
	failedVouches = 2
)

// PoolMember is a daemon that could be a witness.
type PoolMember struct {
	Ref    Ref
	Domain Domain
}

// witnessChoice decides which daemons should be this member's witnesses.
type witnessChoice struct {
	pool      []PoolMember
	changedAt time.Time
	// targets is the set that this member wants, if it wants another one than it has.
	targets  []Ref
	isWanted bool
	asked    map[Ref]time.Time
	failed   map[Ref]time.Time
	// abandoned holds the daemons that an operator has declared gone, of any cell.
	abandoned map[Ref]bool
}

func newWitnessChoice(abandoned map[Ref]bool) witnessChoice {
	return witnessChoice{asked: map[Ref]time.Time{}, failed: map[Ref]time.Time{}, abandoned: abandoned}
}

// isAlone tells whether no other daemon of the mesh is left.
func (c *witnessChoice) isAlone() bool {
	return !slices.ContainsFunc(c.pool, func(p PoolMember) bool { return !c.abandoned[p.Ref] })
}

// setPool replaces the pool and tells whether it changed. A host is never its own witness.
func (c *witnessChoice) setPool(now time.Time, self HostID, pool []PoolMember) bool {
	var others []PoolMember
	for _, p := range pool {
		if p.Ref.Host != self {
			others = append(others, p)
		}
	}
	slices.SortFunc(others, func(a, b PoolMember) int { return compareRefs(a.Ref, b.Ref) })
	if slices.Equal(others, c.pool) {
		return false
	}
	c.pool = others
	c.changedAt = now
	return true
}

// pick chooses a set, keeping those in keep.
func (c *witnessChoice) pick(now time.Time, self Member, keep []Ref) []Ref {
	byID := map[string]Ref{}
	kept := map[string]bool{}
	var candidates []placement.Candidate
	for _, p := range c.pool {
		failedAt, failed := c.failed[p.Ref]
		if failed && now.Sub(failedAt) < failedMemory || c.abandoned[p.Ref] {
			continue
		}
		id := p.Ref.String()
		byID[id] = p.Ref
		kept[id] = slices.Contains(keep, p.Ref)
		candidates = append(candidates, placement.Candidate{ID: id, Domain: string(p.Domain)})
	}
	member := placement.Candidate{ID: self.Ref.String(), Domain: string(self.Domain)}
	count := placement.WitnessCount(len(candidates))
	var chosen []Ref
	for _, w := range placement.Witnesses(member, candidates, kept, count) {
		chosen = append(chosen, byID[w.ID])
	}
	slices.SortFunc(chosen, compareRefs)
	return chosen
}

// renew asks all present, pending and wanted witnesses to vouch.
func (m *Machine) renew(now time.Time) []Effect {
	entry := m.entry()
	if entry == nil {
		return m.probeToRejoin(now)
	}
	m.noteLease(now)
	m.chooseWitnesses(now, entry)
	if now.Before(m.nextRenew) {
		return nil
	}
	m.nextRenew = now.Add(m.timing.Renew)
	for sequence, sent := range m.sent {
		if now.Sub(sent.at) > m.timing.Vouch {
			delete(m.sent, sequence)
		}
	}
	var effects []Effect
	for _, witness := range m.allWitnesses(entry) {
		effects = append(effects, m.ask(now, witness))
	}
	return effects
}

// ask sends one request to vouch.
func (m *Machine) ask(now time.Time, witness Ref) Effect {
	m.sequence++
	m.sent[m.sequence] = sentVouch{witness: witness, at: now}
	if _, asked := m.witnesses.asked[witness]; !asked {
		m.witnesses.asked[witness] = now
	}
	return Send{To: witness, Message: VouchRequest{
		Service:    m.service,
		Member:     m.self.Ref,
		Witness:    witness,
		Generation: m.known.Record.Generation,
		Sequence:   m.sequence,
		Probe:      m.isDeaf(now),
	}}
}

// noteLease remembers when this member last had a lease.
func (m *Machine) noteLease(now time.Time) {
	if now.Before(m.LeaseEnd(now)) {
		m.leasedAt = now
	}
}

// isDeaf tells whether this daemon only probes: it is no member, or has been without a lease for too long.
func (m *Machine) isDeaf(now time.Time) bool {
	return m.entry() == nil || now.Sub(m.leasedAt) > deafVouches*m.timing.Vouch
}

// heard takes in the answer to a probe. Once a majority is heard, this member claims its lease again.
func (m *Machine) heard(now time.Time, witness Ref) {
	m.probed[witness] = now
	entry := m.entry()
	if entry != nil && m.hears(now, entry.Witnesses) {
		m.leasedAt = now
		m.nextRenew = now
	}
}

// hears tells whether a majority of a set has lately answered probes.
func (m *Machine) hears(now time.Time, set []Ref) bool {
	count := 0
	for _, w := range set {
		if at, known := m.probed[w]; known && now.Sub(at) <= m.timing.Vouch {
			count++
		}
	}
	return count >= majority(set)
}

// probeToRejoin asks possible witnesses whether they can be heard, before a daemon that was taken over joins again.
// One that would get slots and no lease would only make them unavailable.
func (m *Machine) probeToRejoin(now time.Time) []Effect {
	isWaiting := m.removals > 0 && m.wanted && !now.Before(m.rejoinAfter)
	if !isWaiting || now.Before(m.nextRenew) {
		return nil
	}
	m.nextRenew = now.Add(m.timing.Renew)
	var effects []Effect
	for _, witness := range m.witnesses.pick(now, m.self, nil) {
		effects = append(effects, m.ask(now, witness))
	}
	return effects
}

// mayJoin tells whether this daemon may become a member. After it was taken over it has to hear witnesses first.
func (m *Machine) mayJoin(now time.Time) bool {
	if m.removals == 0 || m.witnesses.isAlone() {
		return true
	}
	return !now.Before(m.rejoinAfter) && m.hears(now, m.witnesses.pick(now, m.self, nil))
}

// vouched takes in a witness's answer. The vouch counts from before the request was sent.
func (m *Machine) vouched(now time.Time, reply VouchReply) {
	sent, ok := m.sent[reply.Sequence]
	if !ok || sent.witness != reply.Witness || reply.Member != m.self.Ref {
		return
	}
	delete(m.sent, reply.Sequence)
	switch {
	case reply.Restarted:
		m.witnesses.failed[reply.Witness] = now
	case reply.Probe:
		m.heard(now, reply.Witness)
	case reply.Granted:
		delete(m.witnesses.failed, reply.Witness)
		m.witnesses.asked[reply.Witness] = now
		end := sent.at.Add(time.Duration(float64(m.timing.Vouch) * holderShare))
		m.held[reply.Witness] = later(m.held[reply.Witness], end)
	default:
		m.sealedAt = max(m.sealedAt, reply.Sealed)
	}
}

// isSealed tells whether a witness refuses the newest known generation, so that this member must rise above it.
func (m *Machine) isSealed() bool {
	return m.known.Record.Generation <= m.sealedAt
}

// allWitnesses returns present, pending and wanted witnesses, each once.
func (m *Machine) allWitnesses(entry *Member) []Ref {
	all := slices.Clone(entry.Witnesses)
	if m.pending != nil {
		if next := m.pending.record.Find(m.self.Ref); next != nil {
			all = append(all, next.Witnesses...)
		}
	}
	all = append(all, m.witnesses.targets...)
	slices.SortFunc(all, compareRefs)
	return slices.Compact(all)
}

// chooseWitnesses sets the targets when the present witnesses fail or are too few.
func (m *Machine) chooseWitnesses(now time.Time, entry *Member) {
	c := &m.witnesses
	for _, witness := range append(slices.Clone(entry.Witnesses), c.targets...) {
		asked, known := c.asked[witness]
		if known && now.Sub(asked) > failedVouches*m.timing.Vouch {
			c.failed[witness] = now
			delete(c.asked, witness)
		}
	}
	var good []Ref
	for _, witness := range entry.Witnesses {
		if _, failed := c.failed[witness]; !failed {
			good = append(good, witness)
		}
	}
	isGrowing := len(entry.Witnesses) < placement.WitnessCount(len(c.pool))
	isQuiet := now.Sub(c.changedAt) >= m.timing.Settle
	if len(good) == len(entry.Witnesses) && (!isGrowing || !isQuiet) {
		c.want(nil, false)
		return
	}
	picked := c.pick(now, m.self, good)
	if len(picked) == 0 && !c.isAlone() {
		c.want(nil, false) // all others failed lately: they may come back
		return
	}
	// With no other daemon left in the mesh the set is empty, and this member serves on the record alone.
	isOther := !slices.Equal(picked, entry.Witnesses)
	if c.want(picked, isOther) {
		m.nextRenew = now
	}
}

// want sets the wanted witnesses and tells whether there are new ones to ask.
func (c *witnessChoice) want(targets []Ref, isWanted bool) bool {
	isNew := isWanted && !slices.Equal(targets, c.targets)
	c.targets = targets
	c.isWanted = isWanted
	return isNew
}

// readyWitnesses returns the wanted set once each of its members has vouched.
func (m *Machine) readyWitnesses(now time.Time) (set []Ref, ok bool) {
	for _, witness := range m.witnesses.targets {
		if !now.Before(m.held[witness]) {
			return nil, false
		}
	}
	return m.witnesses.targets, m.witnesses.isWanted
}
