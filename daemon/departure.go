package daemon

import (
	"context"
	"time"

	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/store"
)

const (
	// departureAckTimeout bounds how long the acknowledgement of a departure waits until the store has it. The server
	// gives up on an acknowledgement after one second.
	departureAckTimeout = 300 * time.Millisecond
	// departureWriteTime is how long the daemon tries to store a departure.
	departureWriteTime = 30 * time.Second
	// departureReadTimeout bounds how long heartbeats wait until a daemon that has started knows what an earlier process
	// acknowledged.
	departureReadTimeout = 500 * time.Millisecond
)

// departureState is what the daemon knows of the departure of its backend server.
type departureState struct {
	newest membership.Departure
	// stored is closed when the store has the newest departure. It is nil if this process recorded none.
	stored <-chan struct{}
	// isKnown is closed when the store or another daemon has answered which departure is the newest.
	isKnown chan struct{}
	// isCertain is whether that answer includes all departures that were acknowledged: the store was never restored, and has
	// failed no call that might show an outage in which a departure was acknowledged without it.
	isCertain bool
}

// isStoredAs reports whether a value of the store is the newest departure, or there is none.
func (d *departureState) isStoredAs(value []byte) bool {
	if d.newest == (membership.Departure{}) {
		return true
	}
	stored, err := membership.DecodeEntry[membership.Departure](membership.Entry{Data: value})
	return err == nil && stored == d.newest
}

// recordDeparture makes the other daemons and the store remember that an instance of the server has announced its end, so
// that the acknowledgement also binds a later process of this daemon.
func (c *control) recordDeparture(instance ownership.Instance) {
	key := c.layout.Departure(c.self)
	version := max(c.replica.Get(key).Version+1, membership.Version(c.clock.Now().UnixMilli()))
	c.departure.newest = membership.Departure{Instance: instance, Version: version}
	entry, err := c.departure.newest.Entry(key)
	if err != nil {
		c.log.Error("departure not recorded", "error", err)
		return
	}
	c.replica.Merge(entry)
	update := peer.Update{Entries: []membership.Entry{entry}}
	c.pushLocal(update)
	c.pushRemote(update)
	c.startStoringDeparture(entry)
}

// startStoringDeparture starts to write the newest departure to the store.
func (c *control) startStoringDeparture(entry membership.Entry) {
	stored := make(chan struct{})
	c.departure.stored = stored
	c.async(func(ctx context.Context) func(ownership.Instant) {
		c.storeDeparture(ctx, entry, stored)
		return nil
	})
}

// storeDepartureAgain writes the newest departure to a store that has another one, or none.
func (c *control) storeDepartureAgain(reason string) {
	if c.departure.newest == (membership.Departure{}) {
		return
	}
	entry, err := c.departure.newest.Entry(c.layout.Departure(c.self))
	if err != nil {
		c.log.Error("departure not stored again", "error", err)
		return
	}
	c.log.Info("departure of the backend server stored again", "instance", c.departure.newest.Instance.String(),
		"reason", reason)
	c.startStoringDeparture(entry)
}

// storeDeparture writes a departure until the store has it, for departureWriteTime at most.
func (c *control) storeDeparture(ctx context.Context, entry membership.Entry, stored chan<- struct{}) {
	start := c.clock.Now()
	put := store.Txn{Puts: []store.Put{{Key: entry.Key, Value: entry.Data}}}
	delay := minStoreRetryDelay
	for ctx.Err() == nil {
		_, err := c.store.Commit(ctx, put)
		if err == nil {
			close(stored)
			return
		}
		if c.replica.Get(entry.Key).Version > entry.Version {
			return // there is a newer one
		}
		if c.clock.Since(start) > departureWriteTime {
			c.log.Warn("departure of the backend server not stored", "error", err)
			return
		}
		c.sleep(ctx, delay)
		delay = min(2*delay, maxStoreRetryDelay)
	}
}

