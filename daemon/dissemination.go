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
	// smallDomain is the largest number of other daemons in the failure domain for which an update is sent to all of
	// them. In a larger domain it is sent to fanout random ones, which forward it; that reaches 99% of the daemons.
	smallDomain = 16
	fanout      = 5
	// minGossipInterval is how often announcements without a change are forwarded, batched into one message. In a large
	// mesh the interval is gossipIntervalShare of the interval of the announcements.
	minGossipInterval   = 300 * time.Millisecond
	gossipIntervalShare = 0.25
	// gossipRounds is how many batches an announcement takes to reach all daemons of a failure domain.
	gossipRounds = 4
	// gossipFanout is how many daemons each batch is sent to. Epidemic forwarding with this fan-out misses some
	// daemons, but a host counts as silent only after several missed announcements.
	gossipFanout = 3
	// digestInterval is how often a daemon sends its digest to a random peer for anti-entropy.
	digestInterval = 700 * time.Millisecond
	// localDigestRatio is the share of digests that are sent within the failure domain, because traffic between domains
	// costs more. The others go to a random daemon of any domain.
	localDigestRatio = 0.75
	// propagationTime is the time allowed for an update to reach all daemons. A differing digest is taken for a lost
	// update if nothing has changed here for that long, or if it is the maxDigestMismatches-th in a row.
	propagationTime     = 600 * time.Millisecond
	maxDigestMismatches = 3
	// minAnnounceInterval is how often a daemon announces a backend server that has not changed. In a large mesh the
	// interval is announceIntervalPerHost for each host, so that the rate of messages to a daemon does not grow with
	// the mesh.
	minAnnounceInterval     = 900 * time.Millisecond
	announceIntervalPerHost = 12 * time.Millisecond
	// missedAnnouncements is the number of missed announcements after which a host counts as silent.
	missedAnnouncements = 4.5
	// maxRemoteEntryBytes is the size up to which a configuration that a watcher has read is sent to other failure
	// domains. Their own watchers read it from the store as well.
	maxRemoteEntryBytes = 16 << 10
)

// gossipState is the control goroutine's state of gossip and anti-entropy.
type gossipState struct {
	// receivedAt is when the last message of another daemon arrived, and changedAt when a store value last changed.
	receivedAt     ownership.Instant
	changedAt      ownership.Instant
	nextGossipAt   ownership.Instant
	nextDigestAt   ownership.Instant
	nextAnnounceAt ownership.Instant
	// announceInterval is the current interval of the announcements of all hosts, and batchInterval that of the batches
	// in which they are forwarded.
	announceInterval time.Duration
	batchInterval    time.Duration
	// startedAt is when this daemon started.
	startedAt ownership.Instant
	// mismatches counts the differing digests in a row.
	mismatches int
	// announcementCount numbers the announcements of one epoch.
	announcementCount uint32
	// pending holds the announcements for the next batch.
	pending map[ownership.HostID]membership.Announcement
}

func newGossipState(now ownership.Instant) gossipState {
	return gossipState{
		startedAt:        now,
		receivedAt:       now,
		announceInterval: minAnnounceInterval,
		batchInterval:    minGossipInterval,
		pending:          map[ownership.HostID]membership.Announcement{},
	}
}

// setAnnounceInterval sets the interval of announcements, and that of batches in proportion to it.
func (g *gossipState) setAnnounceInterval(interval time.Duration) {
	g.announceInterval = interval
	g.batchInterval = max(minGossipInterval, time.Duration(gossipIntervalShare*float64(interval)))
}

// applyEntry applies a store value if it is newer than the known one and can be decoded, and reports whether it did.
func (c *control) applyEntry(now ownership.Instant, e membership.Entry) bool {
	if e.Key == platform.ConfigKey {
		return c.applyConfigEntry(now, e)
	}
	if c.layout.IsDeparture(e.Key) {
		return c.applyDepartureEntry(now, e)
	}
	e = c.withoutEndedEvacuation(e)
	revision := store.Revision(e.Version)
	if c.isOfLostEra(revision) || e.Version <= c.replica.Get(e.Key).Version {
		return false
	}
	c.observeEra(now, revision.Era())
	apply, err := c.decode(e)
	if err != nil {
		c.observer.inputRejected("entry "+e.Key, err)
	}
	if apply == nil || !c.replica.Merge(e) {
		return false
	}
	c.gossip.changedAt = now
	c.isDirty = true
	apply(now)
	return true
}

