package evacuation_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/evacuation"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

const bound = 5 * time.Second

// TestTimeForKeysCountsFromTheLastConfirmation guards against requests after the bound: a daemon that learns of an
// evacuation late, after a time without contact, or when it starts has no more time than the others.
func TestTimeForKeysCountsFromTheLastConfirmation(t *testing.T) {
	const confirmed = ownership.Instant(time.Minute)
	for name, c := range map[string]struct {
		confirmedAt ownership.Instant
		learned     time.Duration
		mayServe    bool
	}{
		"in time":               {confirmedAt: confirmed, learned: time.Second, mayServe: true},
		"after the bound":       {confirmedAt: confirmed, learned: bound},
		"just before the bound": {confirmedAt: confirmed, learned: bound - 100*time.Millisecond},
		"at the start":          {learned: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			tracker := evacuation.NewTracker(bound)
			tracker.Confirm(c.confirmedAt)
			now := confirmed.Add(c.learned)
			g.Expect(tracker.MayServeKeys(now, "d")).To(gomega.BeTrue())
			g.Expect(tracker.Start(now, "d")).To(gomega.BeTrue())
			g.Expect(tracker.IsEvacuated("d")).To(gomega.BeTrue())
			g.Expect(tracker.MayServeKeys(now, "d")).To(gomega.Equal(c.mayServe))
			tracker.Confirm(now)
			g.Expect(tracker.Start(now, "d")).To(gomega.BeFalse(), "written again")
			end := max(now, c.confirmedAt.Add(bound))
			g.Expect(tracker.MayServeKeys(end, "d")).To(gomega.BeFalse())
			g.Expect(tracker.Expire(end)).To(gomega.HaveLen(1))
			g.Expect(tracker.Expire(end)).To(gomega.BeEmpty())
			g.Expect(tracker.End("d")).To(gomega.BeTrue())
			g.Expect(tracker.MayServeKeys(end, "d")).To(gomega.BeTrue())
		})
	}
}

// TestHandoversFitIntoTheBound guards against staggered handovers of a large domain that end too late.
func TestHandoversFitIntoTheBound(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, count := range []int{1, 2, 20, 48, 1000} {
		last := evacuation.HandoverDelay(count-1, count)
		g.Expect(last).To(gomega.BeNumerically("<=", 1400*time.Millisecond))
		g.Expect(last > 0).To(gomega.Equal(count > 1))
	}
}

// TestUnknownDomainIsReportedOnce guards against a mistyped domain that nobody notices.
func TestUnknownDomainIsReportedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := evacuation.NewTracker(bound)
	tracker.Start(1, "known")
	tracker.Start(1, "unknown")
	hasHost := func(domain ownership.FailureDomain) bool { return domain == "known" }
	g.Expect(tracker.Unknown(2, hasHost)).To(gomega.BeEmpty(), "the hosts may not be known yet")
	later := ownership.Instant(time.Minute)
	g.Expect(tracker.Unknown(later, hasHost)).To(gomega.ConsistOf(ownership.FailureDomain("unknown")))
	g.Expect(tracker.Unknown(later, hasHost)).To(gomega.BeEmpty())
}
