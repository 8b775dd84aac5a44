package daemon

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
)

// TestOnlyLoadAwareConfigurationsLimitCompleteBodies checks that the budget follows the configuration and the memory of the
// daemon.
func TestOnlyLoadAwareConfigurationsLimitCompleteBodies(t *testing.T) {
	g := gomega.NewWithT(t)
	s := testSettings()
	s.Limits.MemoryMB = 184
	d := New(s, Options{Log: hclog.NewNullLogger(), Clock: clockwork.NewRealClock()})
	g.Expect(d.bodyMemory.Usage().Budget).To(gomega.BeZero())
	d.setBodyLimits(true)
	budget := d.bodyMemory.Usage().Budget
	g.Expect(budget).To(gomega.BeNumerically("~", 61<<20, 1<<20))
	hold := d.bodyMemory.Hold()
	hold.Raise(1000)
	d.reportBodies()
	g.Expect(d.registry.Get("bodies.budget_bytes").(metrics.Gauge).Value()).To(gomega.Equal(budget))
	g.Expect(d.registry.Get("bodies.held_bytes").(metrics.Gauge).Value()).To(gomega.Equal(int64(1000)))
	d.setBodyLimits(false)
	g.Expect(d.bodyMemory.Usage().Budget).To(gomega.BeZero())
	g.Expect(bodyBudget(0)).To(gomega.Equal(int64(defaultBodyBudget)))
}
