package daemon

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// TestCapacitiesFollowAnnouncements guards against run times of one host that cannot be read and change the capacities,
// and against capacities that take effect for configurations which are not load-aware.
func TestCapacitiesFollowAnnouncements(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	d := New(testSettings(), Options{Log: hclog.NewNullLogger(), Clock: clock})
	c, now := d.control, ownership.Instant(time.Minute)
	slow, fast := ownership.HostID("slow"), ownership.HostID("fast")
	for i, host := range []ownership.HostID{slow, fast} {
		c.roster.Register(membership.Presence{Host: host, HopAddress: string(host), Service: "s"}, membership.Version(i+1))
	}
	sequence := uint32(0)
	announce := func(host ownership.HostID, runTimes string) {
		sequence++
		c.roster.ApplyAnnouncement(now, membership.Announcement{
			Host: host, Epoch: 1, Sequence: sequence, Service: "s", RunTimes: runTimes,
		})
	}
	capacities := func() []float64 {
		clock.Advance(time.Second)
		now = now.Add(time.Second)
		c.updateCapacities(now)
		var found []float64
		for _, host := range []ownership.HostID{slow, fast} {
			h, _ := c.roster.Get(host)
			found = append(found, c.capacityOf(&h))
		}
		return found
	}
	announce(slow, "work=1500")
	announce(fast, "work=500")
	c.config = &class.Config{}
	g.Expect(capacities()).To(gomega.Equal([]float64{0, 0}))
	g.Expect(c.ownRunTimes(now)).To(gomega.BeEmpty())
	c.config = &class.Config{Classes: []class.Class{{Name: "work", Bulk: class.Upload}}}
	known := capacities()
	g.Expect(known[0]).To(gomega.BeNumerically("~", 0.5, 0.01))
	g.Expect(known[1]).To(gomega.BeNumerically("~", 1.5, 0.01))
	announce(slow, "work=1;500")
	g.Expect(capacities()).To(gomega.Equal(known), "the last good value stays in effect")
	g.Expect(d.observer.counter("refused_input").Count()).NotTo(gomega.BeZero())
	for range 9 {
		capacities()
	}
	g.Expect(capacities()).To(gomega.Equal([]float64{1, 1}), "nothing has been announced for 10 s")
}
