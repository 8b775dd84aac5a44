package daemon

import (
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
)

// tellNear passes news on in this failure domain at once.
func (c *control) tellNear(news peer.News) { c.tellSome(fanout, news) }

// tellSome passes news on in this failure domain: to all daemons of a small one, else to so many, which pass it on.
func (c *control) tellSome(count int, news peer.News) {
	near, _ := c.neighbours()
	news.Relay = len(near) > smallMesh
	if news.Relay {
		near = c.some(near, count)
	}
	c.push(near, news)
}

// tellFar tells one daemon of each other failure domain, which tells its own.
func (c *control) tellFar(news peer.News) {
	_, far := c.neighbours()
	news.Relay = true
	var addresses []string
	for _, domain := range far {
		addresses = append(addresses, domain[c.random.IntN(len(domain))])
	}
	c.push(addresses, news)
}

func (c *control) push(to []string, news peer.News) {
	if len(to) == 0 {
		return
	}
	if err := c.pool.Push(to, news); err != nil {
		c.log.Error("news not spread", "error", err)
	}
}

// some returns a few random ones of some addresses.
func (c *control) some(addresses []string, count int) []string {
	c.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(count, len(addresses))]
}

// neighbours returns the control addresses of the other daemons of this failure domain, and those of the others.
func (c *control) neighbours() ([]string, map[ownership.Domain][]string) {
	var near []string
	far := map[ownership.Domain][]string{}
	for _, h := range c.roster.Hosts() {
		switch {
		case h.Host == c.self:
		case h.Domain == c.daemon.settings.FailureDomain:
			near = append(near, h.Control)
		default:
			far[h.Domain] = append(far[h.Domain], h.Control)
		}
	}
	return near, far
}

// peerControls returns the control addresses of all other known hosts. It may be called from any goroutine.
func (c *control) peerControls() []string {
	if known := c.peers.Load(); known != nil && len(*known) > 0 {
		return *known
	}
	return c.daemon.settings.SeedControlAddresses()
}
