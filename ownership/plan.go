package ownership

import (
	"slices"
	"strconv"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/placement"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// plan decides which keys of this host should go to others, and stops granting them.
func (m *Machine) plan(now Instant) []Effect {
	if m.known == nil || !m.mayAct(now) || m.pending != nil {
		return nil
	}
	self := m.known.Find(m.self)
	if self == Nobody {
		return nil
	}
	switch m.state {
	case ServerReady:
		return m.planLevel(now, self)
	case ServerDraining, ServerSilent, ServerEnded:
		return m.planLeave(now, self)
	default:
		return nil
	}
}

// planLeave gives everything away, if there is somebody to take it.
func (m *Machine) planLeave(now Instant, self int) []Effect {
	var runs []placement.LoadedSpan
	for span, a := range m.known.Keys.Runs() {
		if a.Owner != self {
			continue
		}
		for part, to := range m.leaving.Within(span) {
			if to == "" {
				runs = append(runs, placement.LoadedSpan{Span: part, Neighbour: m.neighbour(m.known, part)})
			}
		}
	}
	if len(runs) == 0 {
		return nil
	}
	return m.leave(now, placement.Reassign(runs, m.places(m.known, m.self)), "server "+m.state.String())
}

// neighbour returns one more than the index of the peer that owns the key before some, or zero.
func (m *Machine) neighbour(r *Record, span keyspace.Span) int {
	if span.From == 0 {
		return 0
	}
	owner := r.Owner(span.From - 1)
	return 1 + slices.IndexFunc(m.peers, func(p Peer) bool { return p.Host == owner })
}

// planLevel gives keys to servers that have far fewer, or far less to do.
func (m *Machine) planLevel(now Instant, self int) []Effect {
	if m.isLeaving {
		if now.Sub(m.leavingSince) > m.timing.MoveTime {
			return []Effect{m.keep("not released in time")}
		}
		return nil
	}
	isSettled := m.known.Members[self].Instance == m.instance && now.Sub(m.membersAt) > m.timing.Settle
	if !isSettled || now < m.levelAt {
		return nil
	}
	m.levelAt = now.Add(m.timing.LevelInterval)
	index := -1
	for i, p := range m.peers {
		if p.Host == m.self {
			index = i
		}
	}
	if index < 0 {
		return nil
	}
	places := m.places(m.known, "")
	moves := placement.Rebalance(index, m.runs(self), places, float64(max(1, m.peers[index].Places)))
	return m.leave(now, moves, "levelling")
}

// runs returns this host's keys with the load on them. Busy keys form runs of their own, so that a hot run can be split.
func (m *Machine) runs(self int) []placement.LoadedSpan {
	var runs []placement.LoadedSpan
	for span, a := range m.known.Keys.Runs() {
		if a.Owner == self {
			runs = append(runs, m.split(span)...)
		}
	}
	return runs
}

// splitLoad is the load, in places, above which a run is looked at key by key.
const splitLoad = 0.25

// splitParts is into how many parts such a run is cut.
const splitParts = 4

func (m *Machine) split(span keyspace.Span) []placement.LoadedSpan {
	first, _ := slices.BinarySearchFunc(m.loads, span.From, func(l keyLoad, key class.Key) int { return int(l.key) - int(key) })
	total, end := 0.0, first
	for ; end < len(m.loads) && m.loads[end].key <= span.To; end++ {
		total += m.loads[end].load
	}
	if total < splitLoad || span.Size() == 1 {
		return []placement.LoadedSpan{{Span: span, Load: total}}
	}
	// Parts of about a quarter of the load each, cut behind a busy key.
	var runs []placement.LoadedSpan
	part := placement.LoadedSpan{Span: keyspace.Span{From: span.From}}
	for _, busy := range m.loads[first:end] {
		part.Load += busy.load
		if part.Load >= total/splitParts && busy.key < span.To {
			part.Span.To = busy.key
			runs = append(runs, part)
			part = placement.LoadedSpan{Span: keyspace.Span{From: busy.key + 1}}
		}
	}
	part.Span.To = span.To
	return append(runs, part)
}

// places returns the peers as placement sees them. The host named besides has no capacity.
func (m *Machine) places(r *Record, besides HostID) []placement.Server {
	keys, rows := r.Held()
	places := make([]placement.Server, len(m.peers))
	for i, p := range m.peers {
		places[i].Load = p.Load
		if p.IsPresent && p.IsEligible && p.Host != besides {
			places[i].Capacity = 1
		}
		if index := r.Find(p.Host); index != Nobody {
			places[i].Keys = keys[index]
			places[i].Spans = rows[index]
		}
	}
	return places
}

// leave stops granting the keys of some moves.
func (m *Machine) leave(now Instant, moves []placement.Move, reason string) []Effect {
	keys := 0
	for _, move := range moves {
		if move.To == placement.NoServer || m.peers[move.To].Host == m.self {
			continue
		}
		m.leaving.Set(move.Span, m.peers[move.To].Host)
		keys += move.Span.Size()
	}
	if keys == 0 {
		return nil
	}
	if !m.isLeaving {
		m.leavingSince = now
		m.freeSince = 0
	}
	m.isLeaving = true
	return append([]Effect{Event{Kind: EventLeaving, Keys: keys, Detail: reason}}, m.promise(now, moves)...)
}

// releaseTime is how long after the heartbeat whose answer leaves keys out they are released and given away: the server
// says within 100 ms that it has, and the record takes a few calls.
const releaseTime = 150 * time.Millisecond

// promise tells the hosts that shall have some keys when that will be. It says nothing where the server is silent: its keys
// are free only when its holds have run out.
func (m *Machine) promise(now Instant, moves []placement.Move) []Effect {
	in := releaseTime
	switch m.state {
	case ServerEnded:
	case ServerReady, ServerDraining:
		in += max(0, m.beatAt.Add(m.timing.Beat).Sub(now))
	default:
		return nil
	}
	seen := map[HostID]bool{m.self: true}
	var to []HostID
	for _, move := range moves {
		if move.To == placement.NoServer || seen[m.peers[move.To].Host] {
			continue
		}
		seen[m.peers[move.To].Host] = true
		to = append(to, m.peers[move.To].Host)
	}
	if len(to) == 0 {
		return nil
	}
	return []Effect{Promise{To: to, In: in}}
}

// takeover is this host's effort to take over from a lost one.
type takeover struct {
	// isEnding says that the lost host's lease is being ended.
	isEnding bool
	hasEnded bool
	// dueAt is when the lost host's authority has surely run out.
	dueAt   Instant
	retryAt Instant
	epoch   store.Condition
}

// suspectRetry is the pause before a lease that could not be ended is tried again.
const suspectRetry = 400 * time.Millisecond

// suspect prepares to take over from members that are absent from the store.
func (m *Machine) suspect(now Instant) []Effect {
	if m.known == nil || !m.mayAct(now) || len(m.peers) == 0 {
		return nil
	}
	var effects []Effect
	line := m.placeInLine()
	for _, member := range m.known.Members {
		if member.Host == m.self || m.isPresent(member.Host) {
			continue
		}
		since, known := m.absentSince[member.Host]
		if !known {
			since = now
			m.absentSince[member.Host] = now
		}
		since = max(since, m.storeSince)
		patience := m.timing.AbsenceGrace + time.Duration(line)*m.timing.Stagger
		if line == placement.NoServer || now.Sub(since) < patience || !owns(m.known, member.Host) {
			continue
		}
		t := m.takeovers[member.Host]
		if t == nil {
			t = &takeover{}
			m.takeovers[member.Host] = t
			effects = append(effects, Event{Kind: EventSuspected, Host: member.Host, Detail: "absent for " + strconv.FormatInt(now.Sub(since).Milliseconds(), 10) + " ms"})
		}
		if !t.hasEnded && !t.isEnding && now >= t.retryAt {
			t.isEnding = true
			effects = append(effects, EndLease{Host: member.Host})
		}
	}
	return effects
}

// placeInLine returns how many usable hosts come before this one, or Nobody if this one is not usable.
func (m *Machine) placeInLine() int {
	line := 0
	for _, p := range m.peers {
		if !p.IsPresent || !p.IsEligible {
			continue
		}
		if p.Host == m.self {
			return line
		}
		line++
	}
	return placement.NoServer
}

// LeaseEnded takes in the answer to EndLease: the revision of the lost host's epoch, once its lease has surely ended and
// its presence is gone.
func (m *Machine) LeaseEnded(now Instant, host HostID, epochRevision store.Revision, ok bool) []Effect {
	t := m.takeovers[host]
	if t == nil || !t.isEnding {
		return nil
	}
	t.isEnding = false
	if !ok {
		t.retryAt = now.Add(suspectRetry)
		return nil
	}
	t.hasEnded = true
	t.epoch = store.Condition{Key: m.layout.Epoch(host), Revision: epochRevision}
	t.dueAt = now.Add(stretch(m.timing.Authority))
	return m.step(now)
}
