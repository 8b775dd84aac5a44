package backend_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/backend"
)

// granted returns a guard with a grant of an epoch for a second.
func granted(g gomega.Gomega, clock clockwork.Clock, slots int, epoch backend.Epoch) (*backend.Guard, backend.Stamp) {
	guard := backend.NewGuard(slots, clock)
	stamp, err := guard.Extend(backend.Grant{Epoch: epoch})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	stamp, err = guard.Extend(backend.Grant{Epoch: epoch, Since: stamp, For: time.Second})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return guard, stamp
}

func order(epoch backend.Epoch, fence backend.Fence) backend.Order {
	return backend.Order{Epoch: epoch, Slot: 3, Fence: fence, Deadline: time.Second}
}

func TestGuardRefusals(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	guard, _ := granted(g, clock, 1, 7)
	refusal := func(o backend.Order) backend.Refusal {
		end, err := guard.Begin(o)
		if err == nil {
			end()
			return -1
		}
		return err.(*backend.RefusalError).Refusal
	}
	g.Expect(refusal(order(6, 5))).To(gomega.Equal(backend.StaleEpoch))
	g.Expect(refusal(order(7, 5))).To(gomega.BeNumerically("==", -1))
	g.Expect(refusal(order(7, 4))).To(gomega.Equal(backend.StaleFence))
	g.Expect(refusal(backend.Order{Epoch: 7, Slot: 3, Fence: 5})).To(gomega.Equal(backend.TooLate))
	end, err := guard.Begin(order(7, 5))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(refusal(order(7, 5))).To(gomega.Equal(backend.Shed))
	end()
	clock.Advance(time.Second)
	g.Expect(refusal(order(7, 5))).To(gomega.Equal(backend.NoGrant))
	g.Expect(guard.Drain(context.Background())).To(gomega.Succeed())
	g.Expect(refusal(order(7, 5))).To(gomega.Equal(backend.Leaving))
}

// A grant that waited in the buffers of a frozen server counts from the server's own stamp, not from when it is read.
func TestGrantReadLateIsWorthNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	guard, stamp := granted(g, clock, 1, 7)
	clock.Advance(3 * time.Second) // frozen, with one more grant and an order in the buffers
	_, err := guard.Extend(backend.Grant{Epoch: 7, Since: stamp, For: time.Second})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = guard.Begin(order(7, 5))
	g.Expect(err).To(gomega.Equal(&backend.RefusalError{Refusal: backend.NoGrant}))
}

func TestGrantOfAnotherLifeOnlyBringsAStamp(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	_, old := granted(g, clock, 1, 7)
	guard := backend.NewGuard(1, clock)
	_, err := guard.Extend(backend.Grant{Epoch: 7, Since: old, For: time.Minute})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = guard.Begin(order(7, 5))
	g.Expect(err).To(gomega.Equal(&backend.RefusalError{Refusal: backend.NoGrant}))
	_, err = guard.Extend(backend.Grant{Epoch: 6})
	g.Expect(err).To(gomega.Equal(&backend.RefusalError{Refusal: backend.StaleEpoch}))
}
