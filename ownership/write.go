package ownership

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/placement"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// moveBatchDelay is how long the first released keys of a move wait for the rest, so that one write covers them all.
const moveBatchDelay = 120 * time.Millisecond

// pendingWrite is a write whose outcome is not known yet. It is sent again until the store commits or refuses it. At
// most one copy can be committed.
type pendingWrite struct {
	token        WriteToken
	baseRevision store.Revision
	record       *Record
	txn          store.Txn
	events       []Effect
	isInFlight   bool
	retryAt      Instant
}

// requires reports whether the write is conditional on a revision of a key.
func (p *pendingWrite) requires(key string, revision store.Revision) bool {
	return slices.Contains(p.txn.Conditions, store.Condition{Key: key, Revision: revision})
}

//go:generate go tool stringer -type=WriteStatus -linecomment

// WriteStatus is the result of a write.
type WriteStatus int

const (
	// WriteCommitted means that the record was written.
	WriteCommitted WriteStatus = iota // landed
	// WriteConflict means that a condition of the transaction did not hold.
	WriteConflict // conflict
	// WriteRejected means that the store did not execute the call.
	WriteRejected // rejected
	// WriteUnanswered means that there was no answer, so the record may or may not have been written.
	WriteUnanswered // lost
)

// WriteResult is the result of WriteRecord.
type WriteResult struct {
	Token  WriteToken
	Status WriteStatus
	// Revision is the revision of the written record.
	Revision store.Revision
	// Record and RecordRevision are the current record in the store after a conflict.
	Record         *Record
	RecordRevision store.Revision
	// Changed lists the store keys whose conditions did not hold.
	Changed []string
}

// writeRecord sends the pending write again if it is due, or the next write if a change of the record is needed.
func (m *StateMachine) writeRecord(now Instant) []Effect {
	if p := m.pending; p != nil {
		if p.isInFlight || now < p.retryAt {
			return nil
		}
		p.isInFlight = true
		return []Effect{WriteRecord{Token: p.token, Txn: p.txn}}
	}
	if !m.mayWrite(now) || now < m.writeNotBefore {
		return nil
	}
	d := m.composeRecord(now)
	if d == nil || !d.isChanged {
		return nil
	}
	data, err := d.record.Encode()
	if err != nil {
		m.writeNotBefore = now.Add(m.timing.RetryDelay)
		return []Effect{Event{Kind: EventWriteRefused, Detail: err.Error()}}
	}
	txn := store.Txn{
		Conditions: []store.Condition{
			{Key: m.layout.Record(m.service), Revision: m.recordRevision},
			{Key: m.layout.Epoch(m.self), Revision: m.epochRevision},
		},
		Puts: []store.Put{{Key: m.layout.Record(m.service), Value: data}},
	}
	for _, host := range d.takenOver {
		t := m.takeovers[host]
		txn.Conditions = append(txn.Conditions,
			t.epochCondition,
			store.Condition{Key: m.layout.Presence(host)},
		)
	}
	m.lastToken++
	m.pending = &pendingWrite{
		token:        m.lastToken,
		baseRevision: m.recordRevision,
		record:       d.record,
		txn:          txn,
		events:       d.events,
		isInFlight:   true,
	}
	return []Effect{WriteRecord{Token: m.lastToken, Txn: txn}}
}

// WriteDone processes the result of WriteRecord.
func (m *StateMachine) WriteDone(now Instant, result WriteResult) []Effect {
	p := m.pending
	if p == nil || p.token != result.Token || !p.isInFlight {
		return nil
	}
	p.isInFlight = false
	switch result.Status {
	case WriteCommitted:
		effects := m.applyRecord(now, p.record, result.Revision)
		return append(effects, m.step(now)...)
	case WriteConflict:
		return m.resolveConflict(now, p, result)
	case WriteUnanswered:
		p.retryAt = now.Add(m.timing.RetryDelay)
		return []Effect{Event{Kind: EventWriteUnconfirmed}}
	default:
		p.retryAt = now.Add(m.timing.RetryDelay)
		return nil
	}
}

