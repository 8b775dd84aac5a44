package admission_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// TestNestedCallsWaitUntilTheirDeadline guards against nested calls that are rejected because they miss their own latency
// target, which throws away the runs that wait for them.
func TestNestedCallsWaitUntilTheirDeadline(t *testing.T) {
	for _, isNested := range []bool{true, false} {
		g := gomega.NewWithT(t)
		check := class.Class{Name: "check", Rank: 1, Latency: 150 * time.Millisecond}
		confirm := class.Class{Name: "confirm", Rank: 1, Latency: 800 * time.Millisecond}
		policy := admission.NewTargetPolicy(1)
		policy.SetLoadAware(true)
		policy.SetClasses(start, []class.Class{check, confirm})
		policy.SetNested("check", isNested)
		run := func(name class.Name, id uint64, runTime time.Duration) {
			job := &admission.Job{ID: id, Class: name, Arrived: start, Deadline: start.Add(2 * time.Second)}
			g.Expect(policy.Offer(start, job)).To(gomega.BeTrue())
			g.Expect(policy.Next(start)).To(gomega.HaveLen(1))
			policy.Done(start.Add(runTime), job, runTime)
		}
		run("check", 1, 50*time.Millisecond)
		run("confirm", 2, 300*time.Millisecond)
		running := &admission.Job{ID: 3, Class: "confirm", Arrived: start, Deadline: start.Add(2 * time.Second)}
		g.Expect(policy.Offer(start, running)).To(gomega.BeTrue())
		g.Expect(policy.Next(start)).To(gomega.HaveLen(1))

		admitted := 0
		for id := range uint64(4) {
			job := &admission.Job{ID: 4 + id, Class: "check", Arrived: start, Deadline: start.Add(500 * time.Millisecond)}
			if policy.Offer(start, job) {
				admitted++
			}
		}
		if isNested {
			g.Expect(admitted).To(gomega.BeNumerically(">=", 2))
		} else {
			g.Expect(admitted).To(gomega.BeNumerically("<=", 1))
		}
	}
}
