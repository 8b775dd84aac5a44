package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/timeline"
)

const (
	// announceTimeout is how long a server counts as there after its last announcement.
	announceTimeout = 3 * time.Second
	// grantRenewals is how often a grant is renewed in its own time.
	grantRenewals = 4
	// epochBits leaves room for the epochs of one incarnation below the next incarnation's.
	epochBits = 20
	// maxAnnouncement bounds an announcement, in bytes.
	maxAnnouncement = 4 << 10
)

// server is what the control goroutine knows of the backend server beside it.
type server struct {
	announced   backend.Announcement
	announcedAt time.Time
	client      *backend.Client
	// isReady says that the server takes orders.
	isReady bool
	// stamp is the server's newest stamp, and stampAt when it arrived here.
	stamp   backend.Stamp
	stampAt time.Time
	// answeredAt is when the server last answered a grant.
	answeredAt time.Time
	// grantEnds is when the newest grant has surely run out at the server.
	grantEnds time.Time
	// isAsking says that a grant is on its way.
	isAsking  bool
	nextGrant time.Time
	epoch     backend.Epoch
}

// leaseState is what was last published to traffic.
type leaseState struct {
	version uint64
	epoch   backend.Epoch
	isReady bool
	isLive  bool
}

// announceHandler takes the announcements of the backend server.
func (c *control) announceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+backend.AnnouncePath, func(w http.ResponseWriter, r *http.Request) {
		var a backend.Announcement
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement)).Decode(&a)
		if err == nil {
			err = a.Check()
		}
		if err != nil {
			c.refused("announcement", err)
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		c.post(func(now time.Time) { c.announced(now, a) })
	})
	return mux
}

// announced takes in an announcement.
func (c *control) announced(now time.Time, a backend.Announcement) {
	s := &c.server
	if c.machine != nil && a.Service != s.announced.Service {
		c.refused("announcement", &backend.AnnouncementError{Field: "service", Reason: "cannot change while the daemon runs"})
		return
	}
	s.announcedAt = now
	if a == s.announced {
		return
	}
	isFirst := s.client == nil
	isSameServer := !isFirst && a.Address == s.announced.Address && a.Connections == s.announced.Connections
	if isFirst || a.Slots != s.announced.Slots {
		c.gate.SetPlaces(a.Slots)
	}
	s.announced = a
	if !isSameServer {
		s.client = backend.NewClient(a, c.settings.Limits.BodyBytes, c.clock)
		c.runner.SetClient(s.client)
	}
	c.log.Info("backend server announced", "service", a.Service, "address", a.Address, "draining", a.Draining)
	c.ring.Add(timeline.Event{Kind: timeline.Backend, Name: "announced", Service: string(a.Service), Detail: a.Address})
	if !a.ChecksFences {
		c.serverUp(now)
	}
	c.joinIfAnnounced(now)
	c.updateState(now)
}

// joinIfAnnounced creates the machine once both the store was read and a server is there.
func (c *control) joinIfAnnounced(now time.Time) {
	if c.witness == nil || c.server.client == nil || c.machine != nil || c.isLeaving {
		return
	}
	c.server.epoch = backend.Epoch(c.self.Incarnation) << epochBits
	self := ownership.Member{
		Ref:      c.self,
		Peer:     c.settings.Peer.Advertise,
		Hop:      c.settings.Hop.Advertise,
		Operator: c.settings.Operator.Listen,
		Domain:   c.settings.FailureDomain,
	}
	if !c.server.announced.ChecksFences {
		self.Guard = c.settings.Backend.Guard
	}
	timing := ownership.DefaultTiming()
	timing.Vouch = c.settings.Ownership.Vouch
	timing.Renew = c.settings.Ownership.Renew
	c.machine = ownership.NewMachine(self, c.service(), c.settings.Ownership.Slots, timing, c.random)
	if v, known := c.records[c.service()]; known {
		c.carryOut(now, c.machine.Learn(now, v), "")
		c.learned(now, c.board.Get(cellPrefix+string(c.service())), v.Record)
	}
	c.updateState(now)
}

// updateState tells the machine what the server is fit for.
func (c *control) updateState(now time.Time) {
	if c.machine == nil || c.isLeaving {
		return
	}
	state := ownership.Unready
	if c.server.isReady && !c.server.announced.Draining {
		state = ownership.Active
	}
	if state == ownership.Unready && !c.machine.IsMember() {
		return // a daemon joins once its server can be used
	}
	c.carryOut(now, c.machine.Join(now, state), "")
	c.publish(now)
}

// checkServer renews the grant and notices a server that is gone.
func (c *control) checkServer(now time.Time) {
	s := &c.server
	if s.client == nil || c.machine == nil {
		return
	}
	if s.isReady && now.Sub(s.announcedAt) > announceTimeout {
		c.serverDown(now, "no announcement")
	}
	if !s.announced.ChecksFences {
		return
	}
	if s.isReady && now.Sub(s.answeredAt) > c.settings.Backend.Grant {
		c.serverDown(now, "grants not answered")
	}
	if s.isAsking || now.Before(s.nextGrant) {
		return
	}
	s.isAsking = true
	s.nextGrant = now.Add(c.settings.Backend.Grant / grantRenewals)
	go c.askGrant(s.client, c.nextGrantFor(now))
}