// resolveConflict ends a write whose condition did not hold. The revision of the record and the epochs only increase,
// so no other copy of the write can be committed either.
func (m *StateMachine) resolveConflict(now Instant, p *pendingWrite, result WriteResult) []Effect {
	effects := []Effect{Event{
		Kind:   EventWriteRefused,
		Detail: "conflict over " + joinKeys(result.Changed),
	}}
	m.writeNotBefore = now.Add(time.Duration(m.random.Int64N(int64(m.timing.RetryDelay))))
	if result.RecordRevision > p.baseRevision {
		return append(append(effects, m.applyRecord(now, result.Record, result.RecordRevision)...), m.step(now)...)
	}
	m.pending = nil
	if ownEpoch := m.layout.Epoch(m.self); slices.Contains(result.Changed, ownEpoch) && p.requires(ownEpoch, m.epochRevision) {
		// A registration that was sent before a restore of the store may have been applied after the newest one.
		m.isRegistered = false
		effects = append(effects, Reregister{})
	}
	for host, t := range m.takeovers {
		if t.hasLeaseEnded {
			delete(m.takeovers, host) // its epoch or presence has changed: start again with the absence check
			delete(m.absentSince, host)
		}
	}
	return append(effects, m.step(now)...)
}

func joinKeys(keys []string) string {
	text := ""
	for i, key := range keys {
		if i > 0 {
			text += ", "
		}
		text += key
	}
	return text
}

// draft is the next record while it is being composed.
type draft struct {
	record    *Record
	isChanged bool
	takenOver []HostID
	events    []Effect
}

// composeRecord returns the next record, or nil if this host has no change to make. It changes only what this host may
// change: its own member, keys that it has released, keys without an owner, and keys of hosts whose authority has
// expired.
func (m *StateMachine) composeRecord(now Instant) *draft {
	nonce := string(m.self) + "/" + strconv.FormatUint(m.random.Uint64(), 36)
	if m.record == nil {
		return m.composeInitial(now, nonce)
	}
	if m.isRecordOutdated {
		return m.composeRestored(nonce)
	}
	if !m.mayNeedWrite(now) {
		return nil
	}
	d := &draft{record: m.record.nextGeneration(nonce)}
	d.record.Era = m.era
	m.composeSettlement(now, d)
	m.composeSelf(now, d)
	m.composeMoves(now, d)
	m.composeTakeovers(now, d)
	if d.isChanged {
		m.removeIdleMembers(d)
	}
	return d
}

// mayNeedWrite reports whether a write may be needed. It is a cheap check, because most of the time none is.
func (m *StateMachine) mayNeedWrite(now Instant) bool {
	self := m.record.MemberIndex(m.self)
	isKnown := m.serverState == ServerReady && m.instance != (Instance{})
	if isKnown && (self == NoMember || m.record.Members[self].Instance != m.instance) {
		return true
	}
	if m.isMoving || m.unaccepted.RunCount() > 0 || len(m.record.Unsettled) > 0 {
		return true
	}
	for _, t := range m.takeovers {
		if t.hasLeaseEnded && now >= t.authorityEndsAt {
			return true
		}
	}
	return false
}

