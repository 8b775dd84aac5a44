package ownership_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/placement"
	"github.com/skylarkrelay/skylarkrelay/store"
)

var instance = ownership.Instance{ID: "i", Born: 1}

// newOwnerMachine returns the state machine of host "a", which is registered and owns every second stripe of its
// record.
func newOwnerMachine(stripes int) (*ownership.StateMachine, *ownership.Record) {
	m := ownership.NewStateMachine(
		0, "a", "s", ownership.StoreLayout{}, ownership.DefaultTiming(), rand.New(rand.NewPCG(1, 1)),
	)
	m.Registered(1, 1, 1, 10)
	record := stripedRecord(stripes, 1)
	m.ReadDone(2, 1, record, 20, true)
	m.SetServerState(3, ownership.ServerReady)
	return m, record
}

func stripedRecord(stripes int, generation ownership.Fence) *ownership.Record {
	record := &ownership.Record{Service: "s", Generation: generation, Members: []ownership.Member{
		{Host: "a", Instance: instance}, {Host: "b"},
	}}
	size := class.KeyCount / stripes
	for i := range stripes {
		a := ownership.Assignment{Owner: i % 2, Fence: 1 + ownership.Fence(i)%generation}
		record.Keys.Set(keyspace.Span{From: class.Key(i * size), To: class.KeyCount - 1}, a)
	}
	return record
}

func heartbeatWith(sequence uint64, holds []ownership.Grant) ownership.Heartbeat {
	heartbeat := ownership.Heartbeat{Instance: instance, Service: "s", Concurrency: 1, Sequence: sequence}
	for _, g := range holds {
		heartbeat.Holds = append(heartbeat.Holds, ownership.Hold{Span: g.Span, Fence: g.Fence})
	}
	return heartbeat
}

func TestRecordRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	record := stripedRecord(64, 5)
	record.Keys.Set(keyspace.Span{From: 9, To: 9}, ownership.Assignment{
		Owner:    ownership.NoMember,
		Fence:    3,
		Handover: "h\x00",
	})
	record.Nonce = "n"
	data, err := record.Encode()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	decoded, err := ownership.Decode(data)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decoded).To(gomega.Equal(record))
	for n := range len(data) - 1 {
		_, err := ownership.Decode(data[:n])
		g.Expect(err).To(gomega.BeAssignableToTypeOf(&ownership.RecordError{}))
	}
}

// TestKeysWithoutAReceiverAreNotWritten lets a backend server end while the host that its keys were to move to can no
// longer be assigned any. No write moves nothing.
func TestKeysWithoutAReceiverAreNotWritten(t *testing.T) {
	g := gomega.NewWithT(t)
	m, _ := newOwnerMachine(64)
	now := ownership.Instant(time.Minute)
	m.Renewed(now, now)
	m.Heartbeat(now, heartbeatWith(1, nil))
	m.Heartbeat(now+1, heartbeatWith(2, m.HeartbeatResponse(now).Grants))
	m.SetPeers(now, []ownership.Peer{
		{Host: "a", IsPresent: true, Instance: instance}, {Host: "b", IsPresent: true, IsEligible: true},
	})
	m.SetServerState(now, ownership.ServerDraining) // plans the moves to b, which wait until the keys are released
	effects := m.SetPeers(now, []ownership.Peer{
		{Host: "a", IsPresent: true, Instance: instance}, {Host: "b", IsPresent: true},
	})
	effects = append(effects, m.SetServerState(now, ownership.ServerEnded)...)
	effects = append(effects, m.Tick(now.Add(time.Second))...)
	for _, e := range effects {
		_, isWrite := e.(ownership.WriteRecord)
		g.Expect(isWrite).To(gomega.BeFalse(), "%v", e)
	}
}

// TestHeartbeatCostIsLinearInItsSpans guards against heartbeats whose memory grows with the square of the spans that the
// server holds.
func TestHeartbeatCostIsLinearInItsSpans(t *testing.T) {
	g := gomega.NewWithT(t)
	const heartbeats = 100
	bytesFor := func(spans int) float64 {
		m, _ := newOwnerMachine(2 * spans)
		now := ownership.Instant(time.Second)
		m.Heartbeat(now, heartbeatWith(1, nil))
		grants := m.HeartbeatResponse(now).Grants
		g.Expect(grants).To(gomega.HaveLen(spans))
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for sequence := range uint64(heartbeats) {
			m.Heartbeat(now, heartbeatWith(2+sequence, grants))
		}
		runtime.ReadMemStats(&after)
		return float64(after.TotalAlloc - before.TotalAlloc)
	}
	g.Expect(bytesFor(128) / bytesFor(16)).To(gomega.BeNumerically("<", 1.5*128/16))
}

