package caller

import (
	"math"
	"time"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/capacity"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

const (
	// sampledServers is the number of candidates that are compared for an offer, and maxDraws bounds the attempts to draw one
	// of them in proportion to the weights. With more candidates, entry daemons with the same knowledge choose the same
	// servers: in the simulation of 34 servers, five candidates took 11% more offers than three.
	sampledServers = 3
	maxDraws       = 8
	// minSpareRatio and maxSpareRatio bound the spare capacity of a server relative to the mean in its weight.
	minSpareRatio = 0.25
	maxSpareRatio = 2.0
	// reportedDecay is the time constant with which the load in a response loses its influence.
	reportedDecay = 400 * time.Millisecond
	// announcedSmoothing is the time constant of the moving average of a server's announced utilisation, and announcedGain
	// the share of its deviation from the mean that counts. Announcements are noisy, and all entry daemons get the same ones:
	// with single announcements in full, they all move to the same servers, and offers are rejected more often than without.
	announcedSmoothing = 4 * time.Second
	announcedGain      = 0.3
	// fullCost is the cost of a full server, in mean run times of the class. It makes up for the rejections.
	fullCost = 4.0
	// announcedDecay is the time constant with which an announced utilisation approaches the mean of the service.
	announcedDecay = 2 * time.Second
	// joinTime is the time after its first announcement for which a server is assumed to be utilised like the others. It is
	// idle at first, and would otherwise get the calls of all entry daemons until it announces their load.
	joinTime = 2 * time.Second
	// initialUtilisation is assumed before any server has announced its load.
	initialUtilisation = 0.5
	// crossDomainTime is the time that a hop to another failure domain takes longer, there and back.
	crossDomainTime = 2 * time.Millisecond
	// localPreference and bulkLocalPreference are the shares of the run time that a call may take longer in its own failure
	// domain, because bytes between domains are paid for.
	localPreference     = 0.05
	bulkLocalPreference = 0.25
	// busierTolerance is how much higher than the mean, as a share of it, the utilisation of the local servers is when they
	// are no longer preferred.
	busierTolerance = 0.2
)

// ServerReport is what is known of a server from the announcements of the daemon beside it.
type ServerReport struct {
	Host     ownership.HostID
	Service  class.Service
	Domain   ownership.FailureDomain
	Instance ownership.Instance
	// Slots is the number of calls that the server runs at a time, and Capacity its capacity relative to the mean of its
	// service.
	Slots    int
	Capacity float64
	RunTimes capacity.RunTimes
	// Load is the announced number of running calls, and AnnouncedAt when it was announced. It is zero if the load is not
	// known.
	Load        float64
	AnnouncedAt time.Time
}

// serverOutlook is what is expected of one server.
type serverOutlook struct {
	instance ownership.Instance
	joinedAt time.Time
	capacity float64
	runTimes capacity.RunTimes
	// utilisation is the announced one, or the mean of the service.
	utilisation float64
	announcedAt time.Time
	// weight is in proportion to how often the server is a candidate.
	weight float64
}

// serviceOutlook is what is expected of the servers of one service.
type serviceOutlook struct {
	servers map[ownership.HostID]*serverOutlook
	// runTimes holds the run time in seconds of each class on a server of capacity 1.
	runTimes    map[class.Name]float64
	utilisation float64
	// localPreference is the share of the preference of the own failure domain that is in effect.
	localPreference float64
	maxWeight       float64
	updatedAt       time.Time
}

// outlooks holds what is expected of the servers of all services. A set is replaced as a whole.
type outlooks map[class.Service]*serviceOutlook

// SetServerReports replaces what is known of the servers of all services from announcements.
func (r *Relay) SetServerReports(reports []ServerReport) {
	b := r.balancer
	now := b.clock.Now()
	b.mu.Lock()
	before := b.outlooks
	b.mu.Unlock()
	next := newOutlooks(now, b.domain, before, reports)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outlooks = next
}

// setCapacityAware makes the balancer choose servers by their capacity, or not.
func (b *balancer) setCapacityAware(isCapacityAware bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isCapacityAware = isCapacityAware
}

func newOutlooks(now time.Time, domain ownership.FailureDomain, before outlooks, reports []ServerReport) outlooks {
	next := outlooks{}
	byService := map[class.Service][]*ServerReport{}
	for i := range reports {
		byService[reports[i].Service] = append(byService[reports[i].Service], &reports[i])
	}
	for service, serviceReports := range byService {
		next[service] = newServiceOutlook(now, domain, before[service], serviceReports)
	}
	return next
}

func newServiceOutlook(
	now time.Time, domain ownership.FailureDomain, before *serviceOutlook, reports []*ServerReport,
) *serviceOutlook {
	o := &serviceOutlook{
		servers: make(map[ownership.HostID]*serverOutlook, len(reports)), runTimes: meanRunTimes(reports),
		updatedAt: now,
	}
	var all, local utilisationSum
	for _, r := range reports {
		if now.Sub(before.joinTime(now, r)) < joinTime {
			continue
		}
		all.add(r)
		if r.Domain == domain {
			local.add(r)
		}
	}
	o.utilisation = all.mean(initialUtilisation)
	excess := local.mean(o.utilisation)/max(o.utilisation, minMeanUtilisation) - 1
	o.localPreference = min(1, max(0, 1-excess/busierTolerance))
	spare := max(minMeanUtilisation, 1-o.utilisation)
	for _, r := range reports {
		s := &serverOutlook{
			instance: r.Instance, capacity: max(capacity.MinCapacity, r.Capacity), runTimes: r.RunTimes,
			utilisation: o.utilisation, announcedAt: r.AnnouncedAt,
		}
		s.joinedAt = before.joinTime(now, r)
		if !r.AnnouncedAt.IsZero() && now.Sub(s.joinedAt) >= joinTime {
			s.utilisation = before.smoothed(now, r)
		}
		ratio := (1 - o.utilisationOf(now, s)) / spare
		s.weight = s.capacity * float64(max(1, r.Slots)) * min(maxSpareRatio, max(minSpareRatio, ratio))
		o.maxWeight = max(o.maxWeight, s.weight)
		o.servers[r.Host] = s
	}
	return o
}

// minMeanUtilisation bounds the mean utilisation and the mean spare capacity as divisors.
const minMeanUtilisation = 0.05

// utilisationSum adds up the utilisation of servers, weighted by their capacity.
type utilisationSum struct{ load, capacity float64 }

func (u *utilisationSum) add(r *ServerReport) {
	if r.AnnouncedAt.IsZero() {
		return
	}
	u.load += r.Load * r.Capacity
	u.capacity += float64(max(1, r.Slots)) * r.Capacity
}

func (u *utilisationSum) mean(otherwise float64) float64 {
	if u.capacity == 0 {
		return otherwise
	}
	return u.load / u.capacity
}

// joinTime returns when the present instance of a server was first reported. The servers of the first reports have been
// there before.
func (o *serviceOutlook) joinTime(now time.Time, r *ServerReport) time.Time {
	if o == nil {
		return time.Time{}
	}
	if s := o.servers[r.Host]; s != nil && s.instance == r.Instance {
		return s.joinedAt
	}
	return now
}

// smoothed returns the moving average of the announced utilisation of a server. The first one counts in full.
func (o *serviceOutlook) smoothed(now time.Time, r *ServerReport) float64 {
	announced := r.Load / float64(max(1, r.Slots))
	if o == nil || o.servers[r.Host] == nil {
		return announced
	}
	weight := math.Exp(-now.Sub(o.updatedAt).Seconds() / announcedSmoothing.Seconds())
	return weight*o.servers[r.Host].utilisation + (1-weight)*announced
}

// meanRunTimes returns the mean run time in seconds of each class on a server of capacity 1.
func meanRunTimes(reports []*ServerReport) map[class.Name]float64 {
	sums, counts := map[class.Name]float64{}, map[class.Name]int{}
	for _, r := range reports {
		for name, runTime := range r.RunTimes {
			sums[name] += runTime.Seconds() * r.Capacity
			counts[name]++
		}
	}
	for name, count := range counts {
		sums[name] /= float64(count)
	}
	return sums
}

// utilisationOf returns the expected utilisation of a server from its announcement.
func (o *serviceOutlook) utilisationOf(now time.Time, s *serverOutlook) float64 {
	weight := math.Exp(-now.Sub(s.announcedAt).Seconds() / announcedDecay.Seconds())
	return o.utilisation + announcedGain*weight*(s.utilisation-o.utilisation)
}

// runTime returns the expected run time in seconds of a class on a server, which may be nil.
func (o *serviceOutlook) runTime(s *serverOutlook, c *class.Class) float64 {
	speed := 1.0
	if s != nil {
		if runTime, ok := s.runTimes[c.Name]; ok {
			return runTime.Seconds()
		}
		speed = s.capacity
	}
	if runTime, ok := o.runTimes[c.Name]; ok {
		return runTime / speed
	}
	return initialRunShare * c.Latency.Seconds() / speed
}

// outlookOf returns what is expected of the servers for a call, or nil if they are not chosen by it: the configuration is not
// load-aware, or no daemon has announced run times yet. The latency of this daemon's own calls then tells fast servers.
func (b *balancer) outlookOf(c *call.Call) *serviceOutlook {
	if !b.isCapacityAware {
		return nil
	}
	if o := b.outlooks[c.Service]; o != nil && len(o.runTimes) > 0 {
		return o
	}
	return nil
}

// pickByCapacity draws a few candidates in proportion to their spare capacity, and returns the one with the lowest expected
// time to the end of the call, or nil if there is none. It reorders the candidates.
func (b *balancer) pickByCapacity(outlook *serviceOutlook, candidates []*Server, c *call.Call) *Server {
	now := b.clock.Now()
	var best *Server
	bestTime := 0.0
	for i := range min(sampledServers, len(candidates)) {
		drawn := i + b.draw(candidates[i:], outlook)
		candidates[i], candidates[drawn] = candidates[drawn], candidates[i]
		expected := b.expectedTime(now, outlook, candidates[i], c)
		if best == nil || expected < bestTime {
			best, bestTime = candidates[i], expected
		}
	}
	return best
}

// draw returns the index of a random server, in proportion to the weights.
func (b *balancer) draw(servers []*Server, outlook *serviceOutlook) int {
	index := b.random.IntN(len(servers))
	for range maxDraws {
		s := outlook.servers[servers[index].Host]
		if s == nil || b.random.Float64()*outlook.maxWeight < s.weight {
			break
		}
		index = b.random.IntN(len(servers))
	}
	return index
}

// expectedTime returns the expected time to the end of a call on a server in seconds, with the penalties.
func (b *balancer) expectedTime(now time.Time, outlook *serviceOutlook, s *Server, c *call.Call) float64 {
	stats := b.peek(s.Host)
	known, utilisation := outlook.lookUp(now, s.Host)
	slots := float64(max(1, s.Concurrency))
	weight := math.Exp(-now.Sub(stats.loadTime).Seconds() / reportedDecay.Seconds())
	reported := float64(stats.load.Running+stats.load.Waiting) / slots
	utilisation = weight*reported + (1-weight)*utilisation + float64(stats.begunSinceLoad)/slots
	run := outlook.runTime(known, c.Class)
	wait := fullCost * outlook.runTime(nil, c.Class) * fullness(utilisation, slots)
	slowdown := capacity.NewSlowdown(stats.load.Slowdown, stats.loadTime).At(now)
	total := (run+wait)*slowdown + weight*stats.load.RateDelay.Seconds()
	if now.Before(s.WarmupUntil) {
		total *= warmupPenalty
	}
	if s.Domain != b.domain {
		total += crossDomainTime.Seconds() + run*outlook.domainPreference(c.Class)
	}
	return total * (1 + failurePenalty*float64(stats.failures) + 4*stats.failureRate)
}

// fullness estimates the probability that all slots of a server are in use, from its expected utilisation. If more calls are
// expected than there are slots, it grows with the queue.
func fullness(utilisation, slots float64) float64 {
	if utilisation > 1 {
		return utilisation
	}
	return math.Pow(utilisation, slots)
}

// lookUp returns what is expected of a server, or nil, and its utilisation.
func (o *serviceOutlook) lookUp(now time.Time, host ownership.HostID) (*serverOutlook, float64) {
	if s := o.servers[host]; s != nil {
		return s, o.utilisationOf(now, s)
	}
	return nil, o.utilisation
}

// domainPreference returns the share of its run time that a call may take longer in its own failure domain.
func (o *serviceOutlook) domainPreference(c *class.Class) float64 {
	preference := localPreference
	if c.Bulk != class.NoBulk {
		preference = bulkLocalPreference
	}
	return preference * o.localPreference
}
