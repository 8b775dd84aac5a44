package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// mayGetWork reports whether the daemon's backend server may get new work.
func mayGetWork(d *Daemon) bool {
	usable := make(chan bool, 1)
	d.control.post(context.Background(), func(now ownership.Instant) {
		d.control.updatePermit(now)
		usable <- d.control.permit.isUsable || d.control.server.announcement(now).IsUsable
	})
	return <-usable
}

// TestDepartureBindsTheNextProcess guards against work for a server whose end was acknowledged: the daemon restarts, and a
// heartbeat that the server sent before it announced its end reaches the new process.
func TestDepartureBindsTheNextProcess(t *testing.T) {
	instance := ownership.Instance{ID: "i", Born: 5}
	deregister := func(d *Daemon) error {
		return heartbeatHandler{d.control}.Deregister(context.Background(), instance.ID, instance.Born)
	}
	announceDrain := func(d *Daemon) error {
		_, err := heartbeatHandler{d.control}.Heartbeat(context.Background(), ownership.Heartbeat{
			Instance: instance, Address: "127.0.0.1:2", Service: "s", Concurrency: 2, Sequence: 9, IsDraining: true,
		})
		return err
	}
	for _, c := range []struct {
		name                        string
		beforeRestart, afterRestart func(*Daemon) error
	}{
		{name: "deregistered", beforeRestart: deregister},
		{name: "draining", beforeRestart: announceDrain},
		{name: "deregistered at the new process", afterRestart: deregister},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			memory := store.NewMemory(clockwork.NewRealClock())
			before := newDaemon(t, memory)
			g.Expect(sendHeartbeat(before, instance, 1)).To(gomega.Succeed())
			g.Expect(mayGetWork(before)).To(gomega.BeTrue())
			if c.beforeRestart != nil {
				g.Expect(c.beforeRestart(before)).To(gomega.Succeed())
			}
			after := newDaemon(t, memory)
			if c.afterRestart != nil {
				g.Expect(c.afterRestart(after)).To(gomega.Succeed())
			}
			_ = sendHeartbeat(after, instance, 2) // it may be rejected
			g.Expect(mayGetWork(after)).To(gomega.BeFalse())
			g.Expect(sendHeartbeat(after, ownership.Instance{ID: "i", Born: 6}, 1)).To(gomega.Succeed())
			g.Expect(mayGetWork(after)).To(gomega.BeTrue(), "the next instance")
		})
	}
}

// downStore rejects all calls.
type downStore struct{ store.Store }

// Get implements store.Store.
func (downStore) Get(context.Context, string) (store.Item, error) {
	return store.Item{}, &store.RejectedError{Call: "get", Cause: "down"}
}

// List implements store.Store.
func (downStore) List(context.Context, string) (store.Snapshot, error) {
	return store.Snapshot{}, &store.RejectedError{Call: "list", Cause: "down"}
}

// Commit implements store.Store.
func (downStore) Commit(context.Context, store.Txn) (store.Revision, error) {
	return 0, &store.RejectedError{Call: "commit", Cause: "down"}
}

// Grant implements store.Store.
func (downStore) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	return 0, &store.RejectedError{Call: "grant", Cause: "down"}
}

// TestDepartureIsLearnedFromOtherDaemons covers a departure that the store never got: it is down from before the
// acknowledgement until after the restart.
func TestDepartureIsLearnedFromOtherDaemons(t *testing.T) {
	g := gomega.NewWithT(t)
	instance := ownership.Instance{ID: "i", Born: 5}
	before := newDaemon(t, downStore{})
	g.Expect(sendHeartbeat(before, instance, 1)).To(gomega.Succeed())
	g.Expect(heartbeatHandler{before.control}.Deregister(context.Background(), "i", 5)).To(gomega.Succeed())
	entries, err := before.control.replica.Newer(nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	after := newDaemon(t, downStore{})
	g.Expect(sendHeartbeat(after, instance, 2)).To(gomega.Succeed(), "nothing shows that it has left")
	g.Expect(mayGetWork(after)).To(gomega.BeTrue())
	gossipHandler{after.control}.Push(peer.Update{Entries: entries})
	g.Expect(mayGetWork(after)).To(gomega.BeFalse())
}

// TestDepartureIsStoredAgain guards against a departure that only the daemons have: the store was restored from a copy of
// before, or was down when the departure was recorded.
func TestDepartureIsStoredAgain(t *testing.T) {
	isStored := func(d *Daemon, memory *store.Memory) func() bool {
		return func() bool {
			item, err := memory.Get(context.Background(), d.control.layout.Departure("h"))
			return err == nil && item.Revision != 0
		}
	}
	t.Run("store restored", func(t *testing.T) {
		g := gomega.NewWithT(t)
		memory := store.NewMemory(clockwork.NewRealClock())
		older := memory.Copy()
		d := newDaemon(t, memory)
		d.control.postEra(1)
		g.Expect(sendHeartbeat(d, ownership.Instance{ID: "i", Born: 5}, 1)).To(gomega.Succeed())
		g.Expect(heartbeatHandler{d.control}.Deregister(context.Background(), "i", 5)).To(gomega.Succeed())
		g.Expect(isStored(d, memory)()).To(gomega.BeTrue())
		memory.Restore(older)
		d.control.postEra(2)
		g.Eventually(isStored(d, memory)).Should(gomega.BeTrue())
	})
	t.Run("learned from another daemon", func(t *testing.T) {
		g := gomega.NewWithT(t)
		before := newDaemon(t, downStore{})
		g.Expect(sendHeartbeat(before, ownership.Instance{ID: "i", Born: 5}, 1)).To(gomega.Succeed())
		g.Expect(heartbeatHandler{before.control}.Deregister(context.Background(), "i", 5)).To(gomega.Succeed())
		entries, err := before.control.replica.Newer(nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		memory := store.NewMemory(clockwork.NewRealClock())
		after := newDaemon(t, &recoveringStore{Store: memory})
		gossipHandler{after.control}.Push(peer.Update{Entries: entries})
		g.Eventually(isStored(after, memory), 3*time.Second).Should(gomega.BeTrue())
	})
}
