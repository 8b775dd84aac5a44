package admission_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/class"
)

var browse = &class.Class{Name: "browse", Rank: 1, Latency: 200 * time.Millisecond}

// runCall admits a call, advances the clock by its run time and ends its ticket.
func runCall(
	t *testing.T, controller *admission.Controller, clock *clockwork.FakeClock, runTime time.Duration,
	endTicket func(*admission.Ticket),
) {
	t.Helper()
	ticket, err := controller.Acquire(context.Background(), browse, clock.Now().Add(time.Second), nil)
	if err != nil {
		t.Fatal(err)
	}
	clock.Advance(runTime)
	endTicket(ticket)
}

// TestSlowJobsTakeNoPlaces checks that rising latency alone does not lower the concurrency limit: jobs that wait for
// another, slow service leave the capacity of their own server free.
func TestSlowJobsTakeNoPlaces(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	controller := admission.NewController(admission.NewTargetPolicy(6), 6, clock)
	for range 50 {
		runCall(t, controller, clock, 20*time.Millisecond, (*admission.Ticket).Done)
	}
	for range 200 {
		runCall(t, controller, clock, 400*time.Millisecond, (*admission.Ticket).Done)
	}
	g.Expect(controller.State().Limit).To(gomega.Equal(6))
}

// TestServerThatShedsKeepsWork checks that the concurrency limit keeps its minimum for a faulty server that sheds jobs
// although it has capacity for them, and recovers once jobs run again.
func TestServerThatShedsKeepsWork(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	controller := admission.NewController(admission.NewTargetPolicy(6), 6, clock)
	for range 200 {
		runCall(t, controller, clock, time.Millisecond, (*admission.Ticket).Shed)
	}
	g.Expect(controller.State().Limit).To(gomega.Equal(4))
	for range 100 {
		runCall(t, controller, clock, time.Millisecond, (*admission.Ticket).Done)
	}
	g.Expect(controller.State().Limit).To(gomega.Equal(6))
}

func TestCanceledCallsLeaveTheQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	controller := admission.NewController(admission.NewTargetPolicy(1), 1, clock)
	ticket, err := controller.Acquire(context.Background(), browse, clock.Now().Add(time.Second), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	canceledCtx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = controller.Acquire(canceledCtx, browse, clock.Now().Add(time.Second), nil)
	g.Expect(err).To(gomega.Equal(&admission.RejectedError{Class: "browse", Reason: admission.Canceled}))
	canceled := make(chan struct{})
	close(canceled)
	_, err = controller.Acquire(context.Background(), browse, clock.Now().Add(time.Second), canceled)
	g.Expect(err).To(gomega.Equal(&admission.RejectedError{Class: "browse", Reason: admission.Canceled}))
	g.Expect(controller.State().Waiting).To(gomega.BeZero())
	ticket.Cancel()
	g.Expect(controller.State().Running).To(gomega.BeZero())
}

// acquireAll makes calls wait for tickets and returns the channel that gets the error of each.
func acquireAll(controller *admission.Controller, clock *clockwork.FakeClock, calls int, timeout time.Duration) chan error {
	results := make(chan error, calls)
	for range calls {
		go func() {
			_, err := controller.Acquire(context.Background(), browse, clock.Now().Add(timeout), nil)
			results <- err
		}()
	}
	return results
}

// TestQueuedCallsStartAtTheRateLimit checks that calls that wait for the rate limit start without another event.
func TestQueuedCallsStartAtTheRateLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	controller := admission.NewController(admission.NewTargetPolicy(6), 6, clock)
	controller.SetRateLimit(10)
	results := acquireAll(controller, clock, 2, time.Second)
	g.Eventually(func() int { return controller.State().Waiting }).Should(gomega.Equal(2))
	for running := 1; running <= 2; running++ {
		clock.Advance(100 * time.Millisecond)
		g.Eventually(results).Should(gomega.Receive(gomega.BeNil()))
		g.Expect(controller.State().Running).To(gomega.Equal(running))
	}
}

// TestCallsThatTheRateLimitExcludesAreRejectedAtOnce checks that calls do not wait for a start after their deadline.
func TestCallsThatTheRateLimitExcludesAreRejectedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	controller := admission.NewController(admission.NewTargetPolicy(6), 6, clock)
	controller.SetRateLimit(0.5)
	_, err := controller.Acquire(context.Background(), browse, clock.Now().Add(time.Second), nil)
	g.Expect(err).To(gomega.Equal(&admission.RejectedError{
		Class: "browse", Reason: admission.NoCapacity, RetryAfter: 2 * time.Second,
	}))
}

// TestUnknownRateLimitIsAwaited guards against a burst of calls from a restarted daemon to a server that has stated a
// limit before.
func TestUnknownRateLimitIsAwaited(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	controller := admission.NewController(admission.NewTargetPolicy(6), 6, clock)
	controller.AwaitRateLimit()
	results := acquireAll(controller, clock, 4, time.Second)
	g.Eventually(func() int { return controller.State().Waiting }).Should(gomega.Equal(3))
	g.Expect(controller.State().Running).To(gomega.Equal(1))
	controller.SetRateLimit(rate.Inf)
	for range 4 {
		g.Eventually(results).Should(gomega.Receive(gomega.BeNil()))
	}
	g.Expect(controller.State().Running).To(gomega.Equal(4))
}
