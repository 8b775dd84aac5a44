package ownership

import (
	"math/rand/v2"
	"slices"

	"github.com/skylarkrelay/skylarkrelay/capacity"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/store"
)

//go:generate go tool stringer -type=ServerState -linecomment

// ServerState is the state of the backend server on this host as the daemon sees it.
type ServerState int

const (
	// ServerUnknown means that the daemon has not received a heartbeat yet.
	ServerUnknown ServerState = iota // unknown
	// ServerReady means that the backend server accepts requests.
	ServerReady // ready
	// ServerDraining means that the backend server has announced its shutdown.
	ServerDraining // draining
	// ServerSilent means that the heartbeats stopped. The backend server may hold keys until its holds expire.
	ServerSilent // silent
	// ServerClosed means that the backend server refuses connections. A process that is shutting down does so while it
	// finishes its requests, so it may hold keys until its holds expire.
	ServerClosed // closed
	// ServerEnded means that the process has exited, and with it all its holds.
	ServerEnded // ended
)

// Peer is a host of the service, possibly this one, as the membership reports it.
type Peer struct {
	Host HostID
	// IsPresent is whether the host is registered in the store.
	IsPresent bool
	// IsEligible is whether the host's backend server can be assigned keys.
	IsEligible bool
	Instance   Instance
	// Concurrency is how many requests the host's backend server runs at a time.
	Concurrency int
	// Load is the average number of requests running on the backend server.
	Load float64
	// Capacity is how much the backend server completes with each of its slots in comparison with the mean of all. It is
	// zero unless the configuration is load-aware. Keys are then divided regardless of it.
	Capacity float64
	// ColdShare is the share of its usual requests that a cold backend server accepts, or zero if it is not known to be
	// cold.
	ColdShare float64
}

// keyHold is the hold that a backend server may have on a key.
type keyHold struct {
	until Instant
	fence Fence
}

// StateMachine runs one daemon's part of the ownership protocol for its service. It is not safe for concurrent use: a
// single control goroutine calls it.
type StateMachine struct {
	self    HostID
	service class.Service
	layout  StoreLayout
	timing  Timing
	random  *rand.Rand

	// isRegistered, epoch and epochRevision describe this host's registration. It may act on the record until
	// authorityUntil.
	isRegistered   bool
	epoch          Epoch
	epochRevision  store.Revision
	authorityUntil Instant
	renewedAt      Instant
	// storeAvailableSince is when the current series of lease renewals began, in which no two are further apart than
	// AbsenceGrace.
	storeAvailableSince Instant

	// era is the newest known era of the store.
	era store.Era
	// record is the newest known record, and recordRevision the revision of the newest known one in the store.
	record         *Record
	recordRevision store.Revision
	// isRecordOutdated is whether the record in the store is not in force, because the store was restored.
	// outdatedGeneration is the highest generation of such a record.
	isRecordOutdated   bool
	outdatedGeneration Fence
	// retained contains the fences of the keys that this host has owned without interruption since before the store was
	// restored. They were granted to the instance retainedBy, and retainedUntil is when the authority expires that this
	// host had then.
	retained      keyspace.Map[Fence]
	retainedBy    Instance
	retainedUntil Instant
	// settlesAt is when the authority of every host that does not know of the restore has certainly expired.
	settlesAt Instant
	// isRecordFresh is whether the record has been read since the registration.
	isRecordFresh   bool
	isReadingRecord bool
	readNotBefore   Instant

	serverState ServerState
	// isEvacuated is whether the keys of this host have to be moved to others although its server is ready, from evacuateAt
	// on.
	isEvacuated bool
	evacuateAt  Instant
	instance    Instance
	// heartbeatAt is when the last heartbeat arrived.
	heartbeatAt Instant
	// held contains the keys that the backend server may hold. Before unknownHoldsUntil it may hold other keys too, which
	// an earlier daemon process granted.
	held              keyspace.Map[keyHold]
	unknownHoldsUntil Instant
	// handovers contains the handover tokens of the keys that the backend server has released.
	handovers keyspace.Map[HandoverToken]
	// seenFences contains, for each key, the highest fence that this instance of the backend server is known to have seen.
	seenFences keyspace.Map[Fence]
	// notHeld marks granted keys that the last heartbeat did not list as held. unaccepted marks those whose fence must be
	// raised.
	notHeld    keyspace.Map[bool]
	unaccepted keyspace.Map[bool]
	// moveTargets contains, for each key that is no longer granted because it is moving, the host that it moves to.
	moveTargets keyspace.Map[HostID]
	movingSince Instant
	isMoving    bool
	// firstReleasedAt is when the first of the moving keys were found to be free, or zero if none are yet.
	firstReleasedAt Instant

	served        keyspace.Map[bool]
	servedUntil   Instant
	servedVersion uint64

	pending        *pendingWrite
	lastToken      WriteToken
	writeNotBefore Instant

	peers []Peer
	// peersUnchangedSince is when the membership last changed, and unchangedSince when it or the record did.
	peersUnchangedSince Instant
	unchangedSince      Instant
	absentSince         map[HostID]Instant
	takeovers           map[HostID]*takeover

	// loads contains the busy keys in ascending order.
	loads       []keyLoad
	rebalanceAt Instant
	// shape contains the busy keys in ascending order with a load that is measured over a longer time, and shapeQuantum
	// is what one call contributes to it. Both are set only if the configuration is load-aware.
	shape        []keyLoad
	shapeQuantum float64
	// imbalance follows the utilisation of this host's backend server in relation to that of the service.
	imbalance capacity.Imbalance
}

