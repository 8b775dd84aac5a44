package ownership

import (
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/placement"
)

// SetShape sets the load of each busy key as it is measured over some seconds, and the quantum that one call contributes
// to it. It is used together with SetLoads if the configuration is load-aware.
func (m *StateMachine) SetShape(shape map[class.Key]float64, quantum float64) {
	m.shape, m.shapeQuantum = sortedLoads(m.shape, shape), quantum
}

// isLoadAware reports whether keys are divided in proportion to the capacities of the backend servers.
func (m *StateMachine) isLoadAware() bool {
	index := m.peerIndex()
	return index >= 0 && m.peers[index].Capacity > 0
}

// planLevelling moves keys to backend servers that joined recently, or otherwise to those that are utilised less than
// the service as a whole. It does not wait until the record is unchanged: after the start of load, hosts change it all
// the time. Each host moves only its own excess, so that hosts which act at the same moment do not add up to more than
// is to be moved.
func (m *StateMachine) planLevelling(now Instant, self int) []Effect {
	isSettled := m.record.Members[self].Instance == m.instance &&
		now.Sub(m.peersUnchangedSince) > m.timing.SettleTime
	if !isSettled || now < m.rebalanceAt {
		return nil
	}
	m.rebalanceAt = now.Add(m.timing.RebalanceInterval)
	index := m.peerIndex()
	servers := m.placementState(m.record, "")
	if servers[index].Capacity == 0 {
		return nil
	}
	spans, level := m.levelledSpans(self)
	servers[index].Load = 0
	for _, span := range spans {
		servers[index].Load += span.Load
	}
	own, mean := servers[index].Load/servers[index].Slots, placement.Utilisation(servers)
	m.imbalance.Observe(own, mean, servers[index].Keys)
	// A server that has joined gets keys from all others at once. They wait until all have written what they handed over.
	if now.Sub(m.unchangedSince) > m.timing.SettleTime {
		if moves := placement.FillNewServers(index, spans, servers); len(moves) > 0 {
			return m.startMoves(now, moves, "new server")
		}
	}
	share := m.imbalance.ShareToMove(own, mean)
	if share == 0 {
		return nil
	}
	moves, moved := placement.Level(index, spans, servers, share, level*m.shapeQuantum, m.random)
	m.imbalance.Moved(moved)
	return m.startMoves(now, moves, "levelling")
}

// levelledSpans returns the spans of this host's keys. How much load each carries in relation to the others is measured
// over some seconds, because most keys are called rarely; the level is that of the last second, and is returned too as a
// multiple of the longer measurement.
func (m *StateMachine) levelledSpans(self int) ([]placement.LoadedSpan, float64) {
	owned := func(load keyLoad) bool { return m.record.Keys.At(load.key).Owner == self }
	load, shape := sumLoads(m.loads, owned), sumLoads(m.shape, owned)
	level := 0.0
	if shape > 0 {
		level = load / shape
	}
	var spans []placement.LoadedSpan
	for span, a := range m.record.Keys.Runs() {
		if a.Owner != self {
			continue
		}
		parts := splitByLoad(span, m.shape)
		parts[0].Neighbour = m.precedingPeer(m.record, span)
		spans = append(spans, parts...)
	}
	for i := range spans {
		spans[i].Load *= level
	}
	return spans, level
}

func sumLoads(loads []keyLoad, isCounted func(keyLoad) bool) float64 {
	sum := 0.0
	for _, load := range loads {
		if isCounted(load) {
			sum += load.load
		}
	}
	return sum
}
