package daemon

import (
	"context"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/quarantine"
	"github.com/skylarkrelay/skylarkrelay/settings"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// recordingPeer is a daemon that records the updates that it gets.
type recordingPeer struct {
	mu      sync.Mutex
	updates []peer.Update
}

func (p *recordingPeer) Push(update peer.Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updates = append(p.updates, update)
}

// announced returns whether the peer got an announcement of a host, and the last update with one.
func (p *recordingPeer) announced(host ownership.HostID) (bool, peer.Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var last peer.Update
	found := false
	for _, update := range p.updates {
		packed, err := membership.UnpackAnnouncements(update.Packed)
		if err != nil {
			packed = nil
		}
		for _, a := range append(packed, update.Announcements...) {
			if a.Host == host {
				found, last = true, update
			}
		}
	}
	return found, last
}

func (*recordingPeer) Digest(peer.Digest)                                         {}
func (*recordingPeer) Newer(membership.Versions) []membership.Entry               { return nil }
func (*recordingPeer) Reports() []quarantine.Report                               { return nil }
func (*recordingPeer) Store(context.Context, peer.StoreCall) (r peer.StoreResult) { return r }
func (*recordingPeer) ReportInvalid(error)                                        {}

// serveControl serves the control messages of a daemon and returns its address.
func serveControl(t *testing.T, h peer.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { ended <- peer.Serve(ctx, listener, h) }()
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		<-ended
	})
	return listener.Addr().String()
}

// meshHost is a host of a test mesh.
type meshHost struct {
	host    ownership.HostID
	domain  ownership.FailureDomain
	control string
}

// domainSettings returns the settings of a host in a domain.
func domainSettings(host ownership.HostID, domain ownership.FailureDomain) settings.Settings {
	s := testSettings()
	s.Host, s.FailureDomain = host, domain
	return s
}

