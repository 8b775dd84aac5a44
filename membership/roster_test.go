package membership_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

const ttl = 4 * time.Second

func announcement(host ownership.HostID, epoch ownership.Epoch, sequence uint32) membership.Announcement {
	return membership.Announcement{
		Host: host, Epoch: epoch, Sequence: sequence, Service: "s", IsUsable: true, IsReady: true, Concurrency: 6,
	}
}

func presence(host ownership.HostID, hop string) membership.Presence {
	return membership.Presence{Host: host, HopAddress: hop, Service: "s"}
}

func hostNames(r *membership.Roster) []ownership.HostID {
	var found []ownership.HostID
	for _, h := range r.Hosts() {
		found = append(found, h.Host)
	}
	return found
}

func TestRosterTellsChangesFromRepeats(t *testing.T) {
	g := gomega.NewWithT(t)
	r := membership.NewRoster(ttl)
	g.Expect(r.ApplyAnnouncement(0, announcement("a", 1, 1))).To(gomega.Equal(membership.Changed), "first announcement")
	busier := announcement("a", 1, 2)
	busier.Load = 3
	g.Expect(r.ApplyAnnouncement(1, busier)).To(gomega.Equal(membership.Repeated), "only the load has changed")
	g.Expect(r.ApplyAnnouncement(2, announcement("a", 1, 2))).To(gomega.Equal(membership.Stale))
	notReady := announcement("a", 1, 3)
	notReady.IsReady = false
	g.Expect(r.ApplyAnnouncement(3, notReady)).To(gomega.Equal(membership.Changed))
	g.Expect(r.ApplyAnnouncement(4, announcement("a", 2, 1))).To(gomega.Equal(membership.Changed),
		"sequences start again with a new registration")
	g.Expect(r.ApplyAnnouncement(5, announcement("a", 1, 9))).To(gomega.Equal(membership.Stale),
		"announcement of an earlier registration")
}

func TestRosterWarmupCountdownIsNoChange(t *testing.T) {
	g := gomega.NewWithT(t)
	r := membership.NewRoster(ttl)
	slow := announcement("a", 1, 1)
	slow.WarmupMS = 2000
	g.Expect(r.ApplyAnnouncement(0, slow)).To(gomega.Equal(membership.Changed))
	slow.Sequence, slow.WarmupMS = 2, 1100
	g.Expect(r.ApplyAnnouncement(1, slow)).To(gomega.Equal(membership.Repeated))
}

func TestRosterKeepsAnnouncedHostsWithoutPresence(t *testing.T) {
	g := gomega.NewWithT(t)
	r := membership.NewRoster(ttl)
	r.Register(presence("a", "1:1"), 5)
	r.Register(presence("b", "2:1"), 6)
	r.ApplyAnnouncement(0, announcement("a", 1, 1))
	r.Unregister("a", 7)
	r.Unregister("b", 8)
	g.Expect(hostNames(r)).To(gomega.Equal([]ownership.HostID{"a"}))
	g.Expect(r.Expire(ownership.Instant(ttl))).To(gomega.BeEmpty())
	silent := r.Expire(ownership.Instant(ttl + 1))
	g.Expect(silent).To(gomega.HaveLen(1))
	g.Expect(hostNames(r)).To(gomega.BeEmpty())
	r.Register(presence("a", "1:1"), 6)
	g.Expect(hostNames(r)).To(gomega.BeEmpty(), "presence older than its deletion")
	r.Register(presence("a", "1:1"), 9)
	g.Expect(hostNames(r)).To(gomega.Equal([]ownership.HostID{"a"}))
}

func TestRosterResolvesAddressToLastRegisteredHost(t *testing.T) {
	g := gomega.NewWithT(t)
	r := membership.NewRoster(ttl)
	r.Register(presence("old", "1:1"), 5)
	r.ApplyAnnouncement(0, announcement("old", 1, 1))
	r.Register(presence("new", "1:1"), 9)
	g.Expect(hostNames(r)).To(gomega.Equal([]ownership.HostID{"new"}))
	r.Unregister("old", 10)
	g.Expect(hostNames(r)).To(gomega.Equal([]ownership.HostID{"new"}),
		"announced, but another host has registered its address")
}

func TestRosterOmitsUnregisteredHosts(t *testing.T) {
	g := gomega.NewWithT(t)
	r := membership.NewRoster(ttl)
	r.ApplyAnnouncement(0, announcement("a", 1, 1))
	g.Expect(hostNames(r)).To(gomega.BeEmpty(), "host without a known address")
	r.Register(presence("a", "1:1"), 5)
	h, ok := r.Get("a")
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(h.IsAnnounced).To(gomega.BeTrue())
}
