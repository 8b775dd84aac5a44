package ownership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/store"
)

// earlyTime is the time in which the store may be restored from a copy of before the first record.
const earlyTime = time.Second

// runWithRestarts is run with restarts of all daemons at one moment, often while the store is restored from a copy.
func (sim *simulation) runWithRestarts() {
	random := rand.New(rand.NewPCG(sim.random.Uint64(), 7))
	empty := store.NewMemory(sim.clock).Copy()
	var loop func()
	loop = func() {
		if !sim.faultsOff {
			sim.restartAll(random, empty)
		}
		sim.schedule(time.Duration(random.Int64N(int64(4*time.Second))), loop)
	}
	sim.schedule(time.Duration(random.Int64N(int64(earlyTime))), loop)
	sim.run()
}

// restartAll kills all daemons. In three of four cases the store is away meanwhile and comes back from a copy.
func (sim *simulation) restartAll(random *rand.Rand, empty *store.MemoryCopy) {
	outage := time.Duration(random.Int64N(int64(150 * time.Millisecond)))
	sim.tracef("all daemons are killed")
	for _, h := range sim.hosts {
		h.isUp = false
		sim.schedule(outage+time.Duration(random.Int64N(int64(20*time.Millisecond))), func() { sim.startDaemon(h) })
	}
	if random.IntN(4) == 0 {
		return
	}
	sim.storeDownUntil = max(sim.storeDownUntil, sim.now+outage)
	isEmpty := sim.now < earlyTime && random.IntN(2) == 0
	sim.schedule(outage, func() {
		switch {
		case sim.faultsOff:
		case isEmpty:
			sim.store.Restore(empty)
			sim.copies = []*store.MemoryCopy{empty}
			sim.tracef("store restored from an empty copy: era %d", sim.store.Era())
		default:
			sim.restoreStore()
		}
	})
}

// TestRestartsFindNoSecondOwner guards against keys that are assigned anew under fences that were already given out, or
// while earlier holds last, when no daemon remembers the record that a restored store has lost.
func TestRestartsFindNoSecondOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	failedWalk, reason, _, _ := explore(*walkCount, noMutation, (*simulation).runWithRestarts)
	g.Expect(failedWalk).To(gomega.Equal(-1), fmt.Sprintf("walk %d: %s", failedWalk, reason))
}

// TestKeysAreHeldAfterRestarts guards against keys that stay without an owner after a restore and a restart of all daemons.
func TestKeysAreHeldAfterRestarts(t *testing.T) {
	g := gomega.NewWithT(t)
	failedWalk, reason, _, _ := explore(*walkCount, noMutation, func(sim *simulation) {
		sim.runWithRestarts()
		sim.settle()
		sim.checkHeld()
	})
	g.Expect(failedWalk).To(gomega.Equal(-1), fmt.Sprintf("walk %d: %s", failedWalk, reason))
}

// TestRestartsDetectMutations guards against an exploration that would not find an initial assignment without its wait or
// without its gap.
func TestRestartsDetectMutations(t *testing.T) {
	for _, m := range []mutation{noSettlementWait, eraGapMissing} {
		t.Run(mutationNames[m], func(t *testing.T) { expectDetected(t, m, (*simulation).runWithRestarts) })
	}
}
