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
	// latencyWeight is the weight of one call in a server's measured latency.
	latencyWeight = 0.1
	// firstLatency is assumed of a server before its first answer.
	firstLatency = 20 * time.Millisecond
	// loadAge is how long what a daemon said of its server's load is believed; it fades over that time.
	loadAge = 400 * time.Millisecond
	// ejectAfter is how many failures in a row take a server out.
	ejectAfter = 3
	// ejectTime is how long the first ejection lasts. Each further one in a row lasts twice as long.
	ejectTime = 500 * time.Millisecond
	// ejectDoublings bounds the growth of ejections.
	ejectDoublings = 3
	// ejectShare is the largest part of a service's servers that may be out at a time.
	ejectShare = 0.5
	// slowFactor is how much worse a server looks while it is slow after its start.
	slowFactor = 2.0
	// distantFactor is how much worse a server of another failure domain looks: a hop there costs time and bytes.
	distantFactor = 1.15
	// failureFactor is how much worse a server looks for each failure in a row.
	failureFactor = 1.0
)

// standing is what an entry knows of one server from the outcomes of its own calls.
type standing struct {
	latency   time.Duration
	inFlight  int
	failures  int
	ejections int
	outUntil  time.Time
	load      call.Load
	loadAt    time.Time
	// failureRate is the part of its answers that were failures, lately.
	failureRate float64
}

// balancer chooses a server for work without a key. Outcomes decide; health endpoints are not asked.
type balancer struct {
	clock  clockwork.Clock
	domain ownership.Domain

	mu        sync.Mutex
	standings map[ownership.HostID]*standing
	random    *rand.Rand
}

func newBalancer(domain ownership.Domain, clock clockwork.Clock, random *rand.Rand) *balancer {
	return &balancer{clock: clock, domain: domain, standings: map[ownership.HostID]*standing{}, random: random}
}

// fullSearch is up to how many servers all are compared; among more, a few random ones.
const fullSearch = 8

// pick chooses among a cell's usable servers, leaving out those already tried, or returns nil.
func (b *balancer) pick(cell *Cell, tried map[ownership.HostID]bool) *Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := b.candidates(cell, tried)
	if len(candidates) > fullSearch {
		b.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		candidates = candidates[:fullSearch]
	}
	var best *Server
	bestScore := 0.0
	for _, s := range candidates {
		score := b.score(s) * (1 + 0.02*b.random.Float64())
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// candidates returns the usable servers that are not ejected. Ejections beyond the bound are ignored.
func (b *balancer) candidates(cell *Cell, tried map[ownership.HostID]bool) []*Server {
	now := b.clock.Now()
	var active, usable []*Server
	for i := range cell.Servers {
		s := &cell.Servers[i]
		if !s.IsUsable || s.IsShuttingDown || tried[s.Host] {
			continue
		}
		active = append(active, s)
		if !now.Before(b.standing(s.Host).outUntil) {
			usable = append(usable, s)
		}
	}
	out := len(active) - len(usable)
	if len(usable) == 0 || float64(out) > ejectShare*float64(len(active)) {
		return active
	}
	return usable
}

// score tells how long a call would take: the lower the better.
func (b *balancer) score(s *Server) float64 {
	now := b.clock.Now()
	st := b.standing(s.Host)
	places := float64(max(1, s.Concurrency))
	trust := max(0, 1-now.Sub(st.loadAt).Seconds()/loadAge.Seconds())
	queue := max(float64(st.inFlight), trust*float64(st.load.Running+st.load.Waiting))
	wait := max(0, queue+1-places) / places
	score := st.latency.Seconds() * (1 + wait + 0.1*queue/places)
	if now.Before(s.WarmupUntil) {
		score *= slowFactor
	}
	if s.Domain != b.domain {
		score *= distantFactor
	}
	return score * (1 + failureFactor*float64(st.failures) + 4*st.failureRate)
}

func (b *balancer) standing(host ownership.HostID) *standing {
	s := b.standings[host]
	if s == nil {
		s = &standing{latency: firstLatency}
		b.standings[host] = s
	}
	return s
}

// begin counts a call on a server. The returned function takes in its outcome.
func (b *balancer) begin(host ownership.HostID) (end func(call.Result)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.standing(host).inFlight++
	start := b.clock.Now()
	return func(a call.Result) { b.end(host, start, a) }
}

// Statuses of a backend server that say that it failed.
const leastServerError = 500

func (b *balancer) end(host ownership.HostID, start time.Time, a call.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	s := b.standing(host)
	s.inFlight--
	if a.Load != nil {
		s.load, s.loadAt = *a.Load, now
	}
	if a.Reason == call.CallerGone {
		return
	}
	took := now.Sub(start)
	isFailure := a.Outcome == class.Unknown || a.Reason == call.Unreachable || a.Reason == call.Refused ||
		a.Outcome == class.Answered && a.Status >= leastServerError
	s.failureRate *= 1 - latencyWeight
	if a.Outcome == class.Answered && !isFailure {
		s.failures = 0
		s.ejections = 0
		// The load tells of the queue, so that latency is about the work alone.
		s.latency += time.Duration(latencyWeight * float64(took-s.latency))
		return
	}
	if !isFailure {
		return
	}
	s.failureRate += latencyWeight
	s.failures++
	if s.failures < ejectAfter {
		return
	}
	s.failures = 0
	s.outUntil = now.Add(ejectTime << min(s.ejections, ejectDoublings))
	s.ejections++
}

// forget drops the standings of servers that are in no cell any more.
func (b *balancer) forget(routes Routes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for host, s := range b.standings {
		if !routes.knows(host) && s.inFlight == 0 {
			delete(b.standings, host)
		}
	}
}
