package admission_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/class"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func urgentClass() class.Class {
	return class.Class{
		Name: "hallmark-query", Rank: 1, Latency: 80 * time.Millisecond, Timeout: 2 * time.Second, Success: 0.99,
	}
}

// TestOneSlowCallDoesNotStarveItsClass guards against one outlier raising the learned service time so far that all
// later calls of the class are rejected: a server that froze makes one call look very slow.
func TestOneSlowCallDoesNotStarveItsClass(t *testing.T) {
	g := gomega.NewWithT(t)
	policy := admission.NewTargetPolicy(1)
	policy.SetClasses(start, []class.Class{urgentClass()})
	now := start
	for id := range uint64(50) {
		now = now.Add(10 * time.Millisecond)
		job := &admission.Job{ID: id, Class: "hallmark-query", Arrived: now, Deadline: now.Add(2 * time.Second)}
		g.Expect(policy.Offer(now, job)).To(gomega.BeTrue())
		decisions := policy.Next(now)
		g.Expect(decisions).To(gomega.HaveLen(1), "call %d", id)
		g.Expect(decisions[0].Run).To(gomega.BeTrue(), "call %d", id)
		runTime := 5 * time.Millisecond
		if id == 20 {
			runTime = 5 * time.Second
			now = now.Add(runTime)
		}
		policy.Done(now, job, runTime)
	}
}
