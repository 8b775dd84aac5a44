package ownership

import (
	"slices"
	"strconv"

	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// A store that is restored from an older copy loses records that daemons have acted on. Hosts then still serve keys
// under assignments that the store no longer has, and a host that knows only the copy must not serve these keys too.
//
// In the new era, a record of an earlier one is not in force. The first host to write it again marks all members as
// unsettled. An unsettled host serves only keys that it has owned without interruption since before the restore, and
// may claim them from other unsettled hosts. Other keys wait until the authority of every host that does not know of
// the restore has expired, and then get new fences.
//
// If neither the store nor any daemon has a record, the copy may be older than the first one. The keys are then assigned
// anew, also above all fences that may have been lost and after all authority of earlier eras has expired.

// eraGap is the number of generations of an era. Those of a later era are all above those of an earlier one, so that
// new fences are above those that were lost.
const eraGap = 1 << 24

// firstGeneration returns the lowest generation of the records of an era.
func firstGeneration(era store.Era) Fence {
	if era <= store.FirstEra {
		return 1
	}
	return eraGap * Fence(era)
}

// Supersedes reports whether a record may replace another one. A record that was lost when the store was restored, or
// that was written without knowing of the restore, does not supersede the records that were in force since.
func (r *Record) Supersedes(known *Record) bool {
	if known == nil || r.Era == 0 || known.Era == 0 {
		return true // written by a daemon that does not state the era
	}
	if r.Era != known.Era {
		return r.Era > known.Era
	}
	return r.Generation > known.Generation
}

// isUnsettled reports whether an assignment is of an earlier era and its owner has not confirmed it in this one.
func (r *Record) isUnsettled(a Assignment) bool {
	return a.Fence < r.EraGeneration && slices.Contains(r.Unsettled, r.memberHost(a.Owner))
}

// settle removes a host from the unsettled members.
func (r *Record) settle(host HostID) {
	r.Unsettled = slices.DeleteFunc(r.Unsettled, func(h HostID) bool { return h == host })
}

// nextEra returns a copy of the record as the first one of an era, in which all members are unsettled.
func (r *Record) nextEra(era store.Era, nonce string) *Record {
	next := r.nextGeneration(nonce)
	next.Era = era
	next.Generation = max(next.Generation, firstGeneration(era))
	next.EraGeneration = next.Generation
	next.Unsettled, next.IsEraSettleable = nil, false
	for _, member := range next.Members {
		next.Unsettled = append(next.Unsettled, member.Host)
	}
	return next
}

// EraObserved records the era of the store. If it is not the first one that this daemon observes, the store was
// restored: the host's registration, the record in the store and all calls in progress belong to an earlier era.
func (m *StateMachine) EraObserved(now Instant, era store.Era) []Effect {
	if era <= m.era {
		return nil
	}
	m.settlesAt = now.Add(addClockMargin(m.timing.AuthorityTime))
	if m.era == 0 {
		m.era = era
		return nil
	}
	m.retainKeys(now)
	m.era = era
	m.isRegistered, m.isRecordFresh = false, false
	m.isRecordOutdated = m.record != nil
	m.pending = nil
	m.moveTargets.Clear()
	m.isMoving = false
	m.firstReleasedAt = 0
	clear(m.takeovers)
	clear(m.absentSince)
	m.storeAvailableSince = now
	return []Effect{Event{
		Kind:   EventStoreRestored,
		Keys:   countKeys(m.retained),
		Detail: "era " + strconv.FormatUint(uint64(era), 10),
	}}
}

// retainKeys determines the keys that no other host can have been assigned before the restore: those of this host,
// while its authority has not expired, without the keys that a write in progress may have moved.
func (m *StateMachine) retainKeys(now Instant) {
	if !m.isRecordFresh || m.isRecordOutdated || m.record == nil || now >= m.authorityUntil {
		// Since the last restore, this host has not acted on a record, so its earlier authority decides.
		if now >= m.retainedUntil {
			m.retained.Clear()
		}
		return
	}
	var retained keyspace.Map[Fence]
	self := m.record.MemberIndex(m.self)
	for span, a := range m.record.Keys.Runs() {
		if self == NoMember || a.Owner != self {
			continue
		}
		for part, to := range m.moveTargets.Within(span) {
			if to != "" && m.pending != nil {
				continue
			}
			for piece, fence := range m.retained.Within(part) {
				if !m.record.isUnsettled(a) || fence != 0 {
					retained.Set(piece, a.Fence)
				}
			}
		}
	}
	m.retained = retained
	m.retainedUntil = m.authorityUntil
	if self != NoMember {
		m.retainedBy = m.record.Members[self].Instance
	}
}

func countKeys(retained keyspace.Map[Fence]) int {
	keys := 0
	for span, fence := range retained.Runs() {
		if fence != 0 {
			keys += span.Size()
		}
	}
	return keys
}

// isOfEra reports whether a record was written in the present era. A record of a daemon that does not state the era counts
// as such if the store was never restored, or if it replaces a record of this era that is in force.
func (m *StateMachine) isOfEra(r *Record, revision store.Revision) bool {
	if r.Era != 0 {
		return r.Era == m.era
	}
	return m.era <= store.FirstEra || m.record != nil && !m.isRecordOutdated && m.recordRevision.Era() == revision.Era()
}

// applyOutdated records a record that is in the store but not in force, and has to be written again.
func (m *StateMachine) applyOutdated(now Instant, r *Record, revision store.Revision) {
	m.recordRevision = revision
	m.isRecordOutdated = true
	m.outdatedGeneration = max(m.outdatedGeneration, r.Generation)
	m.pending = nil
	if m.record == nil {
		// A host that knows only the copy leaves it to others, which may know newer assignments, to write the record.
		m.writeNotBefore = now.Add(m.timing.SettleTime)
	}
	if m.record == nil || m.record.Era < m.era && r.Supersedes(m.record) {
		m.record = r
	}
}

// composeRestored composes the record that puts the known assignments in force in the present era.
func (m *StateMachine) composeRestored(nonce string) *draft {
	d := &draft{isChanged: true}
	if m.record.Era == m.era {
		d.record = m.record.nextGeneration(nonce)
	} else {
		d.record = m.record.nextEra(m.era, nonce)
	}
	if d.record.Generation <= m.outdatedGeneration {
		d.record.Generation = m.outdatedGeneration + 1
	}
	m.composeClaims(d)
	d.events = append(d.events, Event{
		Kind:   EventRecordRestored,
		Keys:   countKeys(m.retained),
		Detail: strconv.Itoa(len(d.record.Unsettled)) + " members unsettled",
	})
	return d
}

// composeClaims assigns the retained keys to this host where the record has an unsettled assignment of them. They keep
// their fences, unless the record names another instance of the backend server than the one that they were granted to.
func (m *StateMachine) composeClaims(d *draft) {
	before := d.record.Keys.Clone()
	for span, fence := range m.retained.Runs() {
		if fence == 0 {
			continue
		}
		for part, a := range before.Within(span) {
			if !d.record.isUnsettled(a) || d.record.memberHost(a.Owner) == m.self && a.Fence >= fence {
				continue
			}
			self := d.record.addMember(Member{Host: m.self, Instance: m.retainedBy})
			if d.record.Members[self].Instance == m.retainedBy {
				d.record.Keys.Set(part, Assignment{Owner: self, Fence: fence})
			} else {
				d.record.assign(part, self, "")
			}
			d.isChanged = true
		}
	}
}

// composeSettlement confirms the assignments of this host after a restore. Keys that it has not retained get new fences
// once no other host can serve them any more.
func (m *StateMachine) composeSettlement(now Instant, d *draft) {
	if len(d.record.Unsettled) == 0 {
		return
	}
	m.composeClaims(d)
	if !d.record.IsEraSettleable && now >= m.settlesAt {
		// A host that learned of the restore later, or has restarted since, need not wait as long.
		d.record.IsEraSettleable = true
		d.isChanged = true
	}
	if !slices.Contains(d.record.Unsettled, m.self) {
		return
	}
	self := d.record.MemberIndex(m.self)
	var foreign []keyspace.Span
	keys := 0
	for span, a := range d.record.Keys.Runs() {
		if self == NoMember || a.Owner != self || !d.record.isUnsettled(a) {
			continue
		}
		for part, fence := range m.retained.Within(span) {
			if fence == 0 {
				foreign = append(foreign, part)
				keys += part.Size()
			}
		}
	}
	if len(foreign) > 0 && !d.record.IsEraSettleable {
		return
	}
	for _, span := range foreign {
		d.record.assign(span, self, "")
	}
	d.record.settle(m.self)
	d.isChanged = true
	d.events = append(d.events, Event{Kind: EventAssignmentsSettled, Keys: keys, Detail: "new fences"})
}

// isServable reports whether this host may serve a key that the record assigns to it.
func (m *StateMachine) isServable(a Assignment, retained Fence) bool {
	return retained != 0 || !m.record.isUnsettled(a)
}
