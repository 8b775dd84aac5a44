package daemon

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/store"
)

const (
	// smallMesh is up to how many daemons of a failure domain are all told of news; among more, fanout random ones that
	// pass it on, which reaches 99 of 100.
	smallMesh = 16
	fanout    = 5
	// roundInterval is how often announcements that are no change are passed on, many in one message.
	roundInterval = 300 * time.Millisecond
	// roundFanout is to how many daemons each round goes: an epidemic that reaches 98 of 100.
	roundFanout = 4
	// repairInterval is how often a daemon compares what it knows with a random other one.
	repairInterval = 700 * time.Millisecond
	// nearRepairShare is the part of these comparisons that stay in the failure domain: bytes between domains cost more.
	nearRepairShare = 0.75
	// settleTime is how long ago the last news must be before a difference is taken for a loss; patientDigests is after
	// how many differences in a row it is taken for one anyway.
	settleTime     = 600 * time.Millisecond
	patientDigests = 3
	// leastAnnounceInterval is how often a daemon tells of its backend server where nothing changes. In a large mesh it
	// is announceShare for each host, so that the messages that a daemon gets do not grow with the mesh.
	leastAnnounceInterval = 900 * time.Millisecond
	announceShare         = 12 * time.Millisecond
	// announcesMissed is after how many missed announcements a host counts as silent.
	announcesMissed = 4.5
	// smallEntry is up to what size watchers tell other failure domains of values that their own watchers should see.
	smallEntry = 16 << 10
)

// spreadState is what the control goroutine knows of the spreading of news.
type spreadState struct {
	// heardAt is when the last message of another daemon came, and changedAt when the last value of the store was new.
	heardAt    ownership.Instant
	changedAt  ownership.Instant
	roundAt    ownership.Instant
	repairAt   ownership.Instant
	announceAt ownership.Instant
	// mismatches counts the digests in a row that differed.
	mismatches int
	// count numbers the announcements under one epoch.
	count uint32
	// pending holds the announcements for the next round.
	pending map[ownership.HostID]membership.Announcement
}

func newSpreadState(now ownership.Instant) spreadState {
	return spreadState{heardAt: now, pending: map[ownership.HostID]membership.Announcement{}}
}

// accept takes in a value of the store, if it is newer and can be read, and tells whether it did.
func (c *control) accept(now ownership.Instant, e membership.Entry) bool {
	if e.Version <= c.board.Get(e.Key).Version {
		return false
	}
	apply, err := c.decode(e)
	if err != nil {
		c.observer.refused("entry "+e.Key, err)
	}
	if apply == nil || !c.board.Merge(e) {
		return false
	}
	c.spread.changedAt = now
	c.isDirty = true
	apply(now)
	return true
}

// decode reads a value of the store and returns what follows from it: nothing where it concerns no other daemon.
func (c *control) decode(e membership.Entry) (func(now ownership.Instant), error) {
	if e.Key == platform.ConfigKey && !e.IsDeleted {
		config, err := platform.DecodeConfig(e.Data)
		if err != nil {
			return nil, err
		}
		return func(ownership.Instant) { c.acceptConfig(config, e.Version) }, nil
	}
	if host, ok := strings.CutPrefix(e.Key, c.layout.Presence("")); ok {
		return c.decodePresence(ownership.HostID(host), e)
	}
	if !strings.HasPrefix(e.Key, c.layout.Record("")) {
		return nil, nil //nolint:nilnil // epochs, and keys of others, are no news
	}
	if e.IsDeleted {
		return func(ownership.Instant) {}, nil
	}
	record, err := ownership.Decode(e.Data)
	if err != nil {
		return nil, err
	}
	return func(now ownership.Instant) { c.acceptRecord(now, record, store.Revision(e.Version)) }, nil
}

