package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/store"
)

const (
	// watchersPerDomain is how many daemons of each failure domain watch the store.
	watchersPerDomain = 1
	// maxGossipSilence is how long a daemon may receive nothing from other daemons before it watches the store itself.
	maxGossipSilence = 1500 * time.Millisecond
	// watchBatchDelay is the pause before the next watch call. Every call has a cost, so changes accumulate during the
	// pause. Gossip delivers records and presences sooner, and a configuration from the watcher that sees it first; a
	// configuration may take up to 2 s, also if the watcher ends during the pause.
	watchBatchDelay = 500 * time.Millisecond
	// maxRegistrationWait bounds how long the first read waits for the registration of this host.
	maxRegistrationWait = 1500 * time.Millisecond
	// watcherCheckInterval is how often a daemon that does not watch checks whether it has become a watcher.
	watcherCheckInterval = 100 * time.Millisecond
	// minStoreRetryDelay and maxStoreRetryDelay bound the delay after a failed watch or read.
	minStoreRetryDelay = 150 * time.Millisecond
	maxStoreRetryDelay = time.Second
)

// runStore reads the other hosts and the configuration, and watches the store while this daemon is one of the watchers.
// It runs on its own goroutine. The hosts are read after this host has registered: of two hosts that start at the same
// time, at least one then knows the other.
func (c *control) runStore(ctx context.Context) error {
	select {
	case <-c.registered:
	case <-c.clock.After(maxRegistrationWait):
	case <-ctx.Done():
	}
	delay := minStoreRetryDelay
	isStarted := false
	for ctx.Err() == nil {
		task := startTask
		if isStarted {
			task = ask(ctx, c, c.dueStoreTask)
		}
		var err error
		switch task {
		case startTask:
			err = c.readHosts(ctx)
			isStarted = err == nil
		case watchTask:
			err = c.readAndWatch(ctx)
			c.setWatching(ctx, err != nil, err != nil)
		case readTask:
			_, err = c.readAll(ctx)
		case confirmTask:
			err = c.confirmConfig(ctx)
		default:
			c.sleep(ctx, watcherCheckInterval)
		}
		if err == nil {
			delay = minStoreRetryDelay
		}
		if err != nil && ctx.Err() == nil {
			c.log.Info("reading or watching the store failed; retrying after a delay", "error", err)
			c.sleep(ctx, delay)
			delay = min(2*delay, maxStoreRetryDelay)
		}
	}
	return nil
}

//go:generate go tool stringer -type=storeTask -linecomment

// storeTask is what the goroutine that follows the store does next.
type storeTask int

const (
	noTask      storeTask = iota // none
	startTask                    // start
	watchTask                    // watch
	readTask                     // read
	confirmTask                  // confirm
)

// dueStoreTask returns what this daemon has to do at the store. It is one question, because a daemon that does not watch asks
// it many times a second.
func (c *control) dueStoreTask(now ownership.Instant) storeTask {
	if c.isWatcher(now) {
		return watchTask
	}
	c.beacon.isWatching, c.beacon.isFailing = false, false
	switch {
	case c.isReadDue: // the store was restored and has not been read as a whole since
		return readTask
	case c.isConfigUnconfirmed(now):
		return confirmTask
	default:
		return noTask
	}
}

// readHosts reads the hosts that are registered, and pulls the configuration and the records from one of them.
func (c *control) readHosts(ctx context.Context) error {
	if _, err := c.readValues(ctx, c.layout.Presence("")); err != nil {
		return err
	}
	c.post(ctx, func(ownership.Instant) {
		if address := c.choosePeer(); address != "" {
			c.pullNewer(address)
			c.pullReports(address)
		}
	})
	return nil
}

// readAndWatch reads the configuration and all values of this system, and watches the store from there.
func (c *control) readAndWatch(ctx context.Context) error {
	revision, err := c.readAll(ctx)
	if err != nil {
		return err
	}
	c.setWatching(ctx, true, false)
	return c.watch(ctx, revision)
}

// readValues reads the values of this system whose keys have a prefix.
func (c *control) readValues(ctx context.Context, prefix string) (store.Revision, error) {
	sentAt := c.bootClock.Now()
	own, err := c.store.List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	c.post(ctx, func(now ownership.Instant) {
		c.applyItems(now, own.Items)
		c.markDeleted(now, prefix, own)
		if prefix == platform.EvacuationPrefix {
			c.evacuationsRead(now, sentAt, own.Revision)
		}
		c.updateDataPlane(now)
	})
	return own.Revision, nil
}

// readConfig reads the configuration.
func (c *control) readConfig(ctx context.Context) error {
	config, err := c.store.Get(ctx, platform.ConfigKey)
	if err != nil {
		return err
	}
	c.post(ctx, func(now ownership.Instant) {
		c.applyItems(now, []store.Item{config})
		c.updateDataPlane(now)
	})
	return nil
}

