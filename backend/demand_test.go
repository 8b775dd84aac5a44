package backend_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
)

// rejectingPolicy rejects all jobs of a server whose rate limit leaves a share of its concurrency.
type rejectingPolicy struct {
	*admission.TargetPolicy
	share       float64
	concurrency int
}

const rejectedServiceTime = 40 * time.Millisecond

func (p *rejectingPolicy) Offer(time.Time, *admission.Job) bool { return false }
func (p *rejectingPolicy) ServiceTime(class.Name) time.Duration { return rejectedServiceTime }
func (p *rejectingPolicy) Capacity() float64                    { return p.share * float64(p.concurrency) }

// TestRejectedCallsCountAsDemand guards against a server that is asked for more than it can do looking like one that is
// just busy, so that no keys move away from it.
func TestRejectedCallsCountAsDemand(t *testing.T) {
	const calls, concurrency = 10, 2
	// The caller of a rejected call comes back, so half of its run time counts.
	const unlimited = calls * rejectedServiceTime / 2
	for name, c := range map[string]struct {
		share  float64
		demand time.Duration
	}{
		"by concurrency":          {share: 1, demand: unlimited},
		"by a rate limit":         {share: 0.25, demand: 4 * unlimited},
		"by a rate limit of zero": {share: 0, demand: 10 * unlimited},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			clock := clockwork.NewFakeClock()
			policy := &rejectingPolicy{
				TargetPolicy: admission.NewTargetPolicy(concurrency), share: c.share, concurrency: concurrency,
			}
			r := backend.NewRunner(admission.NewController(policy, concurrency, clock), func() {}, clock)
			permit := backend.Permit{IsUsable: true, IsKeyed: true, KeysValidUntil: clock.Now().Add(time.Minute)}
			permit.Keys.Set(keyspace.All(), true)
			r.SetPermit(permit, backend.NewClient("unused", concurrency, headerNames, func() {}, clock))
			for range calls {
				call := newCall(time.Second)
				call.Deadline = clock.Now().Add(time.Second)
				r.Run(context.Background(), call)
			}
			byKey, total := r.TakeDemand()
			g.Expect(total).To(gomega.Equal(c.demand))
			g.Expect(byKey).To(gomega.Equal(map[class.Key]time.Duration{7: c.demand}))
			_, total = r.TakeDemand()
			g.Expect(total).To(gomega.BeZero())
		})
	}
}
