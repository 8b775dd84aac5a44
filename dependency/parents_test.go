package dependency_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/dependency"
)

// TestParentsAreToldApart guards against runs of calibrate that are rejected because the station-profiles of live-reading
// fail, at a server with the load of customer A.
func TestParentsAreToldApart(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	parents := dependency.NewParents()
	now := start
	ends := map[class.Name][]time.Time{}
	const step = time.Millisecond
	for range 10 * time.Second / step {
		now = now.Add(step)
		for name, perSecond := range map[class.Name]float64{"live-reading": 25, "calibrate": 7.5} {
			if random.Float64() < perSecond*step.Seconds() {
				parents.RunBegan(now, name)
				ends[name] = append(ends[name], now.Add(120*time.Millisecond))
				if name == "live-reading" && random.Float64() < 0.7 {
					parents.NestedEntered(now, "station-profile")
				}
			}
			for len(ends[name]) > 0 && now.After(ends[name][0]) {
				ends[name] = ends[name][1:]
				parents.RunEnded(name)
			}
		}
	}
	found := parents.Of(now, "station-profile")
	g.Expect(found).To(gomega.Equal([]class.Name{"live-reading"}))
	g.Expect(parents.CallsPerRun(now, "station-profile", found)).To(gomega.BeNumerically("~", 0.7, 0.15))
}

// TestCallsOfCallersRejectNoRuns guards against runs that are rejected because of a class that only callers at the hosts of
// one service call, and that the called service therefore takes for nested. Its calls also enter while nothing runs.
func TestCallsOfCallersRejectNoRuns(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClockAt(start)
	tracker := dependency.NewTracker("p", dependency.Observer{}, clock, 1)
	tracker.SetLoadAware(true)
	for i := range 1000 {
		clock.Advance(10 * time.Millisecond)
		if i%10 == 0 {
			g.Expect(tracker.AdmitRun("view")).To(gomega.BeZero())
			tracker.RunBegan("view")
		}
		g.Expect(i > 100 && tracker.CallEntered("browse")).To(gomega.BeFalse())
		tracker.CallEnded("browse", true, true, dependency.Outcome{HasFailed: true})
		if i%10 == 5 {
			tracker.RunEnded("view")
		}
	}
	g.Expect(tracker.Rejections()).To(gomega.BeEmpty())
}

// TestNestedClassIsForgotten guards against runs that are rejected forever because of a class that no longer is nested, and
// against a called service that is gone and whose classes are forgotten with it.
func TestNestedClassIsForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClockAt(start)
	var changes []bool
	tracker := dependency.NewTracker("p", dependency.Observer{
		RejectionChanged: func(r dependency.Rejection) { changes = append(changes, r.IsRejecting) },
		RunRejected:      func(class.Name) {},
	}, clock, 1)
	tracker.SetLoadAware(true)
	call := func(hasAnswer, isStated bool) bool {
		clock.Advance(50 * time.Millisecond)
		tracker.AdmitRun("view")
		tracker.RunBegan("view")
		isNested := tracker.CallEntered("check")
		tracker.CallEnded("check", hasAnswer, isStated, dependency.Outcome{HasFailed: true})
		tracker.RunEnded("view")
		return isNested
	}
	for range 30 {
		call(true, true)
	}
	g.Expect(changes).To(gomega.Equal([]bool{true}))
	for range 400 {
		g.Expect(call(false, false)).To(gomega.BeTrue())
	}
	g.Expect(tracker.Rejections()).To(gomega.HaveLen(1))
	call(true, false)
	g.Expect(call(true, false)).To(gomega.BeFalse())
	g.Expect(changes).To(gomega.Equal([]bool{true, false}))
}
