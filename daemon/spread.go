package daemon

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/gossip"
	"github.com/skylarkrelay/skylarkrelay/operator"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/timeline"
)

const (
	// fanout is how many random daemons are told of a newer value.
	fanout = 4
	// watchers is how many daemons watch the store.
	watchers = 3
	// repairInterval is how often a daemon compares what it knows with a random other one.
	repairInterval = time.Second
	// deafTime is how long a daemon may hear nothing from others before it fetches their news itself.
	deafTime = 3 * time.Second
	// storeRetry is the wait after a failed read of the store.
	storeRetry = 200 * time.Millisecond
	// watcherCheck is how often a daemon that does not watch looks whether it should.
	watcherCheck = time.Second
)

// accept takes in a value from the store or another daemon, if it is newer and can be read.
func (c *control) accept(now time.Time, e platform.Entry) {
	if e.Revision <= c.board.Get(e.Key).Revision {
		return
	}
	switch {
	case strings.HasPrefix(e.Key, cellPrefix):
		record, err := ownership.Decode(e.Data)
		if err != nil {
			c.refused("cell record", err)
			return
		}
		c.board.Offer(e)
		c.learned(now, e, record)
		if c.machine != nil && record.Service == c.service() {
			v := ownership.Versioned{Record: record, Revision: ownership.Revision(e.Revision)}
			c.carryOut(now, c.machine.Learn(now, v), "")
		}
		c.publish(now)
	case e.Key == operator.ConfigKey:
		c.acceptConfig(now, e)
	}
}

// learned updates what follows from a newer record, and tells others.
func (c *control) learned(now time.Time, e platform.Entry, record *ownership.Record) {
	c.records[record.Service] = ownership.Versioned{Record: record, Revision: ownership.Revision(e.Revision)}
	routes := caller.Routes{}
	c.addresses = map[ownership.HostID]string{}
	newest := map[ownership.HostID]ownership.PoolMember{}
	for service, v := range c.records {
		routes[service] = v.Record
		for _, m := range v.Record.Members {
			if m.Incarnation >= newest[m.Host].Ref.Incarnation {
				c.addresses[m.Host] = m.Peer
				newest[m.Host] = ownership.PoolMember{Ref: m.Ref, Domain: m.Domain}
			}
		}
	}
	c.table.Set(routes)
	c.relay.Update(routes)
	if c.witness != nil {
		c.witness.Learn(now, record)
	}
	c.advertise(e)
	if c.machine == nil {
		return
	}
	var pool []ownership.PoolMember
	for _, m := range newest {
		pool = append(pool, m)
	}
	c.carryOut(now, c.machine.SetPool(now, pool), "")
}

// acceptConfig puts a newer configuration in force. Its revision never goes back.
func (c *control) acceptConfig(now time.Time, e platform.Entry) {
	value, err := operator.DecodeConfig(e.Data)
	if err != nil {
		c.refused("configuration", err)
		return
	}
	change := value.Current()
	if change.Revision <= c.config.Revision {
		return
	}
	set, err := change.Classes()
	if err != nil {
		c.refused("configuration", err)
		return
	}
	router, err := class.NewRouter(set.Classes)
	if err != nil {
		c.refused("configuration", err)
		return
	}
	c.board.Offer(e)
	c.config = change
	c.entry.SetClasses(&caller.Classes{Set: set, Router: router})
	c.gate.SetClasses(set.Classes)
	metrics.GetOrRegisterGauge("config.revision", c.registry).Update(int64(change.Revision))
	c.log.Info("configuration in force", "revision", change.Revision, "author", change.Author)
	c.ring.Add(timeline.Event{Kind: timeline.Configuration, Name: "in_force", Detail: "revision " + itoa(change.Revision)})
	c.advertise(e)
}

// advertise tells some random daemons of a newer value. They pull it, tell others, and so on.
func (c *control) advertise(e platform.Entry) {
	for _, address := range c.randomPeers(fanout) {
		c.pool.Advert(address, e.Key, e.Revision)
	}
}

