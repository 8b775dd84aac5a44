package daemon

import (
	"slices"
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
	var peers []ownership.Peer
	for _, p := range c.knownHosts() {
		a, isFresh := c.announcementOf(now, p.Host)
		if a.Service != "" {
			p.Service = a.Service
		}
		hops[p.Hop] = true
		cells[p.Service] = append(cells[p.Service], caller.Server{
			Host:      p.Host,
			Domain:    p.Domain,
			Hop:       p.Hop,
			IsUsable:  isFresh && a.IsUsable,
			Instance:  a.Instance,
			Places:    a.Places,
			SlowUntil: c.clock.Now().Add(time.Duration(a.WarmupMS) * time.Millisecond),
		})
		if p.Service == c.service {
			peers = append(peers, ownership.Peer{
				Host:       p.Host,
				IsPresent:  !c.board.Get(c.layout.Presence(p.Host)).IsDeleted,
				IsEligible: isFresh && a.IsReady,
				Instance:   a.Instance,
				Places:     a.Places,
				Load:       a.Load,
			})
		}
	}
	routes := caller.Routes{}
	for service, servers := range cells {
		isKeyed := c.config != nil && c.config.Services[service].IsKeyed
		routes[service] = caller.NewCell(isKeyed, servers, c.records[service])
	}
	c.table.Set(routes)
	c.relay.Update(routes)
	c.daemon.hops.Keep(hops)
	c.budget.SetDaemons(len(hops))
	if c.isKeyed() {
		c.ownership(now, c.machine.SetServer(now, c.machineState()))
		c.ownership(now, c.machine.SetPeers(now, peers))
	}
}

// knownHosts returns the registered hosts, and those whose presence the store has lost while they are still heard of.
// Of several hosts with one address, the last that registered has it.
func (c *control) knownHosts() []membership.Presence {
	hosts := c.withoutReplaced(c.presences())
	registered := map[ownership.HostID]bool{}
	for _, p := range hosts {
		registered[p.Host] = true
		c.spread.lastPresence[p.Host] = p
	}
	for host, p := range c.spread.lastPresence {
		if registered[host] {
			continue
		}
		_, isHeard := c.spread.announcedAt[host]
		isReplaced := slices.ContainsFunc(hosts, func(h membership.Presence) bool { return h.Hop == p.Hop })
		if isHeard && !isReplaced {
			hosts = append(hosts, p)
		} else {
			delete(c.spread.lastPresence, host)
		}
	}
	return hosts
}

// withoutReplaced leaves out hosts whose address has gone to another one.
func (c *control) withoutReplaced(hosts []membership.Presence) []membership.Presence {
	newest := map[string]membership.Version{}
	for _, p := range hosts {
		newest[p.Hop] = max(newest[p.Hop], c.board.Get(c.layout.Presence(p.Host)).Version)
	}
	return slices.DeleteFunc(hosts, func(p membership.Presence) bool {
		return c.board.Get(c.layout.Presence(p.Host)).Version < newest[p.Hop]
	})
}

// announcementOf returns a host's newest announcement and whether it is fresh.
func (c *control) announcementOf(now ownership.Instant, host ownership.HostID) (membership.Announcement, bool) {
	e := c.board.Get(announcePrefix + string(host))
	if e.Version == 0 {
		return membership.Announcement{}, false
	}
	a, err := membership.DecodeEntry[membership.Announcement](e)
	if err != nil {
		c.observer.refused("announcement", err)
		return membership.Announcement{}, false
	}
	at, isHeard := c.spread.announcedAt[host]
	return a, host == c.self || isHeard && now.Sub(at) <= announceFresh
}

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