// TestGrantsFitAfterARestore guards against keys that are owned and never served: the fences of a restored store have eight
// digits, and a host may own as many spans as placement gives it.
func TestGrantsFitAfterARestore(t *testing.T) {
	g := gomega.NewWithT(t)
	m, record := newOwnerMachine(2 * placement.MaxSpans)
	restored := stripedRecord(2*placement.MaxSpans, 2<<24)
	for span, a := range record.Keys.Runs() {
		a.Fence += 2 << 24
		restored.Keys.Set(span, a)
	}
	m.RecordReceived(4, restored, 21)
	now := ownership.Instant(time.Second)
	m.Heartbeat(now, heartbeatWith(1, nil))
	m.HeartbeatResponse(now)
	served, _ := m.ServedKeys()
	unserved := 0
	for span, a := range restored.Keys.Runs() {
		for part, isServed := range served.Within(span) {
			if a.Owner == 0 && !isServed {
				unserved += part.Size()
			}
		}
	}
	g.Expect(unserved).To(gomega.BeZero(), "keys that the record assigns to the host and that it cannot grant")
}

// TestAnswersFitWhateverIsOwned gives a host more grants than fit into a heartbeat response, then fewer again. The
// fences that the backend server sees never decrease.
func TestAnswersFitWhateverIsOwned(t *testing.T) {
	g := gomega.NewWithT(t)
	m, _ := newOwnerMachine(1024)
	now := ownership.Instant(time.Second)
	m.Heartbeat(now, heartbeatWith(1, nil))
	response := m.HeartbeatResponse(now)
	size := 0
	for _, grant := range response.Grants {
		size += len(fmt.Sprintf(`[%d,%d,%d,%q],`, grant.Span.From, grant.Span.To, grant.Fence, grant.Handover))
	}
	g.Expect(size).To(gomega.BeNumerically("<", 4050))
	g.Expect(len(response.Grants)).To(gomega.BeNumerically(">", 150))

	all := stripedRecord(1024, 7)
	for span, a := range stripedRecord(1024, 7).Keys.Runs() {
		a.Owner = 0
		all.Keys.Set(span, a)
	}
	m.RecordReceived(now, all, 21)
	m.Heartbeat(now+1, heartbeatWith(2, response.Grants))
	merged := m.HeartbeatResponse(now + 1)
	m.RecordReceived(now, stripedRecord(64, 7), 22)
	m.Heartbeat(now+2, heartbeatWith(3, merged.Grants))
	again := m.HeartbeatResponse(now + 2)
	var seen keyspace.Map[ownership.Fence]
	for _, grants := range [][]ownership.Grant{response.Grants, merged.Grants, again.Grants} {
		for _, grant := range grants {
			for _, fence := range seen.Within(grant.Span) {
				g.Expect(grant.Fence).To(gomega.BeNumerically(">=", fence))
			}
		}
		for _, grant := range grants {
			seen.Set(grant.Span, grant.Fence)
		}
	}
}

// TestUnacceptedKeysGetHigherFences checks that fences are raised when the backend server does not accept grants
// because it has seen a higher fence than the restarted daemon knows.
func TestUnacceptedKeysGetHigherFences(t *testing.T) {
	g := gomega.NewWithT(t)
	m, record := newOwnerMachine(4)
	now := ownership.Instant(10 * time.Second)
	m.Renewed(now, now)
	var writes []ownership.WriteRecord
	for sequence := range uint64(4) {
		effects := m.Heartbeat(now+ownership.Instant(sequence), heartbeatWith(sequence+1, nil))
		m.HeartbeatResponse(now + ownership.Instant(sequence))
		for _, e := range effects {
			if w, ok := e.(ownership.WriteRecord); ok {
				writes = append(writes, w)
			}
		}
	}
	g.Expect(writes).To(gomega.HaveLen(1))
	raised, err := ownership.Decode(writes[0].Txn.Puts[0].Value)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(raised.Keys.At(0).Fence).To(gomega.Equal(record.Generation + 1))
	g.Expect(raised.Owner(0)).To(gomega.Equal(ownership.HostID("a")))
}

