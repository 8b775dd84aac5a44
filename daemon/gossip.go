package daemon

import (
	"context"

	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
)

// gossipHandler handles the messages of other daemons.
type gossipHandler struct{ control *control }

// Push implements peer.Handler.
func (g gossipHandler) Push(update peer.Update) {
	c := g.control
	if len(update.Packed) > 0 {
		announcements, err := membership.UnpackAnnouncements(update.Packed)
		if err != nil {
			c.observer.inputRejected("announcements", err)
		}
		update.Announcements = append(update.Announcements, announcements...)
	}
	c.post(c.ctx, func(now ownership.Instant) {
		c.gossip.receivedAt = now
		c.applyUpdate(now, update)
		c.updateDataPlane(now)
	})
}

// applyUpdate applies an update from another daemon, and forwards the new parts if the sender requests it.
func (c *control) applyUpdate(now ownership.Instant, update peer.Update) {
	c.heardFrom(update.From)
	c.relayUpdate(update)
	var applied peer.Update
	for _, e := range update.Entries {
		if c.applyEntry(now, e) {
			applied.Entries = append(applied.Entries, c.replica.Get(e.Key))
		}
	}
	for _, delta := range update.Changes {
		if c.applyDelta(now, update.From, delta) {
			applied.Changes = append(applied.Changes, delta)
		}
	}
	applied.Reports = c.applyReports(update.Reports)
	if update.Forward && len(applied.Entries)+len(applied.Changes)+len(applied.Reports) > 0 {
		c.pushLocal(applied)
	}
	c.applyAnnouncements(now, update.Announcements, update.Forward)
	if update.Beacon != nil {
		c.handleBeacon(now, update.From, *update.Beacon)
	}
	if update.Handover != nil {
		c.expectHandover(now, *update.Handover)
	}
}

// Digest implements peer.Handler.
func (g gossipHandler) Digest(digest peer.Digest) {
	c := g.control
	c.post(c.ctx, func(now ownership.Instant) {
		c.gossip.receivedAt = now
		c.handleDigest(now, digest)
	})
}

// Newer implements peer.Handler.
func (g gossipHandler) Newer(than membership.Versions) []membership.Entry {
	entries, err := g.control.replica.Newer(than)
	if err != nil {
		g.control.log.Error("newer entries not sent to a peer: cannot encode an entry", "error", err)
	}
	return entries
}

// Store implements peer.Handler.
func (g gossipHandler) Store(ctx context.Context, call peer.StoreCall) peer.StoreResult {
	g.control.observer.counter("store.calls_for_peers").inc()
	return peer.ExecuteStoreCall(ctx, g.control.directStore, call)
}

// ReportInvalid implements peer.Handler.
func (g gossipHandler) ReportInvalid(err error) { g.control.observer.inputRejected("message", err) }

// pullNewer fetches all entries of which a peer has a newer version. Only one pull runs at a time.
func (c *control) pullNewer(from string) {
	if c.isPulling {
		return
	}
	c.isPulling = true
	versions := c.replica.Versions()
	c.async(func(ctx context.Context) func(ownership.Instant) {
		entries, err := peer.FetchNewer(ctx, from, versions)
		return func(now ownership.Instant) {
			c.isPulling = false
			if err != nil {
				c.log.Debug("newer entries not fetched from peer", "peer", from, "error", err)
				return
			}
			for _, e := range entries {
				c.applyEntry(now, e)
			}
			c.departureKnown(from)
			c.updateDataPlane(now)
		}
	})
}
