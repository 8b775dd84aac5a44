package ownership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// TestKeysOfManyLostHostsAreTakenOver guards against a takeover that the store rejects again and again, because its
// transaction has more entries than the store accepts.
func TestKeysOfManyLostHostsAreTakenOver(t *testing.T) {
	const lostHosts = 40
	g := gomega.NewWithT(t)
	timing := ownership.DefaultTiming()
	record := &ownership.Record{Service: "s", Generation: 1, Members: []ownership.Member{{Host: "a", Instance: instance}}}
	const stripe = class.KeyCount / lostHosts
	for i := range lostHosts {
		record.Members = append(record.Members, ownership.Member{Host: ownership.HostID(fmt.Sprint("lost", i))})
		record.Keys.Set(keyspace.Span{From: class.Key(i * stripe), To: class.KeyCount - 1},
			ownership.Assignment{Owner: 1 + i, Fence: 1})
	}
	m := ownership.NewStateMachine(0, "a", "s", ownership.StoreLayout{}, timing, rand.New(rand.NewPCG(1, 1)))
	now := ownership.Instant(1)
	m.Registered(now, now, 1, 10)
	m.ReadDone(now, 1, record, 20, true)
	m.SetPeers(now, []ownership.Peer{{Host: "a", IsPresent: true, IsEligible: true, Instance: instance}})
	m.SetServerState(now, ownership.ServerReady)
	m.Heartbeat(now, heartbeatWith(1, nil))

	revision := store.Revision(20)
	var steps func(effects []ownership.Effect)
	steps = func(effects []ownership.Effect) {
		for _, e := range effects {
			switch e := e.(type) {
			case ownership.EndLease:
				steps(m.LeaseEnded(now, e.Host, 5, true))
			case ownership.WriteRecord:
				entries := len(e.Txn.Conditions) + len(e.Txn.Puts) + len(e.Txn.Removes)
				g.Expect(entries).To(gomega.BeNumerically("<=", store.MaxTxnEntries))
				revision++
				steps(m.WriteDone(now, ownership.WriteResult{
					Token: e.Token, Status: ownership.WriteCommitted, Revision: revision,
				}))
			}
		}
	}
	for range 400 {
		now = now.Add(100 * time.Millisecond)
		steps(m.Renewed(now, now))
		steps(m.Tick(now))
	}
	final, _ := m.KnownRecord()
	for span, a := range final.Keys.Runs() {
		g.Expect(final.Members[a.Owner].Host).To(gomega.Equal(ownership.HostID("a")), "keys %d to %d", span.From, span.To)
	}
}
