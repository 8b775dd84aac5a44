package caller

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

const (
	// sampleWeight is the weight of one call in a server's moving averages of latency and failure rate.
	sampleWeight = 0.1
	// initialLatency is the latency assumed for a server before its first response.
	initialLatency = 20 * time.Millisecond
	// maxLoadAge is the age at which a reported load is ignored. Its influence decreases linearly until then.
	maxLoadAge = 400 * time.Millisecond
	// ejectThreshold is the number of consecutive failures that ejects a server.
	ejectThreshold = 3
	// ejectDuration is the duration of the first ejection. Each further consecutive ejection lasts twice as long.
	ejectDuration = 500 * time.Millisecond
	// maxEjectDoublings limits how often the ejection duration doubles.
	maxEjectDoublings = 3
	// maxEjectedShare is the largest fraction of a service's servers that may be ejected at a time.
	maxEjectedShare = 0.5
	// warmupPenalty multiplies the score of a server that is warming up after a start.
	warmupPenalty = 2.0
	// crossDomainPenalty multiplies the score of a server in another failure domain, because forwarding there costs
	// time and bandwidth.
	crossDomainPenalty = 1.15
	// failurePenalty is added to the score's multiplier for each consecutive failure.
	failurePenalty = 1.0
)

// serverStats holds what this daemon learned about one server from the results of its own calls.
type serverStats struct {
	latency      time.Duration
	inFlight     int
	failures     int
	ejections    int
	ejectedUntil time.Time
	load         call.Load
	loadTime     time.Time
	// begunSinceLoad counts the calls in flight that began after the load was reported.
	begunSinceLoad int
	// failureRate is a moving average: the fraction of recent calls that failed.
	failureRate float64
}

// balancer selects servers for calls without a key, based on the outcomes of earlier calls. It does not query health
// endpoints.
type balancer struct {
	clock  clockwork.Clock
	domain ownership.FailureDomain

	mu     sync.Mutex
	stats  map[ownership.HostID]*serverStats
	random *rand.Rand
	cold   coldServers
	// outlooks is what is expected of the servers from announcements, and isCapacityAware whether servers are chosen by it.
	outlooks        outlooks
	isCapacityAware bool
}

func newBalancer(domain ownership.FailureDomain, clock clockwork.Clock, random *rand.Rand) *balancer {
	return &balancer{
		clock:  clock,
		domain: domain,
		stats:  map[ownership.HostID]*serverStats{},
		random: random,
		cold:   coldServers{random: random, buckets: map[ownership.HostID]*coldBucket{}},
	}
}

// maxCandidates is the number of servers that pick compares. If there are more, it compares a random subset.
const maxCandidates = 8

// pick returns the server to which a call is sent: the usable one with the lowest score, or nil if there is none. It skips
// the servers in tried.
func (b *balancer) pick(route *ServiceRoute, tried map[ownership.HostID]bool, c *call.Call) *Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	cold, candidates := splitCold(now, route, b.candidates(route, tried))
	for _, s := range candidates {
		b.statsOf(s.Host) // a call stores the statistics of the servers that it compares, a preview does not
	}
	if s := b.cold.take(now, cold); s != nil {
		return s
	}
	if outlook := b.outlookOf(c); outlook != nil {
		return b.pickByCapacity(outlook, candidates, c)
	}
	if len(candidates) > maxCandidates {
		b.random.Shuffle(len(candidates), func(i, j int) {
			candidates[i], candidates[j] = candidates[j], candidates[i]
		})
		candidates = candidates[:maxCandidates]
	}
	var best *Server
	bestScore := 0.0
	for _, s := range candidates {
		// Up to 2% of random jitter spreads calls over servers with nearly equal scores.
		score := b.score(s) * (1 + 0.02*b.random.Float64())
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// candidates returns the usable, untried servers that are not ejected. If all of them, or more than maxEjectedShare,
// are ejected, it ignores the ejections.
func (b *balancer) candidates(route *ServiceRoute, tried map[ownership.HostID]bool) []*Server {
	now := b.clock.Now()
	var active, notEjected []*Server
	for i := range route.Servers {
		s := &route.Servers[i]
		if !s.takesUnkeyed() || tried[s.Host] {
			continue
		}
		active = append(active, s)
		if !now.Before(b.peek(s.Host).ejectedUntil) {
			notEjected = append(notEjected, s)
		}
	}
	ejected := len(active) - len(notEjected)
	if len(notEjected) == 0 || float64(ejected) > maxEjectedShare*float64(len(active)) {
		return active
	}
	return notEjected
}

// score estimates how long a call to a server would take, in seconds, weighted by penalties. Lower is better.
func (b *balancer) score(s *Server) float64 {
	now := b.clock.Now()
	stats := b.peek(s.Host)
	concurrency := float64(max(1, s.Concurrency))
	loadWeight := max(0, 1-now.Sub(stats.loadTime).Seconds()/maxLoadAge.Seconds())
	queue := max(float64(stats.inFlight), loadWeight*float64(stats.load.Running+stats.load.Waiting))
	wait := max(0, queue+1-concurrency) / concurrency
	// The last term prefers the less busy one of two servers that could both start the call at once.
	score := stats.latency.Seconds()*(1+wait+0.1*queue/concurrency) + loadWeight*stats.load.RateDelay.Seconds()
	if now.Before(s.WarmupUntil) {
		score *= warmupPenalty
	}
	if s.Domain != b.domain {
		score *= crossDomainPenalty
	}
	return score * (1 + failurePenalty*float64(stats.failures) + 4*stats.failureRate)
}

// expectedWait returns the wait that a server stated for a new call, or zero if that is too old.
func (b *balancer) expectedWait(host ownership.HostID) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.statsOf(host)
	if b.clock.Since(s.loadTime) >= maxLoadAge {
		return 0
	}
	return max(s.load.QueueDelay, s.load.RateDelay)
}

