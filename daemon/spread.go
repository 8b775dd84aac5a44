package daemon

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/store"
)

const (
	// smallMesh is up to how many daemons of a failure domain are all told of news; among more, fanout random ones that
	// pass it on.
	smallMesh = 16
	fanout    = 5
	// watchersPerDomain is how many daemons of each failure domain watch the store.
	watchersPerDomain = 1
	// repairInterval is how often a daemon compares what it knows with a random other one.
	repairInterval = 700 * time.Millisecond
	// deafTime is how long a daemon may hear nothing from others before it watches the store itself.
	deafTime = 1500 * time.Millisecond
	// announceInterval is how often a daemon tells of its backend server where nothing changes.
	announceInterval = 900 * time.Millisecond
	// announceFresh is how long an announcement counts.
	announceFresh = 4 * time.Second
	// storeRetry and storeRetryMost bound the wait after a failed watch or read.
	storeRetry     = 150 * time.Millisecond
	storeRetryMost = time.Second
	// announcePrefix begins the keys of announcements. They are not in the store.
	announcePrefix = "announce/"
)

// spreadState is what the control goroutine knows of the spreading of news.
type spreadState struct {
	// heardAt is when the last message of another daemon came.
	heardAt    ownership.Instant
	repairAt   ownership.Instant
	announceAt ownership.Instant
	// count numbers the announcements under one epoch.
	count uint32
	// announcedAt is when each host's newest announcement came.
	announcedAt map[ownership.HostID]ownership.Instant
	// lastPresence keeps the presence of hosts that the store has lost and that are still heard of.
	lastPresence map[ownership.HostID]membership.Presence
}

func newSpreadState(now ownership.Instant) spreadState {
	return spreadState{
		heardAt:      now,
		announcedAt:  map[ownership.HostID]ownership.Instant{},
		lastPresence: map[ownership.HostID]membership.Presence{},
	}
}

// accept takes in an entry from the store or another daemon, if it is newer and can be read.
func (c *control) accept(now ownership.Instant, e membership.Entry) {
	if e.Version <= c.board.Get(e.Key).Version || !c.understands(e) {
		return
	}
	if !c.board.Offer(e) {
		return
	}
	c.apply(now, e)
}

// learn takes in an entry that this daemon brings into its failure domain, and passes it on if it was news.
func (c *control) learn(now ownership.Instant, e membership.Entry) {
	before := c.board.Get(e.Key).Version
	c.accept(now, e)
	if c.board.Get(e.Key).Version > before {
		c.tell(e)
	}
}

// understands tells whether an entry is one of this system's and can be read.
func (c *control) understands(e membership.Entry) bool {
	if e.IsDeleted {
		return strings.HasPrefix(e.Key, c.layout.Prefix)
	}
	var err error
	switch {
	case e.Key == platform.ConfigKey:
		_, err = platform.DecodeConfig(e.Data)
	case strings.HasPrefix(e.Key, c.layout.Record("")):
		_, err = ownership.Decode(e.Data)
	case strings.HasPrefix(e.Key, c.layout.Presence("")):
		_, err = membership.DecodeEntry[membership.Presence](e)
	case strings.HasPrefix(e.Key, announcePrefix):
		_, err = membership.DecodeEntry[membership.Announcement](e)
	default:
		return false // epochs, and keys of others, concern no other daemon
	}
	if err != nil {
		c.observer.refused("entry "+e.Key, err)
	}
	return err == nil
}

// apply does what follows from a newer entry.
func (c *control) apply(now ownership.Instant, e membership.Entry) {
	c.isDirty = true
	switch {
	case e.Key == platform.ConfigKey:
		c.acceptConfig(e)
	case strings.HasPrefix(e.Key, c.layout.Record("")):
		c.acceptRecord(now, e)
	case strings.HasPrefix(e.Key, announcePrefix):
		host := ownership.HostID(strings.TrimPrefix(e.Key, announcePrefix))
		c.spread.announcedAt[host] = now
	case e.Key == c.layout.Presence(c.self):
		c.acceptOwnEntry(now, e)
	}
}

// acceptConfig puts a newer configuration in force. Its version never goes back.
func (c *control) acceptConfig(e membership.Entry) {
	config, err := platform.DecodeConfig(e.Data)
	if err != nil {
		c.observer.refused("configuration", err)
		return
	}
	if c.config != nil && config.Version <= c.config.Version {
		c.log.Warn("configuration ignored", "version", config.Version, "in_force", c.config.Version)
		return
	}
	c.config = config
	c.daemon.entry.SetConfig(config)
	c.daemon.limits.setLimits(config.Limits)
	c.observer.configInForce(config.Version, uint64(e.Version))
}

func (c *control) acceptRecord(now ownership.Instant, e membership.Entry) {
	if e.IsDeleted {
		return
	}
	record, err := ownership.Decode(e.Data)
	if err != nil {
		c.observer.refused("record", err)
		return
	}
	c.records[record.Service] = record
	if record.Service == c.service {
		c.ownership(now, c.machine.Learn(now, record, store.Revision(e.Version)))
	}
}

// acceptOwnEntry notices that the store has lost this host's presence.
func (c *control) acceptOwnEntry(now ownership.Instant, e membership.Entry) {
	if e.IsDeleted && !c.isLeaving {
		c.registration(now, c.registrar.PresenceGone(now, store.Revision(e.Version)))
	}
}