// NewStateMachine returns the state machine of a daemon that has just started.
func NewStateMachine(
	now Instant,
	self HostID,
	service class.Service,
	layout StoreLayout,
	timing Timing,
	random *rand.Rand,
) *StateMachine {
	return &StateMachine{
		self:                self,
		service:             service,
		layout:              layout,
		timing:              timing,
		random:              random,
		storeAvailableSince: now,
		renewedAt:           now,
		unknownHoldsUntil:   now.Add(addClockMargin(timing.HoldTime)),
		unchangedSince:      now,
		absentSince:         map[HostID]Instant{},
		takeovers:           map[HostID]*takeover{},
	}
}

// KnownRecord returns the newest known record and its revision, or nil if no record is known.
func (m *StateMachine) KnownRecord() (*Record, store.Revision) { return m.record, m.recordRevision }

// AuthorityUntil returns the time until which this host may act on the record.
func (m *StateMachine) AuthorityUntil() Instant { return m.authorityUntil }

// Registered records a new registration. sentAt is when the registration was sent to the store, or zero if that is not
// known.
func (m *StateMachine) Registered(now, sentAt Instant, epoch Epoch, revision store.Revision) []Effect {
	if revision.Era() < m.era {
		return nil // the store has been restored since
	}
	m.isRegistered = true
	m.epoch = epoch
	m.epochRevision = revision
	m.isRecordFresh = false
	m.readNotBefore = now
	m.extendAuthority(now, sentAt)
	if m.pending != nil {
		// The epoch has been raised, so a write sent under the old one can no longer be committed.
		m.pending = nil
	}
	return m.step(now)
}

// Unregistered records that this host's lease has ended.
func (m *StateMachine) Unregistered() { m.isRegistered = false }

// Renewed records that this host's lease was renewed. sentAt is when the renewal was sent to the store.
func (m *StateMachine) Renewed(now, sentAt Instant) []Effect {
	m.extendAuthority(now, sentAt)
	return m.step(now)
}

func (m *StateMachine) extendAuthority(now, sentAt Instant) {
	m.authorityUntil = max(m.authorityUntil, sentAt.Add(m.timing.AuthorityTime))
	if now.Sub(m.renewedAt) > m.timing.AbsenceGrace {
		m.storeAvailableSince = now
	}
	m.renewedAt = now
}

// RecordReceived applies a record that arrived through a watch or from another daemon.
func (m *StateMachine) RecordReceived(now Instant, r *Record, revision store.Revision) []Effect {
	return append(m.applyRecord(now, r, revision), m.step(now)...)
}