func (c *control) decodePresence(host ownership.HostID, e membership.Entry) (func(now ownership.Instant), error) {
	if e.IsDeleted {
		return func(now ownership.Instant) {
			c.roster.Unregister(host, e.Version)
			if host == c.self && !c.isLeaving {
				c.registration(now, c.registrar.PresenceGone(now, store.Revision(e.Version)))
			}
		}, nil
	}
	presence, err := membership.DecodeEntry[membership.Presence](e)
	if err != nil {
		return nil, err
	}
	presence.Host = host
	return func(ownership.Instant) { c.roster.Register(presence, e.Version) }, nil
}

// learn takes in values of the store that this daemon brings into its failure domain, and passes on what was news.
func (c *control) learn(now ownership.Instant, entries ...membership.Entry) {
	var news, abroad []membership.Entry
	for _, e := range entries {
		if !c.accept(now, e) {
			continue
		}
		news = append(news, e)
		if e.Key == platform.ConfigKey && len(e.Data) <= smallEntry {
			abroad = append(abroad, e)
		}
	}
	if len(news) > 0 {
		c.tellNear(peer.News{Entries: news})
	}
	if len(abroad) > 0 {
		c.tellFar(peer.News{Entries: abroad})
	}
}

// acceptConfig puts a newer configuration in force. Its version never goes back.
func (c *control) acceptConfig(config *class.Config, version membership.Version) {
	if c.config != nil && config.Version <= c.config.Version {
		c.log.Warn("configuration ignored", "version", config.Version, "in_force", c.config.Version)
		return
	}
	c.config = config
	c.daemon.entry.SetConfig(config)
	c.daemon.limits.setLimits(config.Limits)
	c.observer.configInForce(config.Version, uint64(version))
}

func (c *control) acceptRecord(now ownership.Instant, record *ownership.Record, revision store.Revision) {
	c.records[record.Service] = record
	if record.Service == c.service {
		c.ownership(now, c.machine.Learn(now, record, revision))
	}
}

// acceptChange takes in what changed in a record, and tells whether it was news. Where changes were missed, the whole
// record is fetched from the sender.
func (c *control) acceptChange(now ownership.Instant, from string, d ownership.Delta) bool {
	key, version := c.layout.Record(d.Service), membership.Version(d.Revision)
	if version <= c.board.Get(key).Version {
		return false
	}
	known := c.records[d.Service]
	if known == nil {
		c.repair(from)
		return false
	}
	record, err := known.Apply(d)
	if err != nil {
		c.log.Info("change of a record not applied", "service", d.Service, "from", from, "error", err)
		c.repair(from)
		return false
	}
	if !c.board.Merge(membership.Entry{Key: key, Version: version, Value: record}) {
		return false
	}
	c.spread.changedAt = now
	c.isDirty = true
	c.acceptRecord(now, record, d.Revision)
	return true
}

