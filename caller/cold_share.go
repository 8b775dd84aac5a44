package caller

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/skylarkrelay/skylarkrelay/ownership"
)

const (
	// coldUse is the share of a cold server's rate that all entry daemons together use for calls without a key. Their
	// calls coincide at random, and those above the rate would be rejected after a hop.
	coldUse = 0.5
	// newWarmup is how much later than stated before a server has to be cold for it to count as newly cold.
	newWarmup = time.Second
)

// ColdRate returns the share of one of the given number of entry daemons in the requests per second that a cold server
// accepts.
func ColdRate(warmupRate float64, daemons int) float64 {
	return coldUse * warmupRate / float64(max(1, daemons))
}

// coldBucket is the token bucket for the calls to one cold server.
type coldBucket struct {
	tokens     float64
	refilledAt time.Time
	until      time.Time
}

// coldServers limits the calls to cold servers to this daemon's share of what they accept. The share is far below one
// call a second, so the first token comes at a random time: the calls of all daemons are then spread over the warm-up, and
// a new server gets some from its start.
type coldServers struct {
	random  *rand.Rand
	buckets map[ownership.HostID]*coldBucket
	// onPassedOver is called when a call is not sent to a cold server because the share is used up, if set.
	onPassedOver func()
}

// refill returns the bucket of a server with the tokens up to now.
func (c *coldServers) refill(now time.Time, s *Server) *coldBucket {
	b := c.current(now, s)
	if b == nil {
		b = &coldBucket{tokens: c.random.Float64(), refilledAt: now}
		c.buckets[s.Host] = b
	}
	b.until = s.WarmupUntil
	b.tokens = b.tokensAt(now, s)
	b.refilledAt = now
	return b
}

// current returns the bucket of a server, or nil if it has none for this warm-up.
func (c *coldServers) current(now time.Time, s *Server) *coldBucket {
	b := c.buckets[s.Host]
	if b == nil || !now.Before(b.until) || s.WarmupUntil.Sub(b.until) > newWarmup {
		return nil
	}
	return b
}

// tokensAt returns the tokens up to now.
func (b *coldBucket) tokensAt(now time.Time, s *Server) float64 {
	return min(1, b.tokens+s.ColdRate*now.Sub(b.refilledAt).Seconds())
}

// peek returns the tokens of a server without changing its bucket. A new bucket begins with less than one.
func (c *coldServers) peek(now time.Time, s *Server) float64 {
	if b := c.current(now, s); b != nil {
		return b.tokensAt(now, s)
	}
	return 0
}

// take returns a server with a token and takes the token, or returns nil if no server has one.
func (c *coldServers) take(now time.Time, servers []*Server) *Server {
	for _, s := range servers {
		if b := c.refill(now, s); b.tokens >= 1 {
			b.tokens--
			return s
		}
	}
	if len(servers) > 0 && c.onPassedOver != nil {
		c.onPassedOver()
	}
	return nil
}

// prune forgets the servers that are not in the routes.
func (c *coldServers) prune(routes Routes) {
	for host := range c.buckets {
		if !routes.hasHost(host) {
			delete(c.buckets, host)
		}
	}
}

// splitCold divides candidates into those that are cold and accept a limited rate, and the others. If every server of the
// route that is in use is cold, none is set apart: the daemons beside them reject what is too much.
func splitCold(now time.Time, route *ServiceRoute, candidates []*Server) (cold, others []*Server) {
	if !slices.ContainsFunc(candidates, func(s *Server) bool { return s.isLimited(now) }) {
		return nil, candidates
	}
	for _, s := range candidates {
		if s.isLimited(now) {
			cold = append(cold, s)
		} else {
			others = append(others, s)
		}
	}
	if len(others) > 0 || route.hasWarmServer(now) {
		return cold, others
	}
	return nil, candidates
}

// hasWarmServer reports whether a server in use is not limited as cold.
func (r *ServiceRoute) hasWarmServer(now time.Time) bool {
	for i := range r.Servers {
		s := &r.Servers[i]
		if s.IsUsable && !s.IsShuttingDown && !s.isLimited(now) {
			return true
		}
	}
	return false
}
