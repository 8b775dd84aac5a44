package ownership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// runWithEvacuations is run with hosts whose failure domain is evacuated for some time, sometimes all of them.
func (sim *simulation) runWithEvacuations() {
	sim.evacuated = map[ownership.HostID]bool{}
	random := rand.New(rand.NewPCG(sim.random.Uint64(), 5))
	var loop func()
	loop = func() {
		h := sim.hosts[random.IntN(hostCount)]
		sim.evacuated[h.id] = !sim.evacuated[h.id]
		sim.schedule(time.Duration(random.Int64N(int64(time.Second))), loop)
	}
	sim.schedule(0, loop)
	sim.run()
}

// TestEvacuationsFindNoSecondOwner guards against keys with two owners, or fences that do not rise, when hosts hand their
// keys over while their servers stay ready, or keep them because the domain is taken back.
func TestEvacuationsFindNoSecondOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	failedWalk, reason, _, moves := explore(*walkCount, noMutation, (*simulation).runWithEvacuations)
	t.Logf("%d walks, %d moves", *walkCount, moves)
	g.Expect(failedWalk).To(gomega.Equal(-1), fmt.Sprintf("walk %d: %s", failedWalk, reason))
	g.Expect(moves).To(gomega.BeNumerically(">", 0))
}

// TestEvacuatedHostServesItsKeysUntilTheyAreReleased guards against keys without a server during an evacuation, against
// handovers before their turn, and against keys that a domain does not get back.
func TestEvacuatedHostServesItsKeysUntilTheyAreReleased(t *testing.T) {
	g := gomega.NewWithT(t)
	m, _ := newOwnerMachine(4)
	m.SetPeers(3, []ownership.Peer{{Host: "a", IsPresent: true}, {Host: "b", IsPresent: true, IsEligible: true}})
	m.Heartbeat(4, heartbeatWith(1, nil))
	granted := m.HeartbeatResponse(4).Grants
	g.Expect(granted).NotTo(gomega.BeEmpty())
	const turn = ownership.Instant(time.Second)
	g.Expect(m.SetEvacuated(5, true, turn)).To(gomega.BeEmpty(), "before its turn")
	m.Heartbeat(6, heartbeatWith(2, granted))
	g.Expect(m.HeartbeatResponse(6).Grants).To(gomega.HaveLen(len(granted)), "before its turn")
	g.Expect(findWrite(m.Tick(turn))).To(gomega.BeNil(), "the server holds the keys")
	served, _ := m.ServedKeys()
	g.Expect(served.At(0)).To(gomega.BeTrue(), "until its next heartbeat")
	m.Heartbeat(turn+1, heartbeatWith(3, granted))
	g.Expect(m.HeartbeatResponse(turn + 1).Grants).To(gomega.BeEmpty())
	g.Expect(findWrite(m.SetEvacuated(turn+2, false, 0))).To(gomega.BeNil())
	m.Heartbeat(turn+3, heartbeatWith(4, granted))
	g.Expect(m.HeartbeatResponse(turn+3).Grants).To(gomega.HaveLen(len(granted)), "taken back before it is empty")
	m.SetEvacuated(turn+4, true, turn+4)
	after := turn.Add(ownership.DefaultTiming().HoldTime)
	write := findWrite(m.Heartbeat(after, heartbeatWith(5, nil)))
	g.Expect(write).NotTo(gomega.BeNil())
	record, err := ownership.Decode(write.Txn.Puts[0].Value)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, a := range record.Keys.Runs() {
		g.Expect(record.Members[a.Owner].Host).To(gomega.Equal(ownership.HostID("b")))
	}
}
