package daemon

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/store"
)

const ownEvacuation = platform.EvacuationPrefix + "d"

func commit(t *testing.T, m *store.Memory, txn store.Txn) store.Revision {
	t.Helper()
	revision, err := m.Commit(context.Background(), txn)
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

func evacuate(t *testing.T, m *store.Memory) store.Revision {
	t.Helper()
	return commit(t, m, store.Txn{Puts: []store.Put{{Key: ownEvacuation, Value: []byte("{}")}}})
}

// evacuationView is what a daemon lets its server do.
type evacuationView struct{ isEvacuated, mayRun, isKeysOnly, isAnnounced, isReady, isCold bool }

func viewEvacuation(c *control, now ownership.Instant) evacuationView {
	c.updatePermit(now)
	a := c.server.announcement(now)
	c.limitAnnouncement(now, &a)
	return evacuationView{
		c.isEvacuated(), c.permit.isUsable, c.permit.isKeysOnly, a.IsUsable, a.IsReady, c.server.isColdUntilHeartbeat(),
	}
}

func viewOf(d *Daemon) evacuationView {
	return ask(context.Background(), d.control, func(now ownership.Instant) evacuationView { return viewEvacuation(d.control, now) })
}

func isEvacuated(d *Daemon) bool { return viewOf(d).isEvacuated }

var (
	inUse     = evacuationView{mayRun: true, isAnnounced: true, isReady: true}
	takenBack = evacuationView{mayRun: true, isAnnounced: true, isReady: true, isCold: true}
	evacuated = evacuationView{isEvacuated: true, isKeysOnly: true}
)

// TestEvacuationBindsADaemonThatStarts covers a daemon that starts in an evacuated domain, and a deletion whose event no
// watcher got. An old copy of the evacuation does not bring it back, neither here nor on a daemon that never saw it.
func TestEvacuationBindsADaemonThatStarts(t *testing.T) {
	g := gomega.NewWithT(t)
	memory := store.NewMemory(clockwork.NewRealClock())
	old := membership.Entry{Key: ownEvacuation, Version: membership.Version(evacuate(t, memory)), Data: []byte("{}")}
	instance := ownership.Instance{ID: "i", Born: 5}
	d := newDaemon(t, memory)
	g.Expect(sendHeartbeat(d, instance, 1)).To(gomega.Succeed())
	g.Expect(viewOf(d)).To(gomega.Equal(evacuated))
	commit(t, memory, store.Txn{Removes: []string{ownEvacuation}})
	_, err := d.control.readAll(context.Background())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(viewOf(d)).To(gomega.Equal(takenBack))
	g.Expect(sendHeartbeat(d, instance, 2)).To(gomega.Succeed())
	g.Expect(viewOf(d)).To(gomega.Equal(inUse), "the heartbeat is newer than the deletion")
	other := newDaemon(t, memory)
	g.Expect(sendHeartbeat(other, instance, 1)).To(gomega.Succeed())
	for _, daemon := range []*Daemon{d, other} {
		gossipHandler{daemon.control}.Push(peer.Update{Entries: []membership.Entry{old}})
		g.Expect(viewOf(daemon)).To(gomega.Equal(inUse))
		g.Expect(daemon.control.replica.Get(ownEvacuation).IsDeleted).To(gomega.BeTrue(), "others learn of the deletion")
	}
	memory.Restore(memory.Copy())
	evacuate(t, memory)
	_, err = d.control.readAll(context.Background())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(viewOf(d)).To(gomega.Equal(evacuated), "in the new era")
}

// TestNoServerIsUsedBeforeTheEvacuationsAreKnown guards against calls of a daemon that starts while the store is down.
func TestNoServerIsUsedBeforeTheEvacuationsAreKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	s := testSettings()
	s.Seeds = []string{"127.0.0.9:1"} // does not answer
	d := newDaemonWith(t, s, downStore{})
	g.Expect(sendHeartbeat(d, ownership.Instance{ID: "i", Born: 5}, 1)).To(gomega.Succeed())
	g.Expect(viewOf(d)).To(gomega.Equal(evacuationView{}))
	read := membership.Entry{Key: evacuationsReadKey, Version: 1, IsDeleted: true}
	gossipHandler{d.control}.Push(peer.Update{Entries: []membership.Entry{read}})
	g.Expect(viewOf(d)).To(gomega.Equal(inUse), "another daemon has sent all that it knows")
}

