package ownership

import (
	"strconv"
	"time"

	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/placement"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// batchTime is how long the first keys of a move that are free wait for the rest.
const batchTime = 120 * time.Millisecond

// pendingWrite is a write whose fate is not known yet. It is sent again until the store decides: only one copy can land.
type pendingWrite struct {
	token      WriteToken
	base       store.Revision
	record     *Record
	txn        store.Txn
	events     []Effect
	isInFlight bool
	retryAt    Instant
}

//go:generate go tool stringer -type=WriteFate -linecomment

// WriteFate is what became of a write.
type WriteFate int

const (
	// WriteLanded means that the record was written.
	WriteLanded WriteFate = iota // landed
	// WriteConflict means that a condition did not hold.
	WriteConflict // conflict
	// WriteRejected means that the store did not take the call.
	WriteRejected // rejected
	// WriteLost means that there was no answer.
	WriteLost // lost
)

// WriteResult is the answer to WriteRecord.
type WriteResult struct {
	Token WriteToken
	Fate  WriteFate
	// Revision is that of the written record.
	Revision store.Revision
	// Record and RecordRevision are the present record after a conflict.
	Record         *Record
	RecordRevision store.Revision
	// Changed lists the keys whose condition did not hold.
	Changed []string
}

// write sends the pending write again, or the next one that is wished.
func (m *Machine) write(now Instant) []Effect {
	if p := m.pending; p != nil {
		if p.isInFlight || now < p.retryAt {
			return nil
		}
		p.isInFlight = true
		return []Effect{WriteRecord{Token: p.token, Txn: p.txn}}
	}
	if !m.mayAct(now) || now < m.writeAfter {
		return nil
	}
	d := m.compose(now)
	if d == nil || !d.isChanged {
		return nil
	}
	data, err := d.record.Encode()
	if err != nil {
		return []Effect{Event{Kind: EventRefused, Detail: err.Error()}}
	}
	txn := store.Txn{
		Conditions: []store.Condition{
			{Key: m.layout.Record(m.service), Revision: m.revision},
			{Key: m.layout.Epoch(m.self), Revision: m.epochRevision},
		},
		Puts: []store.Put{{Key: m.layout.Record(m.service), Value: data}},
	}
	for _, host := range d.taken {
		t := m.takeovers[host]
		txn.Conditions = append(txn.Conditions,
			t.epoch,
			store.Condition{Key: m.layout.Presence(host)},
		)
	}
	m.lastToken++
	m.pending = &pendingWrite{
		token:      m.lastToken,
		base:       m.revision,
		record:     d.record,
		txn:        txn,
		events:     d.events,
		isInFlight: true,
	}
	return []Effect{WriteRecord{Token: m.lastToken, Txn: txn}}
}

// WriteDone takes in the answer to WriteRecord.
func (m *Machine) WriteDone(now Instant, result WriteResult) []Effect {
	p := m.pending
	if p == nil || p.token != result.Token || !p.isInFlight {
		return nil
	}
	p.isInFlight = false
	switch result.Fate {
	case WriteLanded:
		effects := m.adopt(now, p.record, result.Revision)
		return append(effects, m.step(now)...)
	case WriteConflict:
		return m.conflicted(now, p, result)
	case WriteLost:
		p.retryAt = now.Add(m.timing.Retry)
		return []Effect{Event{Kind: EventUndecided}}
	default:
		p.retryAt = now.Add(m.timing.Retry)
		return nil
	}
}

// conflicted settles a write whose condition did not hold. The revision of a record and the epochs only rise, so no
// other copy of the write can land either.
func (m *Machine) conflicted(now Instant, p *pendingWrite, result WriteResult) []Effect {
	effects := []Effect{Event{Kind: EventRefused, Detail: "conflict over " + join(result.Changed)}}
	m.writeAfter = now.Add(time.Duration(m.random.Int64N(int64(m.timing.Retry))))
	if result.RecordRevision > p.base {
		return append(append(effects, m.adopt(now, result.Record, result.RecordRevision)...), m.step(now)...)
	}
	m.pending = nil
	for host, t := range m.takeovers {
		if t.hasEnded {
			delete(m.takeovers, host) // its epoch or presence has changed: look again
			delete(m.absentSince, host)
		}
	}
	return append(effects, m.step(now)...)
}

func join(keys []string) string {
	text := ""
	for i, key := range keys {
		if i > 0 {
			text += ", "
		}
		text += key
	}
	return text
}

// draft is a record in the making.
type draft struct {
	record    *Record
	isChanged bool
	taken     []HostID
	events    []Effect
}

// compose returns the record that this host wants next. It changes only what this host may change: its own member,
// keys that it has given up, keys that nobody owns, and those of hosts whose authority has run out.
func (m *Machine) compose(now Instant) *draft {
	nonce := string(m.self) + "/" + strconv.FormatUint(m.random.Uint64(), 36)
	if m.known == nil {
		return m.composeDeal(now, nonce)
	}
	if !m.hasWish(now) {
		return nil
	}
	d := &draft{record: m.known.next(nonce)}
	m.composeSelf(now, d)
	m.composeLeaving(now, d)
	m.composeTaken(now, d)
	if d.isChanged {
		m.composeCleanUp(d)
	}
	return d
}

// hasWish tells cheaply whether anything can be wanted, as is not the rule.
func (m *Machine) hasWish(now Instant) bool {
	self := m.known.Find(m.self)
	isKnown := m.state == ServerReady && m.instance != (Instance{})
	if isKnown && (self == Nobody || m.known.Members[self].Instance != m.instance) {
		return true
	}
	if m.isLeaving || m.unaccepted.Len() > 0 {
		return true
	}
	for _, t := range m.takeovers {
		if t.hasEnded && now >= t.dueAt {
			return true
		}
	}
	return false
}

// composeDeal is the first record of a service: the first host in line deals all keys out.
func (m *Machine) composeDeal(now Instant, nonce string) *draft {
	line := m.placeInLine()
	if line == placement.NoServer || m.state != ServerReady {
		return nil
	}
	if now.Sub(m.membersAt) < m.timing.Settle+time.Duration(line)*m.timing.Stagger {
		return nil
	}
	empty := &Record{Service: m.service}
	r := empty.next(nonce)
	places := m.places(empty, "")
	members := make([]int, len(m.peers))
	for i, p := range m.peers {
		members[i] = Nobody
		if places[i].Capacity > 0 {
			members[i] = r.join(Member{Host: p.Host, Instance: p.Instance})
		}
	}
	dealt := placement.Distribute(usable(places))
	for span, turn := range dealt.Runs() {
		r.assign(span, turn, "")
	}
	return &draft{record: r, isChanged: true, events: []Effect{Event{Kind: EventDealt, Detail: strconv.Itoa(len(r.Members)) + " members"}}}
}

// usable returns the places with capacity, in their order.
func usable(places []placement.Server) []placement.Server {
	var found []placement.Server
	for _, p := range places {
		if p.Capacity > 0 {
			found = append(found, p)
		}
	}
	return found
}

// composeSelf makes this host a member, and raises the fences of its keys for a new life of its backend server.
func (m *Machine) composeSelf(now Instant, d *draft) {
	if m.state != ServerReady || m.instance == (Instance{}) {
		return
	}
	self := d.record.Find(m.self)
	if self == Nobody {
		d.record.join(Member{Host: m.self, Instance: m.instance})
		d.isChanged = true
		return
	}
	if d.record.Members[self].Instance == m.instance {
		m.composeUnaccepted(now, d, self)
		return
	}
	keys := 0
	for span, a := range m.known.Keys.Runs() {
		if a.Owner != self {
			continue
		}
		if !m.isFreeOfEarlierLives(now, span, d.record.Members[self].Instance) {
			return // an earlier daemon's grants may still be in force
		}
		d.record.assign(span, self, "")
		keys += span.Size()
	}
	d.record.Members[self].Instance = m.instance
	d.isChanged = true
	d.events = append(d.events, Event{Kind: EventRaised, Keys: keys, Detail: m.instance.String()})
}

// composeUnaccepted raises the fences of keys that the backend server does not accept.
func (m *Machine) composeUnaccepted(now Instant, d *draft, self int) {
	keys := 0
	for span, isUnaccepted := range m.unaccepted.Runs() {
		if !isUnaccepted || !m.isFree(now, span) {
			continue
		}
		for part, a := range m.known.Keys.Within(span) {
			if a.Owner == self {
				d.record.assign(part, self, a.Handover)
				keys += part.Size()
			}
		}
	}
	m.unaccepted.Clear()
	if keys > 0 {
		d.isChanged = true
		d.events = append(d.events, Event{Kind: EventRaised, Keys: keys, Detail: "not accepted"})
	}
}

// composeLeaving gives away the leaving keys that the backend server no longer holds.
func (m *Machine) composeLeaving(now Instant, d *draft) {
	if !m.isLeaving {
		return
	}
	type gift struct {
		span     keyspace.Span
		to       HostID
		handover Handover
	}
	var gifts []gift
	isWhole := true
	for span, to := range m.leaving.Runs() {
		if to == "" {
			continue
		}
		for part := range m.held.Within(span) {
			if !m.isFree(now, part) {
				isWhole = false
				continue
			}
			for piece, handover := range m.handovers.Within(part) {
				gifts = append(gifts, gift{span: piece, to: to, handover: handover})
			}
		}
	}
	if len(gifts) == 0 {
		return
	}
	if m.freeSince == 0 {
		m.freeSince = now
	}
	if !isWhole && now.Sub(m.freeSince) < batchTime {
		return
	}
	m.freeSince = 0
	keys := 0
	var homeless []placement.LoadedSpan
	handovers := map[keyspace.Span]Handover{}
	for _, g := range gifts {
		keys += g.span.Size()
		if owner := m.memberFor(d.record, g.to); owner != Nobody {
			d.record.assign(g.span, owner, g.handover)
			continue
		}
		homeless = append(homeless, placement.LoadedSpan{Span: g.span})
		handovers[g.span] = g.handover
	}
	for _, move := range placement.Reassign(homeless, m.places(d.record, m.self)) {
		if owner := m.memberFor(d.record, m.peers[move.To].Host); owner != Nobody {
			d.record.assign(move.Span, owner, handovers[move.Span])
		}
	}
	d.isChanged = true
	d.events = append(d.events, Event{Kind: EventMoved, Keys: keys})
}

// memberFor returns the member of a host that can take keys, or Nobody.
func (m *Machine) memberFor(r *Record, host HostID) int {
	for _, p := range m.peers {
		if p.Host == host && p.IsPresent && p.IsEligible && host != m.self {
			return r.join(Member{Host: p.Host, Instance: p.Instance})
		}
	}
	return Nobody
}

// composeTaken gives new owners to the keys of hosts whose authority has run out.
func (m *Machine) composeTaken(now Instant, d *draft) {
	for host, t := range m.takeovers {
		index := d.record.Find(host)
		if !t.hasEnded || now < t.dueAt || index == Nobody {
			continue
		}
		var runs []placement.LoadedSpan
		keys := 0
		for span, a := range d.record.Keys.Runs() {
			if a.Owner == index {
				runs = append(runs, placement.LoadedSpan{Span: span, Neighbour: m.neighbour(d.record, span)})
				keys += span.Size()
			}
		}
		moves := placement.Reassign(runs, m.places(d.record, host))
		if len(moves) == 0 {
			continue
		}
		for _, move := range moves {
			p := m.peers[move.To]
			d.record.assign(move.Span, d.record.join(Member{Host: p.Host, Instance: p.Instance}), "")
		}
		d.isChanged = true
		d.taken = append(d.taken, host)
		d.events = append(d.events, Event{Kind: EventTookOver, Host: host, Keys: keys})
	}
}

// composeCleanUp drops members that own nothing and are absent.
func (m *Machine) composeCleanUp(d *draft) {
	keys, _ := d.record.Held()
	for index := len(d.record.Members) - 1; index >= 0; index-- {
		host := d.record.Members[index].Host
		if keys[index] == 0 && host != m.self && !m.isPresent(host) {
			d.record.drop(index)
		}
	}
}