// hasRoom reports whether a server can start a call at once, as far as is known: it is not ejected, full or at its rate
// limit.
func (b *balancer) hasRoom(server *Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	s := b.statsOf(server.Host)
	slots := max(1, server.Concurrency)
	if now.Before(s.ejectedUntil) || s.inFlight >= slots {
		return false
	}
	isStale := now.Sub(s.loadTime) >= maxLoadAge
	return isStale || s.load.Running+s.load.Waiting < slots && s.load.RateDelay == 0
}

func (b *balancer) statsOf(host ownership.HostID) *serverStats {
	s := b.stats[host]
	if s == nil {
		s = newServerStats()
		b.stats[host] = s
	}
	return s
}

// peek returns the statistics of a server without storing new ones. The caller does not modify them.
func (b *balancer) peek(host ownership.HostID) *serverStats {
	if s := b.stats[host]; s != nil {
		return s
	}
	return newServerStats()
}

func newServerStats() *serverStats { return &serverStats{latency: initialLatency} }

// begin records the start of a call to a server. The returned function records its result.
func (b *balancer) begin(host ownership.HostID) (endCall func(call.Result)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.statsOf(host)
	s.inFlight++
	s.begunSinceLoad++
	start := b.clock.Now()
	return func(result call.Result) { b.end(host, start, result) }
}

// minServerErrorStatus is the lowest HTTP status that counts as a failure of the backend server.
const minServerErrorStatus = 500

func (b *balancer) end(host ownership.HostID, start time.Time, result call.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	s := b.statsOf(host)
	s.inFlight--
	if result.Load != nil {
		s.load, s.loadTime, s.begunSinceLoad = *result.Load, now, 0
	}
	s.begunSinceLoad = min(s.begunSinceLoad, s.inFlight)
	if result.Reason == call.CallerGone {
		return
	}
	elapsed := now.Sub(start)
	isFailure := result.Outcome == class.Unknown ||
		result.Reason == call.Unreachable || result.Reason == call.Refused ||
		result.Outcome == class.Answered && result.Status >= minServerErrorStatus
	s.failureRate *= 1 - sampleWeight
	if result.Outcome == class.Answered && !isFailure {
		s.failures = 0
		s.ejections = 0
		// The latency is that of the whole attempt, including the time in the server's admission queue.
		s.latency += time.Duration(sampleWeight * float64(elapsed-s.latency))
		return
	}
	if !isFailure {
		return
	}
	s.failureRate += sampleWeight
	s.failures++
	if s.failures < ejectThreshold {
		return
	}
	s.failures = 0
	s.ejectedUntil = now.Add(ejectDuration << min(s.ejections, maxEjectDoublings))
	s.ejections++
}

// prune deletes the statistics of servers that are no longer in the routes and have no call in flight.
func (b *balancer) prune(routes Routes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cold.prune(routes)
	for host, s := range b.stats {
		if !routes.hasHost(host) && s.inFlight == 0 {
			delete(b.stats, host)
		}
	}
}
