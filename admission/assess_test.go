package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// TestAssessAgreesWithOffers guards against assessments that differ from the decision on a call, or that change the state
// on which it depends. The server is filled step by step until it rejects.
func TestAssessAgreesWithOffers(t *testing.T) {
	for _, isLoadAware := range []bool{false, true} {
		for _, maxWait := range []time.Duration{0, 5 * time.Millisecond} {
			t.Run(fmt.Sprint(isLoadAware, maxWait), func(t *testing.T) {
				g := gomega.NewWithT(t)
				clock := clockwork.NewFakeClock()
				policy := NewTargetPolicy(2)
				policy.isLoadAware = isLoadAware
				c := NewController(policy, 2, clock)
				work := class.Class{Name: "w", Latency: 100 * time.Millisecond, Success: 0.9}
				policy.SetClasses(clock.Now(), []class.Class{work})
				rejected := 0
				for range 200 {
					r := Request{Class: &work, Deadline: clock.Now().Add(200 * time.Millisecond), MaxWait: maxWait}
					before := fmt.Sprintf("%+v %+v %+v %+v", *policy.states["w"], policy.pace, c.rate, c.warmup)
					a := c.Assess(r)
					g.Expect(fmt.Sprintf("%+v %+v %+v %+v", *policy.states["w"], policy.pace, c.rate, c.warmup)).To(gomega.Equal(before))
					job, err := c.offer(r, make(chan bool, 1))
					g.Expect(job != nil).To(gomega.Equal(a.IsAdmitted), "%+v %v", a, err)
					if err != nil {
						g.Expect(a.Reason).To(gomega.Equal(err.Reason.String()))
						rejected++
					}
					clock.Advance(time.Millisecond)
				}
				g.Expect(rejected).To(gomega.BeNumerically(">", 0))
			})
		}
	}
}
