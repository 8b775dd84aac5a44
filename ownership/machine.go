package ownership

import (
	"math/rand/v2"
	"slices"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/store"
)

//go:generate go tool stringer -type=ServerState -linecomment

// ServerState is what a daemon believes of the backend server beside it.
type ServerState int

const (
	// ServerUnknown means that nothing was heard of it yet.
	ServerUnknown ServerState = iota // unknown
	// ServerReady means that it can be used.
	ServerReady // ready
	// ServerDraining means that it has said that it leaves.
	ServerDraining // draining
	// ServerSilent means that its heartbeats stopped. It may go on holding keys until its holds run out.
	ServerSilent // silent
	// ServerEnded means that its process is gone, and all that it held with it.
	ServerEnded // ended
)

// Peer is another host of the service, or this one, as the membership knows it.
type Peer struct {
	Host HostID
	// IsPresent says that the host is registered in the store.
	IsPresent bool
	// IsEligible says that its backend server can take keys.
	IsEligible bool
	Instance   Instance
	// Places is how many requests its backend server runs at a time.
	Places int
	// Load is how many of them are busy on average.
	Load float64
}

// held is what a backend server may hold of a key.
type held struct {
	until Instant
	fence Fence
}

// Machine is one daemon's part in the ownership of its service's keys. It is not safe for concurrent use: one control
// goroutine feeds it.
type Machine struct {
	self    HostID
	service class.Service
	layout  Layout
	timing  Timing
	random  *rand.Rand

	// isRegistered, epoch and epochRevision are this host's registration, and authority is until when it may act.
	isRegistered  bool
	epoch         Epoch
	epochRevision store.Revision
	authority     Instant
	renewedAt     Instant
	// storeSince is since when the store has answered without a break.
	storeSince Instant

	known    *Record
	revision store.Revision
	// isFresh says that the record was read since the registration.
	isFresh   bool
	isReading bool
	readAfter Instant

	state    ServerState
	instance Instance
	// beatAt is when the last heartbeat came.
	beatAt Instant
	// held is what the backend server may hold. Before unknownUntil it may hold more, granted by an earlier daemon.
	held         keyspace.Map[held]
	unknownUntil Instant
	handovers    keyspace.Map[Handover]
	// seen is the highest fence that this life of the server is known to have seen of each key.
	seen keyspace.Map[Fence]
	// missing marks granted keys that the last heartbeat did not hold, and unaccepted those whose fence must be raised.
	missing    keyspace.Map[bool]
	unaccepted keyspace.Map[bool]
	// leaving names, for each key that is no longer granted, the host that shall have it.
	leaving      keyspace.Map[HostID]
	leavingSince Instant
	isLeaving    bool
	freeSince    Instant

	served      keyspace.Map[bool]
	servedUntil Instant
	version     uint64

	pending    *pendingWrite
	lastToken  WriteToken
	writeAfter Instant

	peers       []Peer
	membersAt   Instant
	absentSince map[HostID]Instant
	takeovers   map[HostID]*takeover

	// loads holds the busy keys in order.
	loads   []keyLoad
	levelAt Instant
}

// NewMachine returns the machine of a daemon that has just started.
func NewMachine(now Instant, self HostID, service class.Service, layout Layout, timing Timing, random *rand.Rand) *Machine {
	return &Machine{
		self:         self,
		service:      service,
		layout:       layout,
		timing:       timing,
		random:       random,
		storeSince:   now,
		renewedAt:    now,
		unknownUntil: now.Add(stretch(timing.Hold)),
		membersAt:    now,
		absentSince:  map[HostID]Instant{},
		takeovers:    map[HostID]*takeover{},
	}
}

// Known returns the newest known record, or nil, and its revision.
func (m *Machine) Known() (*Record, store.Revision) { return m.known, m.revision }

// Authority returns until when this host may act on the record.
func (m *Machine) Authority() Instant { return m.authority }

// Registered tells the machine of a new registration, sent at a time.
func (m *Machine) Registered(now, sentAt Instant, epoch Epoch, revision store.Revision) []Effect {
	m.isRegistered = true
	m.epoch = epoch
	m.epochRevision = revision
	m.isFresh = false
	m.readAfter = now
	m.extend(now, sentAt)
	if m.pending != nil {
		// The epoch has risen: whatever was sent under the old one can no longer land.
		m.pending = nil
	}
	return m.step(now)
}

// Unregistered tells the machine that its lease has ended.
func (m *Machine) Unregistered() { m.isRegistered = false }

// Renewed tells the machine that its lease was renewed by a call sent at a time.
func (m *Machine) Renewed(now, sentAt Instant) []Effect {
	m.extend(now, sentAt)
	return m.step(now)
}

func (m *Machine) extend(now, sentAt Instant) {
	m.authority = max(m.authority, sentAt.Add(m.timing.Authority))
	if now.Sub(m.renewedAt) > m.timing.AbsenceGrace {
		m.storeSince = now
	}
	m.renewedAt = now
}

// Learn takes in a record that came by a watch or from another daemon.
func (m *Machine) Learn(now Instant, r *Record, revision store.Revision) []Effect {
	return append(m.adopt(now, r, revision), m.step(now)...)
}