// randomPeers returns the control addresses of some random other hosts.
func (c *control) randomPeers(count int) []string {
	hosts := make([]ownership.HostID, 0, len(c.addresses))
	for host := range c.addresses {
		if host != c.settings.Host {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	c.random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	addresses := make([]string, 0, count)
	for _, host := range hosts[:min(count, len(hosts))] {
		addresses = append(addresses, c.addresses[host])
	}
	return addresses
}

// Message implements peer.Handler.
func (c *control) Message(e peer.Envelope) {
	if e.At != nil {
		c.ring.Witness(*e.At)
	}
	c.post(func(now time.Time) {
		c.heardAt = now
		if e.Config > c.config.Revision {
			go c.pull(e.From, operator.ConfigKey)
			// A vouch counts only once this daemon has the configuration that its witness has.
			if _, isVouch := e.Message.(ownership.VouchReply); isVouch {
				return
			}
		}
		c.deliver(now, e.Message, e.From)
	})
}

// Advert implements peer.Handler.
func (c *control) Advert(a peer.Advert) {
	if a.Revision > c.board.Get(a.Key).Revision {
		go c.pull(a.From, a.Key)
	}
}

// Push implements peer.Handler.
func (c *control) Push(e platform.Entry) {
	c.post(func(now time.Time) { c.accept(now, e) })
}

// Digest implements peer.Handler.
func (c *control) Digest(d peer.DigestNote) {
	if d.Digest != c.board.Digest() {
		go c.repair(d.From)
	}
}

// Fetch implements peer.Handler.
func (c *control) Fetch(key string) platform.Entry { return c.board.Get(key) }

// Versions implements peer.Handler.
func (c *control) Versions() gossip.Versions { return c.board.Versions() }

// Broken implements peer.Handler.
func (c *control) Broken(err error) { c.refused("control message", err) }

// pull fetches one value from a peer. It runs on its own goroutine.
func (c *control) pull(from, key string) {
	e, err := c.pool.Fetch(c.ctx, from, key)
	if err != nil {
		c.log.Debug("value not fetched", "key", key, "from", from, "error", err)
		return
	}
	c.post(func(now time.Time) { c.accept(now, e) })
}

// repair fetches all values that a peer knows newer. It runs on its own goroutine.
func (c *control) repair(from string) {
	versions, err := c.pool.Versions(c.ctx, from)
	if err != nil {
		return
	}
	for _, key := range c.board.Behind(versions) {
		c.pull(from, key)
	}
}

// runRepair compares digests with random daemons until the context ends.
func (c *control) runRepair(ctx context.Context) error {
	ticker := c.clock.NewTicker(repairInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			c.post(func(now time.Time) {
				for _, address := range c.randomPeers(1) {
					c.pool.Digest(address, c.board.Digest())
					if now.Sub(c.heardAt) > deafTime {
						go c.repair(address) // others may not be able to reach this daemon
					}
				}
			})
		}
	}
}

// runStore reads everything at the start, and watches the store while this daemon is one of the watchers.
func (c *control) runStore(ctx context.Context) error {
	revision, ok := c.readAll(ctx)
	if !ok {
		return nil
	}
	c.post(c.begin)
	for ctx.Err() == nil {
		if !c.isWatcher(ctx) {
			c.sleep(ctx, watcherCheck)
			continue
		}
		changes, err := c.store.Watch(ctx, "", revision)
		if err != nil {
			c.sleep(ctx, storeRetry)
			continue
		}
		revision = changes.Revision
		c.acceptAll(changes.Entries)
	}
	return nil
}

// readAll reads all values of the store, as often as it takes.
func (c *control) readAll(ctx context.Context) (platform.Revision, bool) {
	for ctx.Err() == nil {
		changes, err := c.store.List(ctx, "")
		if err == nil {
			c.acceptAll(changes.Entries)
			return changes.Revision, true
		}
		c.log.Info("waiting for the platform", "error", err)
		c.sleep(ctx, storeRetry)
	}
	return 0, false
}

func (c *control) acceptAll(entries []platform.Entry) {
	for _, e := range entries {
		c.post(func(now time.Time) { c.accept(now, e) })
	}
}

// isWatcher tells whether this daemon is one of the few that watch the store: the ones whose hashed names are
// lowest, or any that no record names yet.
func (c *control) isWatcher(ctx context.Context) bool {
	answer := make(chan bool, 1)
	c.post(func(time.Time) {
		if _, known := c.addresses[c.settings.Host]; !known {
			answer <- true
			return
		}
		own := xxhash.Sum64String(string(c.settings.Host))
		lower := 0
		for host := range c.addresses {
			if cmp.Compare(xxhash.Sum64String(string(host)), own) < 0 {
				lower++
			}
		}
		answer <- lower < watchers
	})
	select {
	case is := <-answer:
		return is
	case <-ctx.Done():
		return false
	}
}

func (c *control) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-c.clock.After(d):
	case <-ctx.Done():
	}
}
