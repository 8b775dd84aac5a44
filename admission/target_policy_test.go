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

// TestLateJobsOfASaturatedServerAreToldWhenToReturn covers a server that becomes saturated while jobs are queued that
// have missed their latency target.
func TestLateJobsOfASaturatedServerAreToldWhenToReturn(t *testing.T) {
	g := gomega.NewWithT(t)
	policy := admission.NewTargetPolicy(1)
	policy.SetClasses(start, []class.Class{urgentClass()})
	now, id := start, uint64(0)
	offer := func() {
		id++
		policy.Offer(now, &admission.Job{ID: id, Class: "hallmark-query", Arrived: now, Deadline: now.Add(2 * time.Second)})
	}
	offer()
	offer()
	now = now.Add(200 * time.Millisecond) // both have missed their target: one runs, one is queued as late
	g.Expect(policy.Next(now)).To(gomega.HaveLen(1))
	now = now.Add(200 * time.Millisecond)
	var dropped []admission.Decision
	for range 1000 {
		offer()
	}
	now = now.Add(200 * time.Millisecond) // the demand window ends: the server is saturated
	for _, d := range policy.Next(now) {
		if !d.Run {
			dropped = append(dropped, d)
		}
	}
	g.Expect(dropped).NotTo(gomega.BeEmpty())
	for _, d := range dropped {
		g.Expect(d.Job.RetryAfter).To(gomega.BeNumerically(">", 0), "job %d", d.Job.ID)
	}
}

// TestRetryAfterIsFiniteWhateverTheRateLimit covers a server that accepts no calls at all.
func TestRetryAfterIsFiniteWhateverTheRateLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	policy := admission.NewTargetPolicy(2)
	policy.SetClasses(start, []class.Class{urgentClass()})
	now, id := start, uint64(0)
	policy.SetRateLimit(0)
	rejected := 0
	for range 3000 {
		id++
		now = now.Add(time.Millisecond)
		job := &admission.Job{ID: id, Class: "hallmark-query", Arrived: now, Deadline: now.Add(2 * time.Second)}
		if !policy.Offer(now, job) {
			rejected++
			g.Expect(job.RetryAfter).To(gomega.BeNumerically(">=", 0))
			g.Expect(job.RetryAfter).To(gomega.BeNumerically("<", time.Hour))
		}
	}
	g.Expect(rejected).To(gomega.BeNumerically(">", 0))
}

// TestClassThatReturnsIsServed covers a class that was removed from the configuration and is added again unchanged.
func TestClassThatReturnsIsServed(t *testing.T) {
	g := gomega.NewWithT(t)
	policy := admission.NewTargetPolicy(1)
	c := urgentClass()
	policy.SetClasses(start, []class.Class{c})
	policy.SetClasses(start, nil)
	policy.UpdateClass(start, &c)
	g.Expect(policy.Offer(start, &admission.Job{Class: c.Name, Arrived: start, Deadline: start.Add(time.Second)})).
		To(gomega.BeTrue())
	g.Expect(policy.Next(start)).To(gomega.HaveLen(1))
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
