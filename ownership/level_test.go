package ownership_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/placement"
)

// plannedMoves returns the keys that host "a" stops granting, after it has compared its load with that of "b" for a
// while.
func plannedMoves(loads map[class.Key]float64, withShape bool, peers []ownership.Peer) map[class.Key]bool {
	m, record := newOwnerMachine(256)
	now := ownership.Instant(2 * time.Second)
	m.Renewed(now, now)
	m.Heartbeat(now, heartbeatWith(1, nil))
	m.SetLoads(loads)
	if withShape {
		m.SetShape(loads, 0.001)
	}
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		m.SetPeers(now, append([]ownership.Peer{}, peers...))
	}
	m.Heartbeat(now, heartbeatWith(2, nil))
	moving := map[class.Key]bool{}
	for key := range class.KeyCount {
		moving[class.Key(key)] = record.Owner(class.Key(key)) == "a"
	}
	for _, grant := range m.HeartbeatResponse(now).Grants {
		for key := int(grant.Span.From); key <= int(grant.Span.To); key++ {
			moving[class.Key(key)] = false
		}
	}
	for key, isMoving := range moving {
		if !isMoving {
			delete(moving, key)
		}
	}
	return moving
}

// evenLoads puts the same load on the first key of each stripe of host "a".
func evenLoads(total float64) map[class.Key]float64 {
	loads := map[class.Key]float64{}
	for stripe := range 128 {
		loads[class.Key(512*stripe)] = total / 128
	}
	return loads
}

func levelPeers(own, other, ownCapacity, otherCapacity float64) []ownership.Peer {
	return []ownership.Peer{
		{Host: "a", IsPresent: true, IsEligible: true, Instance: instance, Concurrency: 8, Load: own, Capacity: ownCapacity},
		{Host: "b", IsPresent: true, IsEligible: true, Concurrency: 8, Load: other, Capacity: otherCapacity},
	}
}

// TestKeysMoveByUtilisationOnlyIfLoadAware guards against decisions that change for configurations which are not
// load-aware: they are those of placement.Rebalance, whatever is known of the shape of the load.
func TestKeysMoveByUtilisationOnlyIfLoadAware(t *testing.T) {
	for name, c := range map[string]struct {
		own, other                 float64
		ownCapacity, otherCapacity float64
		isMoved                    bool
	}{
		"a little above, not load-aware":   {own: 6, other: 4},
		"far above, not load-aware":        {own: 7, other: 1, isMoved: true},
		"a little above and slow":          {own: 6, other: 3, ownCapacity: 0.7, otherCapacity: 1.7, isMoved: true},
		"a little above and level":         {own: 4.1, other: 4, ownCapacity: 1, otherCapacity: 1},
		"below a faster one that is equal": {own: 5, other: 5, ownCapacity: 0.7, otherCapacity: 1.7},
		"hardly utilised":                  {own: 2, other: 1, ownCapacity: 1, otherCapacity: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			peers := levelPeers(c.own, c.other, c.ownCapacity, c.otherCapacity)
			moved := plannedMoves(evenLoads(c.own), true, peers)
			g.Expect(len(moved) > 0).To(gomega.Equal(c.isMoved))
			g.Expect(len(moved)).To(gomega.BeNumerically("<", class.KeyCount/3))
			if c.ownCapacity > 0 {
				return
			}
			g.Expect(moved).To(gomega.Equal(plannedMoves(evenLoads(c.own), false, peers)))
			g.Expect(moved).To(gomega.Equal(rebalancedKeys(evenLoads(c.own), peers)))
		})
	}
}

// rebalancedKeys returns the keys that placement.Rebalance moves off host "a", with servers of the same capacity.
func rebalancedKeys(loads map[class.Key]float64, peers []ownership.Peer) map[class.Key]bool {
	record := stripedRecord(256, 1)
	servers := make([]placement.Server, len(peers))
	for i, p := range peers {
		servers[i] = placement.Server{Capacity: 1, Keys: class.KeyCount / 2, Spans: 128, Load: p.Load}
	}
	var spans []placement.LoadedSpan
	for span, a := range record.Keys.Runs() {
		if a.Owner == 0 {
			spans = append(spans, placement.LoadedSpan{Span: span, Load: loads[span.From]})
		}
	}
	moved := map[class.Key]bool{}
	for _, move := range placement.Rebalance(0, spans, servers, 8) {
		for key := int(move.Span.From); key <= int(move.Span.To); key++ {
			moved[class.Key(key)] = true
		}
	}
	return moved
}
