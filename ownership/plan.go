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

// planMoves decides which keys of this host move to other hosts, and stops granting them.
func (m *StateMachine) planMoves(now Instant) []Effect {
	if m.record == nil || !m.mayAct(now) || m.pending != nil {
		return nil
	}
	self := m.record.MemberIndex(m.self)
	if self == NoMember || slices.Contains(m.record.Unsettled, m.self) {
		return nil
	}
	switch {
	case m.serverState == ServerUnknown:
		return nil
	case m.serverState != ServerReady:
		return m.planEvacuation(now, self, "server "+m.serverState.String())
	case !m.isEvacuated:
		return m.planRebalance(now, self)
	case now >= m.evacuateAt:
		return m.planEvacuation(now, self, "failure domain evacuated")
	default:
		return nil
	}
}

// planEvacuation moves all keys of this host to other hosts, if there are any that can be assigned keys.
func (m *StateMachine) planEvacuation(now Instant, self int, reason string) []Effect {
	var spans []placement.LoadedSpan
	for span, a := range m.record.Keys.Runs() {
		if a.Owner != self {
			continue
		}
		for part, to := range m.moveTargets.Within(span) {
			if to == "" {
				spans = append(spans, placement.LoadedSpan{Span: part, Neighbour: m.precedingPeer(m.record, part)})
			}
		}
	}
	if len(spans) == 0 {
		return nil
	}
	return m.startMoves(now, placement.Reassign(spans, m.placementState(m.record, m.self)), reason)
}

// precedingPeer returns one plus the index of the peer that owns the key before the span, or zero if there is none.
func (m *StateMachine) precedingPeer(r *Record, span keyspace.Span) int {
	if span.From == 0 {
		return 0
	}
	owner := r.Owner(span.From - 1)
	return 1 + slices.IndexFunc(m.peers, func(p Peer) bool { return p.Host == owner })
}

// planRebalance moves keys to backend servers that have far fewer keys or far less load.
func (m *StateMachine) planRebalance(now Instant, self int) []Effect {
	if m.isMoving {
		if now.Sub(m.movingSince) > m.timing.MoveTimeout {
			return []Effect{m.abandonMoves("not released in time")}
		}
		return nil
	}
	if m.isLoadAware() {
		return m.planLevelling(now, self)
	}
	isSettled := m.record.Members[self].Instance == m.instance && now.Sub(m.unchangedSince) > m.timing.SettleTime
	if !isSettled || now < m.rebalanceAt {
		return nil
	}
	m.rebalanceAt = now.Add(m.timing.RebalanceInterval)
	index := m.peerIndex()
	if index < 0 {
		return nil
	}
	candidates := m.placementState(m.record, "")
	moves := placement.Rebalance(index, m.ownSpans(self), candidates, float64(max(1, m.peers[index].Concurrency)))
	return m.startMoves(now, moves, "levelling")
}

// peerIndex returns the index of this host among the peers, or -1.
func (m *StateMachine) peerIndex() int {
	return slices.IndexFunc(m.peers, func(p Peer) bool { return p.Host == m.self })
}

// ownSpans returns the spans of this host's keys with the load on each. A span with a high load is split after busy
// keys, so that a part of it can be moved.
func (m *StateMachine) ownSpans(self int) []placement.LoadedSpan {
	var spans []placement.LoadedSpan
	for span, a := range m.record.Keys.Runs() {
		if a.Owner == self {
			spans = append(spans, splitByLoad(span, m.loads)...)
		}
	}
	return spans
}

// minSplitLoad is the load, in running requests, from which a span is split.
const minSplitLoad = 0.25

// splitParts determines the load of each part of a span that is split: about 1/splitParts of the load of the span.
const splitParts = 4

func splitByLoad(span keyspace.Span, loads []keyLoad) []placement.LoadedSpan {
	first, _ := slices.BinarySearchFunc(loads, span.From, func(l keyLoad, key class.Key) int {
		return int(l.key) - int(key)
	})
	total, end := 0.0, first
	for ; end < len(loads) && loads[end].key <= span.To; end++ {
		total += loads[end].load
	}
	if total < minSplitLoad || span.Size() == 1 {
		return []placement.LoadedSpan{{Span: span, Load: total}}
	}
	// Each part has about 1/splitParts of the load and ends with a busy key.
	var spans []placement.LoadedSpan
	part := placement.LoadedSpan{Span: keyspace.Span{From: span.From}}
	for _, busy := range loads[first:end] {
		part.Load += busy.load
		if part.Load >= total/splitParts && busy.key < span.To {
			part.Span.To = busy.key
			spans = append(spans, part)
			part = placement.LoadedSpan{Span: keyspace.Span{From: busy.key + 1}}
		}
	}
	part.Span.To = span.To
	return append(spans, part)
}