// join makes a daemon know a load-aware configuration and the hosts of a mesh.
func join(t *testing.T, d *Daemon, hosts []meshHost) {
	t.Helper()
	data, err := platform.EncodeConfig(&class.Config{
		Version: 1, Services: map[class.Service]class.ServiceSettings{"s": {WarmupTime: time.Second, WarmupRate: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	d.control.post(context.Background(), func(now ownership.Instant) {
		defer close(done)
		c := d.control
		c.applyEntry(now, membership.Entry{Key: platform.ConfigKey, Version: 1, Data: data})
		for i, h := range hosts {
			c.roster.Register(membership.Presence{
				Host: h.host, Domain: h.domain, Service: "s", ControlAddress: h.control, HopAddress: "127.0.0.1:" + strconv.Itoa(i+1),
				PackedFormat: membership.PackedFormat,
			}, membership.Version(i+1))
		}
		c.updateRoutes(now)
	})
	<-done
}

// cutOff makes a daemon find out that it reaches no host of domain z1, while it hears from z2.
func cutOff(d *Daemon) {
	reach, now := d.control.relay.ActiveReach(), d.clock.Now()
	reach.Heard(now, "z2")
	reach.Failed(now, "z1", "b")
	reach.Failed(now, "z1", "b2")
}

// TestAnnouncementsReachADomainByWayOfAThird guards against servers that count as silent while a third domain reaches both
// sides: an announcement is sent to one daemon of each domain, and none of them passed it on to another domain. The daemon
// of z0 does not reach z1, and that of z2 passes its announcements on, once.
func TestAnnouncementsReachADomainByWayOfAThird(t *testing.T) {
	g := gomega.NewWithT(t)
	memory := store.NewMemory(clockwork.NewRealClock())
	far := &recordingPeer{}
	farAddress := serveControl(t, far)
	third := newDaemonWith(t, domainSettings("c", "z2"), memory)
	near := newDaemonWith(t, domainSettings("a", "z0"), memory)
	hosts := []meshHost{
		{"a", "z0", "127.0.0.1:9"}, {"b", "z1", farAddress}, {"c", "z2", serveControl(t, gossipHandler{third.control})},
	}
	join(t, third, hosts)
	join(t, near, hosts)
	cutOff(near)
	near.control.post(context.Background(), func(now ownership.Instant) {
		near.control.epoch = 1
		near.control.server.state = ownership.ServerReady
		near.control.announce(now)
	})
	g.Eventually(func() bool { found, _ := far.announced("a"); return found }, "3s").Should(gomega.BeTrue())
	_, update := far.announced("a")
	g.Expect(update.Forward).To(gomega.BeTrue(), "it is spread within the domain")
	g.Expect(update.Relay).To(gomega.BeEmpty(), "it is passed on once")
	g.Expect(update.From).To(gomega.Equal(third.settings.AdvertisedControlAddress()), "a daemon that can be asked for more")
	g.Expect(third.observer.counter("gossip.messages_relayed").Count()).To(gomega.BeNumerically(">=", 1))
}

// TestUpdatesGoDirectlyWithoutACarrier checks that a daemon that reaches no third domain sends as before, and that other
// configurations always do.
func TestUpdatesGoDirectlyWithoutACarrier(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDaemonWith(t, domainSettings("a", "z0"), store.NewMemory(clockwork.NewRealClock()))
	remote := func() map[ownership.FailureDomain][]string {
		return map[ownership.FailureDomain][]string{"z1": {"b"}, "z2": {"c"}}
	}
	g.Expect(d.control.planCarriers(remote())).To(gomega.BeEmpty(), "no configuration")
	join(t, d, nil)
	cutOff(d)
	r := remote()
	g.Expect(d.control.planCarriers(r)).To(gomega.Equal(
		map[ownership.FailureDomain][]ownership.FailureDomain{"z2": {"z1"}}))
	g.Expect(r).NotTo(gomega.HaveKey(ownership.FailureDomain("z1")))
	reach, now := d.control.relay.ActiveReach(), d.clock.Now()
	reach.FailedVia(now, "z1", "z2")
	r = remote()
	g.Expect(d.control.planCarriers(r)).To(gomega.BeEmpty())
	g.Expect(r).To(gomega.HaveKey(ownership.FailureDomain("z1")))
}

// TestGossipShowsWhatIsUnreachable guards against daemons with few calls that find out too late: connections for gossip
// count as well.
func TestGossipShowsWhatIsUnreachable(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDaemonWith(t, domainSettings("a", "z0"), store.NewMemory(clockwork.NewRealClock()))
	join(t, d, []meshHost{
		{"b", "z1", "127.0.0.1:3"}, {"b2", "z1", "127.0.0.1:4"}, {"c", "z2", serveControl(t, &recordingPeer{})},
	})
	for range 20 {
		d.control.post(context.Background(), func(ownership.Instant) {
			d.control.pushRemote(peer.Update{Announcements: []membership.Announcement{{Host: "a"}}})
		})
	}
	g.Eventually(d.control.relay.ActiveReach().Unreachable, "3s").Should(
		gomega.Equal([]ownership.FailureDomain{"z1"}))
	g.Expect(d.control.reachableAddresses([]string{"127.0.0.1:3", "x"})).To(gomega.Equal([]string{"x"}))
}

// TestStoppingDaemonForwardsNothing guards against forwarded calls that a daemon cuts at its end.
func TestStoppingDaemonForwardsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	d := New(domainSettings("c", "z2"), Options{Log: hclog.NewNullLogger(), Clock: clockwork.NewRealClock()})
	c := call.Call{ID: "1", Class: &class.Class{}, Service: "s", Deadline: time.Now().Add(time.Second)}
	g.Expect(d.forwardCall(context.Background(), "unknown", c)).To(gomega.Equal(call.NotRun(call.Unreachable)))
	d.isStopping.Store(true)
	g.Expect(d.forwardCall(context.Background(), "unknown", c)).To(gomega.Equal(call.NotRun(call.Unreachable)))
}
