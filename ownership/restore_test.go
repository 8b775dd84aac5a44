package ownership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// restoredMachine returns the state machine of host "a", which served every second stripe of a record of era 1 when the
// store was restored from a copy with an older record. It has registered in era 2 and read that record.
func restoredMachine(t *testing.T, older *ownership.Record) (
	m *ownership.StateMachine, now ownership.Instant, effects []ownership.Effect,
) {
	t.Helper()
	m, _ = newOwnerMachine(4)
	record := stripedRecord(4, 9)
	record.Era = 1
	m.EraObserved(3, 1)
	m.RecordReceived(4, record, store.MustRevision(1, 50))
	now = ownership.Instant(time.Second)
	m.EraObserved(now, 2)
	m.Registered(now, now, 2, store.MustRevision(2, 31))
	effects = m.ReadDone(now, 2, older, store.MustRevision(2, 30), true)
	return m, now, effects
}

func decodeWrite(g *gomega.WithT, w *ownership.WriteRecord) *ownership.Record {
	g.Expect(w).NotTo(gomega.BeNil())
	record, err := ownership.Decode(w.Txn.Puts[0].Value)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return record
}

// TestNewestAssignmentsAreWrittenAfterARestore guards against a mesh that falls back to the assignments of the copy, and
// against fences that are given out twice.
func TestNewestAssignmentsAreWrittenAfterARestore(t *testing.T) {
	g := gomega.NewWithT(t)
	older := stripedRecord(2, 5)
	older.Era = 1
	m, now, effects := restoredMachine(t, older)
	w := findWrite(effects)
	written := decodeWrite(g, w)
	g.Expect(w.Txn.Conditions[0].Revision).To(gomega.Equal(store.MustRevision(2, 30)))
	g.Expect(written.Era).To(gomega.Equal(store.Era(2)))
	g.Expect(written.Keys).To(gomega.Equal(stripedRecord(4, 9).Keys))
	g.Expect(written.Generation).To(gomega.BeNumerically(">", 1000), "generations that may have been lost are skipped")
	g.Expect(written.Unsettled).To(gomega.ConsistOf(ownership.HostID("a"), ownership.HostID("b")))
	settled := decodeWrite(g, findWrite(m.WriteDone(now, ownership.WriteResult{
		Token: w.Token, Status: ownership.WriteCommitted, Revision: store.MustRevision(2, 32),
	})))
	g.Expect(settled.Unsettled).To(gomega.ConsistOf(ownership.HostID("b")))
	g.Expect(settled.Keys).To(gomega.Equal(written.Keys), "keys that were served without interruption keep their fences")
}

// TestKeysOfTheCopyWaitForOtherHolders guards against a second owner of keys that the copy assigns to this host, whereas
// a newer record, which was lost, assigned them to another one.
func TestKeysOfTheCopyWaitForOtherHolders(t *testing.T) {
	g := gomega.NewWithT(t)
	adopted := stripedRecord(4, 9)
	adopted.Era, adopted.Generation, adopted.EraGeneration = 2, 1<<25, 1<<25
	adopted.Unsettled = []ownership.HostID{"a", "b"}
	all := keyspace.Span{From: 0, To: 65535}
	adopted.Keys.Set(all, ownership.Assignment{Owner: 0, Fence: 5})
	m, now, effects := restoredMachine(t, adopted)
	g.Expect(findWrite(effects)).To(gomega.BeNil())
	m.Heartbeat(now, heartbeatWith(1, nil))
	granted := m.HeartbeatResponse(now).Grants
	g.Expect(granted).NotTo(gomega.BeEmpty())
	for _, grant := range granted {
		g.Expect(stripedRecord(4, 9).Owner(grant.Span.From)).To(gomega.Equal(ownership.HostID("a")))
	}
	timing := ownership.DefaultTiming()
	m.Renewed(now.Add(timing.AuthorityTime), now.Add(timing.AuthorityTime))
	g.Expect(findWrite(m.Tick(now.Add(timing.AuthorityTime)))).To(gomega.BeNil())
	settled := decodeWrite(g, findWrite(m.Tick(now.Add(timing.AuthorityTime+timing.AuthorityTime/10))))
	g.Expect(settled.Unsettled).NotTo(gomega.ContainElement(ownership.HostID("a")))
	g.Expect(settled.Keys.At(65535).Fence).To(gomega.Equal(settled.Generation), "the keys get new fences")
	g.Expect(settled.Keys.At(0).Fence).To(gomega.BeNumerically("<", settled.Generation))
}

