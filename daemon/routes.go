package daemon

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/quarantine"
)

// updateRoutes applies the current membership to the routes of calls and to the ownership machine.
func (c *control) updateRoutes(now ownership.Instant) {
	serversByService := map[class.Service][]caller.Server{}
	hopAddresses := map[string]bool{}
	domainSizes := map[ownership.FailureDomain]int{}
	var controlAddresses []string
	peers := map[string]peerHost{}
	hosts := c.roster.Hosts()
	for i, h := range hosts {
		if h.Host == c.self {
			c.daemon.quarantine.SetTurn(quarantine.Turn{Index: i, Count: len(hosts)})
		}
		domainSizes[h.Domain]++
		if h.Host != c.self {
			hopAddresses[h.HopAddress] = true
			controlAddresses = append(controlAddresses, h.ControlAddress)
			peers[h.ControlAddress] = peerHost{host: h.Host, domain: h.Domain}
		}
		a := h.Announcement
		service := serviceOf(h)
		serversByService[service] = append(serversByService[service], caller.Server{
			Host:           h.Host,
			Domain:         h.Domain,
			HopAddress:     h.HopAddress,
			IsUsable:       c.isFresh(h) && a.IsUsable && c.mayUseDomain(now, h.Domain),
			IsShuttingDown: a.IsShuttingDown,
			IsEvacuated:    c.evacuation.tracker.IsEvacuated(h.Domain),
			Instance:       a.Instance,
			Concurrency:    a.Concurrency,
			WarmupUntil:    clockTime(c.clock, now, h.AnnouncedAt.Add(time.Duration(a.WarmupMS)*time.Millisecond)),
			ColdRate:       c.coldRate(service),
		})
	}
	routes := caller.Routes{}
	for service, servers := range serversByService {
		isKeyed := c.config != nil && c.config.Services[service].IsKeyed
		routes[service] = caller.NewServiceRoute(isKeyed, servers, c.records[service])
		routes[service].RecordSeenAt = c.recordSeenAt(service)
	}
	c.peerAddresses.Store(&controlAddresses)
	c.peerHosts.Store(&peers)
	c.table.Set(routes)
	c.relay.SetDomainSizes(domainSizes)
	c.relay.PruneServers(routes)
	c.daemon.hops.SetAddresses(hopAddresses)
	c.budget.SetDaemons(1 + len(hopAddresses))
	if c.isKeyed() {
		c.runOwnershipEffects(now, c.machine.SetServerState(now, c.serverStateForOwnership()))
		c.runOwnershipEffects(now, c.machine.SetEvacuated(now, c.isEvacuated(), c.evacuation.handoverAt))
	}
	c.updatePeers(now)
}

// updatePeers passes the hosts of this service and their load to the ownership machine.
func (c *control) updatePeers(now ownership.Instant) {
	c.peersUpdatedAt = now
	c.updateCapacities(now)
	if !c.isKeyed() {
		return
	}
	var peers []ownership.Peer
	for _, h := range c.roster.Hosts() {
		if serviceOf(h) != c.service {
			continue
		}
		peers = append(peers, ownership.Peer{
			Host:        h.Host,
			IsPresent:   h.IsRegistered,
			IsEligible:  c.isFresh(h) && h.Announcement.IsReady && !c.evacuation.tracker.IsEvacuated(h.Domain),
			Instance:    h.Announcement.Instance,
			Concurrency: h.Announcement.Concurrency,
			Load:        h.Announcement.Load,
			Capacity:    c.capacityOf(h),
			ColdShare:   c.coldShare(now, h),
		})
	}
	c.runOwnershipEffects(now, c.machine.SetPeers(now, peers))
}

// serviceOf returns the service of a host's backend server. The latest announcement takes precedence over the
// registration.
func serviceOf(h *membership.Host) class.Service {
	if h.Announcement.Service != "" {
		return h.Announcement.Service
	}
	return h.Service
}

