package admission_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/admission"
)

// TestBoundedWait guards against calls that wait in the queue of one server for longer than the bound within which
// another one could start them.
func TestBoundedWait(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	controller := admission.NewController(admission.NewTargetPolicy(1), 1, clock)
	acquire := func(maxWait time.Duration) error {
		_, err := controller.AcquireWithin(context.Background(), browse, clock.Now().Add(time.Second), maxWait, nil)
		return err
	}
	// Nothing runs, so that a bound that is shorter than a run time does not matter.
	g.Expect(acquire(time.Microsecond)).To(gomega.Succeed())

	// The initial estimate of a run time is 5 ms.
	g.Expect(acquire(4 * time.Millisecond)).To(gomega.Equal(&admission.RejectedError{
		Class: "browse", Reason: admission.WaitExceeded, RetryAfter: time.Millisecond,
	}))
	g.Expect(controller.State().Waiting).To(gomega.BeZero())

	results := make(chan error, 1)
	go func() { results <- acquire(8 * time.Millisecond) }()
	g.Eventually(func() int { return controller.State().Waiting }).Should(gomega.Equal(1))
	g.Expect(clock.BlockUntilContext(context.Background(), 1)).To(gomega.Succeed())
	clock.Advance(8 * time.Millisecond)
	g.Eventually(results).Should(gomega.Receive(gomega.Equal(&admission.RejectedError{
		Class: "browse", Reason: admission.WaitExceeded,
	})))
	g.Expect(controller.State().Waiting).To(gomega.BeZero())
}