// nextGrantFor returns the grant to send. While this daemon owns slots it never outlasts the lease.
func (c *control) nextGrantFor(now time.Time) backend.Grant {
	s := &c.server
	lasts := c.settings.Backend.Grant
	if c.ownsSlots() {
		lasts = min(lasts, c.machine.LeaseEnd(now).Sub(s.stampAt))
	}
	return backend.Grant{Epoch: s.epoch, Since: s.stamp, For: max(0, lasts)}
}

func (c *control) ownsSlots() bool {
	known := c.machine.Known().Record
	return known != nil && len(known.SlotsOf(c.self)) > 0
}

// askGrant sends a grant. It runs on its own goroutine.
func (c *control) askGrant(client *backend.Client, g backend.Grant) {
	ctx, cancel := context.WithTimeout(c.ctx, c.settings.Backend.Grant/2)
	defer cancel()
	stamp, err := client.Grant(ctx, g)
	c.post(func(now time.Time) { c.granted(now, g, stamp, err) })
}

// granted takes in the server's answer to a grant.
func (c *control) granted(now time.Time, g backend.Grant, stamp backend.Stamp, err error) {
	s := &c.server
	s.isAsking = false
	if err != nil {
		c.log.Debug("grant not taken", "error", err)
		return
	}
	isSameLife := g.Since.Life == stamp.Life
	if isSameLife {
		// The stamp was given before it arrived here, so the grant ends at the server no later than this. A grant
		// that the lease cuts short says nothing against the server.
		ends := s.stampAt.Add(g.For)
		if ends.After(s.grantEnds) {
			s.grantEnds = ends
		}
	} else {
		s.nextGrant = now // the first answer only brings the stamp
	}
	s.stamp = stamp
	s.stampAt = now
	s.answeredAt = now
	if isSameLife {
		c.serverUp(now)
	}
}

// serverUp makes use of the server.
func (c *control) serverUp(now time.Time) {
	if c.server.isReady {
		return
	}
	c.server.isReady = true
	c.event(timeline.Backend, "ready", string(c.server.announced.Service))
	c.log.Info("backend server ready")
	c.updateState(now)
}

// serverDown stops the use of the server. Running calls are answered as unknown, and a later grant has a higher epoch.
func (c *control) serverDown(now time.Time, reason string) {
	s := &c.server
	s.isReady = false
	s.epoch++
	c.event(timeline.Backend, "down", reason)
	c.log.Warn("backend server down", "reason", reason)
	if !s.announced.ChecksFences {
		s.grantEnds = now.Add(c.settings.Backend.Guard)
	}
	c.publish(now)
	c.runner.CutOff(true)
	c.updateState(now)
}

// publish gives traffic the present lease.
func (c *control) publish(now time.Time) {
	if c.machine == nil {
		return
	}
	until := c.machine.LeaseEnd(now)
	isLive := now.Before(until)
	if c.lease.isLive && !isLive && c.ownsSlots() {
		c.server.epoch++
		c.event(timeline.Ownership, "lease_lapsed", c.self.String())
		c.runner.CutOff(false)
	}
	next := leaseState{
		version: c.machine.Version(),
		epoch:   c.server.epoch,
		isReady: c.server.isReady,
		isLive:  isLive,
	}
	if next == c.lease {
		c.runner.Extend(until)
		return
	}
	c.lease = next
	fences := c.machine.Fences()
	lease := backend.Lease{
		Until:   until,
		Fences:  make([]backend.Fence, len(fences)),
		Epoch:   next.epoch,
		IsReady: next.isReady,
	}
	for slot, fence := range fences {
		lease.Fences[slot] = backend.Fence(fence)
	}
	c.runner.SetLease(lease)
}

// reportIdle tells the machine which leaving slots have no running work left. After a server was lost, none is
// idle before its grant has run out.
func (c *control) reportIdle(now time.Time) {
	if len(c.moves) == 0 || !c.server.isReady && now.Before(c.server.grantEnds) {
		return
	}
	c.publish(now) // traffic must have stopped before a slot counts as idle
	moves := c.moves
	c.moves = nil
	for _, move := range moves {
		idle := c.runner.Idle(move.slots)
		if rest := without(move.slots, idle); len(rest) > 0 {
			c.moves = append(c.moves, quiescing{token: move.token, slots: rest})
		}
		c.carryOut(now, c.machine.Idle(now, move.token, idle), "")
	}
	c.publish(now)
}

// without returns the slots that are not in the sorted list of some of them.
func without(slots, some []class.Slot) []class.Slot {
	var rest []class.Slot
	for _, slot := range slots {
		if len(some) > 0 && some[0] == slot {
			some = some[1:]
			continue
		}
		rest = append(rest, slot)
	}
	return rest
}

// leave gives everything away. The channel left closes when this daemon is no longer a member.
func (c *control) leave(now time.Time) {
	c.isLeaving = true
	c.event(timeline.Process, "draining", c.self.String())
	if c.machine == nil || !c.machine.IsMember() {
		c.hasLeft()
		return
	}
	c.carryOut(now, c.machine.Drain(now), "")
	c.publish(now)
}

func itoa[N ~uint64](n N) string { return strconv.FormatUint(uint64(n), 10) }