// TestDifferingEvacuationsAreExchanged guards against updates that were lost on their way: an evacuation that the receiver
// of a digest or beacon lacks, and one whose end the sender lacks.
func TestDifferingEvacuationsAreExchanged(t *testing.T) {
	for name, isDeleted := range map[string]bool{"evacuation": false, "deletion": true} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			memory := store.NewMemory(clockwork.NewRealClock())
			newer, older := newDaemon(t, memory), newDaemon(t, memory)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			ended := make(chan error, 1)
			go func() { ended <- peer.Serve(context.Background(), listener, gossipHandler{older.control}) }()
			t.Cleanup(func() { _ = listener.Close(); <-ended })
			entry := membership.Entry{Key: ownEvacuation, Version: 1 << 50, Data: []byte("{}")}
			gossipHandler{older.control}.Push(peer.Update{Entries: []membership.Entry{entry}})
			if entry.Version++; !isDeleted {
				entry.Key += "2"
			}
			entry.IsDeleted = isDeleted
			gossipHandler{newer.control}.Push(peer.Update{Entries: []membership.Entry{entry}})
			digest := func(d *Daemon) membership.Digest {
				return ask(context.Background(), d.control, func(ownership.Instant) membership.Digest {
					return d.control.replica.DigestOf(platform.EvacuationPrefix)
				})
			}
			g.Expect(digest(newer)).NotTo(gomega.Equal(digest(older)))
			gossipHandler{newer.control}.Push(peer.Update{From: listener.Addr().String(), Beacon: &peer.Beacon{
				Evacuations: &peer.EvacuationBeacon{Digest: digest(older)},
			}})
			g.Eventually(func() bool { return digest(newer) == digest(older) }, time.Second).Should(gomega.BeTrue())
			g.Expect(isEvacuated(older)).To(gomega.Equal(!isDeleted))
		})
	}
}

// TestKeysAreServedUntilTheBound guards against keys without a server during an evacuation, and against calls after it.
func TestKeysAreServedUntilTheBound(t *testing.T) {
	g := gomega.NewWithT(t)
	s := testSettings()
	s.EvacuationTime = 5 * time.Second
	c := New(s, Options{Log: hclog.NewNullLogger(), Clock: clockwork.NewFakeClock()}).control
	now := ownership.Instant(time.Minute)
	c.config = &class.Config{Services: map[class.Service]class.ServiceSettings{"s": {IsKeyed: true}}}
	c.evacuationsRead(now, now, 1)
	c.server.state = ownership.ServerReady
	g.Expect(viewEvacuation(c, now)).To(gomega.Equal(inUse))
	c.applyItems(now, []store.Item{{Key: ownEvacuation, Revision: 2, Value: []byte("not JSON")}})
	servesKeys := evacuationView{isEvacuated: true, mayRun: true, isKeysOnly: true, isAnnounced: true}
	g.Expect(viewEvacuation(c, now.Add(4*time.Second))).To(gomega.Equal(servesKeys), "the key alone decides")
	g.Expect(viewEvacuation(c, now.Add(s.EvacuationTime))).To(gomega.Equal(evacuated))
	c.config = &class.Config{Services: map[class.Service]class.ServiceSettings{"s": {}}}
	g.Expect(viewEvacuation(c, now).isAnnounced).To(gomega.BeFalse(), "without keys")
}

// TestServerTakenBackIsLimitedAsCold guards against a flood on a server that became cold while its domain was evacuated, and
// against health checks, which are requests too, of a server of an evacuated domain.
func TestServerTakenBackIsLimitedAsCold(t *testing.T) {
	g := gomega.NewWithT(t)
	c, heartbeat := warmupControl(warmupConfig(7.1))
	now := ownership.Instant(time.Minute)
	g.Expect(heartbeat(1, 0, nil)).To(gomega.Succeed())
	c.startEvacuation(now, "d", 1)
	c.warmup.isCheckRequested.Store(true)
	c.checkWarmup(now)
	g.Expect(c.observer.counter("warmup.checks").Count()).To(gomega.BeZero())
	c.endEvacuation(now, "d", 2)
	g.Expect(c.runner.State().IsCold).To(gomega.BeTrue(), "until a newer heartbeat")
	c.clock.(*clockwork.FakeClock).Advance(time.Second)
	g.Expect(heartbeat(2, 0, nil)).To(gomega.Succeed())
	g.Expect(c.runner.State().IsCold).To(gomega.BeFalse())
}