// awaitStored waits until the store has a departure, for departureAckTimeout at most.
func (c *control) awaitStored(ctx context.Context, stored <-chan struct{}) {
	if stored == nil {
		return
	}
	select {
	case <-stored:
	case <-c.clock.After(departureAckTimeout):
		c.log.Warn("departure of the backend server acknowledged before the store confirmed it",
			"waited_ms", departureAckTimeout.Milliseconds())
	case <-ctx.Done():
	}
}

// readDeparture reads the departure that an earlier process of this daemon recorded. Other daemons are asked while the
// store does not answer.
func (c *control) readDeparture() {
	key := c.layout.Departure(c.self)
	c.async(func(ctx context.Context) func(ownership.Instant) {
		for hasFailed := false; ctx.Err() == nil; hasFailed = true {
			item, err := c.store.Get(ctx, key)
			if err == nil {
				return func(now ownership.Instant) {
					c.applyStoreEntries(now, membership.Entry{Key: key, Data: item.Value})
					c.departure.isCertain = !hasFailed && c.storeEra <= store.FirstEra
					if !c.departure.isStoredAs(item.Value) {
						c.storeDepartureAgain("learned from another daemon")
					}
					c.departureKnown("store")
				}
			}
			c.post(ctx, func(ownership.Instant) {
				if peers := c.knownPeerAddresses(); len(peers) > 0 {
					c.pullNewer(peers[c.random.IntN(len(peers))])
				}
			})
			c.sleep(ctx, minStoreRetryDelay)
		}
		return nil
	})
}

// departureKnown records that the newest departure is known.
func (c *control) departureKnown(source string) {
	select {
	case <-c.departure.isKnown:
	default:
		c.log.Info("departures of the backend server known", "source", source,
			"newest", c.departure.newest.Instance.String())
		close(c.departure.isKnown)
	}
}

// awaitStartKnowledge waits until the newest departure and the evacuations are known, for departureReadTimeout at most.
func (c *control) awaitStartKnowledge(ctx context.Context) {
	if isClosed(c.departure.isKnown) && isClosed(c.evacuation.isKnown) {
		return
	}
	timeout := c.clock.After(departureReadTimeout)
	for _, isKnown := range []<-chan struct{}{c.departure.isKnown, c.evacuation.isKnown} {
		select {
		case <-isKnown:
		case <-timeout:
			c.log.Warn("heartbeat accepted before the departures of the backend server and the evacuations are known",
				"waited_ms", departureReadTimeout.Milliseconds())
			return
		case <-ctx.Done():
			return
		}
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// applyDepartureEntry applies a departure of any host, and reports whether it was new. Its version is part of its data,
// because it may be known before the store has it.
func (c *control) applyDepartureEntry(now ownership.Instant, e membership.Entry) bool {
	if e.IsDeleted || len(e.Data) == 0 {
		return false
	}
	departure, err := membership.DecodeEntry[membership.Departure](e)
	if err != nil {
		c.observer.inputRejected("entry "+e.Key, err)
		return false
	}
	e.Version = departure.Version
	if !c.replica.Merge(e) {
		return false
	}
	c.gossip.changedAt = now
	if e.Key == c.layout.Departure(c.self) {
		c.departure.newest = departure
		c.applyDeparture(now)
	}
	return true
}

// applyDeparture stops the work for a server whose end an earlier process of this daemon has acknowledged. How much of its
// drain time is left is not known, so it gets no more work.
func (c *control) applyDeparture(now ownership.Instant) {
	s := &c.server
	if s.usableUntil != 0 || !c.departure.newest.Covers(s.heartbeat.Instance) {
		return
	}
	s.usableUntil = now
	c.log.Info("backend server is draining", "instance", s.heartbeat.Instance.String(),
		"reason", "acknowledged by an earlier process", "usable_ms", 0)
	if !s.isClosed() {
		c.setServer(now, ownership.ServerDraining, "departure")
	}
}