// TestRecordsOfAnEarlierEraAreNotApplied guards against a message of another daemon that arrives after the restore.
func TestRecordsOfAnEarlierEraAreNotApplied(t *testing.T) {
	g := gomega.NewWithT(t)
	older := stripedRecord(4, 5)
	older.Era = 1
	m, now, _ := restoredMachine(t, older)
	known, _ := m.KnownRecord()
	late := stripedRecord(2, 20)
	late.Era = 1
	m.RecordReceived(now, late, store.MustRevision(1, 90))
	g.Expect(known).To(gomega.Equal(func() *ownership.Record { r, _ := m.KnownRecord(); return r }()))
}

// TestHostThatLearnsLateOfARestoreDoesNotWait guards against a host that waits as long as the others although they have
// found that no authority of the earlier era is left.
func TestHostThatLearnsLateOfARestoreDoesNotWait(t *testing.T) {
	g := gomega.NewWithT(t)
	written := stripedRecord(4, 9)
	written.Era, written.Generation, written.EraGeneration = 2, 1<<25, 1<<25
	written.Unsettled, written.IsEraSettleable = []ownership.HostID{"a"}, true
	m := ownership.NewStateMachine(0, "a", "s", ownership.StoreLayout{}, ownership.DefaultTiming(), rand.New(rand.NewPCG(1, 1)))
	now := ownership.Instant(time.Minute)
	m.EraObserved(now, 2)
	m.Registered(now, now, 1, store.MustRevision(2, 31))
	settled := decodeWrite(g, findWrite(m.ReadDone(now, 1, written, store.MustRevision(2, 30), true)))
	g.Expect(settled.Unsettled).To(gomega.BeEmpty())
	g.Expect(settled.Keys.At(0).Fence).To(gomega.Equal(settled.Generation))
}

// TestRecordWithoutAnEraOfARestoredStoreIsNotInForce guards against a daemon that starts after a restore and acts on a
// record of a version that did not state the era.
func TestRecordWithoutAnEraOfARestoredStoreIsNotInForce(t *testing.T) {
	for era, isInForce := range map[store.Era]bool{1: true, 2: false} {
		t.Run(fmt.Sprint("era ", era), func(t *testing.T) {
			g := gomega.NewWithT(t)
			m := ownership.NewStateMachine(0, "a", "s", ownership.StoreLayout{}, ownership.DefaultTiming(), rand.New(rand.NewPCG(1, 1)))
			now := ownership.Instant(time.Minute)
			m.EraObserved(now, era)
			m.Registered(now, now, 1, store.MustRevision(era, 31))
			m.ReadDone(now, 1, stripedRecord(4, 9), store.MustRevision(era, 30), true)
			m.Heartbeat(now, heartbeatWith(1, nil))
			g.Expect(len(m.HeartbeatResponse(now).Grants) > 0).To(gomega.Equal(isInForce))
		})
	}
}

// TestLostFirstRecordIsNotComposedAtOnce guards against keys that are assigned anew at once and from fence 1, when the store
// was restored from a copy of before the first record and no daemon remembers that record.
func TestLostFirstRecordIsNotComposedAtOnce(t *testing.T) {
	const registered = ownership.Instant(time.Minute)
	timing := ownership.DefaultTiming()
	for _, c := range []struct {
		name string
		eras []store.Era
		// earliest is the earliest time of the assignment after the last era was observed.
		earliest time.Duration
		// above is the highest fence that may have been given out before.
		above ownership.Fence
	}{
		{name: "never restored", eras: []store.Era{1}, earliest: timing.SettleTime},
		{name: "started after a restore", eras: []store.Era{2}, earliest: timing.AuthorityTime, above: 1 << 24},
		{name: "started before a restore", eras: []store.Era{1, 2}, earliest: timing.AuthorityTime, above: 1 << 24},
		{name: "restored twice", eras: []store.Era{3}, earliest: timing.AuthorityTime, above: 3<<24 - 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			m := ownership.NewStateMachine(0, "a", "s", ownership.StoreLayout{}, timing, rand.New(rand.NewPCG(1, 1)))
			for _, era := range c.eras {
				m.EraObserved(registered, era)
			}
			era := c.eras[len(c.eras)-1]
			m.Registered(registered, registered, 1, store.MustRevision(era, 31))
			m.ReadDone(registered, 1, nil, 0, true)
			m.SetServerState(registered, ownership.ServerReady)
			m.SetPeers(registered, []ownership.Peer{{Host: "a", IsPresent: true, IsEligible: true, Concurrency: 4}})
			before := registered.Add(c.earliest - 1)
			m.Renewed(before, before)
			g.Expect(findWrite(m.Tick(before))).To(gomega.BeNil())
			after := registered.Add(c.earliest + c.earliest/10)
			written := decodeWrite(g, findWrite(m.Tick(after)))
			g.Expect(written.Keys.At(0).Fence).To(gomega.BeNumerically(">", c.above))
		})
	}
}
