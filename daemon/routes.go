package daemon

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// updateRoutes gives traffic and ownership the membership as it is known now.
func (c *control) updateRoutes(now ownership.Instant) {
	cells := map[class.Service][]caller.Server{}
	hops := map[string]bool{}
	var controls []string
	for _, h := range c.roster.Hosts() {
		if h.Host != c.self {
			hops[h.HopAddress] = true
			controls = append(controls, h.ControlAddress)
		}
		a := h.Announcement
		service := serviceOf(h)
		cells[service] = append(cells[service], caller.Server{
			Host:      h.Host,
			Domain:    h.Domain,
			Hop:       h.HopAddress,
			IsUsable:  c.isFresh(h) && a.IsUsable,
			IsLeaving: a.IsShuttingDown,
			Instance:  a.Instance,
			Places:    a.Capacity,
			SlowUntil: instantTime(c.clock, now, h.AnnouncedAt.Add(time.Duration(a.WarmupMS)*time.Millisecond)),
		})
	}
	routes := caller.Routes{}
	for service, servers := range cells {
		isKeyed := c.config != nil && c.config.Services[service].IsKeyed
		routes[service] = caller.NewCell(isKeyed, servers, c.records[service])
	}
	c.peers.Store(&controls)
	c.table.Set(routes)
	c.relay.Update(routes)
	c.daemon.hops.Keep(hops)
	c.budget.SetDaemons(1 + len(hops))
	if c.isKeyed() {
		c.ownership(now, c.machine.SetServer(now, c.machineState()))
	}
	c.updatePeers(now)
}

// updatePeers gives ownership the hosts of this service, with their load.
func (c *control) updatePeers(now ownership.Instant) {
	c.peersAt = now
	if !c.isKeyed() {
		return
	}
	var peers []ownership.Peer
	for _, h := range c.roster.Hosts() {
		if serviceOf(h) != c.service {
			continue
		}
		peers = append(peers, ownership.Peer{
			Host:       h.Host,
			IsPresent:  h.IsRegistered,
			IsEligible: c.isFresh(h) && h.Announcement.IsReady,
			Instance:   h.Announcement.Instance,
			Places:     h.Announcement.Capacity,
			Load:       h.Announcement.Load,
		})
	}
	c.ownership(now, c.machine.SetPeers(now, peers))
}

// serviceOf returns the service of a host's backend server: what was heard of it last goes before its registration.
func serviceOf(h *membership.Host) class.Service {
	if h.Announcement.Service != "" {
		return h.Announcement.Service
	}
	return h.Service
}

// isFresh tells whether a host's announcement counts. This daemon's own always does.
func (c *control) isFresh(h *membership.Host) bool { return h.IsAnnounced || h.Host == c.self }

// permitState is what the permit in force was made from.
type permitState struct {
	version  uint64
	state    ownership.ServerState
	instance ownership.Instance
	isUsable bool
	isKeyed  bool
	places   int
	client   *backend.Client
}

// updatePermit gives traffic what the backend server may be given now.
func (c *control) updatePermit(now ownership.Instant) {
	s := &c.server
	isUsable := s.state == ownership.ServerReady || s.state == ownership.ServerSilent ||
		s.state == ownership.ServerDraining && now < s.usableUntil
	next := permitState{
		version:  c.machine.Version(),
		state:    s.state,
		instance: s.beat.Instance,
		isUsable: isUsable,
		isKeyed:  c.isKeyed(),
		places:   s.beat.Places,
		client:   s.client,
	}
	if next == c.permitted {
		return
	}
	c.permitted = next
	keys, until := c.machine.Serving()
	c.runner.SetPermit(backend.Permit{
		IsUsable: isUsable,
		Instance: s.beat.Instance.ID,
		IsKeyed:  next.isKeyed,
		Keys:     keys,
		Until:    instantTime(c.clock, now, until),
		Places:   s.beat.Places,
	}, s.client)
}

const (
	// loadWindow is how often the load is measured.
	loadWindow = 250 * time.Millisecond
	// loadWeight is the weight of one window in the load: about a second is remembered.
	loadWeight = 0.25
	// leastKeyLoad is the load, in places, below which a key is forgotten.
	leastKeyLoad = 0.0005
)

// loadMeter measures how many places of the backend server are busy, in all and by key.
type loadMeter struct {
	at   time.Time
	load float64
	keys map[class.Key]float64
}

func newLoadMeter(now time.Time) loadMeter {
	return loadMeter{at: now, keys: map[class.Key]float64{}}
}

// measureLoad closes the measuring window when its time is over.
func (c *control) measureLoad(ownership.Instant) {
	m := &c.loads
	now := c.clock.Now()
	elapsed := now.Sub(m.at)
	if elapsed < loadWindow {
		return
	}
	m.at = now
	worked, busy := c.runner.TakeWorked()
	m.load += loadWeight * (busy.Seconds()/elapsed.Seconds() - m.load)
	for key, load := range m.keys {
		if load *= 1 - loadWeight; load < leastKeyLoad {
			delete(m.keys, key)
		} else {
			m.keys[key] = load
		}
	}
	for key, took := range worked {
		m.keys[key] += loadWeight * took.Seconds() / elapsed.Seconds()
	}
	c.machine.SetLoads(m.keys)
}
