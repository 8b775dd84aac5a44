package membership_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/store"
)

func entry(key string, version membership.Version) membership.Entry {
	return membership.Entry{Key: key, Version: version, Data: []byte(key)}
}

func TestReplicaKeepsNewestEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := membership.NewReplica(), membership.NewReplica()
	g.Expect(a.Merge(entry("x", 2))).To(gomega.BeTrue())
	g.Expect(a.Merge(entry("x", 1))).To(gomega.BeFalse())
	g.Expect(a.Merge(entry("y", 5))).To(gomega.BeTrue())
	g.Expect(a.Merge(membership.Entry{Key: "late", Version: 9, Value: lazyValue{}})).To(gomega.BeTrue())
	newer, err := a.Newer(b.Versions())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, e := range newer {
		b.Merge(e)
	}
	g.Expect(a.Digest()).To(gomega.Equal(b.Digest()))
	g.Expect(b.Get("late").Data).To(gomega.Equal([]byte("encoded")),
		"values are encoded for the peer that requests them")
	g.Expect(a.Merge(membership.Entry{Key: "x", Version: 7, IsDeleted: true})).To(gomega.BeTrue())
	g.Expect(a.List("")).To(gomega.HaveLen(2), "deleted values are omitted")
	g.Expect(a.Digest()).NotTo(gomega.Equal(b.Digest()))
}

// lazyValue is encoded only on request.
type lazyValue struct{}

func (lazyValue) Encode() ([]byte, error) { return []byte("encoded"), nil }

// registrarDriver drives a registrar and carries out its effects on a store.
type registrarDriver struct {
	registrar    *membership.Registrar
	store        *store.Memory
	now          ownership.Instant
	epochs       []ownership.Epoch
	unregistered int
	renewed      int
	// loseNextAnswer makes the store apply the next registration without answering it.
	loseNextAnswer bool
}

func newRegistrarDriver(s *store.Memory) *registrarDriver {
	return &registrarDriver{
		store:     s,
		now:       1,
		registrar: membership.NewRegistrar(membership.Presence{Host: "h"}, ownership.StoreLayout{}, membership.DefaultTiming()),
	}
}

func (r *registrarDriver) execute(effects []membership.Effect) {
	ctx := context.Background()
	for _, e := range effects {
		switch effect := e.(type) {
		case membership.GrantLease:
			lease, err := r.store.Grant(ctx, time.Minute)
			r.execute(r.registrar.LeaseGranted(r.now, lease, err))
		case membership.Register:
			revision, err := r.store.Commit(ctx, effect.Txn)
			if r.loseNextAnswer {
				r.loseNextAnswer = false
				revision, err = 0, &store.IndeterminateError{Call: "commit", Cause: errors.New("cut")}
			}
			r.execute(r.registrar.RegisterDone(r.now, effect.SentAt, revision, err))
		case membership.RenewLease:
			r.execute(r.registrar.RenewDone(r.now, effect.SentAt, effect.Lease, r.store.Renew(ctx, effect.Lease)))
		case membership.Registered:
			r.epochs = append(r.epochs, effect.Epoch)
		case membership.Unregistered:
			r.unregistered++
		case membership.Renewed:
			r.renewed++
		}
	}
}

func (r *registrarDriver) advance(d time.Duration) {
	r.now = r.now.Add(d)
	r.execute(r.registrar.Tick(r.now))
}

func TestRegistration(t *testing.T) {
	g := gomega.NewWithT(t)
	s := store.NewMemory(clockwork.NewFakeClock())
	r := newRegistrarDriver(s)
	r.advance(0)
	g.Expect(r.epochs).To(gomega.Equal([]ownership.Epoch{1}))
	r.advance(2 * time.Second)
	g.Expect(r.renewed).To(gomega.Equal(1))
	restarted := newRegistrarDriver(s)
	restarted.advance(0)
	g.Expect(restarted.epochs).To(gomega.Equal([]ownership.Epoch{2}), "each registration raises the epoch")
}

func TestRegistrationAfterLeaseEnded(t *testing.T) {
	g := gomega.NewWithT(t)
	s := store.NewMemory(clockwork.NewFakeClock())
	r := newRegistrarDriver(s)
	r.advance(0)
	g.Expect(s.Revoke(context.Background(), r.registrar.Lease())).To(gomega.Succeed())
	r.advance(2 * time.Second)
	g.Expect(r.unregistered).To(gomega.Equal(1))
	g.Expect(r.epochs).To(gomega.Equal([]ownership.Epoch{1, 2}))
}

