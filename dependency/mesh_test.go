package dependency_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// serverCapacity is how many nested calls a server completes in a second.
const serverCapacity = serverSlots * float64(time.Second) / float64(nestedRunTime)

// TestOverloadOfTheCalledService guards against runs that are thrown away because their nested calls fail, against called
// servers that idle because too many runs are rejected, and against rejections that outlast the overload. 8 servers have
// capacity for all nested calls.
func TestOverloadOfTheCalledService(t *testing.T) {
	for name, c := range map[string]struct{ usable, callsPerRun int }{
		"two calls, a quarter of the servers": {usable: 2, callsPerRun: 2},
		"two calls, three of eight servers":   {usable: 3, callsPerRun: 2},
		"two calls, half of the servers":      {usable: 4, callsPerRun: 2},
		"one call, a quarter of the servers":  {usable: 2, callsPerRun: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			m := newMesh(8, c.callsPerRun, true)
			m.play(5 * time.Second)
			calm := m.total(0, 5)
			g.Expect(calm.rejected).To(gomega.BeZero())
			m.usable = c.usable
			m.play(10 * time.Second)
			overload := m.total(7, 15)
			t.Logf("overload: %+v", overload)
			g.Expect(overload.failed).To(gomega.BeNumerically("<", overload.nested/10))
			served := float64(overload.nested-overload.failed) / 8
			g.Expect(served).To(gomega.BeNumerically(">", 0.9*serverCapacity*float64(c.usable)))
			g.Expect(overload.retryAfter).To(gomega.BeNumerically("<", time.Second))
			m.usable = 8
			m.play(5 * time.Second)
			t.Logf("second second after it: %+v", m.total(16, 17))
			g.Expect(m.total(16, 17).rejected).To(gomega.BeNumerically("<", calm.arrived/5/10))
			g.Expect(m.total(18, 20).rejected).To(gomega.BeNumerically("<", calm.arrived*2/5/50))
			g.Expect(m.total(16, 20).lost).To(gomega.BeZero())
		})
	}
}

// TestCalledServiceGone guards against runs that are lost while the called service is gone, and against hosts that do not
// find out within a second that it is back.
func TestCalledServiceGone(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMesh(8, 2, true)
	m.play(5 * time.Second)
	m.usable = 0
	m.play(10 * time.Second)
	gone := m.total(7, 15)
	t.Logf("gone: %+v", gone)
	g.Expect(gone.lost).To(gomega.BeNumerically("<", gone.arrived*15/100))
	g.Expect(gone.nested).To(gomega.BeNumerically(">", 46*8), "probes") // one a second on each host
	m.usable = 8
	m.play(5 * time.Second)
	t.Logf("second second after it: %+v", m.total(16, 17))
	g.Expect(m.total(16, 17).rejected).To(gomega.BeNumerically("<", m.total(16, 17).arrived/10))
	g.Expect(m.total(17, 20).rejected).To(gomega.BeNumerically("<", m.total(17, 20).arrived/100))
	g.Expect(m.total(16, 20).lost).To(gomega.BeZero())
}

// TestFailuresWithoutOverload guards against a spiral of rejections if nested calls fail for another reason than the load,
// which rejections cannot change.
func TestFailuresWithoutOverload(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMesh(8, 2, true)
	m.lossShare = 0.15
	m.play(15 * time.Second)
	all := m.total(0, 15)
	t.Logf("%+v", all)
	g.Expect(all.rejected).To(gomega.BeNumerically("<", all.arrived/10))
}

// TestNothingIsRejectedWithoutLoadAwareness guards against new decisions for configurations that do not ask for them.
func TestNothingIsRejectedWithoutLoadAwareness(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMesh(1, 2, false)
	m.play(5 * time.Second)
	all := m.total(0, 5)
	g.Expect(all.failed).To(gomega.BeNumerically(">", all.nested/2))
	g.Expect(all.rejected).To(gomega.BeZero())
	g.Expect(m.hosts[0].Rejections()).To(gomega.BeEmpty())
}

// TestRestartDuringAnOverload guards against daemons that learn nothing if they start in the middle of an overload, when
// runs are in progress that they know nothing of.
func TestRestartDuringAnOverload(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMesh(8, 2, true)
	m.usable = 3
	m.play(8 * time.Second)
	for _, host := range m.hosts {
		host.SetLoadAware(false)
		host.SetLoadAware(true)
	}
	m.play(8 * time.Second)
	after := m.total(12, 16)
	t.Logf("from 4 s after it: %+v", after)
	g.Expect(after.failed).To(gomega.BeNumerically("<", after.nested/10))
	g.Expect(after.rejected).To(gomega.BeNumerically(">", after.arrived/3))
}