// isFresh reports whether a host's announcement is valid. This daemon's own announcement always is.
func (c *control) isFresh(h *membership.Host) bool { return h.IsAnnounced || h.Host == c.self }

// permitInputs holds the values that the current permit was computed from.
type permitInputs struct {
	version     uint64
	state       ownership.ServerState
	instance    ownership.Instance
	isUsable    bool
	isKeysOnly  bool
	isLeaving   bool
	isKeyed     bool
	concurrency int
	client      *backend.Client
	warmup      admission.WarmupLimit
}

// updatePermit updates the permit of the runner, which states what work the backend server may get.
func (c *control) updatePermit(now ownership.Instant) {
	s := &c.server
	isUsable := s.state == ownership.ServerReady || s.isSilentAfterReport() ||
		s.state == ownership.ServerDraining && now < s.usableUntil
	next := permitInputs{
		version:     c.machine.ServedVersion(),
		state:       s.state,
		instance:    s.heartbeat.Instance,
		isUsable:    isUsable && c.mayUseDomain(now, c.daemon.settings.FailureDomain),
		isKeysOnly:  c.isEvacuated(),
		isLeaving:   s.usableUntil != 0,
		isKeyed:     c.isKeyed(),
		concurrency: s.heartbeat.Concurrency,
		client:      s.client,
		warmup:      c.warmupLimit(c.service),
	}
	if next == c.permit {
		return
	}
	c.permit = next
	keys, until := c.machine.ServedKeys()
	if next.isKeysOnly {
		// This binds also while the control goroutine gets no processor time.
		until = min(until, c.evacuation.tracker.KeysUntil(c.daemon.settings.FailureDomain))
	}
	c.runner.SetPermit(backend.Permit{
		IsUsable:       next.isUsable,
		IsKeysOnly:     next.isKeysOnly,
		Instance:       s.heartbeat.Instance.ID,
		ServerInstance: s.heartbeat.Instance,
		IsLeaving:      next.isLeaving,
		IsKeyed:        next.isKeyed,
		Keys:           keys,
		KeysValidUntil: clockTime(c.clock, now, until),
		Concurrency:    s.heartbeat.Concurrency,
		Warmup:         next.warmup,
		ColdUntil:      clockTime(c.clock, now, s.warmupUntil),
	}, s.client)
}

const (
	// loadInterval is the interval at which the load is measured.
	loadInterval = 250 * time.Millisecond
	// loadSmoothing is the weight of one interval in the moving average of the load, which covers about one second.
	loadSmoothing = 0.25
	// minKeyLoad is the load, in running calls, below which a key is no longer tracked.
	minKeyLoad = 0.0005
)

// loadMeter measures the load of the backend server, in total and by key: the average number of calls that run, or would
// run if none were rejected.
type loadMeter struct {
	intervalStart time.Time
	load          float64
	keys          map[class.Key]float64
	// shape is the load by key over a longer time, while the configuration is load-aware.
	shape map[class.Key]float64
}

func newLoadMeter(now time.Time) loadMeter {
	return loadMeter{intervalStart: now, keys: map[class.Key]float64{}, shape: map[class.Key]float64{}}
}

// measureLoad ends the current measuring interval when it is over.
func (c *control) measureLoad(ownership.Instant) {
	m := &c.loadMeter
	now := c.clock.Now()
	elapsed := now.Sub(m.intervalStart)
	if elapsed < loadInterval {
		return
	}
	m.intervalStart = now
	demand, totalDemand := c.runner.TakeDemand()
	m.load += loadSmoothing * (totalDemand.Seconds()/elapsed.Seconds() - m.load)
	for key, load := range m.keys {
		if load *= 1 - loadSmoothing; load < minKeyLoad {
			delete(m.keys, key)
		} else {
			m.keys[key] = load
		}
	}
	for key, runTime := range demand {
		m.keys[key] += loadSmoothing * runTime.Seconds() / elapsed.Seconds()
	}
	c.machine.SetLoads(m.keys)
	c.measureShape(demand, elapsed)
}
