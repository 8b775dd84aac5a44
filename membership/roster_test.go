package membership_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

const fresh = 4 * time.Second

func says(host ownership.HostID, epoch ownership.Epoch, count uint32) membership.Announcement {
	return membership.Announcement{Host: host, Epoch: epoch, Count: count, Service: "s", IsUsable: true, IsReady: true, Places: 6}
}

func present(host ownership.HostID, hop string) membership.Presence {
	return membership.Presence{Host: host, Hop: hop, Service: "s"}
}

func names(r *membership.Roster) []ownership.HostID {
	var found []ownership.HostID
	for _, h := range r.Hosts() {
		found = append(found, h.Host)
	}
	return found
}

func TestRosterTellsChangesFromRepeats(t *testing.T) {
	g := gomega.NewWithT(t)
	r := membership.NewRoster(fresh)
	g.Expect(r.Hear(0, says("a", 1, 1))).To(gomega.Equal(membership.Changed), "heard for the first time")
	busier := says("a", 1, 2)
	busier.Load = 3
	g.Expect(r.Hear(1, busier)).To(gomega.Equal(membership.Repeated), "only the load is new")
	g.Expect(r.Hear(2, says("a", 1, 2))).To(gomega.Equal(membership.Stale))
	leaving := says("a", 1, 3)
	leaving.IsReady = false
	g.Expect(r.Hear(3, leaving)).To(gomega.Equal(membership.Changed))
	g.Expect(r.Hear(4, says("a", 2, 1))).To(gomega.Equal(membership.Changed), "a new registration counts anew")
	g.Expect(r.Hear(5, says("a", 1, 9))).To(gomega.Equal(membership.Stale), "of an earlier registration")
}

func TestRosterSlowStartsRunDown(t *testing.T) {
	g := gomega.NewWithT(t)
	r := membership.NewRoster(fresh)
	slow := says("a", 1, 1)
	slow.WarmupMS = 2000
	g.Expect(r.Hear(0, slow)).To(gomega.Equal(membership.Changed))
	slow.Count, slow.WarmupMS = 2, 1100
	g.Expect(r.Hear(1, slow)).To(gomega.Equal(membership.Repeated))
}

func TestRosterKeepsHostsThatTheStoreLostWhileTheyAreHeard(t *testing.T) {
	g := gomega.NewWithT(t)
	r := membership.NewRoster(fresh)
	r.Register(present("a", "1:1"), 5)
	r.Register(present("b", "2:1"), 6)
	r.Hear(0, says("a", 1, 1))
	r.Unregister("a", 7)
	r.Unregister("b", 8)
	g.Expect(names(r)).To(gomega.Equal([]ownership.HostID{"a"}))
	g.Expect(r.Expire(ownership.Instant(fresh))).To(gomega.BeEmpty())
	silent := r.Expire(ownership.Instant(fresh + 1))
	g.Expect(silent).To(gomega.HaveLen(1))
	g.Expect(names(r)).To(gomega.BeEmpty())
	r.Register(present("a", "1:1"), 6)
	g.Expect(names(r)).To(gomega.BeEmpty(), "older than its end")
	r.Register(present("a", "1:1"), 9)
	g.Expect(names(r)).To(gomega.Equal([]ownership.HostID{"a"}))
}

func TestRosterGivesAnAddressToTheLastThatRegistered(t *testing.T) {
	g := gomega.NewWithT(t)
	r := membership.NewRoster(fresh)
	r.Register(present("old", "1:1"), 5)
	r.Hear(0, says("old", 1, 1))
	r.Register(present("new", "1:1"), 9)
	g.Expect(names(r)).To(gomega.Equal([]ownership.HostID{"new"}))
	r.Unregister("old", 10)
	g.Expect(names(r)).To(gomega.Equal([]ownership.HostID{"new"}), "still heard, but its address is taken")
}

func TestRosterDoesNotKnowHostsThatOnlySpoke(t *testing.T) {
	g := gomega.NewWithT(t)
	r := membership.NewRoster(fresh)
	r.Hear(0, says("a", 1, 1))
	g.Expect(names(r)).To(gomega.BeEmpty(), "its address is not known")
	r.Register(present("a", "1:1"), 5)
	h, ok := r.Get("a")
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(h.IsHeard).To(gomega.BeTrue())
}
