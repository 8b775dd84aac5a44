package daemon

import (
	"context"

	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
)

// gossip serves the messages of other daemons.
type gossip struct{ control *control }

// Push implements peer.Handler.
func (g gossip) Push(news peer.Update) {
	c := g.control
	c.post(c.ctx, func(now ownership.Instant) {
		c.spread.heardAt = now
		c.takeNews(now, news)
		c.settle(now)
	})
}

// takeNews takes in news, and passes on what was new if the sender asks for it.
func (c *control) takeNews(now ownership.Instant, news peer.Update) {
	var taken peer.Update
	for _, e := range news.Entries {
		if c.accept(now, e) {
			taken.Entries = append(taken.Entries, e)
		}
	}
	for _, d := range news.Changes {
		if c.acceptChange(now, news.From, d) {
			taken.Changes = append(taken.Changes, d)
		}
	}
	if news.Forward && len(taken.Entries)+len(taken.Changes) > 0 {
		c.tellNear(taken)
	}
	c.hear(now, news.Announcements, news.Forward)
	if news.Handover != nil {
		c.expectKeys(now, *news.Handover)
	}
}

// Digest implements peer.Handler.
func (g gossip) Digest(d peer.Digest) {
	c := g.control
	c.post(c.ctx, func(now ownership.Instant) {
		c.spread.heardAt = now
		c.compare(now, d)
	})
}

// Newer implements peer.Handler.
func (g gossip) Newer(than membership.Versions) []membership.Entry {
	entries, err := g.control.board.Newer(than)
	if err != nil {
		g.control.log.Error("values not told", "error", err)
	}
	return entries
}

// Store implements peer.Handler.
func (g gossip) Store(ctx context.Context, call peer.StoreCall) peer.StoreResult {
	g.control.observer.counter("store.calls_for_peers").inc()
	return peer.ExecuteStoreCall(ctx, g.control.direct, call)
}

// ReportInvalid implements peer.Handler.
func (g gossip) ReportInvalid(err error) { g.control.observer.refused("message", err) }

// repair fetches all that a peer knows better. One repair runs at a time.
func (c *control) repair(from string) {
	if c.isRepairing {
		return
	}
	c.isRepairing = true
	versions := c.board.Versions()
	c.async(func(ctx context.Context) func(ownership.Instant) {
		entries, err := peer.FetchNewer(ctx, from, versions)
		return func(now ownership.Instant) {
			c.isRepairing = false
			if err != nil {
				c.log.Debug("peer not asked", "peer", from, "error", err)
				return
			}
			for _, e := range entries {
				c.accept(now, e)
			}
			c.settle(now)
		}
	})
}
