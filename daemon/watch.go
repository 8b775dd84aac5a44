package daemon

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// pause. Gossip delivers records and presences sooner; a configuration may take up to 2 s.
	watchBatchDelay = 300 * time.Millisecond
	// minStoreRetryDelay and maxStoreRetryDelay bound the delay after a failed watch or read.
	minStoreRetryDelay = 150 * time.Millisecond
	maxStoreRetryDelay = time.Second
)

// runStore reads the store, and watches it while this daemon is one of the watchers. It runs on its own goroutine.
func (c *control) runStore(ctx context.Context) error {
	delay := minStoreRetryDelay
	for ctx.Err() == nil {
		revision, err := c.readAll(ctx)
		if err == nil {
			delay = minStoreRetryDelay
			err = c.watch(ctx, revision)
		}
		if err != nil && ctx.Err() == nil {
			c.log.Info("reading or watching the store failed; retrying after a delay", "error", err)
			c.sleep(ctx, delay)
			delay = min(2*delay, maxStoreRetryDelay)
		}
	}
	return nil
}

// readAll reads the configuration and all values of this system.
func (c *control) readAll(ctx context.Context) (store.Revision, error) {
	own, err := c.store.List(ctx, c.layout.Prefix)
	if err != nil {
		return 0, err
	}
	config, err := c.store.Get(ctx, platform.ConfigKey)
	if err != nil {
		return 0, err
	}
	c.post(ctx, func(now ownership.Instant) {
		c.applyItems(now, append(own.Items, config))
		c.markDeleted(now, own)
		c.updateDataPlane(now)
	})
	return own.Revision, nil
}

func (c *control) applyItems(now ownership.Instant, items []store.Item) {
	entries := make([]membership.Entry, len(items))
	for i, item := range items {
		entries[i] = membership.Entry{
			Key:       item.Key,
			Version:   membership.Version(item.Revision),
			Data:      item.Value,
			IsDeleted: item.IsDeleted,
		}
	}
	c.applyStoreEntries(now, entries...)
}

// markDeleted marks the known values that a complete read did not find as deleted.
func (c *control) markDeleted(now ownership.Instant, read store.Snapshot) {
	found := map[string]bool{}
	for _, item := range read.Items {
		found[item.Key] = true
	}
	for _, e := range c.replica.List(c.layout.Prefix) {
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

// watch applies the changes of the store while this daemon is a watcher. It returns nil when the store has to be read
// again, and an error when a call failed.
func (c *control) watch(ctx context.Context, revision store.Revision) error {
	for ctx.Err() == nil {
		if !c.shouldWatch(ctx) {
			c.sleep(ctx, maxStoreRetryDelay)
			if c.shouldWatch(ctx) {
				return nil // the store is read again: many changes may have been made since
			}
			continue
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
		c.post(ctx, func(now ownership.Instant) {
			c.applyItems(now, changes.Items)
			c.updateDataPlane(now)
		})
		if len(changes.Items) > 0 {
			c.sleep(ctx, watchBatchDelay)
		}
	}
	return nil
}

// shouldWatch reports whether this daemon watches the store: it is one of the first of its failure domain in the order
// of their hashed names, or receives nothing from other daemons.
func (c *control) shouldWatch(ctx context.Context) bool {
	result := make(chan bool, 1)
	c.post(ctx, func(now ownership.Instant) { result <- c.isWatcher(now) })
	select {
	case isWatcher := <-result:
		return isWatcher
	case <-ctx.Done():
		return false
	}
}

func (c *control) isWatcher(now ownership.Instant) bool {
	if now.Sub(c.gossip.receivedAt) > maxGossipSilence || c.config == nil {
		return true
	}
	var localHashes []uint64
	ownHash := xxhash.Sum64String(string(c.self))
	maxAge := maxGossipSilence
	if local, _ := c.peersByDomain(); len(local) > smallDomain {
		maxAge += 2 * gossipInterval // announcements arrive in batches
	}
	for _, h := range c.roster.Hosts() {
		isAlive := h.Host == c.self ||
			h.IsAnnounced && now.Sub(h.AnnouncedAt) < maxAge && !h.Announcement.IsStoreUnreachable
		if h.Domain == c.daemon.settings.FailureDomain && isAlive {
			localHashes = append(localHashes, xxhash.Sum64String(string(h.Host)))
		}
	}
	slices.Sort(localHashes)
	return slices.Index(localHashes, ownHash) < watchersPerDomain
}

func (c *control) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-c.clock.After(d):
	case <-ctx.Done():
	}
}