// ReadDone processes the result of ReadRecord. epoch is this host's epoch when the read was started; ok is whether the
// read succeeded. A record that does not exist has no revision.
func (m *StateMachine) ReadDone(now Instant, epoch Epoch, r *Record, revision store.Revision, ok bool) []Effect {
	m.isReadingRecord = false
	if !ok {
		m.readNotBefore = now.Add(m.timing.RetryDelay)
		return nil
	}
	if r == nil && m.record != nil && m.recordRevision.Era() < m.era {
		m.recordRevision = 0 // the copy from which the store was restored has no record
	}
	effects := m.applyRecord(now, r, revision)
	if m.isRegistered && epoch == m.epoch {
		m.isRecordFresh = true
	}
	return append(effects, m.step(now)...)
}

// applyRecord replaces the known record with a newer one.
func (m *StateMachine) applyRecord(now Instant, r *Record, revision store.Revision) []Effect {
	if r == nil || revision <= m.recordRevision || revision.Era() < m.era {
		return nil
	}
	effects := m.EraObserved(now, revision.Era())
	if !m.isOfEra(r, revision) || !r.Supersedes(m.record) {
		m.applyOutdated(now, r, revision)
		return effects
	}
	m.record = r
	m.recordRevision = revision
	m.isRecordOutdated = false
	m.outdatedGeneration = 0
	if len(r.Unsettled) == 0 {
		m.retained.Clear()
	}
	m.unchangedSince = now
	effects = append(effects, RecordUpdated{Record: r, Revision: revision})
	if p := m.pending; p != nil {
		m.pending = nil
		if r.Nonce == p.record.Nonce {
			effects = append(effects, p.events...)
		}
	}
	// Keys that already have a new owner need no move any more.
	self := r.MemberIndex(m.self)
	targets := m.moveTargets.Clone()
	for span, to := range targets.Runs() {
		if to == "" {
			continue
		}
		for part, a := range r.Keys.Within(span) {
			if a.Owner != self || self == NoMember {
				m.moveTargets.Set(part, "")
				m.handovers.Set(part, "")
			}
		}
	}
	for host := range m.takeovers {
		if !ownsKeys(r, host) {
			delete(m.takeovers, host)
		}
	}
	m.isMoving = hasTarget(&m.moveTargets)
	m.stopServingReassigned(self)
	return effects
}

// stopServingReassigned removes from the served keys those that the record assigns to other hosts.
func (m *StateMachine) stopServingReassigned(self int) {
	changed := false
	served := m.served.Clone()
	for span, isServed := range served.Runs() {
		if !isServed {
			continue
		}
		for part, a := range m.record.Keys.Within(span) {
			if a.Owner != self || self == NoMember {
				m.served.Set(part, false)
				changed = true
			}
		}
	}
	if changed {
		m.servedVersion++
	}
}

func ownsKeys(r *Record, host HostID) bool {
	index := r.MemberIndex(host)
	if index == NoMember {
		return false
	}
	for _, a := range r.Keys.Runs() {
		if a.Owner == index {
			return true
		}
	}
	return false
}

func hasTarget(m *keyspace.Map[HostID]) bool {
	for _, to := range m.Runs() {
		if to != "" {
			return true
		}
	}
	return false
}

// SetPeers sets the current membership: all hosts of this service, including this one.
func (m *StateMachine) SetPeers(now Instant, peers []Peer) []Effect {
	slices.SortFunc(peers, func(a, b Peer) int { return compareHosts(a.Host, b.Host) })
	if !slices.EqualFunc(peers, m.peers, sameMembership) {
		m.unchangedSince, m.peersUnchangedSince = now, now
	}
	m.peers = peers
	for host := range m.absentSince {
		if m.isPresent(host) {
			delete(m.absentSince, host)
			delete(m.takeovers, host)
		}
	}
	return m.step(now)
}

func sameMembership(a, b Peer) bool {
	return a.Host == b.Host && a.IsPresent == b.IsPresent && a.IsEligible == b.IsEligible
}