// adopted spreads a newer record of this host's service.
func (c *control) adopted(now ownership.Instant, a ownership.Adopted) {
	before := c.records[c.service]
	c.records[c.service] = a.Record
	c.isDirty = true
	entry := membership.Entry{
		Key:     c.layout.Record(c.service),
		Version: membership.Version(a.Revision),
		Value:   a.Record,
	}
	if !c.board.Merge(entry) {
		return // it came from others
	}
	c.spread.changedAt = now
	news := peer.News{}
	if before != nil {
		news.Changes = []ownership.Delta{a.Record.Delta(before, a.Revision)}
	} else {
		data, err := a.Record.Encode()
		if err != nil {
			c.log.Error("record not spread", "error", err)
			return
		}
		entry.Data = data
		news.Entries = []membership.Entry{entry}
	}
	c.tellNear(news)
	c.tellFar(news)
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

// hear takes in announcements. Changes go on at once where the sender asks for it, the rest with the next round.
func (c *control) hear(now ownership.Instant, announcements []membership.Announcement, isRelayed bool) {
	var urgent []membership.Announcement
	for _, a := range announcements {
		news := c.roster.ApplyAnnouncement(now, a)
		if news == membership.Changed {
			c.isDirty = true
			urgent = append(urgent, a)
		}
		if news == membership.Repeated && isRelayed {
			c.spread.pending[a.Host] = a
		}
	}
	if len(urgent) > 0 && isRelayed {
		c.tellNear(peer.News{Announcements: urgent})
	}
}

// announce tells others of the backend server beside this daemon.
func (c *control) announce(now ownership.Instant) {
	hosts := len(c.roster.Hosts())
	interval := max(leastAnnounceInterval, time.Duration(hosts)*announceShare)
	c.roster.SetAnnouncementTTL(time.Duration(announcesMissed * float64(interval)))
	c.spread.announceAt = now.Add(interval)
	if c.epoch == 0 {
		return
	}
	c.spread.count++
	a := c.server.announcement(now)
	a.Host, a.Service = c.self, c.service
	a.Epoch, a.Sequence = c.epoch, c.spread.count
	a.Load = c.loads.load
	a.IsShuttingDown = c.isLeaving
	a.IsUsable = a.IsUsable && !c.runner.IsClosed()
	a.IsStoreUnreachable = c.isCutOff()
	a.IsReady = a.IsReady && !c.isLeaving
	news := peer.News{Announcements: []membership.Announcement{a}}
	isChange := c.roster.ApplyAnnouncement(now, a) == membership.Changed
	if isChange {
		c.isDirty = true
	}
	if near, _ := c.neighbours(); isChange || len(near) <= smallMesh {
		c.tellNear(news)
	} else {
		c.spread.pending[c.self] = a
	}
	c.tellFar(news)
}

// spreadTick announces, passes on and repairs.
func (c *control) spreadTick(now ownership.Instant) {
	if now >= c.spread.announceAt {
		c.announce(now)
	}
	if now >= c.spread.roundAt {
		c.spread.roundAt = now.Add(roundInterval)
		c.round()
	}
	if now >= c.spread.repairAt {
		c.spread.repairAt = now.Add(repairInterval)
		if partner := c.partner(); partner != "" {
			c.pool.Digest(partner, c.board.Digest(), c.board.Get(platform.ConfigKey).Version)
		}
	}
	for _, h := range c.roster.Expire(now) {
		c.isDirty = true
		c.log.Info("host is silent", "peer", h.Host, "age_ms", now.Sub(h.AnnouncedAt).Milliseconds())
	}
}

// round passes on the announcements that were no change.
func (c *control) round() {
	if len(c.spread.pending) == 0 {
		return
	}
	announcements := make([]membership.Announcement, 0, len(c.spread.pending))
	for _, a := range c.spread.pending {
		announcements = append(announcements, a)
	}
	clear(c.spread.pending)
	c.tellSome(roundFanout, peer.News{Announcements: announcements})
}

// partner returns the daemon to compare with next, or nothing.
func (c *control) partner() string {
	near, far := c.neighbours()
	if len(near) > 0 && (len(far) == 0 || c.random.Float64() < nearRepairShare) {
		return near[c.random.IntN(len(near))]
	}
	addresses := c.peerControls()
	if len(addresses) == 0 {
		return ""
	}
	return addresses[c.random.IntN(len(addresses))]
}

// compare takes in what a peer's knowledge sums up to.
func (c *control) compare(now ownership.Instant, d peer.Digest) {
	if c.lacks(now, d) {
		c.spread.mismatches = 0
		c.repair(d.From)
	}
}

// lacks tells whether a peer should be asked for what it knows better. News that is still on its way is no reason, but for a
// configuration, which must not wait behind records that change all the time.
func (c *control) lacks(now ownership.Instant, d peer.Digest) bool {
	if d.Digest == c.board.Digest() {
		c.spread.mismatches = 0
		return false
	}
	c.spread.mismatches++
	isSettled := now.Sub(c.spread.changedAt) > settleTime
	isOutdated := d.Config > c.board.Get(platform.ConfigKey).Version
	return isOutdated || isSettled || c.spread.mismatches >= patientDigests
}
