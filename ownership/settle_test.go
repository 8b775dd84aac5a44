package ownership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/keyspace"
)

const (
	// settleTime is how long the simulation runs without faults before keys have to be held. Its times are a tenth of those
	// on a real network, so this is ten seconds there, within which keys of a host lost whole have a new owner.
	settleTime = time.Second
	// holdSearchTime is the time after that in which each key has to be held at least once. At any point of time some keys
	// are on their way, since busy ones go on being moved.
	holdSearchTime     = time.Second
	holdSearchInterval = 25 * time.Millisecond
)

// settle ends all faults and runs the simulation for settleTime.
func (sim *simulation) settle() {
	sim.faultsOff = true
	sim.storeDownUntil = sim.now
	for _, h := range sim.hosts {
		h.partitionedUntil = sim.now
	}
	sim.runUntil(sim.now + settleTime)
}

// addHeld sets the keys that a backend server holds to true.
func (sim *simulation) addHeld(held *keyspace.Map[bool]) {
	for _, h := range sim.hosts {
		if !h.server.isUp {
			continue
		}
		for span, hold := range h.server.holds.Runs() {
			if hold.until > sim.now {
				held.Set(span, true)
			}
		}
	}
}

// checkHeld runs the simulation for holdSearchTime and fails if there are keys that no backend server held meanwhile.
func (sim *simulation) checkHeld() {
	var held keyspace.Map[bool]
	start := sim.now
	for elapsed := time.Duration(0); elapsed < holdSearchTime; elapsed += holdSearchInterval {
		sim.addHeld(&held)
		sim.runUntil(start + elapsed)
	}
	for span, isHeld := range held.Runs() {
		if !isHeld {
			sim.failf("keys %d to %d have no holder after the faults", span.From, span.To)
		}
	}
}

// TestEachKeyIsHeldAfterTheFaults explores walks as TestExplorationFindsNoSecondOwner does, and lets each of them settle.
func TestEachKeyIsHeldAfterTheFaults(t *testing.T) {
	g := gomega.NewWithT(t)
	failedWalk, reason, _, _ := explore(*walkCount, noMutation, func(sim *simulation) {
		sim.run()
		sim.settle()
		sim.checkHeld()
	})
	g.Expect(failedWalk).To(gomega.Equal(-1), fmt.Sprintf("walk %d: %s", failedWalk, reason))
}
