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
	// deafTime is how long a daemon may hear nothing from others before it watches the store itself.
	deafTime = 1500 * time.Millisecond
	// watchPause lets changes gather before the next watch, whose every call has its price. Records and presences come by
	// gossip sooner; a configuration has 2 s.
	watchPause = 300 * time.Millisecond
	// storeRetry and storeRetryMost bound the wait after a failed watch or read.
	storeRetry     = 150 * time.Millisecond
	storeRetryMost = time.Second
)

// runStore reads what the store has, and watches it while this daemon is one of the watchers. It runs on its own
// goroutine.
func (c *control) runStore(ctx context.Context) error {
	pause := storeRetry
	for ctx.Err() == nil {
		revision, err := c.readAll(ctx)
		if err == nil {
			pause = storeRetry
			err = c.watch(ctx, revision)
		}
		if err != nil && ctx.Err() == nil {
			c.log.Info("store not read", "error", err)
			c.sleep(ctx, pause)
			pause = min(2*pause, storeRetryMost)
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
		c.acceptAll(now, append(own.Items, config))
		c.forget(now, own)
		c.settle(now)
	})
	return own.Revision, nil
}

func (c *control) acceptAll(now ownership.Instant, items []store.Item) {
	entries := make([]membership.Entry, len(items))
	for i, item := range items {
		entries[i] = membership.Entry{
			Key:       item.Key,
			Version:   membership.Version(item.Revision),
			Data:      item.Value,
			IsDeleted: item.IsDeleted,
		}
	}
	c.learn(now, entries...)
}

// forget marks the values that a whole read did not find as gone.
func (c *control) forget(now ownership.Instant, read store.Snapshot) {
	found := map[string]bool{}
	for _, item := range read.Items {
		found[item.Key] = true
	}
	for _, e := range c.board.List(c.layout.Prefix) {
		isOlder := e.Version < membership.Version(read.Revision)
		if !found[e.Key] && isOlder {
			c.learn(now, membership.Entry{Key: e.Key, Version: membership.Version(read.Revision), IsDeleted: true})
		}
	}
}

// watch follows the changes while this daemon is a watcher. It returns an error when it lost track.
func (c *control) watch(ctx context.Context, revision store.Revision) error {
	for ctx.Err() == nil {
		if !c.shouldWatch(ctx) {
			c.sleep(ctx, storeRetryMost)
			if c.shouldWatch(ctx) {
				return nil // reads afresh: the history since may be long
			}
			continue
		}
		changes, err := c.store.Watch(ctx, "", revision)
		var compacted *store.CompactedError
		if errors.As(err, &compacted) {
			c.log.Warn("store forgot its history", "after", compacted.After)
			return nil
		}
		if err != nil {
			return err
		}
		if len(changes.Items) == 0 && changes.Revision > revision {
			// All changes are watched, so some were made that the watch did not hear.
			c.log.Warn("watch missed changes", "after", revision, "revision", changes.Revision)
			return nil
		}
		revision = max(revision, changes.Revision)
		c.post(ctx, func(now ownership.Instant) {
			c.acceptAll(now, changes.Items)
			c.settle(now)
		})
		if len(changes.Items) > 0 {
			c.sleep(ctx, watchPause)
		}
	}
	return nil
}

// shouldWatch tells whether this daemon watches the store: it is one of the first of its failure domain, or hears
// nothing from others.
func (c *control) shouldWatch(ctx context.Context) bool {
	answer := make(chan bool, 1)
	c.post(ctx, func(now ownership.Instant) { answer <- c.isWatcher(now) })
	select {
	case is := <-answer:
		return is
	case <-ctx.Done():
		return false
	}
}

func (c *control) isWatcher(now ownership.Instant) bool {
	if now.Sub(c.spread.heardAt) > deafTime || c.config == nil {
		return true
	}
	var ranks []uint64
	own := xxhash.Sum64String(string(c.self))
	alive := deafTime
	if near, _ := c.neighbours(); len(near) > smallMesh {
		alive += 2 * roundInterval // announcements come round by round
	}
	for _, h := range c.roster.Hosts() {
		isAlive := h.Host == c.self || h.IsAnnounced && now.Sub(h.AnnouncedAt) < alive && !h.Announcement.IsStoreUnreachable
		if h.Domain == c.daemon.settings.FailureDomain && isAlive {
			ranks = append(ranks, xxhash.Sum64String(string(h.Host)))
		}
	}
	slices.Sort(ranks)
	return slices.Index(ranks, own) < watchersPerDomain
}

func (c *control) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-c.clock.After(d):
	case <-ctx.Done():
	}
}