// TestAnswerToAnEarlierWrite checks that the late result of a write whose outcome was already known through gossip does
// not end the next write. The exploration found this fault in walk 1433.
func TestAnswerToAnEarlierWrite(t *testing.T) {
	g := gomega.NewWithT(t)
	m, _ := newOwnerMachine(4)
	now := ownership.Instant(20 * time.Second)
	m.Renewed(now, now)
	m.SetPeers(now, []ownership.Peer{
		{Host: "a", IsPresent: true, IsEligible: true, Instance: instance},
		{Host: "b", IsPresent: true, IsEligible: true},
	})
	first := findWrite(m.SetServerState(now, ownership.ServerEnded))
	g.Expect(first).NotTo(gomega.BeNil())
	second := findWrite(m.RecordReceived(now+1, stripedRecord(4, 2), 21))
	g.Expect(second).NotTo(gomega.BeNil())
	g.Expect(second.Token).NotTo(gomega.Equal(first.Token))
	m.WriteDone(now+2, ownership.WriteResult{Token: first.Token, Status: ownership.WriteConflict})
	m.Heartbeat(now+3, heartbeatWith(1, nil))
	response := m.HeartbeatResponse(now + 3)
	g.Expect(response.Grants).To(gomega.BeEmpty(), "the second write may still assign the keys to another host")
}

func findWrite(effects []ownership.Effect) *ownership.WriteRecord {
	for _, e := range effects {
		if w, ok := e.(ownership.WriteRecord); ok {
			return &w
		}
	}
	return nil
}

func TestNothingIsGrantedBeyondAuthority(t *testing.T) {
	g := gomega.NewWithT(t)
	m, _ := newOwnerMachine(4)
	timing := ownership.DefaultTiming()
	end := ownership.Instant(1).Add(timing.AuthorityTime)
	for sequence, left := range []time.Duration{
		5 * time.Second, time.Second, 300 * time.Millisecond, 100 * time.Millisecond, -1,
	} {
		m.Heartbeat(end.Add(-left), heartbeatWith(uint64(sequence)+1, nil))
		response := m.HeartbeatResponse(end.Add(-left))
		slowest := time.Duration(1.02 * float64(response.HoldTime))
		g.Expect(slowest).To(gomega.BeNumerically("<=", max(0, left)))
	}
}

var _ store.Store = (*store.Memory)(nil)

// TestNewLifeAfterARestartNeedsNoWait covers a host that lost power, so that the daemon and the backend server are both
// new. No keys can have been granted to the new backend server, so its keys do not wait for holds that an earlier
// daemon process might have granted.
func TestNewLifeAfterARestartNeedsNoWait(t *testing.T) {
	g := gomega.NewWithT(t)
	m, record := newOwnerMachine(4)
	later := heartbeatWith(1, nil)
	later.Instance.Born++
	effects := m.Heartbeat(ownership.Instant(20*time.Millisecond), later)
	w := findWrite(effects)
	g.Expect(w).NotTo(gomega.BeNil())
	raised, err := ownership.Decode(w.Txn.Puts[0].Value)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(raised.Keys.At(0).Fence).To(gomega.Equal(record.Generation + 1))
}

// TestKeysOfAServerThatNeverReportsAreGivenAway covers a daemon that restarts beside a server that is lost or frozen. Its keys
// move once the holds that the earlier daemon process granted have expired, and not before.
func TestKeysOfAServerThatNeverReportsAreGivenAway(t *testing.T) {
	for _, state := range []ownership.ServerState{ownership.ServerSilent, ownership.ServerClosed} {
		t.Run(state.String(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			timing := ownership.DefaultTiming()
			m := ownership.NewStateMachine(0, "a", "s", ownership.StoreLayout{}, timing, rand.New(rand.NewPCG(1, 1)))
			m.Registered(1, 1, 1, 10)
			m.ReadDone(2, 1, stripedRecord(4, 1), 20, true)
			m.SetPeers(3, []ownership.Peer{{Host: "a", IsPresent: true}, {Host: "b", IsPresent: true, IsEligible: true}})
			now := ownership.Instant(timing.HoldTime)
			m.Renewed(now, now)
			effects := m.SetServerState(now, state)
			g.Expect(findWrite(effects)).To(gomega.BeNil(), "the holds of the earlier process may last")
			now = now.Add(timing.HoldTime)
			effects = append(m.Tick(now), m.Tick(now.Add(time.Second))...)
			write := findWrite(effects)
			g.Expect(write).NotTo(gomega.BeNil())
			record, err := ownership.Decode(write.Txn.Puts[0].Value)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			for span, a := range record.Keys.Runs() {
				g.Expect(record.Members[a.Owner].Host).To(gomega.Equal(ownership.HostID("b")), "keys %d to %d", span.From, span.To)
			}
		})
	}
}
