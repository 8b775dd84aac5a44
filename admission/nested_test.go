package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// sameRank returns classes of one rank. Their order by name is a, b, c, by latency target b, c, a.
func sameRank() []class.Class {
	return []class.Class{
		{Name: "a-confirm", Rank: 1, Latency: 800 * time.Millisecond, Timeout: 2 * time.Second},
		{Name: "b-check", Rank: 1, Latency: 150 * time.Millisecond, Timeout: 2 * time.Second},
		{Name: "c-fetch", Rank: 1, Latency: 250 * time.Millisecond, Timeout: 2 * time.Second},
		{Name: "z-view", Rank: 0, Latency: 900 * time.Millisecond, Timeout: 2 * time.Second},
	}
}

// runOrder returns the order in which a policy runs one job of each class.
func runOrder(g *gomega.WithT, policy *admission.TargetPolicy) string {
	classes := sameRank()
	policy.SetClasses(start, classes)
	for i := range classes {
		c := &classes[len(classes)-1-i]
		job := &admission.Job{ID: uint64(i), Class: c.Name, Arrived: start, Deadline: start.Add(time.Second)}
		g.Expect(policy.Offer(start, job)).To(gomega.BeTrue())
	}
	order := ""
	for range classes {
		decisions := policy.Next(start)
		g.Expect(decisions).To(gomega.HaveLen(1))
		order += fmt.Sprintf(" %.1s", decisions[0].Job.Class)
	}
	return order
}

// TestNestedClassesGoFirstWithinTheirRank guards against nested calls that wait behind calls of their rank until the
// calls that made them have lost their time, as booking-check did behind room-confirm.
func TestNestedClassesGoFirstWithinTheirRank(t *testing.T) {
	g := gomega.NewWithT(t)
	policy := admission.NewTargetPolicy(6)
	policy.SetLoadAware(true)
	g.Expect(runOrder(g, policy)).To(gomega.Equal(" z b c a"))
	policy.SetNested("c-fetch", true)
	g.Expect(runOrder(g, policy)).To(gomega.Equal(" z c b a"))
	policy.SetNested("c-fetch", false)
	g.Expect(runOrder(g, policy)).To(gomega.Equal(" z b c a"))
}

// TestOrderWithoutLoadAwareness guards against a change of order for configurations that do not ask for it.
func TestOrderWithoutLoadAwareness(t *testing.T) {
	g := gomega.NewWithT(t)
	policy := admission.NewTargetPolicy(6)
	policy.SetClasses(start, sameRank())
	policy.SetNested("c-fetch", true)
	g.Expect(runOrder(g, policy)).To(gomega.Equal(" z a b c"))
	policy.SetLoadAware(true)
	policy.SetLoadAware(false)
	g.Expect(runOrder(g, policy)).To(gomega.Equal(" z a b c"))
}