// composeInitial composes the first record of a service. The first usable host assigns all keys; each further one waits
// longer, in case that host does not write the record. If the store was restored, an earlier record may have been lost, so
// all hosts wait until no host can act on it any more.
func (m *StateMachine) composeInitial(now Instant, nonce string) *draft {
	index := m.usableIndex()
	if index == placement.NoServer || m.serverState != ServerReady {
		return nil
	}
	dueAt := m.unchangedSince.Add(m.timing.SettleTime)
	if m.era > store.FirstEra {
		dueAt = max(dueAt, m.settlesAt)
	}
	if now < dueAt.Add(time.Duration(index)*m.timing.Stagger) {
		return nil
	}
	empty := &Record{Service: m.service, Era: m.era}
	r := empty.nextGeneration(nonce)
	r.Generation = firstGeneration(m.era)
	candidates := m.placementState(empty, "")
	members := make([]int, len(m.peers))
	for i, p := range m.peers {
		members[i] = NoMember
		if candidates[i].Capacity > 0 {
			members[i] = r.addMember(Member{Host: p.Host, Instance: p.Instance})
		}
	}
	distribute := placement.Distribute
	if m.isLoadAware() {
		distribute = placement.DistributeCoarsely
	}
	owners := distribute(withCapacity(candidates))
	for span, owner := range owners.Runs() {
		r.assign(span, owner, "")
	}
	return &draft{
		record:    r,
		isChanged: true,
		events:    []Effect{Event{Kind: EventKeysAssigned, Detail: strconv.Itoa(len(r.Members)) + " members"}},
	}
}

// withCapacity returns the candidates that have capacity, in the same order.
func withCapacity(candidates []placement.Server) []placement.Server {
	var found []placement.Server
	for _, p := range candidates {
		if p.Capacity > 0 {
			found = append(found, p)
		}
	}
	return found
}

// composeSelf adds this host as a member, or raises the fences of its keys for a new instance of its backend server.
func (m *StateMachine) composeSelf(now Instant, d *draft) {
	if m.serverState != ServerReady || m.instance == (Instance{}) || slices.Contains(d.record.Unsettled, m.self) {
		return
	}
	self := d.record.MemberIndex(m.self)
	if self == NoMember {
		d.record.addMember(Member{Host: m.self, Instance: m.instance})
		d.isChanged = true
		return
	}
	if d.record.Members[self].Instance == m.instance {
		m.composeFenceRaises(now, d, self)
		return
	}
	keys := 0
	before := d.record.Keys.Clone()
	for span, a := range before.Runs() {
		if a.Owner != self {
			continue
		}
		if !m.isFreeOfEarlierInstances(now, span, d.record.Members[self].Instance) {
			return // grants of an earlier daemon process may still be in force
		}
		d.record.assign(span, self, "")
		keys += span.Size()
	}
	d.record.Members[self].Instance = m.instance
	d.isChanged = true
	d.events = append(d.events, Event{Kind: EventFencesRaised, Keys: keys, Detail: m.instance.String()})
}

// composeFenceRaises raises the fences of granted keys that the backend server does not accept.
func (m *StateMachine) composeFenceRaises(now Instant, d *draft, self int) {
	keys := 0
	for span, isUnaccepted := range m.unaccepted.Runs() {
		if !isUnaccepted || !m.isFree(now, span) {
			continue
		}
		for part, a := range m.record.Keys.Within(span) {
			if a.Owner == self {
				d.record.assign(part, self, a.Handover)
				keys += part.Size()
			}
		}
	}
	m.unaccepted.Clear()
	if keys > 0 {
		d.isChanged = true
		d.events = append(d.events, Event{
			Kind:   EventFencesRaised,
			Keys:   keys,
			Detail: "not accepted",
		})
	}
}

