package admission_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/admission"
)

// loadAwarePolicy returns a policy of one slot that has learned a run time of 20 ms for hallmark-query.
func loadAwarePolicy(g *gomega.WithT) (*admission.TargetPolicy, func(id uint64, now time.Time) *admission.Job) {
	policy := admission.NewTargetPolicy(1)
	policy.SetLoadAware(true)
	c := urgentClass()
	policy.UpdateClass(start, &c)
	newJob := func(id uint64, now time.Time) *admission.Job {
		return &admission.Job{ID: id, Class: c.Name, Arrived: now, Deadline: now.Add(2 * time.Second)}
	}
	for id := range uint64(20) {
		job := newJob(id, start)
		g.Expect(policy.Offer(start, job)).To(gomega.BeTrue())
		g.Expect(policy.Next(start)).To(gomega.HaveLen(1))
		policy.Done(start, job, 20*time.Millisecond)
	}
	return policy, newJob
}

// TestLateJobsRunAfterThoseInTarget guards against jobs that have missed their latency target and run while a job waits
// that would still meet it.
func TestLateJobsRunAfterThoseInTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	policy, newJob := loadAwarePolicy(g)
	now := start.Add(2 * time.Second) // the demand of the first window is forgotten
	running, late := newJob(100, now), newJob(101, now)
	g.Expect(policy.Offer(now, running)).To(gomega.BeTrue())
	g.Expect(policy.Next(now)).To(gomega.HaveLen(1))
	g.Expect(policy.Offer(now, late)).To(gomega.BeTrue())
	now = now.Add(70 * time.Millisecond)
	policy.Done(now, running, 70*time.Millisecond)
	inTarget := newJob(102, now)
	g.Expect(policy.Offer(now, inTarget)).To(gomega.BeTrue())
	decisions := policy.Next(now)
	g.Expect(decisions[len(decisions)-1]).To(gomega.Equal(admission.Decision{Job: inTarget, Run: true}))
}

// TestFullServerRejectsAtOnce guards against jobs that are queued although they can meet neither their latency target nor
// find capacity later, and against Retry-After times at which callers return together.
func TestFullServerRejectsAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	policy, newJob := loadAwarePolicy(g)
	now, queued := start.Add(2*time.Second), 0
	times := map[time.Duration]bool{}
	for id := range uint64(20) {
		job := newJob(100+id, now)
		if policy.Offer(now, job) {
			queued++
			continue
		}
		g.Expect(job.RetryAfter).To(gomega.BeNumerically(">", 0))
		times[job.RetryAfter/time.Millisecond] = true
	}
	g.Expect(queued).To(gomega.BeNumerically("<", 10))
	g.Expect(len(times)).To(gomega.BeNumerically(">=", 9), "distinct times in milliseconds")
}

// BenchmarkLoadAware measures the decisions for one call on a server that is asked for more than it can do.
func BenchmarkLoadAware(b *testing.B) {
	policy := admission.NewTargetPolicy(6)
	policy.SetLoadAware(true)
	classes := sameRank()
	policy.SetClasses(start, classes)
	now, id, running := start, uint64(0), []*admission.Job(nil)
	for b.Loop() {
		id++
		now = now.Add(3 * time.Millisecond)
		if id%8 == 0 && len(running) > 0 {
			policy.Done(now, running[0], 100*time.Millisecond)
			running = running[1:]
		}
		policy.Offer(now, &admission.Job{ID: id, Class: classes[id%4].Name, Arrived: now, Deadline: now.Add(time.Second)})
		if len(running) >= 6 {
			continue
		}
		for _, d := range policy.Next(now) {
			if d.Run {
				running = append(running, d.Job)
			}
		}
	}
}