// placementState returns the peers as input for package placement. The excluded host has no capacity.
func (m *StateMachine) placementState(r *Record, exclude HostID) []placement.Server {
	keys, rows := r.CountsByMember()
	candidates := make([]placement.Server, len(m.peers))
	for i, p := range m.peers {
		candidates[i].Load = p.Load
		if p.IsPresent && p.IsEligible && p.Host != exclude {
			candidates[i].Capacity = warmupFactor(r, p)
			if p.Capacity > 0 {
				candidates[i].Slots = float64(max(1, p.Concurrency))
				candidates[i].Capacity *= p.Capacity * candidates[i].Slots
			}
		}
		if index := r.MemberIndex(p.Host); index != NoMember {
			candidates[i].Keys = keys[index]
			candidates[i].Spans = rows[index]
		}
	}
	return candidates
}

// startMoves starts the moves: this host stops granting their keys.
func (m *StateMachine) startMoves(now Instant, moves []placement.Move, reason string) []Effect {
	keys := 0
	for _, move := range moves {
		if move.To == placement.NoServer || m.peers[move.To].Host == m.self {
			continue
		}
		m.moveTargets.Set(move.Span, m.peers[move.To].Host)
		keys += move.Span.Size()
	}
	if keys == 0 {
		return nil
	}
	if !m.isMoving {
		m.movingSince = now
		m.firstReleasedAt = 0
	}
	m.isMoving = true
	return append([]Effect{Event{Kind: EventMoveStarted, Keys: keys, Detail: reason}}, m.announceMoves(now, moves)...)
}

// releaseDelay is the time from the heartbeat whose response no longer grants the moving keys until they have their new
// owner: the backend server reports the release within 100 ms, and writing the record takes a few calls.
const releaseDelay = 150 * time.Millisecond

// announceMoves notifies the new owners of moving keys when they will be assigned them. It sends nothing if the backend
// server is silent or closed, because its keys become free only when its holds expire.
func (m *StateMachine) announceMoves(now Instant, moves []placement.Move) []Effect {
	delay := releaseDelay
	switch m.serverState {
	case ServerEnded:
	case ServerReady, ServerDraining:
		delay += max(0, m.heartbeatAt.Add(m.timing.HeartbeatInterval).Sub(now))
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
	return []Effect{AnnounceHandover{To: to, Delay: delay}}
}

// takeover is the state of a takeover of a lost host's keys by this host.
type takeover struct {
	// isEndingLease is whether a call to end the lost host's lease is in progress.
	isEndingLease bool
	hasLeaseEnded bool
	// authorityEndsAt is the time from which the lost host's authority has certainly expired.
	authorityEndsAt Instant
	retryAt         Instant
	epochCondition  store.Condition
}

// endLeaseRetryDelay is the pause before a failed attempt to end a lost host's lease is repeated.
const endLeaseRetryDelay = 400 * time.Millisecond

// startTakeovers starts takeovers of members that have been absent from the store for the grace period, by ending their
// leases.
func (m *StateMachine) startTakeovers(now Instant) []Effect {
	if m.record == nil || !m.mayAct(now) || len(m.peers) == 0 {
		return nil
	}
	var effects []Effect
	index := m.usableIndex()
	for _, member := range m.record.Members {
		if member.Host == m.self || m.isPresent(member.Host) {
			continue
		}
		since, isKnown := m.absentSince[member.Host]
		if !isKnown {
			since = now
			m.absentSince[member.Host] = now
		}
		since = max(since, m.storeAvailableSince)
		grace := m.timing.AbsenceGrace + time.Duration(index)*m.timing.Stagger
		if index == placement.NoServer || now.Sub(since) < grace || !ownsKeys(m.record, member.Host) {
			continue
		}
		t := m.takeovers[member.Host]
		if t == nil {
			t = &takeover{}
			m.takeovers[member.Host] = t
			effects = append(effects, Event{
				Kind:   EventTakeoverStarted,
				Host:   member.Host,
				Detail: "absent for " + strconv.FormatInt(now.Sub(since).Milliseconds(), 10) + " ms",
			})
		}
		if !t.hasLeaseEnded && !t.isEndingLease && now >= t.retryAt {
			t.isEndingLease = true
			effects = append(effects, EndLease{Host: member.Host})
		}
	}
	return effects
}

// usableIndex returns this host's index among the usable hosts, which are present and eligible, or placement.NoServer
// if it is not usable itself.
func (m *StateMachine) usableIndex() int {
	index := 0
	for _, p := range m.peers {
		if !p.IsPresent || !p.IsEligible {
			continue
		}
		if p.Host == m.self {
			return index
		}
		index++
	}
	return placement.NoServer
}

// LeaseEnded processes the result of EndLease. If ok, the lost host's lease has certainly ended and its presence is
// gone; epochRevision is the revision of its epoch.
func (m *StateMachine) LeaseEnded(now Instant, host HostID, epochRevision store.Revision, ok bool) []Effect {
	t := m.takeovers[host]
	if t == nil || !t.isEndingLease {
		return nil
	}
	t.isEndingLease = false
	if !ok {
		t.retryAt = now.Add(endLeaseRetryDelay)
		return nil
	}
	t.hasLeaseEnded = true
	t.epochCondition = store.Condition{Key: m.layout.Epoch(host), Revision: epochRevision}
	t.authorityEndsAt = now.Add(addClockMargin(m.timing.AuthorityTime))
	return m.step(now)
}