// unknownConfigVersion is the version of an entry whose configuration has not been decoded yet.
const unknownConfigVersion = 0

// applyConfigEntry puts a configuration in force if it is newer than the known one, and reports whether it did.
// Configurations are ordered by the version that their operator gave them, which rises across restores of the store.
func (c *control) applyConfigEntry(now ownership.Instant, e membership.Entry) bool {
	known := c.replica.Get(e.Key).Version
	if e.IsDeleted || e.Version != unknownConfigVersion && e.Version <= known {
		return false
	}
	config, err := platform.DecodeConfig(e.Data)
	if err != nil {
		c.observer.inputRejected("entry "+e.Key, err)
		return false
	}
	e.Version = membership.Version(config.Version)
	if !c.replica.Merge(e) {
		if e.Version < known {
			c.log.Warn("configuration ignored", "version", config.Version, "in_force", known)
		}
		return false
	}
	c.gossip.changedAt = now
	c.isDirty = true
	c.applyConfig(config)
	return true
}

// decode decodes a store value and returns the function that applies it, or nil for values that other daemons do not
// need.
func (c *control) decode(e membership.Entry) (func(now ownership.Instant), error) {
	if host, ok := strings.CutPrefix(e.Key, c.layout.Presence("")); ok {
		return c.decodePresence(ownership.HostID(host), e)
	}
	if domain, ok := strings.CutPrefix(e.Key, platform.EvacuationPrefix); ok && c.evacuation.isEnabled {
		return c.decodeEvacuation(ownership.FailureDomain(domain), e)
	}
	if !strings.HasPrefix(e.Key, c.layout.Record("")) {
		return nil, nil //nolint:nilnil // epochs and keys of other systems are not replicated
	}
	if e.IsDeleted {
		return func(ownership.Instant) {}, nil
	}
	record, err := ownership.Decode(e.Data)
	if err != nil {
		return nil, err
	}
	return func(now ownership.Instant) { c.applyRecord(now, record, store.Revision(e.Version)) }, nil
}

func (c *control) decodePresence(host ownership.HostID, e membership.Entry) (func(now ownership.Instant), error) {
	if e.IsDeleted {
		return func(now ownership.Instant) {
			c.roster.Unregister(host, e.Version)
			if host == c.self && !c.isShuttingDown {
				c.runRegistrarEffects(now, c.registrar.PresenceDeleted(now, store.Revision(e.Version)))
			}
		}, nil
	}
	presence, err := membership.DecodeEntry[membership.Presence](e)
	if err != nil {
		return nil, err
	}
	if err := presence.Validate(); err != nil {
		return nil, err
	}
	presence.Host = host
	return func(ownership.Instant) { c.roster.Register(presence, e.Version) }, nil
}

// applyStoreEntries applies values that this daemon read from the store or wrote to it. It sends those that are new
// within this failure domain, and values of operators of at most maxRemoteEntryBytes to the other domains too.
func (c *control) applyStoreEntries(now ownership.Instant, entries ...membership.Entry) {
	var applied, remote []membership.Entry
	for _, e := range entries {
		if !c.applyEntry(now, e) {
			continue
		}
		e = c.replica.Get(e.Key)
		applied = append(applied, e)
		isOfOperator := e.Key == platform.ConfigKey || strings.HasPrefix(e.Key, platform.EvacuationPrefix)
		if isOfOperator && len(e.Data) <= maxRemoteEntryBytes {
			remote = append(remote, e)
		}
	}
	if len(applied) > 0 {
		c.pushLocal(peer.Update{Entries: applied})
	}
	if len(remote) > 0 {
		c.pushRemote(peer.Update{Entries: remote})
	}
}

// applyConfig puts a newer configuration in force.
func (c *control) applyConfig(config *class.Config) {
	c.config = config
	c.daemon.callerHandler.SetConfig(config)
	c.relay.SetLoadAware(config.IsLoadAware())
	c.daemon.callerServer.setLimits(config.Limits)
	c.runner.SetLoadAware(config.IsLoadAware())
	c.daemon.setBodyLimits(config.IsLoadAware())
	c.observer.configApplied(config.Version)
	c.readRecordIfDue()
}

// applyRecord applies a record of the store. After a restore, a record that was in force before may be in the store.
func (c *control) applyRecord(now ownership.Instant, record *ownership.Record, revision store.Revision) {
	if known := c.records[record.Service]; record.Supersedes(known) {
		c.records[record.Service] = record
	} else {
		c.log.Info("ownership record not in force: it is older than the known one", "service", record.Service,
			"revision", revision.String(), "era", record.Era, "generation", record.Generation,
			"known_era", known.Era, "known_generation", known.Generation)
	}
	if record.Service == c.service {
		c.runOwnershipEffects(now, c.machine.RecordReceived(now, record, revision))
	}
}

