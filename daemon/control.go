// Package daemon puts the parts of a skylarkrelay process together.
package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/gossip"
	"github.com/skylarkrelay/skylarkrelay/operator"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/settings"
	"github.com/skylarkrelay/skylarkrelay/timeline"
)

const (
	// cellPrefix is where the platform keeps the cells' records, by service.
	cellPrefix = "cells/"
	// tickInterval is how often the control goroutine looks at the time.
	tickInterval = 20 * time.Millisecond
	// inboxLength bounds the work that waits for the control goroutine.
	inboxLength = 4096
)

// control owns all control state. Its methods run on one goroutine, unless their comment says otherwise.
type control struct {
	settings settings.Settings
	clock    clockwork.Clock
	log      hclog.Logger
	ring     *timeline.Ring
	registry metrics.Registry
	store    platform.Store
	pool     *peer.Pool
	board    *gossip.Board
	runner   *backend.Runner
	gate     *admission.Gate
	table    *caller.Table
	entry    *caller.Entry
	relay    *caller.Relay
	random   *rand.Rand
	ctx      context.Context

	inbox   chan func(now time.Time)
	self    ownership.Ref
	machine *ownership.Machine
	witness *ownership.Witness
	records map[class.Service]ownership.Versioned
	// addresses holds the control address of each known host.
	addresses map[ownership.HostID]string
	config    operator.Change
	server    server
	lease     leaseState
	loadMeter loadMeter
	moves     []quiescing
	// heardAt is when the last message of another daemon came.
	heardAt   time.Time
	isLeaving bool
	left      chan struct{}
}

// quiescing is a set of slots whose running work is being waited for.
type quiescing struct {
	token uint64
	slots []class.Slot
}

// post hands work to the control goroutine. It may be called from any goroutine.
func (c *control) post(work func(now time.Time)) {
	select {
	case c.inbox <- work:
	case <-c.ctx.Done():
	}
}

// run is the control goroutine.
func (c *control) run(ctx context.Context) error {
	ticker := c.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case work := <-c.inbox:
			work(c.clock.Now())
		case <-ticker.Chan():
			c.tick(c.clock.Now())
		case <-c.runner.IdleSignal():
			c.reportIdle(c.clock.Now())
		}
	}
}

// tick does what time asks for.
func (c *control) tick(now time.Time) {
	if c.witness == nil {
		return
	}
	c.carryOut(now, c.witness.Tick(now), "")
	c.checkServer(now)
	if c.machine != nil {
		c.carryOut(now, c.machine.Tick(now), "")
		c.measureLoad(now)
	}
	c.publish(now)
	c.reportIdle(now)
}

// begin starts the roles of this daemon once the store was read: its incarnation must be above all earlier ones.
func (c *control) begin(now time.Time) {
	incarnation := ownership.Incarnation(now.UnixMilli())
	for _, v := range c.records {
		for _, m := range v.Record.Members {
			if m.Host == c.settings.Host {
				incarnation = max(incarnation, m.Incarnation+1)
			}
		}
	}
	c.self = ownership.Ref{Host: c.settings.Host, Incarnation: incarnation}
	c.witness = ownership.NewWitness(c.self, c.settings.Ownership.Vouch)
	for _, v := range c.records {
		c.witness.Learn(now, v.Record)
	}
	c.log.Info("started", "member", c.self.String())
	c.event(timeline.Process, "started", c.self.String())
	c.entry.Open()
	c.joinIfAnnounced(now)
}

// carryOut does what the state machine wants. Answers go to replyTo where it is given: the asker may not be
// in a known record yet.
func (c *control) carryOut(now time.Time, effects []ownership.Effect, replyTo string) {
	for _, e := range effects {
		switch effect := e.(type) {
		case ownership.Send:
			c.send(effect.To, effect.Message, replyTo)
		case ownership.Notify:
			c.notifyCell(effect.Notice)
		case ownership.Read:
			go c.readRecord()
		case ownership.Write:
			go c.writeRecord(effect)
		case ownership.Adopted:
			c.adopted(now, effect.Known)
		case ownership.Quiesce:
			c.moves = append(c.moves, quiescing{token: effect.Token, slots: effect.Slots})
		case ownership.Event:
			c.ownershipEvent(effect)
		}
	}
}

func (c *control) send(to ownership.Ref, message ownership.Message, replyTo string) {
	if to.Host == c.self.Host {
		c.inboxLocal(message)
		return
	}
	address := replyTo
	if known, ok := c.addresses[to.Host]; ok {
		address = known
	}
	if address != "" {
		c.pool.Message(address, c.config.Revision, c.ring.Now(), message)
	}
}

