package daemon

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// configApplyTime is the time within which an acknowledged configuration is in force.
const configApplyTime = 2 * time.Second

// precedingHosts returns hosts that come before the tested one in the order in which hosts become watchers.
func precedingHosts() []ownership.HostID {
	own := xxhash.Sum64String(string(testSettings().Host))
	var hosts []ownership.HostID
	for i := 0; len(hosts) < 8; i++ {
		if host := fmt.Sprint("near-", i); xxhash.Sum64String(host) < own {
			hosts = append(hosts, ownership.HostID(host))
		}
	}
	return hosts
}

// nonWatchingDaemon returns a daemon that follows the store, in a failure domain in which another host is the watcher. That
// host was last announced at the start; other daemons keep sending messages.
func nonWatchingDaemon(t *testing.T, s store.Store) *Daemon {
	t.Helper()
	g := gomega.NewWithT(t)
	d := newDaemon(t, s)
	c := d.control
	ready := make(chan bool, 1)
	c.post(context.Background(), func(now ownership.Instant) {
		c.roster.Register(membership.Presence{Host: c.self, Domain: "d", HopAddress: "h"}, 1)
		for i, host := range precedingHosts() {
			c.roster.Register(membership.Presence{Host: host, Domain: "d", HopAddress: string(host)}, membership.Version(i+2))
			c.roster.ApplyAnnouncement(now, membership.Announcement{Host: host, Epoch: 1, Sequence: 1})
		}
		ready <- c.isWatcher(now)
	})
	g.Expect(<-ready).To(gomega.BeFalse())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- c.runStore(ctx) }()
	go func() {
		for ctx.Err() == nil {
			gossipHandler{c}.Push(peer.Update{})
			c.sleep(ctx, 50*time.Millisecond)
		}
		ended <- nil
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		<-ended
	})
	return d
}

func configVersion(d *Daemon) class.Version {
	if config := d.callerHandler.Config(); config != nil {
		return config.Version
	}
	return 0
}

// TestConfigurationIsReadWhenTheWatcherFallsSilent guards against old configurations and unknown evacuations on daemons whose
// watcher ends, freezes or is cut off at a change.
func TestConfigurationIsReadWhenTheWatcherFallsSilent(t *testing.T) {
	g := gomega.NewWithT(t)
	memory := store.NewMemory(clockwork.NewRealClock())
	putConfig(t, memory, 1)
	d := nonWatchingDaemon(t, memory)
	c := d.control
	g.Eventually(func() class.Version { return configVersion(d) }, "5s").Should(gomega.Equal(class.Version(1)))
	confirm := func(b peer.Beacon) { gossipHandler{c}.Push(peer.Update{From: "127.0.0.1:1", Beacon: &b}) }
	keepAlive := func() { // the silent watcher still counts as alive
		c.post(context.Background(), func(now ownership.Instant) {
			for _, host := range precedingHosts() {
				c.roster.ApplyAnnouncement(now, membership.Announcement{Host: host, Epoch: 1, Sequence: 2})
			}
		})
	}
	keepAlive()
	confirm(peer.Beacon{Config: 1})
	putConfig(t, memory, 2)
	evacuate(t, memory)
	g.Eventually(func() class.Version { return configVersion(d) }, configApplyTime).Should(
		gomega.Equal(class.Version(2)))
	g.Eventually(func() bool { return isEvacuated(d) }, 100*time.Millisecond).Should(gomega.BeTrue())
}

// TestBeaconsSpareReads checks that daemons whose watcher confirms the configuration do not read it, and that only a few of
// a domain do while the watcher reports that the store does not answer. Without beacons each reads it in time.
func TestBeaconsSpareReads(t *testing.T) {
	start := ownership.Instant(time.Minute)
	newControl := func(before int) *control {
		c := New(testSettings(), Options{Log: hclog.NewNullLogger(), Clock: clockwork.NewFakeClock()}).control
		c.gossip = newGossipState(start.Add(-time.Hour))
		c.roster.Register(membership.Presence{Host: c.self, Domain: "d", HopAddress: "h"}, 1)
		for i, host := range precedingHosts()[:before] {
			c.roster.Register(membership.Presence{Host: host, Domain: "d", HopAddress: string(host)}, membership.Version(i+2))
		}
		return c
	}
	for _, c := range []struct {
		name string
		// before is the number of hosts that become watchers before this one.
		before  int
		beacon  peer.Beacon
		isSpare bool
	}{
		{"healthy, next", 1, peer.Beacon{}, true},
		{"healthy, last", 8, peer.Beacon{}, true},
		{"failing, next", 1, peer.Beacon{IsFailing: true}, false},
		{"failing, second next", failingWatchReaders, peer.Beacon{IsFailing: true}, false},
		{"failing, third next", failingWatchReaders + 1, peer.Beacon{IsFailing: true}, true},
		{"failing, last", 8, peer.Beacon{IsFailing: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			control, now, reads := newControl(c.before), start, 0
			for range 8 {
				control.handleBeacon(now, "127.0.0.1:1", c.beacon)
				now = now.Add(minBeaconInterval)
				if control.isConfigUnconfirmed(now) {
					reads++
				}
			}
			g.Expect(reads == 0).To(gomega.Equal(c.isSpare))
			// A watcher that ends may have left changes of the last watchBatchDelay unread.
			silence := configApplyTime - watchBatchDelay - watcherCheckInterval
			last := now.Add(-minBeaconInterval)
			g.Expect(control.isConfigUnconfirmed(last.Add(silence))).To(gomega.BeTrue(), "after the last beacon")
		})
	}
}

// TestBeaconWithANewerConfigurationIsFollowed covers a daemon that the spreading of a configuration has missed.
func TestBeaconWithANewerConfigurationIsFollowed(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDaemon(t, store.NewMemory(clockwork.NewRealClock()))
	results := make(chan bool, 1)
	d.control.post(context.Background(), func(now ownership.Instant) {
		d.control.handleBeacon(now, "127.0.0.1:1", peer.Beacon{Config: 7})
		results <- d.control.isPulling && d.control.beacon.confirmedAt == 0
	})
	g.Expect(<-results).To(gomega.BeTrue(), "it asks the sender, and does not count as confirmed")
}