// acceptOwnPresence tells others of a new registration before a watch does.
func (c *control) acceptOwnPresence(now ownership.Instant, r membership.Registered) {
	data, err := json.Marshal(r.Presence)
	if err != nil {
		c.log.Error("presence not spread", "error", err)
		return
	}
	c.learn(now, membership.Entry{
		Key:     c.layout.Presence(c.self),
		Version: membership.Version(r.Revision),
		Data:    data,
	})
}

// tell passes an entry on in this failure domain. What is not in the store goes to one daemon of each other domain too:
// each domain has watchers of its own for the rest.
func (c *control) tell(e membership.Entry) {
	entries := []membership.Entry{e}
	near, far := c.neighbours()
	isRelayed := len(near) > smallMesh
	if isRelayed {
		c.shuffle(near)
		near = near[:fanout]
	}
	for _, address := range near {
		c.pool.Push(address, entries, isRelayed)
	}
	if !isPassing(e.Key) {
		return
	}
	for _, addresses := range far {
		c.pool.Push(addresses[c.random.IntN(len(addresses))], entries, true)
	}
}

// isPassing tells whether a value is told again and again by its owner and is not in the store.
func isPassing(key string) bool { return strings.HasPrefix(key, announcePrefix) }

// neighbours returns the control addresses of the other daemons of this failure domain, and those of the others.
func (c *control) neighbours() ([]string, map[ownership.Domain][]string) {
	var near []string
	far := map[ownership.Domain][]string{}
	for _, p := range c.knownHosts() {
		switch {
		case p.Host == c.self:
		case p.Domain == c.daemon.settings.FailureDomain:
			near = append(near, p.Control)
		default:
			far[p.Domain] = append(far[p.Domain], p.Control)
		}
	}
	return near, far
}

func (c *control) shuffle(addresses []string) {
	c.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
}

// peerControls returns the control addresses of all other known hosts. It may be called from any goroutine.
func (c *control) peerControls() []string {
	var addresses []string
	for _, e := range c.board.Under(c.layout.Presence("")) {
		p, err := membership.DecodeEntry[membership.Presence](e)
		if err == nil && p.Host != c.self {
			addresses = append(addresses, p.Control)
		}
	}
	if len(addresses) == 0 {
		addresses = c.daemon.settings.SeedControls()
	}
	return addresses
}

// spreadTick announces and repairs.
func (c *control) spreadTick(now ownership.Instant) {
	if now >= c.spread.announceAt {
		c.announce(now)
	}
	if now >= c.spread.repairAt {
		c.spread.repairAt = now.Add(repairInterval)
		if peers := c.peerControls(); len(peers) > 0 {
			c.pool.Digest(peers[c.random.IntN(len(peers))], c.board.Digest())
		}
	}
	for host, at := range c.spread.announcedAt {
		if now.Sub(at) > announceFresh {
			delete(c.spread.announcedAt, host)
			c.isDirty = true
			c.log.Info("host is silent", "peer", host, "age_ms", now.Sub(at).Milliseconds())
		}
	}
}

// announce tells others of the backend server beside this daemon.
func (c *control) announce(now ownership.Instant) {
	c.spread.announceAt = now.Add(announceInterval)
	if c.epoch == 0 {
		return
	}
	c.spread.count++
	a := c.server.announcement(now)
	a.Host, a.Service = c.self, c.service
	a.Load = c.loads.load
	a.IsLeaving = c.isLeaving
	a.IsUsable = a.IsUsable && !c.isLeaving
	a.IsReady = a.IsReady && !c.isLeaving
	data, err := json.Marshal(a)
	if err != nil {
		c.log.Error("announcement not sent", "error", err)
		return
	}
	c.learn(now, membership.Entry{
		Key:     announcePrefix + string(c.self),
		Version: membership.AnnouncementVersion(c.epoch, c.spread.count),
		Data:    data,
	})
}

// heard takes note of a sign of life of another daemon.
func (c *control) heard(now ownership.Instant) { c.spread.heardAt = now }

// gossip serves the messages of other daemons.
type gossip struct{ control *control }

// Push implements peer.Handler.
func (g gossip) Push(_ string, entries []membership.Entry, relay bool) {
	c := g.control
	c.post(c.ctx, func(now ownership.Instant) {
		c.heard(now)
		take := c.accept
		if relay {
			take = c.learn
		}
		for _, e := range entries {
			take(now, e)
		}
		c.settle(now)
	})
}

// Digest implements peer.Handler.
func (g gossip) Digest(d peer.Digest) {
	c := g.control
	isSame := d.Digest == c.board.Digest()
	c.post(c.ctx, func(now ownership.Instant) {
		c.heard(now)
		if !isSame {
			c.repair(d.From)
		}
	})
}

// Newer implements peer.Handler.
func (g gossip) Newer(than membership.Versions) []membership.Entry {
	return g.control.board.Newer(than)
}

// Store implements peer.Handler.
func (g gossip) Store(ctx context.Context, call peer.StoreCall) peer.StoreAnswer {
	g.control.observer.counter("store.calls_for_peers").inc()
	return peer.MakeStoreCall(ctx, g.control.direct, call)
}

// Broken implements peer.Handler.
func (g gossip) Broken(err error) { g.control.observer.refused("message", err) }

// repair fetches all that a peer knows better.
func (c *control) repair(from string) {
	versions := c.board.Versions()
	c.async(func(ctx context.Context) func(ownership.Instant) {
		entries, err := peer.Newer(ctx, from, versions)
		if err != nil {
			c.log.Debug("peer not asked", "peer", from, "error", err)
			return nil
		}
		return func(now ownership.Instant) {
			for _, e := range entries {
				c.learn(now, e)
			}
			c.settle(now)
		}
	})
}