// applyDelta applies a change of a record, and reports whether it was new. If earlier changes were missed, it fetches
// the newer entries of the sender, which include the whole record.
func (c *control) applyDelta(now ownership.Instant, from string, d ownership.Delta) bool {
	key, version := c.layout.Record(d.Service), membership.Version(d.Revision)
	if c.isOfLostEra(d.Revision) || version <= c.replica.Get(key).Version {
		return false
	}
	c.observeEra(now, d.Revision.Era())
	known := c.records[d.Service]
	if known == nil {
		c.pullNewer(from)
		return false
	}
	record, err := known.Apply(d)
	if err != nil {
		c.log.Info("change of a record not applied", "service", d.Service, "from", from, "error", err)
		c.pullNewer(from)
		return false
	}
	if !c.replica.Merge(membership.Entry{Key: key, Version: version, Value: record}) {
		return false
	}
	c.gossip.changedAt = now
	c.isDirty = true
	c.applyRecord(now, record, d.Revision)
	return true
}

// publishRecord applies a newer record of this host's service. It sends the record to other daemons unless the replica
// has it already, because it came from one of them, from a read of all values or from a watch.
func (c *control) publishRecord(now ownership.Instant, updated ownership.RecordUpdated) {
	previous := c.records[c.service]
	c.records[c.service] = updated.Record
	c.isDirty = true
	entry := membership.Entry{
		Key:     c.layout.Record(c.service),
		Version: membership.Version(updated.Revision),
		Value:   updated.Record,
	}
	if !c.replica.Merge(entry) {
		return // merged when it was received
	}
	c.gossip.changedAt = now
	update := peer.Update{}
	if updated.Record.HasDelta(previous) {
		update.Changes = []ownership.Delta{updated.Record.Delta(previous, updated.Revision)}
	} else {
		data, err := updated.Record.Encode()
		if err != nil {
			c.log.Error("ownership record not sent to other daemons: cannot encode it", "error", err)
			return
		}
		entry.Data = data
		update.Entries = []membership.Entry{entry}
	}
	c.pushLocal(update)
	c.pushRemote(update)
}

// publishPresence sends a new registration to other daemons before a watch delivers it.
func (c *control) publishPresence(now ownership.Instant, registered membership.Registered) {
	data, err := json.Marshal(registered.Presence)
	if err != nil {
		c.log.Error("presence not sent to other daemons: cannot encode it", "error", err)
		return
	}
	c.applyStoreEntries(now, membership.Entry{
		Key:     c.layout.Presence(c.self),
		Version: membership.Version(registered.Revision),
		Data:    data,
	})
}

// applyAnnouncements applies announcements. If the sender requests it, those with a change are forwarded at once, and
// repeated ones with the next batch.
func (c *control) applyAnnouncements(
	now ownership.Instant, announcements []membership.Announcement, isForwardRequested bool,
) {
	var changed []membership.Announcement
	for _, a := range announcements {
		result := c.applyAnnouncement(now, a)
		if result == membership.Changed {
			c.isDirty = true
			changed = append(changed, a)
		}
		if result == membership.Repeated && isForwardRequested {
			c.gossip.pending[a.Host] = a
		}
	}
	if len(changed) > 0 && isForwardRequested {
		c.pushLocal(peer.Update{Announcements: changed})
	}
}

// announce sends the state of the local backend server to other daemons.
func (c *control) announce(now ownership.Instant) {
	hosts := len(c.roster.Hosts())
	interval := max(minAnnounceInterval, time.Duration(hosts)*announceIntervalPerHost)
	c.roster.SetAnnouncementTTL(time.Duration(missedAnnouncements * float64(interval)))
	c.gossip.setAnnounceInterval(interval)
	c.gossip.nextAnnounceAt = now.Add(interval)
	if c.epoch == 0 {
		return
	}
	c.gossip.announcementCount++
	a := c.server.announcement(now)
	a.Host, a.Service = c.self, c.service
	a.Epoch, a.Sequence = c.epoch, c.gossip.announcementCount
	a.Load = c.loadMeter.load
	a.RunTimes = c.ownRunTimes(now)
	a.IsShuttingDown = c.isShuttingDown
	a.IsUsable = a.IsUsable && !c.runner.IsRejecting()
	a.IsStoreUnreachable = c.isStoreUnreachable()
	a.IsReady = a.IsReady && !c.isShuttingDown
	c.limitAnnouncement(now, &a)
	update := peer.Update{Announcements: []membership.Announcement{a}}
	isChange := c.applyAnnouncement(now, a) == membership.Changed
	if isChange {
		c.isDirty = true
	}
	if local, _ := c.peersByDomain(); isChange || len(local) <= smallDomain {
		c.pushLocal(update)
	} else {
		c.gossip.pending[c.self] = a
	}
	c.pushRemote(update)
}

