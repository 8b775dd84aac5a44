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
	// ejectAfter is how many failures in a row take a server out.
	ejectAfter = 3
	// ejectTime is how long the first ejection lasts. Each further one in a row lasts twice as long.
	ejectTime = time.Second
	// ejectDoublings bounds the growth of ejections.
	ejectDoublings = 5
	// ejectShare is the largest part of a service's servers that may be out at a time.
	ejectShare = 0.5
	// slowStart is how long a new server gets less than its share.
	slowStart = 10 * time.Second
	// slowStartFactor is how much worse a new server looks at first.
	slowStartFactor = 4.0
)

// standing is what an entry knows of one server from the outcomes of its own calls.
type standing struct {
	latency   time.Duration
	inFlight  int
	failures  int
	ejections int
	outUntil  time.Time
	since     time.Time
}

// balancer chooses a server for work without a key. Outcomes decide; health endpoints are not asked.
type balancer struct {
	clock  clockwork.Clock
	domain ownership.Domain

	mu        sync.Mutex
	standings map[ownership.Ref]*standing
	random    *rand.Rand
}

func newBalancer(domain ownership.Domain, clock clockwork.Clock, random *rand.Rand) *balancer {
	return &balancer{clock: clock, domain: domain, standings: map[ownership.Ref]*standing{}, random: random}
}

// pick chooses among a cell's active members, leaving out those already tried, or returns nil.
func (b *balancer) pick(record *ownership.Record, tried map[ownership.Ref]bool) *ownership.Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := b.candidates(record, tried)
	if len(candidates) == 0 {
		return nil
	}
	first := candidates[b.random.IntN(len(candidates))]
	second := candidates[b.random.IntN(len(candidates))]
	if near := b.near(candidates); near != nil {
		second = near // the choice of two is between a near server and any server
	}
	if b.score(second) <= b.score(first) {
		return second
	}
	return first
}

// candidates returns the active members that are not ejected. Ejections beyond the bound are ignored.
func (b *balancer) candidates(record *ownership.Record, tried map[ownership.Ref]bool) []*ownership.Member {
	now := b.clock.Now()
	var active, usable []*ownership.Member
	for i := range record.Members {
		m := &record.Members[i]
		if m.State != ownership.Active || tried[m.Ref] {
			continue
		}
		active = append(active, m)
		if !now.Before(b.standing(m.Ref).outUntil) {
			usable = append(usable, m)
		}
	}
	out := len(active) - len(usable)
	if float64(out) > ejectShare*float64(len(active)) {
		return active
	}
	return usable
}

// near returns a random candidate of this failure domain, or nil.
func (b *balancer) near(candidates []*ownership.Member) *ownership.Member {
	var near []*ownership.Member
	for _, m := range candidates {
		if m.Domain == b.domain {
			near = append(near, m)
		}
	}
	if len(near) == 0 {
		return nil
	}
	return near[b.random.IntN(len(near))]
}

// score tells how long a call would take: the lower the better.
func (b *balancer) score(m *ownership.Member) float64 {
	s := b.standing(m.Ref)
	score := (s.latency + time.Millisecond).Seconds() * float64(s.inFlight+1)
	if age := b.clock.Since(s.since); age < slowStart {
		score *= 1 + slowStartFactor*(1-age.Seconds()/slowStart.Seconds())
	}
	return score
}

func (b *balancer) standing(ref ownership.Ref) *standing {
	s := b.standings[ref]
	if s == nil {
		s = &standing{since: b.clock.Now()}
		b.standings[ref] = s
	}
	return s
}

// begin counts a call on a server. The returned function takes in its outcome.
func (b *balancer) begin(ref ownership.Ref) (end func(call.Answer)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.standing(ref).inFlight++
	start := b.clock.Now()
	return func(a call.Answer) { b.end(ref, start, a) }
}

func (b *balancer) end(ref ownership.Ref, start time.Time, a call.Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	s := b.standing(ref)
	s.inFlight--
	took := now.Sub(start)
	if a.Outcome == class.Answered {
		s.failures = 0
		s.ejections = 0
		s.latency += time.Duration(latencyWeight * float64(took-s.latency))
		return
	}
	isFailure := a.Outcome == class.Unknown || a.Reason == call.Unreachable || a.Reason == call.NotOwner
	if a.Reason == call.CallerGone || !isFailure {
		return
	}
	s.failures++
	if s.failures < ejectAfter {
		return
	}
	s.failures = 0
	s.outUntil = now.Add(ejectTime << min(s.ejections, ejectDoublings))
	s.ejections++
	s.since = s.outUntil // a server that comes back starts slowly
}

// forget drops the standings of servers that are in no cell any more.
func (b *balancer) forget(routes Routes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for ref, s := range b.standings {
		if !routes.knows(ref) && s.inFlight == 0 {
			delete(b.standings, ref)
		}
	}
}
