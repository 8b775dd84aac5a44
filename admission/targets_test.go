package admission_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/class"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func urgent() class.Class {
	return class.Class{Name: "hallmark-query", Rank: 1, Latency: 80 * time.Millisecond, Timeout: 2 * time.Second, Success: 0.99}
}

// A server that froze makes one call look very slow. The class must not be given up for that.
func TestOneFrozenCallDoesNotLockItsClassOut(t *testing.T) {
	g := gomega.NewWithT(t)
	policy := admission.NewTargetPolicy(1)
	policy.SetClasses(start, []class.Class{urgent()})
	now := start
	for id := range uint64(50) {
		now = now.Add(10 * time.Millisecond)
		job := &admission.Job{ID: id, Class: "hallmark-query", Arrived: now, Deadline: now.Add(2 * time.Second)}
		g.Expect(policy.Offer(now, job)).To(gomega.BeTrue())
		verdicts := policy.Next(now)
		g.Expect(verdicts).To(gomega.HaveLen(1), "call %d", id)
		g.Expect(verdicts[0].Run).To(gomega.BeTrue(), "call %d", id)
		took := 5 * time.Millisecond
		if id == 20 {
			took = 5 * time.Second
			now = now.Add(took)
		}
		policy.Done(now, job, took)
	}
}