// TestRegistrationWithoutAnswer checks a registration that the store applies although its answer is lost. The next
// attempt has to find the registration of its own lease, and not raise the epoch for another lease.
func TestRegistrationWithoutAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	s := store.NewMemory(clockwork.NewFakeClock())
	r := newRegistrarDriver(s)
	r.loseNextAnswer = true
	r.advance(0)
	g.Expect(r.epochs).To(gomega.BeEmpty())
	lease := r.registrar.Lease()
	r.advance(time.Second)
	g.Expect(r.epochs).To(gomega.Equal([]ownership.Epoch{1}))
	g.Expect(r.registrar.Lease()).To(gomega.Equal(lease))
	item, err := s.Get(context.Background(), ownership.StoreLayout{}.Epoch("h"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	named, err := membership.DecodeEpoch(item.Value)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(named.Lease).To(gomega.Equal(lease))
}

func TestRegistrationAfterPresenceDeleted(t *testing.T) {
	g := gomega.NewWithT(t)
	s := store.NewMemory(clockwork.NewFakeClock())
	r := newRegistrarDriver(s)
	r.advance(0)
	s.RemoveLeased(ownership.StoreLayout{}.Presence("h"))
	present, err := s.List(context.Background(), "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r.execute(r.registrar.PresenceDeleted(r.now, present.Revision))
	g.Expect(r.epochs).To(gomega.Equal([]ownership.Epoch{1, 2}), "registered again at once, under the same lease")
	item, err := s.Get(context.Background(), ownership.StoreLayout{}.Presence("h"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(item.Revision).NotTo(gomega.BeZero())
}

// TestRegistrationAfterARestore checks that a host registers again in a new era of the store, although its lease and its
// registration may be in the copy from which the store was restored.
func TestRegistrationAfterARestore(t *testing.T) {
	g := gomega.NewWithT(t)
	s := store.NewMemory(clockwork.NewFakeClock())
	r := newRegistrarDriver(s)
	r.execute(r.registrar.EraObserved(r.now, s.Era()))
	r.advance(0)
	backup, before := s.Copy(), r.registrar.Lease()
	s.Restore(backup)
	r.execute(r.registrar.EraObserved(r.now, s.Era()))
	g.Expect(r.unregistered).To(gomega.Equal(1))
	g.Expect(r.epochs).To(gomega.HaveLen(2))
	g.Expect(r.registrar.Lease()).NotTo(gomega.Equal(before))
	s.Restore(backup)
	restarted := newRegistrarDriver(s)
	restarted.execute(restarted.registrar.EraObserved(restarted.now, s.Era()))
	restarted.advance(0)
	g.Expect(restarted.epochs).To(gomega.HaveLen(1))
	g.Expect(restarted.epochs[0]).To(gomega.BeNumerically(">", r.epochs[1]), "epochs that were lost are not used again")
}

// TestEpochsRiseWithoutTheLostOne guards against announcements that other daemons take for older ones: the store was restored
// from a copy of before the host's first registration, and the daemon has restarted.
func TestEpochsRiseWithoutTheLostOne(t *testing.T) {
	g := gomega.NewWithT(t)
	s := store.NewMemory(clockwork.NewFakeClock())
	empty := s.Copy()
	lost := ownership.Epoch(0)
	for range 3 {
		r := newRegistrarDriver(s)
		r.execute(r.registrar.EraObserved(r.now, s.Era()))
		r.advance(0)
		g.Expect(r.epochs).To(gomega.HaveLen(1))
		g.Expect(r.epochs[0]).To(gomega.BeNumerically(">", lost))
		lost = r.epochs[0]
		s.Restore(empty)
	}
}

// TestRenewalAcrossARestoreIsVoid guards against authority that is extended by the renewal of a lease of an earlier era.
func TestRenewalAcrossARestoreIsVoid(t *testing.T) {
	g := gomega.NewWithT(t)
	s := store.NewMemory(clockwork.NewFakeClock())
	r := newRegistrarDriver(s)
	r.execute(r.registrar.EraObserved(r.now, s.Era()))
	r.advance(0)
	r.now = r.now.Add(2 * time.Second)
	renewal := r.registrar.Tick(r.now)
	g.Expect(renewal).To(gomega.HaveLen(1))
	s.Restore(s.Copy())
	r.execute(r.registrar.EraObserved(r.now, s.Era()))
	r.execute(renewal)
	g.Expect(r.renewed).To(gomega.BeZero())
	g.Expect(r.epochs).To(gomega.HaveLen(2), "the host registers as soon as the call has ended")
}
