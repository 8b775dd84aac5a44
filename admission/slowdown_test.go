package admission_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/capacity"
)

// TestStatedSlowdownScalesTheWait guards against calls that are queued at a server which says that it is slow at the moment,
// against a slowdown that lasts, and against one that counts without a load-aware configuration.
func TestStatedSlowdownScalesTheWait(t *testing.T) {
	for _, isLoadAware := range []bool{true, false} {
		g := gomega.NewWithT(t)
		clock := clockwork.NewFakeClock()
		controller := admission.NewController(admission.NewTargetPolicy(1), 1, clock)
		controller.SetLoadAware(isLoadAware)
		acquire := func(maxWait time.Duration) error {
			_, err := controller.AcquireWithin(context.Background(), browse, clock.Now().Add(time.Second), maxWait, nil)
			return err
		}
		g.Expect(acquire(time.Millisecond)).To(gomega.Succeed())
		wait := func() time.Duration {
			var rejected *admission.RejectedError
			g.Expect(errors.As(acquire(time.Microsecond), &rejected)).To(gomega.BeTrue())
			return rejected.RetryAfter + time.Microsecond
		}
		usual := wait()
		controller.SetSlowdown(capacity.NewSlowdown(3, clock.Now()))
		if !isLoadAware {
			g.Expect(wait()).To(gomega.Equal(usual))
			continue
		}
		g.Expect(wait()).To(gomega.BeNumerically(">", 5*usual/2))
		clock.Advance(400 * time.Millisecond)
		aged := wait()
		controller.SetSlowdown(capacity.Slowdown{})
		g.Expect(wait()).To(gomega.Equal(aged))
	}
}
