package daemon

import (
	"context"
	"time"

	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
)

const (
	// mostBeatWait is how long the answer to a heartbeat may wait for keys that are on their way: the backend server gives
	// an answer up after a second.
	mostBeatWait = 700 * time.Millisecond
	// promiseGrace is how long after its time a promise of keys is still believed.
	promiseGrace = 250 * time.Millisecond
)

// beatAnswer is what a heartbeat is answered.
type beatAnswer struct {
	orders ownership.Orders
	err    error
}

// waitingBeat is the newest heartbeat while its answer waits for keys that were promised to this host. Without the wait they
// would have no server until the next heartbeat.
type waitingBeat struct {
	ctx     context.Context
	answers chan<- beatAnswer
	until   ownership.Instant
	// generation is that of the record when the heartbeat came, and keys how many this host owned then.
	generation ownership.Fence
	keys       int
}

// promise tells hosts that they will be given keys.
func (c *control) promise(p ownership.Promise) {
	var to []string
	for _, host := range p.To {
		if h, isKnown := c.roster.Get(host); isKnown {
			to = append(to, h.ControlAddress)
		}
	}
	c.push(to, peer.News{Promise: &peer.Promise{Giver: c.self, InMS: p.In.Milliseconds()}})
}

// expectKeys takes note that this host will be given keys.
func (c *control) expectKeys(now ownership.Instant, p peer.Promise) {
	c.promised[p.Giver] = now.Add(time.Duration(p.InMS) * time.Millisecond)
}

// queueBeat lets the answer to a heartbeat wait as long as it should. An earlier one that still waits is answered without
// orders: the server has sent another since.
func (c *control) queueBeat(now ownership.Instant, beat waitingBeat) {
	if c.waiting.answers != nil {
		c.waiting.answers <- beatAnswer{}
	}
	beat.until = now
	if c.server.state == ownership.ServerReady {
		beat.until = c.keysComeBy(now)
	}
	if beat.until > now {
		// Counting walks the whole record, so heartbeats that need not wait go without it.
		beat.generation, beat.keys = c.ownKeys()
	}
	c.waiting = beat
}

// keysComeBy returns when the keys that were promised to this host should be here, or now if none are on their way or they
// come too late for this heartbeat.
func (c *control) keysComeBy(now ownership.Instant) ownership.Instant {
	last := now
	for giver, due := range c.promised {
		switch {
		case now > due.Add(promiseGrace):
			delete(c.promised, giver)
		case due <= now.Add(mostBeatWait):
			last = max(last, due.Add(promiseGrace))
		}
	}
	return min(last, now.Add(mostBeatWait))
}

// ownKeys returns the generation of the known record and how many keys it gives to this host.
func (c *control) ownKeys() (ownership.Fence, int) {
	record, _ := c.machine.Known()
	if record == nil {
		return 0, 0
	}
	self := record.Find(c.self)
	if self == ownership.Nobody {
		return record.Generation, 0
	}
	keys, _ := record.Held()
	return record.Generation, keys[self]
}

// answerBeats answers the waiting heartbeat when its time is over, or the keys are here.
func (c *control) answerBeats(now ownership.Instant) {
	w := &c.waiting
	if w.answers == nil || now < w.until && !c.haveKeysCome() {
		return
	}
	orders := ownership.Orders{}
	isAlive := c.server.state == ownership.ServerReady || c.server.state == ownership.ServerDraining
	if c.isKeyed() && isAlive && w.ctx.Err() == nil {
		orders = c.machine.Orders(now)
	}
	w.answers <- beatAnswer{orders: orders}
	c.waiting = waitingBeat{}
}

// haveKeysCome tells whether the record has given this host keys since the heartbeat came.
func (c *control) haveKeysCome() bool {
	record, _ := c.machine.Known()
	if record == nil || record.Generation == c.waiting.generation {
		return false
	}
	generation, keys := c.ownKeys()
	hasMore := keys > c.waiting.keys
	c.waiting.generation, c.waiting.keys = generation, keys
	if hasMore {
		clear(c.promised)
	}
	return hasMore
}