// composeMoves assigns the moving keys that the backend server no longer holds to their new owners.
func (m *StateMachine) composeMoves(now Instant, d *draft) {
	if !m.isMoving {
		return
	}
	type transfer struct {
		span     keyspace.Span
		to       HostID
		handover HandoverToken
	}
	var transfers []transfer
	isComplete := true
	for span, to := range m.moveTargets.Runs() {
		if to == "" {
			continue
		}
		for part := range m.held.Within(span) {
			if !m.isFree(now, part) {
				isComplete = false
				continue
			}
			for piece, handover := range m.handovers.Within(part) {
				transfers = append(transfers, transfer{span: piece, to: to, handover: handover})
			}
		}
	}
	if len(transfers) == 0 {
		return
	}
	if m.firstReleasedAt == 0 {
		m.firstReleasedAt = now
	}
	if !isComplete && now.Sub(m.firstReleasedAt) < moveBatchDelay {
		return
	}
	m.firstReleasedAt = 0
	keys := 0
	var unplaced []placement.LoadedSpan
	handovers := map[keyspace.Span]HandoverToken{}
	for _, t := range transfers {
		if owner := m.eligibleMember(d.record, t.to); owner != NoMember {
			d.record.assign(t.span, owner, t.handover)
			keys += t.span.Size()
			continue
		}
		unplaced = append(unplaced, placement.LoadedSpan{Span: t.span})
		handovers[t.span] = t.handover
	}
	for _, move := range placement.Reassign(unplaced, m.placementState(d.record, m.self)) {
		if owner := m.eligibleMember(d.record, m.peers[move.To].Host); owner != NoMember {
			d.record.assign(move.Span, owner, handovers[move.Span])
			keys += move.Span.Size()
		}
	}
	if keys == 0 {
		return // no host can be assigned keys now
	}
	d.isChanged = true
	d.events = append(d.events, Event{Kind: EventKeysMoved, Keys: keys})
}

// eligibleMember returns the member index of another host that can be assigned keys, or NoMember. It adds the member if
// the record does not have it.
func (m *StateMachine) eligibleMember(r *Record, host HostID) int {
	for _, p := range m.peers {
		if p.Host == host && p.IsPresent && p.IsEligible && host != m.self {
			return r.addMember(Member{Host: p.Host, Instance: p.Instance})
		}
	}
	return NoMember
}

const (
	// conditionsPerTakeover are those on the epoch and the presence of a lost host.
	conditionsPerTakeover = 2
	// entriesPerWrite are the record, and the conditions on its revision and on this host's epoch.
	entriesPerWrite = 3
	// maxTakeoversPerWrite is how many lost hosts one write can take over.
	maxTakeoversPerWrite = (store.MaxTxnEntries - entriesPerWrite) / conditionsPerTakeover
)

// composeTakeovers assigns the keys of lost hosts whose authority has expired to other hosts.
func (m *StateMachine) composeTakeovers(now Instant, d *draft) {
	for _, host := range slices.Sorted(maps.Keys(m.takeovers)) {
		if len(d.takenOver) == maxTakeoversPerWrite {
			return // the rest follows with the next write
		}
		t := m.takeovers[host]
		index := d.record.MemberIndex(host)
		if !t.hasLeaseEnded || now < t.authorityEndsAt || index == NoMember {
			continue
		}
		var spans []placement.LoadedSpan
		keys := 0
		for span, a := range d.record.Keys.Runs() {
			if a.Owner == index {
				spans = append(spans, placement.LoadedSpan{Span: span, Neighbour: m.precedingPeer(d.record, span)})
				keys += span.Size()
			}
		}
		moves := placement.Reassign(spans, m.placementState(d.record, host))
		if len(moves) == 0 {
			continue
		}
		for _, move := range moves {
			p := m.peers[move.To]
			d.record.assign(move.Span, d.record.addMember(Member{Host: p.Host, Instance: p.Instance}), "")
		}
		d.isChanged = true
		d.takenOver = append(d.takenOver, host)
		d.events = append(d.events, Event{Kind: EventTakeoverDone, Host: host, Keys: keys})
	}
}

// removeIdleMembers removes absent members that own no keys.
func (m *StateMachine) removeIdleMembers(d *draft) {
	keys, _ := d.record.CountsByMember()
	for index := len(d.record.Members) - 1; index >= 0; index-- {
		host := d.record.Members[index].Host
		if keys[index] == 0 && host != m.self && !m.isPresent(host) {
			d.record.removeMember(index)
		}
	}
}
