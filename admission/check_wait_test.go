package admission_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/admission"
)

// TestCheckWaitAgreesWithTheQueue guards against bodies that are sent to a server which then does not queue their calls,
// and against places that are denied although the server would queue the call.
func TestCheckWaitAgreesWithTheQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	controller := admission.NewController(admission.NewTargetPolicy(2), 2, clock)
	controller.SetLoadAware(true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request := admission.Request{Class: browse, Deadline: clock.Now().Add(time.Second)}
	rejections := 0
	for i := range 200 {
		before := controller.State()
		rejected := controller.CheckWait(request, 0)
		g.Expect(controller.State()).To(gomega.Equal(before), "nothing is queued")
		results := make(chan error, 1)
		go func() {
			_, err := controller.AcquireFor(ctx, request, nil)
			results <- err
		}()
		if rejected != nil {
			rejections++
			g.Expect(rejected.Reason).To(gomega.Equal(admission.NoCapacity))
			g.Expect(<-results).To(gomega.HaveOccurred(), "call %d", i)
			continue
		}
		g.Eventually(func() int { s := controller.State(); return s.Running + s.Waiting }).
			Should(gomega.Equal(before.Running+before.Waiting+1), "call %d", i)
	}
	t.Log(rejections, "rejected")
	g.Expect(rejections).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<", 198)))
	request.MaxWait = time.Nanosecond
	request.Deadline = clock.Now().Add(time.Hour)
	g.Expect(controller.CheckWait(request, 0)).NotTo(gomega.BeNil())
}

// TestCheckWaitWhileCold guards against bodies that are sent to a cold server, which then rejects their calls.
func TestCheckWaitWhileCold(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	controller := admission.NewController(admission.NewTargetPolicy(100), 100, clock)
	request := admission.Request{Class: browse, Deadline: clock.Now().Add(time.Minute)}
	g.Expect(controller.CheckWait(request, 0)).To(gomega.BeNil())
	controller.SetWarmup(admission.NewWarmupLimit(1, 1, 1), clock.Now().Add(10*time.Second))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 50 {
		rejected := controller.CheckWait(request, 0)
		if rejected != nil {
			g.Expect(rejected.Reason).To(gomega.Equal(admission.Cold))
			g.Expect(rejected.RetryAfter).To(gomega.BeNumerically(">", 0))
			return
		}
		before := controller.State()
		go func() { _, _ = controller.AcquireFor(ctx, request, nil) }()
		g.Eventually(func() int { s := controller.State(); return s.Running + s.Waiting }).
			Should(gomega.Equal(before.Running + before.Waiting + 1))
	}
	t.Error("a cold server takes any number of calls")
}