// inboxLocal delivers a message between two roles of this daemon, in a later turn.
func (c *control) inboxLocal(message ownership.Message) {
	work := func(now time.Time) { c.deliver(now, message, "") }
	select {
	case c.inbox <- work:
	default: // the inbox is full: the message is lost, as on a network
	}
}

// deliver hands a message to the role that it is for.
func (c *control) deliver(now time.Time, message ownership.Message, replyTo string) {
	if c.witness == nil {
		return
	}
	switch m := message.(type) {
	case ownership.VouchRequest:
		c.carryOut(now, c.witness.Vouch(now, m), replyTo)
	case ownership.SealRequest:
		c.carryOut(now, c.witness.Seal(now, m), replyTo)
	default:
		if c.machine != nil {
			c.carryOut(now, c.machine.Deliver(now, message), replyTo)
			c.publish(now)
		}
	}
}

func (c *control) notifyCell(notice ownership.SilenceNotice) {
	v, known := c.records[notice.Service]
	if !known {
		return
	}
	for _, m := range v.Record.Members {
		if m.Ref != notice.Member {
			c.send(m.Ref, notice, "")
		}
	}
}

// readRecord reads the cell's record. It runs on its own goroutine.
func (c *control) readRecord() {
	service := c.service()
	entry, err := c.store.Get(c.ctx, cellPrefix+string(service))
	if err != nil {
		c.post(func(now time.Time) { c.readDone(now, ownership.Versioned{}, false) })
		return
	}
	if entry.Revision == 0 {
		c.post(func(now time.Time) { c.readDone(now, ownership.Versioned{}, true) })
		return
	}
	record, err := ownership.Decode(entry.Data)
	if err != nil {
		c.refused("cell record", err)
		c.post(func(now time.Time) { c.readDone(now, ownership.Versioned{}, false) })
		return
	}
	v := ownership.Versioned{Record: record, Revision: ownership.Revision(entry.Revision)}
	c.post(func(now time.Time) { c.readDone(now, v, true) })
}

func (c *control) readDone(now time.Time, v ownership.Versioned, ok bool) {
	c.carryOut(now, c.machine.ReadDone(now, v, ok), "")
	c.publish(now)
}

// service returns the service of the backend server. It is fixed once the machine exists.
func (c *control) service() class.Service { return c.server.announced.Service }

// writeRecord writes the cell's record. It runs on its own goroutine.
func (c *control) writeRecord(w ownership.Write) {
	key := cellPrefix + string(w.Record.Service)
	revision, err := c.store.Swap(c.ctx, key, platform.Revision(w.Base), w.Record.Encode())
	fate := ownership.WriteLanded
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		fate = ownership.WriteRefused
	case err != nil:
		fate = ownership.WriteLost
		c.log.Debug("record not written", "error", err)
	}
	c.post(func(now time.Time) {
		c.carryOut(now, c.machine.WriteDone(now, w, fate, ownership.Revision(revision)), "")
		c.publish(now)
	})
}

// adopted spreads a record that the machine knows to be newer.
func (c *control) adopted(now time.Time, v ownership.Versioned) {
	entry := platform.Entry{
		Key:      cellPrefix + string(v.Record.Service),
		Data:     v.Record.Encode(),
		Revision: platform.Revision(v.Revision),
	}
	if c.board.Offer(entry) {
		c.learned(now, entry, v.Record)
		for _, m := range v.Record.Members {
			if m.Host != c.self.Host {
				c.pool.Push(m.Peer, entry) // the new owners of slots are told at once
			}
		}
	}
}

// ownershipEvent puts an event of the state machine on the time line and into the log.
func (c *control) ownershipEvent(e ownership.Event) {
	name := e.Kind.String()
	c.log.Info(strings.ReplaceAll(name, "_", " "), "member", e.Member.String(), "detail", e.Detail)
	c.event(timeline.Ownership, name, strings.TrimSpace(e.Member.String()+" "+e.Detail))
	metrics.GetOrRegisterCounter("ownership."+name, c.registry).Inc(1)
	if e.Kind == ownership.EventLeft && c.isLeaving {
		c.hasLeft()
	}
}

// hasLeft tells the stopping process that nothing is owned any more.
func (c *control) hasLeft() {
	select {
	case <-c.left:
	default:
		close(c.left)
	}
}

// event puts something on the time line. It may be called from any goroutine.
func (c *control) event(kind timeline.Kind, name, detail string) {
	c.ring.Add(timeline.Event{Kind: kind, Name: name, Detail: detail})
}

// refused records input that was not understood. It may be called from any goroutine.
func (c *control) refused(what string, err error) {
	c.log.Warn("refused "+what, "error", err)
	c.event(timeline.Refused, strings.ReplaceAll(what, " ", "_"), err.Error())
	metrics.GetOrRegisterCounter("refused."+strings.ReplaceAll(what, " ", "_"), c.registry).Inc(1)
}