// ReadDone takes in the answer to ReadRecord, issued under an epoch. A missing record has no revision.
func (m *Machine) ReadDone(now Instant, epoch Epoch, r *Record, revision store.Revision, ok bool) []Effect {
	m.isReading = false
	if !ok {
		m.readAfter = now.Add(m.timing.Retry)
		return nil
	}
	effects := m.adopt(now, r, revision)
	if m.isRegistered && epoch == m.epoch {
		m.isFresh = true
	}
	return append(effects, m.step(now)...)
}

// adopt makes a newer record the known one.
func (m *Machine) adopt(now Instant, r *Record, revision store.Revision) []Effect {
	if r == nil || revision <= m.revision {
		return nil
	}
	m.known = r
	m.revision = revision
	m.membersAt = now
	effects := []Effect{Adopted{Record: r, Revision: revision}}
	if p := m.pending; p != nil {
		m.pending = nil
		if r.Nonce == p.record.Nonce {
			effects = append(effects, p.events...)
		}
	}
	// Keys that have a new owner are no longer this host's to give.
	self := r.Find(m.self)
	leaving := m.leaving.Clone()
	for span, to := range leaving.Runs() {
		if to == "" {
			continue
		}
		for part, a := range r.Keys.Within(span) {
			if a.Owner != self || self == Nobody {
				m.leaving.Set(part, "")
				m.handovers.Set(part, "")
			}
		}
	}
	for host := range m.takeovers {
		if !owns(r, host) {
			delete(m.takeovers, host)
		}
	}
	m.isLeaving = hasAny(&m.leaving)
	m.restrictServed(self)
	return effects
}

// restrictServed takes out of the served keys those that the record gives to others.
func (m *Machine) restrictServed(self int) {
	changed := false
	served := m.served.Clone()
	for span, isServed := range served.Runs() {
		if !isServed {
			continue
		}
		for part, a := range m.known.Keys.Within(span) {
			if a.Owner != self || self == Nobody {
				m.served.Set(part, false)
				changed = true
			}
		}
	}
	if changed {
		m.version++
	}
}

func owns(r *Record, host HostID) bool {
	index := r.Find(host)
	if index == Nobody {
		return false
	}
	for _, a := range r.Keys.Runs() {
		if a.Owner == index {
			return true
		}
	}
	return false
}

func hasAny(m *keyspace.Map[HostID]) bool {
	for _, to := range m.Runs() {
		if to != "" {
			return true
		}
	}
	return false
}

// SetPeers takes in the membership: the hosts of this service, this one among them.
func (m *Machine) SetPeers(now Instant, peers []Peer) []Effect {
	slices.SortFunc(peers, func(a, b Peer) int { return compareHosts(a.Host, b.Host) })
	if !slices.EqualFunc(peers, m.peers, sameMembership) {
		m.membersAt = now
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

func (m *Machine) isPresent(host HostID) bool {
	for _, p := range m.peers {
		if p.Host == host {
			return p.IsPresent
		}
	}
	return false
}

// keyLoad is how many places work on a key, on average.
type keyLoad struct {
	key  class.Key
	load float64
}

// SetLoads takes in how many places work on each busy key, on average.
func (m *Machine) SetLoads(loads map[class.Key]float64) {
	m.loads = m.loads[:0]
	for key, load := range loads {
		m.loads = append(m.loads, keyLoad{key: key, load: load})
	}
	slices.SortFunc(m.loads, func(a, b keyLoad) int { return int(a.key) - int(b.key) })
}

// SetServer takes in what is believed of the backend server beside this daemon.
func (m *Machine) SetServer(now Instant, state ServerState) []Effect {
	if state == m.state {
		return nil
	}
	m.state = state
	if state == ServerEnded {
		m.held.Clear()
		m.unknownUntil = min(m.unknownUntil, now)
		m.stopServing()
	}
	var effects []Effect
	if state == ServerReady && m.isLeaving && m.pending == nil {
		effects = append(effects, m.keep("server is back"))
	}
	return append(effects, m.step(now)...)
}

// keep gives up the planned moves.
func (m *Machine) keep(reason string) Effect {
	m.leaving.Clear()
	m.isLeaving = false
	return Event{Kind: EventKept, Detail: reason}
}

// Tick does what time asks for. Call it at least every few tens of milliseconds.
func (m *Machine) Tick(now Instant) []Effect { return m.step(now) }

// Serving returns the keys for which requests may be sent to the backend server, until a time.
func (m *Machine) Serving() (keyspace.Map[bool], Instant) { return m.served.Clone(), m.servedUntil }

// Version changes whenever the result of Serving may have changed.
func (m *Machine) Version() uint64 { return m.version }

func (m *Machine) stopServing() {
	m.served.Clear()
	m.servedUntil = 0
	m.version++
}

// step does everything that the present state asks for.
func (m *Machine) step(now Instant) []Effect {
	effects := m.read(now)
	effects = append(effects, m.suspect(now)...)
	effects = append(effects, m.plan(now)...)
	return append(effects, m.write(now)...)
}

// read asks for the record after a registration.
func (m *Machine) read(now Instant) []Effect {
	if !m.isRegistered || m.isFresh || m.isReading || now < m.readAfter {
		return nil
	}
	m.isReading = true
	return []Effect{ReadRecord{}}
}

// mayAct tells whether this host may write and grant.
func (m *Machine) mayAct(now Instant) bool {
	return m.isRegistered && m.isFresh && now < m.authority
}
