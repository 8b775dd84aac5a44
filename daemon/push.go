package daemon

import (
	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
)

// pushLocal sends an update within this failure domain at once.
func (c *control) pushLocal(update peer.Update) { c.pushLocalFanout(fanout, update) }

// pushLocalFanout sends an update within this failure domain: to all daemons of a small domain, otherwise to count
// random ones, which forward it.
func (c *control) pushLocalFanout(count int, update peer.Update) {
	local, _ := c.peersByDomain()
	update.Forward = len(local) > smallDomain
	if update.Forward {
		local = c.sample(local, count)
	}
	c.push(local, update)
}

// pushRemote sends an update to one daemon of each other failure domain, which forwards it within its domain. It is sent to
// unreachable domains by way of another one.
func (c *control) pushRemote(update peer.Update) {
	_, remote := c.peersByDomain()
	update.Forward = true
	carried := c.planCarriers(remote)
	var addresses []string
	for name, domain := range remote {
		address := domain[c.random.IntN(len(domain))]
		if relay := carried[name]; len(relay) > 0 {
			relayed := update
			relayed.Relay = relay
			c.push([]string{address}, relayed)
			continue
		}
		addresses = append(addresses, address)
	}
	c.push(addresses, update)
}

func (c *control) push(to []string, update peer.Update) {
	if len(to) == 0 {
		return
	}
	if len(update.Announcements) > 0 && c.roster.CanUnpack() {
		update.Packed, update.Announcements = membership.PackAnnouncements(update.Announcements), nil
	}
	if err := c.notifier.Push(to, update); err != nil {
		c.log.Error("update not sent to other daemons: cannot encode it", "error", err)
	}
}

// sample returns at most count random addresses. It shuffles the given slice.
func (c *control) sample(addresses []string, count int) []string {
	c.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(count, len(addresses))]
}

// peersByDomain returns the control addresses of the other daemons of this failure domain, and those of each other
// failure domain.
func (c *control) peersByDomain() ([]string, map[ownership.FailureDomain][]string) {
	var local []string
	remote := map[ownership.FailureDomain][]string{}
	for _, h := range c.roster.Hosts() {
		switch {
		case h.Host == c.self:
		case h.Domain == c.daemon.settings.FailureDomain:
			local = append(local, h.ControlAddress)
		default:
			remote[h.Domain] = append(remote[h.Domain], h.ControlAddress)
		}
	}
	return local, remote
}

// knownPeerAddresses returns the control addresses of all other known hosts, or those of the seeds if there are none.
// It may be called from any goroutine.
func (c *control) knownPeerAddresses() []string {
	if known := c.peerAddresses.Load(); known != nil && len(*known) > 0 {
		return *known
	}
	return c.daemon.settings.SeedControlAddresses()
}
