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

func TestBoardKeepsTheNewest(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := membership.NewBoard(), membership.NewBoard()
	g.Expect(a.Offer(entry("x", 2))).To(gomega.BeTrue())
	g.Expect(a.Offer(entry("x", 1))).To(gomega.BeFalse())
	g.Expect(a.Offer(entry("y", 5))).To(gomega.BeTrue())
	g.Expect(a.Offer(membership.Entry{Key: "late", Version: 9, Value: lateValue{}})).To(gomega.BeTrue())
	newer, err := a.Newer(b.Versions())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, e := range newer {
		b.Offer(e)
	}
	g.Expect(a.Digest()).To(gomega.Equal(b.Digest()))
	g.Expect(b.Get("late").Data).To(gomega.Equal([]byte("encoded")), "values are encoded for those who ask")
	g.Expect(a.Offer(membership.Entry{Key: "x", Version: 7, IsDeleted: true})).To(gomega.BeTrue())
	g.Expect(a.Under("")).To(gomega.HaveLen(2), "what is gone is left out")
	g.Expect(a.Digest()).NotTo(gomega.Equal(b.Digest()))
}

// lateValue is encoded only when it is asked for.
type lateValue struct{}

func (lateValue) Encode() ([]byte, error) { return []byte("encoded"), nil }

// home is a registrar over a store, driven by hand.
type home struct {
	registrar *membership.Registrar
	store     *store.Memory
	now       ownership.Instant
	epochs    []ownership.Epoch
	lost      int
	renewed   int
	// loseNext makes the next registration land without an answer.
	loseNext bool
}

func newHome(s *store.Memory) *home {
	return &home{store: s, now: 1, registrar: membership.NewRegistrar(membership.Presence{Host: "h"}, ownership.Layout{}, membership.DefaultTiming())}
}

func (h *home) do(effects []membership.Effect) {
	ctx := context.Background()
	for _, e := range effects {
		switch effect := e.(type) {
		case membership.ReadEpoch:
			item, err := h.store.Get(ctx, effect.Key)
			h.do(h.registrar.EpochRead(h.now, item, err))
		case membership.GrantLease:
			lease, err := h.store.Grant(ctx, time.Minute)
			h.do(h.registrar.Granted(h.now, lease, err))
		case membership.Register:
			revision, err := h.store.Commit(ctx, effect.Txn)
			if h.loseNext {
				h.loseNext = false
				revision, err = 0, &store.IndeterminateError{Call: "commit", Cause: errors.New("cut")}
			}
			h.do(h.registrar.RegisterDone(h.now, effect.SentAt, revision, err))
		case membership.RenewLease:
			h.do(h.registrar.RenewDone(h.now, effect.SentAt, effect.Lease, h.store.Renew(ctx, effect.Lease)))
		case membership.Registered:
			h.epochs = append(h.epochs, effect.Epoch)
		case membership.Unregistered:
			h.lost++
		case membership.Renewed:
			h.renewed++
		}
	}
}

func (h *home) pass(d time.Duration) {
	h.now = h.now.Add(d)
	h.do(h.registrar.Tick(h.now))
}

func TestRegistration(t *testing.T) {
	g := gomega.NewWithT(t)
	s := store.NewMemory(clockwork.NewFakeClock())
	h := newHome(s)
	h.pass(0)
	g.Expect(h.epochs).To(gomega.Equal([]ownership.Epoch{1}))
	h.pass(2 * time.Second)
	g.Expect(h.renewed).To(gomega.Equal(1))
	restarted := newHome(s)
	restarted.pass(0)
	g.Expect(restarted.epochs).To(gomega.Equal([]ownership.Epoch{2}), "each registration raises the epoch")
}

func TestLeaseThatEnded(t *testing.T) {
	g := gomega.NewWithT(t)
	s := store.NewMemory(clockwork.NewFakeClock())
	h := newHome(s)
	h.pass(0)
	g.Expect(s.Revoke(context.Background(), h.registrar.Lease())).To(gomega.Succeed())
	h.pass(2 * time.Second)
	g.Expect(h.lost).To(gomega.Equal(1))
	g.Expect(h.epochs).To(gomega.Equal([]ownership.Epoch{1, 2}))
}

// TestRegistrationWithoutAnswer lands; the next try must find its own and not raise the epoch for another lease.
func TestRegistrationWithoutAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	s := store.NewMemory(clockwork.NewFakeClock())
	h := newHome(s)
	h.loseNext = true
	h.pass(0)
	g.Expect(h.epochs).To(gomega.BeEmpty())
	lease := h.registrar.Lease()
	h.pass(time.Second)
	g.Expect(h.epochs).To(gomega.Equal([]ownership.Epoch{1}))
	g.Expect(h.registrar.Lease()).To(gomega.Equal(lease))
	item, err := s.Get(context.Background(), ownership.Layout{}.Epoch("h"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, named, err := membership.DecodeEpoch(item.Value)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(named).To(gomega.Equal(lease))
}

func TestPresenceThatWasTakenAway(t *testing.T) {
	g := gomega.NewWithT(t)
	s := store.NewMemory(clockwork.NewFakeClock())
	h := newHome(s)
	h.pass(0)
	s.RemoveLeased(ownership.Layout{}.Presence("h"))
	h.do(h.registrar.PresenceGone(h.now, 99))
	g.Expect(h.epochs).To(gomega.Equal([]ownership.Epoch{1, 2}), "back at once, while the lease goes on")
	item, err := s.Get(context.Background(), ownership.Layout{}.Presence("h"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(item.Revision).NotTo(gomega.BeZero())
}
