package ownership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/evacuation"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// TestDomainOfTwentyServersIsEvacuatedInTime guards against handovers that collide: 20 of 60 servers hand over all their
// keys, under load and with writes of the record that take 20 ms, within the 3 s that remain of the bound.
func TestDomainOfTwentyServersIsEvacuatedInTime(t *testing.T) {
	const (
		hosts, domains = 60, 3
		interval       = 870 * time.Millisecond
		releaseTime    = 100 * time.Millisecond
		writeTime      = 20 * time.Millisecond
		step           = 5 * time.Millisecond
		start          = 4 * time.Second
		end            = start + 3*time.Second
	)
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	timing := ownership.DefaultTiming()
	timing.HeartbeatInterval = interval
	record, revision := &ownership.Record{Service: "s", Generation: 1}, store.Revision(20)
	isEvacuated := func(i int, now time.Duration) bool { return i%domains == 0 && now >= start }
	const spans = 4096
	for i := range spans {
		record.Keys.Set(keyspace.Span{From: class.Key(i * (class.KeyCount / spans)), To: class.KeyCount - 1},
			ownership.Assignment{Owner: i % hosts, Fence: 1})
	}
	id := func(i int) ownership.HostID { return ownership.HostID(fmt.Sprintf("h%02d", i)) }
	var machines [hosts]*ownership.StateMachine
	var held [hosts][]ownership.Grant
	var sequences [hosts]uint64
	for i := range hosts {
		record.Members = append(record.Members, ownership.Member{Host: id(i), Instance: instance})
	}
	queue := map[time.Duration][]func(now ownership.Instant){}
	later := func(now ownership.Instant, d time.Duration, do func(now ownership.Instant)) {
		at := (time.Duration(now) + d).Truncate(step)
		queue[at] = append(queue[at], do)
	}
	conflicts, commits := 0, 0
	var apply func(now ownership.Instant, i int, effects []ownership.Effect)
	apply = func(now ownership.Instant, i int, effects []ownership.Effect) {
		for _, e := range effects {
			w, isWrite := e.(ownership.WriteRecord)
			if !isWrite {
				continue
			}
			later(now, writeTime, func(now ownership.Instant) {
				result := ownership.WriteResult{
					Token: w.Token, Status: ownership.WriteConflict, Record: record, RecordRevision: revision,
				}
				if w.Txn.Conditions[0].Revision == revision {
					written, err := ownership.Decode(w.Txn.Puts[0].Value)
					g.Expect(err).NotTo(gomega.HaveOccurred())
					record, revision = written, revision+1
					result = ownership.WriteResult{Token: w.Token, Revision: revision}
					commits++
					for j := range hosts {
						later(now, writeTime, func(now ownership.Instant) {
							apply(now, j, machines[j].RecordReceived(now, written, result.Revision))
						})
					}
				} else {
					conflicts++
				}
				apply(now, i, machines[i].WriteDone(now, result))
			})
		}
	}
	var beat func(now ownership.Instant, i int, isRegular bool)
	beat = func(now ownership.Instant, i int, isRegular bool) {
		sequences[i]++
		apply(now, i, machines[i].Renewed(now, now))
		apply(now, i, machines[i].Heartbeat(now, heartbeatWith(sequences[i], held[i])))
		response := machines[i].HeartbeatResponse(now)
		isReleasing := len(response.Grants) < len(held[i])
		if held[i] = response.Grants; isReleasing {
			later(now, releaseTime, func(now ownership.Instant) { beat(now, i, false) })
		}
		if isRegular {
			later(now, interval, func(now ownership.Instant) { beat(now, i, true) })
		}
	}
	for i := range hosts {
		m := ownership.NewStateMachine(0, id(i), "s", ownership.StoreLayout{}, timing, rand.New(rand.NewPCG(1, uint64(i))))
		machines[i] = m
		m.Registered(1, 1, 1, 10)
		m.ReadDone(2, 1, record, revision, true)
		m.SetServerState(3, ownership.ServerReady)
		later(0, time.Duration(random.Int64N(int64(interval))), func(now ownership.Instant) { beat(now, i, true) })
	}
	for at := time.Duration(0); at <= end; at += step {
		now := ownership.Instant(at)
		if at%(250*time.Millisecond) == 0 {
			for i, m := range machines {
				var peers []ownership.Peer
				for j := range hosts {
					peers = append(peers, ownership.Peer{
						Host: id(j), IsPresent: true, IsEligible: !isEvacuated(j, at),
						Instance: instance, Concurrency: 8, Load: 4 + 4*random.Float64(),
					})
				}
				apply(now, i, m.SetPeers(now, peers))
				turn := now.Add(evacuation.HandoverDelay(i/domains, hosts/domains))
				apply(now, i, m.SetEvacuated(now, isEvacuated(i, at), turn))
			}
		}
		for i, m := range machines {
			apply(now, i, m.Tick(now))
		}
		for len(queue[at]) > 0 {
			do := queue[at][0]
			queue[at] = queue[at][1:]
			do(now)
		}
		delete(queue, at)
	}
	keys, _ := record.CountsByMember()
	t.Logf("%d writes, %d conflicts", commits, conflicts)
	for i := range hosts {
		if i%domains == 0 {
			g.Expect(keys[i]).To(gomega.BeZero(), "keys of host %d", i)
		} else {
			g.Expect(keys[i]).To(gomega.BeNumerically("<", 2*class.KeyCount/(hosts-hosts/domains)))
		}
	}
	g.Expect(conflicts).To(gomega.BeNumerically("<", 2*commits))
}