func (c *control) applyItems(now ownership.Instant, items []store.Item) {
	entries := make([]membership.Entry, 0, len(items))
	for _, item := range items {
		version := membership.Version(item.Revision)
		if item.Key == platform.ConfigKey {
			if item.IsDeleted || item.Revision == 0 || item.Revision == c.configRevision {
				continue
			}
			c.configRevision = item.Revision
			version = unknownConfigVersion
		}
		c.logOutdated(item)
		entries = append(entries, membership.Entry{
			Key:       item.Key,
			Version:   version,
			Data:      item.Value,
			IsDeleted: item.IsDeleted,
		})
	}
	c.applyStoreEntries(now, entries...)
}

// logOutdated logs a value of the store that will not be applied, because a newer one is known.
func (c *control) logOutdated(item store.Item) {
	known := store.Revision(c.replica.Get(item.Key).Version)
	hasOwnVersion := item.Key == platform.ConfigKey || c.layout.IsDeparture(item.Key)
	if !hasOwnVersion && item.Revision < known {
		c.observer.staleValue(item.Key, item.Revision, known)
	}
}

// markDeleted marks the known values that a complete read of a prefix did not find as deleted.
func (c *control) markDeleted(now ownership.Instant, prefix string, read store.Snapshot) {
	found := map[string]bool{}
	for _, item := range read.Items {
		found[item.Key] = true
	}
	for _, e := range c.replica.List(prefix) {
		if c.layout.IsDeparture(e.Key) {
			continue // a departure may be known before the store has it, and is never deleted
		}
		isOlder := e.Version < membership.Version(read.Revision)
		if !found[e.Key] && isOlder {
			c.applyStoreEntries(now, membership.Entry{
				Key:       e.Key,
				Version:   membership.Version(read.Revision),
				IsDeleted: true,
			})
		}
	}
}

// watch applies the changes of the store while this daemon is a watcher. It returns nil when this daemon is no watcher
// any more or the store has to be read again, and an error when a call failed.
func (c *control) watch(ctx context.Context, revision store.Revision) error {
	for ctx.Err() == nil {
		if !c.shouldWatch(ctx) {
			return nil
		}
		changes, err := c.store.Watch(ctx, "", revision)
		var compacted *store.CompactedError
		if errors.As(err, &compacted) {
			c.log.Warn("store has compacted the changes after this revision; reading all values again",
				"after", compacted.After)
			return nil
		}
		if err != nil {
			return err
		}
		if len(changes.Items) == 0 && changes.Revision > revision {
			// The watch covers all keys. A newer revision without items means that it missed changes.
			c.log.Warn("watch missed changes", "after", revision, "revision", changes.Revision)
			return nil
		}
		revision = max(revision, changes.Revision)
		answeredAt := c.bootClock.Now()
		c.post(ctx, func(now ownership.Instant) {
			c.applyItems(now, changes.Items)
			c.evacuation.tracker.Confirm(answeredAt.Add(-messageTime))
			c.updateDataPlane(now)
		})
		c.setWatching(ctx, true, false)
		if len(changes.Items) > 0 {
			c.sleep(ctx, watchBatchDelay)
		}
	}
	return nil
}

// shouldWatch reports whether this daemon watches the store: it is one of the first of its failure domain in the order
// of their hashed names, or receives nothing from other daemons.
func (c *control) shouldWatch(ctx context.Context) bool { return ask(ctx, c, c.isWatcher) }

// ask returns the answer of the control goroutine to a question, or the zero value when the context ends.
func ask[T any](ctx context.Context, c *control, question func(now ownership.Instant) T) T {
	result := make(chan T, 1)
	c.post(ctx, func(now ownership.Instant) { result <- question(now) })
	select {
	case answer := <-result:
		return answer
	case <-ctx.Done():
		var none T
		return none
	}
}

func (c *control) isWatcher(now ownership.Instant) bool {
	if now.Sub(c.gossip.receivedAt) > maxGossipSilence {
		return true
	}
	rank := c.watchRank(func(h *membership.Host) bool {
		return c.isAlive(now, h) && !h.Announcement.IsStoreUnreachable
	})
	return rank < watchersPerDomain
}

// isAlive reports whether a host has announced itself within the last one and a half intervals. A registered host
// counts as alive until the first announcement of it can have arrived.
func (c *control) isAlive(now ownership.Instant, h *membership.Host) bool {
	maxAge := c.gossip.announceInterval + c.gossip.announceInterval/2 + gossipRounds*c.gossip.batchInterval
	if !h.IsAnnounced {
		return h.IsRegistered && h.AnnouncedAt == 0 && now.Sub(c.gossip.startedAt) < maxAge
	}
	return now.Sub(h.AnnouncedAt) < maxAge
}

func (c *control) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-c.clock.After(d):
	case <-ctx.Done():
	}
}
