package admission_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// playInputs plays random inputs to a policy and returns a hash of all its decisions.
func playInputs(policy *admission.TargetPolicy, seed uint64) uint64 {
	const slots = 6
	random := rand.New(rand.NewPCG(seed, 9))
	decisions := fnv.New64a()
	classes := []class.Class{
		{Name: "a", Rank: 0, Latency: 80 * time.Millisecond, Success: 0.99},
		{Name: "b", Rank: 1, Latency: 300 * time.Millisecond, Success: 0.95},
		{Name: "c", Rank: 1, Latency: 150 * time.Millisecond, Success: 0.95},
		{Name: "d", Rank: 5, Latency: time.Second, Success: 0.5},
	}
	type run struct {
		job     *admission.Job
		started time.Time
		end     time.Time
	}
	now, running := start, []run(nil)
	policy.SetClasses(now, classes)
	for id := range uint64(30_000) {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(time.Millisecond)))
		switch id {
		case 10_000:
			policy.SetRateLimit(400)
		case 14_000:
			policy.SetRateLimit(rate.Inf)
		}
		for i := 0; i < len(running); i++ {
			if r := running[i]; !r.end.After(now) {
				policy.Done(now, r.job, now.Sub(r.started))
				running = append(running[:i], running[i+1:]...)
				i--
			}
		}
		c := classes[random.IntN(len(classes))]
		if id%7000 > 5000 { // a flood
			c = classes[id/7000%4]
		}
		job := &admission.Job{ID: id, Class: c.Name, Arrived: now, Deadline: now.Add(2 * time.Second)}
		isQueued := policy.Offer(now, job)
		if isQueued && random.IntN(50) == 0 {
			policy.Remove(job)
		}
		fmt.Fprintln(decisions, id, isQueued, job.RetryAfter, policy.Waiting(), policy.Backlog(), policy.EstimateWait(now, c.Name, false))
		for isStarted := true; isStarted && len(running) < slots; {
			isStarted = false
			for _, d := range policy.Next(now) {
				fmt.Fprintln(decisions, d.Job.ID, d.Run, d.Job.RetryAfter)
				if d.Run {
					isStarted = true
					took := time.Duration((2 + 8*random.ExpFloat64()) * float64(time.Millisecond))
					running = append(running, run{job: d.Job, started: now, end: now.Add(took)})
				}
			}
		}
	}
	return decisions.Sum64()
}

// TestDecisionsWithoutLoadAwareness guards against a change of any decision for configurations that do not ask for
// load-aware ones. testdata/unaware.txt has the hashes of the decisions on the same inputs from before these existed.
func TestDecisionsWithoutLoadAwareness(t *testing.T) {
	g := gomega.NewWithT(t)
	recorded, err := os.ReadFile("testdata/unaware.txt")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var hashes strings.Builder
	for seed := uint64(1); seed <= 5; seed++ {
		fmt.Fprintf(&hashes, "%d %016x\n", seed, playInputs(admission.NewTargetPolicy(6), seed))
	}
	g.Expect(hashes.String()).To(gomega.Equal(string(recorded)))
	aware := admission.NewTargetPolicy(6)
	aware.SetLoadAware(true)
	g.Expect(fmt.Sprintf("1 %016x", playInputs(aware, 1))).NotTo(gomega.Equal(strings.Split(hashes.String(), "\n")[0]))
}