// gossipTick sends the announcement, the batch and the digest that are due, and expires the announcements of silent
// hosts.
func (c *control) gossipTick(now ownership.Instant) {
	if now >= c.gossip.nextAnnounceAt {
		c.announce(now)
	}
	if c.beacon.isWatching && now >= c.beacon.nextAt {
		c.sendBeacon(now)
	}
	if now >= c.gossip.nextGossipAt {
		c.gossip.nextGossipAt = now.Add(c.gossip.batchInterval)
		c.gossipPending()
	}
	if now >= c.gossip.nextDigestAt {
		c.gossip.nextDigestAt = now.Add(digestInterval)
		if peerAddress := c.choosePeer(); peerAddress != "" {
			c.notifier.SendDigest(peerAddress, peer.Digest{
				Digest:      c.replica.Digest(),
				Config:      c.replica.Get(platform.ConfigKey).Version,
				Reports:     c.daemon.quarantine.Digest(),
				Evacuations: c.replica.DigestOf(platform.EvacuationPrefix),
			})
		}
	}
	for _, h := range c.roster.Expire(now) {
		c.isDirty = true
		c.log.Info("host is silent", "peer", h.Host, "age_ms", now.Sub(h.AnnouncedAt).Milliseconds())
	}
}

// gossipPending forwards the pending announcements in one batch.
func (c *control) gossipPending() {
	if len(c.gossip.pending) == 0 {
		return
	}
	announcements := make([]membership.Announcement, 0, len(c.gossip.pending))
	for _, a := range c.gossip.pending {
		announcements = append(announcements, a)
	}
	clear(c.gossip.pending)
	c.pushLocalFanout(gossipFanout, peer.Update{Announcements: announcements})
}

// choosePeer returns the address of a random daemon to exchange state with, preferably one of this failure domain, or an
// empty string if none is known.
func (c *control) choosePeer() string {
	local, remote := c.peersByDomain()
	if len(local) > 0 && (len(remote) == 0 || c.random.Float64() < localDigestRatio) {
		return local[c.random.IntN(len(local))]
	}
	addresses := c.reachableAddresses(c.knownPeerAddresses())
	if len(addresses) == 0 {
		return ""
	}
	return addresses[c.random.IntN(len(addresses))]
}

// handleDigest compares a peer's digest with the local state, and pulls newer entries from the peer if needed. A peer with
// an older configuration is sent the newer one: it may be pulling from a host that does not respond, and would otherwise
// have to wait for a digest of a daemon that has it.
func (c *control) handleDigest(now ownership.Instant, d peer.Digest) {
	c.heardFrom(d.From)
	if config := c.replica.Get(platform.ConfigKey); config.Version > d.Config && d.From != "" {
		c.push([]string{d.From}, peer.Update{Entries: []membership.Entry{config}})
	}
	if d.Evacuations != c.replica.DigestOf(platform.EvacuationPrefix) && d.From != "" {
		c.exchangeEvacuations(d.From)
	}
	if d.Reports != 0 && d.Reports != c.daemon.quarantine.Digest() {
		c.pullReports(d.From)
	}
	if c.isPullNeeded(now, d) {
		c.gossip.mismatches = 0
		c.pullNewer(d.From)
	}
}

// isPullNeeded reports whether newer entries have to be pulled from the sender of a digest. Updates that are still in
// transit are no reason, except for a configuration: records change all the time, and a configuration does not wait for
// them.
func (c *control) isPullNeeded(now ownership.Instant, d peer.Digest) bool {
	if d.Digest == c.replica.Digest() {
		c.gossip.mismatches = 0
		return false
	}
	c.gossip.mismatches++
	isPropagated := now.Sub(c.gossip.changedAt) > propagationTime
	isOutdated := d.Config > c.replica.Get(platform.ConfigKey).Version
	return isOutdated || isPropagated || c.gossip.mismatches >= maxDigestMismatches
}