func compareHosts(a, b HostID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func (m *StateMachine) isPresent(host HostID) bool {
	for _, p := range m.peers {
		if p.Host == host {
			return p.IsPresent
		}
	}
	return false
}

// keyLoad is the average number of requests running for a key.
type keyLoad struct {
	key  class.Key
	load float64
}

// SetLoads sets the average number of requests running for each busy key.
func (m *StateMachine) SetLoads(loads map[class.Key]float64) {
	m.loads = sortedLoads(m.loads, loads)
}

func sortedLoads(sorted []keyLoad, loads map[class.Key]float64) []keyLoad {
	sorted = sorted[:0]
	for key, load := range loads {
		sorted = append(sorted, keyLoad{key: key, load: load})
	}
	slices.SortFunc(sorted, func(a, b keyLoad) int { return int(a.key) - int(b.key) })
	return sorted
}

// SetServerState sets the state of the backend server on this host.
func (m *StateMachine) SetServerState(now Instant, state ServerState) []Effect {
	if state == m.serverState {
		return nil
	}
	m.serverState = state
	if state == ServerEnded {
		m.held.Clear()
		m.unknownHoldsUntil = min(m.unknownHoldsUntil, now)
		m.stopServing()
	}
	var effects []Effect
	if state == ServerReady && m.isMoving && m.pending == nil && !m.isEvacuated {
		effects = append(effects, m.abandonMoves("server is back"))
	}
	return append(effects, m.step(now)...)
}

// SetEvacuated sets whether the failure domain of this host is evacuated, so that its keys are moved to other hosts from a
// time on. The backend server keeps the keys until each of them is released.
func (m *StateMachine) SetEvacuated(now Instant, isEvacuated bool, from Instant) []Effect {
	if isEvacuated == m.isEvacuated {
		return nil
	}
	m.isEvacuated, m.evacuateAt = isEvacuated, from
	var effects []Effect
	if !isEvacuated && m.serverState == ServerReady && m.isMoving && m.pending == nil {
		effects = append(effects, m.abandonMoves("failure domain taken back"))
	}
	return append(effects, m.step(now)...)
}

// abandonMoves cancels the planned moves: this host keeps the keys.
func (m *StateMachine) abandonMoves(reason string) Effect {
	m.moveTargets.Clear()
	m.isMoving = false
	return Event{Kind: EventMoveAbandoned, Detail: reason}
}

// Tick performs the actions that have become due. It is called at least every few tens of milliseconds.
func (m *StateMachine) Tick(now Instant) []Effect { return m.step(now) }

// ServedKeys returns the keys for which requests may be sent to the backend server, and until when.
func (m *StateMachine) ServedKeys() (keyspace.Map[bool], Instant) {
	return m.served.Clone(), m.servedUntil
}

// ServedVersion returns a number that changes whenever the result of ServedKeys may have changed.
func (m *StateMachine) ServedVersion() uint64 { return m.servedVersion }

func (m *StateMachine) stopServing() {
	m.served.Clear()
	m.servedUntil = 0
	m.servedVersion++
}

// step performs every action that is due in the current state.
func (m *StateMachine) step(now Instant) []Effect {
	effects := m.readRecord(now)
	effects = append(effects, m.startTakeovers(now)...)
	effects = append(effects, m.planMoves(now)...)
	return append(effects, m.writeRecord(now)...)
}

// readRecord requests the record after a registration.
func (m *StateMachine) readRecord(now Instant) []Effect {
	if !m.isRegistered || m.isRecordFresh || m.isReadingRecord || now < m.readNotBefore {
		return nil
	}
	m.isReadingRecord = true
	return []Effect{ReadRecord{}}
}

// mayWrite reports whether this host may write the record.
func (m *StateMachine) mayWrite(now Instant) bool {
	return m.isRegistered && m.isRecordFresh && now < m.authorityUntil
}

// mayAct reports whether this host may act on the known record: grant keys, move them and take them over.
func (m *StateMachine) mayAct(now Instant) bool { return m.mayWrite(now) && !m.isRecordOutdated }
