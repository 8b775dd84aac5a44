package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
)

// reachProbeTimeout limits the time of a probe of an unreachable failure domain. It is several round trips, and shorter than
// the interval of the probes.
const reachProbeTimeout = 400 * time.Millisecond

// peerHost is another host, as it is found by its control address.
type peerHost struct {
	host   ownership.HostID
	domain ownership.FailureDomain
}

// peerAt returns the host with a control address. It may be called from any goroutine.
func (c *control) peerAt(address string) (peerHost, bool) {
	peers := c.peerHosts.Load()
	if peers == nil {
		return peerHost{}, false
	}
	p, ok := (*peers)[address]
	return p, ok
}

// gossipDialed records whether a connection to the control address of another daemon was found. It may be called from any
// goroutine.
func (c *control) gossipDialed(address string, err error) {
	reach := c.relay.ActiveReach()
	p, ok := c.peerAt(address)
	switch {
	case reach == nil || !ok || c.ctx.Err() != nil:
	case err != nil:
		reach.Failed(c.clock.Now(), p.domain, p.host)
	default:
		reach.Answered(c.clock.Now(), p.domain)
	}
}

// heardFrom records that a message of the daemon with a control address has arrived.
func (c *control) heardFrom(address string) {
	reach := c.relay.ActiveReach()
	if p, ok := c.peerAt(address); ok && reach != nil {
		reach.Heard(c.clock.Now(), p.domain)
	}
}

// planCarriers removes the unreachable failure domains from those of the given peers, and returns for each domain whose
// daemons are to pass updates on the domains that they pass them on to. A domain without a carrier stays.
func (c *control) planCarriers(
	remote map[ownership.FailureDomain][]string,
) map[ownership.FailureDomain][]ownership.FailureDomain {
	reach := c.relay.ActiveReach()
	if reach == nil {
		return nil
	}
	var carried map[ownership.FailureDomain][]ownership.FailureDomain
	for _, unreachable := range reach.Unreachable() {
		if remote[unreachable] == nil {
			continue
		}
		var carriers []ownership.FailureDomain
		for domain := range remote {
			if reach.CanRelay(c.clock.Now(), unreachable, domain) {
				carriers = append(carriers, domain)
			}
		}
		if len(carriers) == 0 {
			continue
		}
		if carried == nil {
			carried = map[ownership.FailureDomain][]ownership.FailureDomain{}
		}
		carrier := carriers[c.random.IntN(len(carriers))]
		carried[carrier] = append(carried[carrier], unreachable)
		delete(remote, unreachable)
	}
	return carried
}

// relayUpdate passes an update on to the failure domains that its sender cannot reach.
func (c *control) relayUpdate(update peer.Update) {
	if len(update.Relay) == 0 || c.relay.ActiveReach() == nil {
		return
	}
	_, remote := c.peersByDomain()
	var addresses []string
	for domain, peers := range remote {
		if slices.Contains(update.Relay, domain) {
			addresses = append(addresses, peers[c.random.IntN(len(peers))])
		}
	}
	// Only what is meant for all daemons is passed on, and once.
	c.push(addresses, peer.Update{
		Entries: update.Entries, Changes: update.Changes, Announcements: update.Announcements, Reports: update.Reports,
		Forward: true,
	})
	c.observer.counter("gossip.messages_relayed").Inc(int64(len(addresses)))
}

// reachableAddresses returns the control addresses that are not in an unreachable failure domain.
func (c *control) reachableAddresses(addresses []string) []string {
	reach := c.relay.ActiveReach()
	if reach == nil {
		return addresses
	}
	unreachable := reach.Unreachable()
	if len(unreachable) == 0 {
		return addresses
	}
	var reachable []string
	for _, address := range addresses {
		if p, ok := c.peerAt(address); !ok || !slices.Contains(unreachable, p.domain) {
			reachable = append(reachable, address)
		}
	}
	return reachable
}

// probeUnreachable probes the unreachable failure domains whose probe is due, each at one of its hosts.
func (c *control) probeUnreachable() {
	reach := c.relay.ActiveReach()
	if reach == nil {
		return
	}
	for _, domain := range reach.TakeProbes(c.clock.Now()) {
		var hosts []*membership.Host
		for _, h := range c.roster.Hosts() {
			if h.Domain == domain {
				hosts = append(hosts, h)
			}
		}
		if len(hosts) == 0 {
			continue
		}
		address := hosts[c.random.IntN(len(hosts))].HopAddress
		c.async(func(ctx context.Context) func(ownership.Instant) {
			ctx, cancel := context.WithTimeout(ctx, reachProbeTimeout)
			defer cancel()
			if c.daemon.hops.Probe(ctx, address) {
				reach.Answered(c.clock.Now(), domain)
			}
			return nil
		})
	}
}

// forwardCall forwards a call to another host for a daemon that cannot reach it. It does not count as a call of this
// daemon.
func (d *Daemon) forwardCall(ctx context.Context, host ownership.HostID, c call.Call) call.Result {
	relay := d.control.relay
	target := relay.Forward(c.Service, host)
	if target == nil || d.isStopping.Load() {
		return call.NotRun(call.Unreachable)
	}
	result := d.hops.Send(ctx, host, target.HopAddress, c)
	relay.ObserveForwarded(target, result)
	d.observer.callForwarded(host, c, result)
	return result
}

// callRelayed records an attempt by way of the daemon of another host.
func (o *observer) callRelayed(to *caller.Server, c call.Call) {
	o.counter("links.calls_relayed").inc()
	if o.log.IsDebug() && o.allowLine() {
		o.log.Debug("call relayed", "request", c.ID, "to", to.Host, "domain", to.Domain, "via", to.Via.Host,
			"via_domain", to.Via.Domain)
	}
}

// callForwarded records a call that this daemon forwarded for another one.
func (o *observer) callForwarded(host ownership.HostID, c call.Call, result call.Result) {
	o.counter("links.calls_forwarded").inc()
	if o.log.IsDebug() && o.allowLine() {
		o.log.Debug("call forwarded for another daemon", "request", c.ID, "to", host, "origin", c.Origin,
			"outcome", result.Outcome.String(), "reason", result.Reason.String())
	}
}

// reachChanged records that a failure domain has become unreachable or reachable.
func (o *observer) reachChanged(change caller.ReachChange) {
	gauge := metrics.GetOrRegisterGauge("links.unreachable."+string(change.Domain), o.registry)
	if change.IsUnreachable {
		gauge.Update(1)
		o.log.Warn("failure domain unreachable; calls are relayed by way of others", "domain", change.Domain,
			"hosts", change.Hosts)
		return
	}
	gauge.Update(0)
	o.log.Info("failure domain reachable again", "domain", change.Domain, "after_ms", change.After.Milliseconds())
}
