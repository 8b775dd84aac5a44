package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/platform"
)

const (
	// minBeaconInterval is how often a watcher confirms to its failure domain that it watches the store. In a large domain
	// the interval is beaconIntervalPerHost for each host, which bounds the rate of its messages.
	minBeaconInterval     = 300 * time.Millisecond
	beaconIntervalPerHost = 10 * time.Millisecond
	// maxMissedBeacons is for how many intervals a daemon relies on the last beacon. Together with watchBatchDelay, after
	// which a watcher may end with changes unread, and a read it has to fit into the 2 s within which a configuration is
	// in force, or 3 s in a large deployment.
	maxMissedBeacons = 3
	// beaconStagger is by how much longer each further daemon of a domain waits, in the order in which they become
	// watchers, and maxStaggeredRank the rank from which on all wait equally long.
	beaconStagger    = 50 * time.Millisecond
	maxStaggeredRank = 8
	// startBeaconGrace is how much longer a daemon that has just started waits for its first beacon.
	startBeaconGrace = 1600 * time.Millisecond
	// failingWatchReaders is how many daemons of a domain read the configuration while the watcher reports that the store
	// does not answer it. The others would only add calls to a store that is down.
	failingWatchReaders = 2
	// minConfigReadDelay and maxConfigReadDelay bound the pause between reads that fail.
	minConfigReadDelay = 900 * time.Millisecond
	maxConfigReadDelay = 2 * time.Second
)

// beaconState is what a daemon knows of who watches the store for its failure domain.
type beaconState struct {
	// isWatching is whether this daemon watches the store, and isFailing whether its last call failed.
	isWatching bool
	isFailing  bool
	nextAt     ownership.Instant
	// confirmedAt is when the configuration was last confirmed, by a beacon or by a read of this daemon, and failingAt when a
	// watcher last reported that the store does not answer it.
	confirmedAt ownership.Instant
	failingAt   ownership.Instant
	// readDelay is the pause after the last failed read of the configuration, and nextReadAt its end.
	readDelay  time.Duration
	nextReadAt ownership.Instant
}

// setWatching records whether this daemon watches the store and whether the store answers it. A change is sent at once.
func (c *control) setWatching(ctx context.Context, isWatching, isFailing bool) {
	c.post(ctx, func(now ownership.Instant) {
		b := &c.beacon
		isChange := b.isWatching != isWatching || b.isFailing != isFailing
		b.isWatching, b.isFailing = isWatching, isFailing
		if isWatching && isChange {
			c.sendBeacon(now)
		}
	})
}

// beaconInterval returns the interval of beacons in a failure domain with a number of other hosts.
func beaconInterval(others int) time.Duration {
	return max(minBeaconInterval, time.Duration(others)*beaconIntervalPerHost)
}

// sendBeacon confirms to this failure domain which configuration is the newest.
func (c *control) sendBeacon(now ownership.Instant) {
	local, _ := c.peersByDomain()
	c.beacon.nextAt = now.Add(beaconInterval(len(local)))
	c.push(local, peer.Update{Beacon: &peer.Beacon{
		Config:      c.replica.Get(platform.ConfigKey).Version,
		IsFailing:   c.beacon.isFailing,
		Evacuations: c.evacuationBeacon(now),
	}})
}

// handleBeacon applies a beacon of a daemon of this failure domain.
func (c *control) handleBeacon(now ownership.Instant, from string, b peer.Beacon) {
	switch {
	case b.IsFailing:
		c.beacon.failingAt = now
	case b.Config > c.replica.Get(platform.ConfigKey).Version || !c.confirmEvacuations(now, from, b.Evacuations):
		c.pullNewer(from)
	default:
		c.beacon.confirmedAt = now
	}
}

// isConfigUnconfirmed reports whether this daemon has to read the values of operators, because nobody has confirmed for too long
// that it is the newest: the watcher may have ended, or be frozen or cut off.
func (c *control) isConfigUnconfirmed(now ownership.Instant) bool {
	b := &c.beacon
	silence := now.Sub(max(b.confirmedAt, c.gossip.startedAt.Add(startBeaconGrace)))
	if now < b.nextReadAt || silence <= maxMissedBeacons*minBeaconInterval {
		return false // without a look at the roster, which may be large
	}
	local, _ := c.peersByDomain()
	limit := maxMissedBeacons * beaconInterval(len(local))
	rank := c.watchRank(func(*membership.Host) bool { return true })
	isWatcherFailing := b.failingAt != 0 && now.Sub(b.failingAt) < limit
	if isWatcherFailing && rank > failingWatchReaders {
		return false
	}
	return silence > limit+time.Duration(min(rank, maxStaggeredRank))*beaconStagger
}

// confirmConfig reads the values of operators in place of the watcher, and confirms it to the failure domain.
func (c *control) confirmConfig(ctx context.Context) error {
	err := c.readOperatorValues(ctx)
	c.post(ctx, func(now ownership.Instant) {
		b := &c.beacon
		c.log.Info("configuration not confirmed by a watcher; read from the store", "silence_ms", now.Sub(b.confirmedAt).Milliseconds(),
			"version", c.replica.Get(platform.ConfigKey).Version, "is_read", err == nil)
		if err != nil {
			b.readDelay = min(max(minConfigReadDelay, 2*b.readDelay), maxConfigReadDelay)
			b.nextReadAt = now.Add(b.readDelay)
			return
		}
		b.confirmedAt, b.readDelay, b.nextReadAt = now, 0, 0
		c.sendBeacon(now)
	})
	return err
}

// watchRank returns the number of hosts of this failure domain that come before this one in the order in which they become
// watchers, among those that are counted.
func (c *control) watchRank(isCounted func(*membership.Host) bool) int {
	ownHash := xxhash.Sum64String(string(c.self))
	var hashes []uint64
	for _, h := range c.roster.Hosts() {
		if h.Domain == c.daemon.settings.FailureDomain && (h.Host == c.self || isCounted(h)) {
			hashes = append(hashes, xxhash.Sum64String(string(h.Host)))
		}
	}
	slices.Sort(hashes)
	return slices.Index(hashes, ownHash)
}
