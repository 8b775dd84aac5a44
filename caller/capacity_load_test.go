package caller_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/capacity"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

const (
	slowMoment = 400 * time.Millisecond
	slowFactor = 3
)

// meanSlowPause is the mean time between the slow moments of a server.
const meanSlowPause = 1600 * time.Millisecond

// serverPace measures the runs of a server, and makes it slow for moments.
type serverPace struct {
	mu sync.Mutex
	// slow holds the starts of the slow moments in order.
	slow     []time.Time
	slowdown capacity.Slowdown
	meter    *capacity.Meter
	busy     time.Duration
	total    time.Duration
}

// stretch returns how long a run takes that would take the given time outside of slow moments.
func (p *serverPace) stretch(start time.Time, run time.Duration) time.Duration {
	now := start
	for _, from := range p.slow {
		until := from.Add(slowMoment)
		if !until.After(now) {
			continue
		}
		if before := from.Sub(now); before > 0 {
			if run <= before {
				break
			}
			run -= before
			now = from
		}
		if slowRun := slowFactor * run; slowRun <= until.Sub(now) {
			return now.Add(slowRun).Sub(start)
		}
		run -= until.Sub(now) / slowFactor
		now = until
	}
	return now.Add(run).Sub(start)
}

// ended records the end of a run, in whose response the server states its slowdown.
func (p *serverPace) ended(controller *admission.Controller, name class.Name, start, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.meter == nil {
		return
	}
	p.meter.Observe(now, name, now.Sub(start))
	p.busy += now.Sub(start)
	p.total += now.Sub(start)
	factor := 1.0
	for _, from := range p.slow {
		if !now.Before(from) && now.Before(from.Add(slowMoment)) {
			factor = slowFactor
		}
	}
	p.slowdown = capacity.NewSlowdown(factor, now)
	controller.SetSlowdown(p.slowdown)
}

func (p *serverPace) stated(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slowdown.At(now)
}

// announce makes the servers announce their load and run times every second, and the relays estimate the capacities from
// that, until the service has run for the given time.
func (s *loadedService) announce(relays []*caller.Relay, length time.Duration) {
	random := rand.New(rand.NewPCG(11, 1))
	estimator, now := capacity.NewEstimator[ownership.HostID](), s.clock.Now()
	reports := make([]caller.ServerReport, len(s.servers))
	loads, offsets := make([]float64, len(reports)), make([]int, len(reports))
	for i := range reports {
		server := s.servers[hostName(i)]
		server.pace.meter = capacity.NewMeter()
		if i%5 == 0 {
			for at := now; at.Before(now.Add(length)); {
				at = at.Add(slowMoment + time.Duration(random.ExpFloat64()*float64(meanSlowPause)))
				server.pace.slow = append(server.pace.slow, at)
			}
		}
		reports[i] = caller.ServerReport{
			Host: hostName(i), Service: "free", Domain: "d", Slots: server.controller.State().Limit,
		}
		offsets[i] = random.IntN(4)
	}
	go func() {
		for tick := range int(length / (250 * time.Millisecond)) {
			s.clock.Sleep(250 * time.Millisecond)
			now := s.clock.Now()
			var known []capacity.Report[ownership.HostID]
			for i := range reports {
				pace := &s.servers[hostName(i)].pace
				pace.mu.Lock()
				loads[i] += 0.25 * (pace.busy.Seconds()/0.25 - loads[i])
				pace.busy = 0
				if (tick+offsets[i])%4 == 0 {
					reports[i].Load, reports[i].AnnouncedAt = loads[i], now
					reports[i].RunTimes = pace.meter.RunTimes(now)
				}
				pace.mu.Unlock()
				known = append(known, capacity.Report[ownership.HostID]{
					Host: reports[i].Host, RunTimes: reports[i].RunTimes, Age: now.Sub(reports[i].AnnouncedAt),
				})
			}
			estimator.Update(now, known)
			for i := range reports {
				reports[i].Capacity = estimator.Capacity(reports[i].Host)
			}
			for _, relay := range relays {
				relay.SetServerReports(reports)
			}
		}
	}()
}

// chooseByOracle sends each call to the server that would end it first, by what each server runs and queues at the moment.
func (s *loadedService) chooseByOracle() {
	s.choose = func() ownership.HostID {
		best, bestTime := ownership.HostID(""), math.Inf(1)
		for i := range len(s.servers) {
			server := s.servers[hostName(i)]
			state := server.controller.State()
			factor := server.pace.stretch(s.clock.Now(), 100*time.Millisecond).Seconds() / 0.1
			queue := float64(max(0, state.Running+state.Waiting+s.underWay[hostName(i)]+1-state.Limit)) / float64(state.Limit)
			if expected := (1+queue)*factor/server.speed + 100*queue; expected < bestTime {
				best, bestTime = hostName(i), expected
			}
		}
		return best
	}
}

// choiceResult is what a way of choosing servers leads to.
type choiceResult struct {
	counts map[class.Name]callCounts
	// offersPerCall is the number of offers, divided by that of calls.
	offersPerCall float64
	// lowest and highest are the least and the greatest utilisation of a server.
	lowest, highest float64
}

// measureChoice runs the calls of the service with 34 servers at a multiple of the usual rate.
func measureChoice(load float64, choose func(*loadedService, []*caller.Relay)) choiceResult {
	s := newLoadedService(34, 6, []float64{0.7, 0.7, 1.6}, rRunTimes)
	relays := s.relays(89, true)
	choose(s, relays)
	const length = 10 * time.Second
	s.announce(relays, length+3*time.Second)
	counts := s.run(relays, length,
		callRate{class: roomConfirm, perSecond: 317 * load}, callRate{class: bookingCheck, perSecond: 1035 * load})
	r := choiceResult{counts: counts, lowest: math.Inf(1)}
	calls := 0
	for _, c := range counts {
		calls += c.total()
	}
	r.offersPerCall = float64(s.offers) * (length - time.Second).Seconds() / length.Seconds() / float64(calls)
	for _, server := range s.servers {
		utilisation := server.pace.total.Seconds() / length.Seconds() / float64(server.controller.State().Limit)
		r.lowest, r.highest = min(r.lowest, utilisation), max(r.highest, utilisation)
	}
	s.clock.Sleep(4 * time.Second) // the announcements end
	return r
}

// inTarget returns the share of calls of a class that were answered in target.
func (r choiceResult) inTarget(name class.Name) float64 {
	c := r.counts[name]
	return float64(c.inTarget) / float64(c.total())
}

// quantile returns a quantile of the times to the answers of a class.
func (r choiceResult) quantile(name class.Name, q float64) time.Duration {
	took := slices.Clone(r.counts[name].took)
	slices.Sort(took)
	return took[int(q*float64(len(took)))]
}

// TestChoiceByCapacity guards against a choice of servers that is worse than the one by latency of own calls: against calls
// that run on slow servers while fast ones have spare capacity, and against entry daemons that all choose the same fast
// servers, so that offers are rejected.
func TestChoiceByCapacity(t *testing.T) {
	for name, load := range map[string]float64{"usual load": 1, "high load": 1.3, "peak": 1.6} {
		t.Run(name, func(t *testing.T) {
			results := map[string]choiceResult{}
			for choice, choose := range map[string]func(*loadedService, []*caller.Relay){
				"by latency": func(_ *loadedService, relays []*caller.Relay) {
					for _, relay := range relays {
						caller.ChooseByScore(relay)
					}
				},
				"by capacity": func(*loadedService, []*caller.Relay) {},
				"oracle":      func(s *loadedService, _ []*caller.Relay) { s.chooseByOracle() },
			} {
				synctest.Test(t, func(*testing.T) { results[choice] = measureChoice(load, choose) })
				r := results[choice]
				t.Logf("%s: %.2f offers a call, utilisation %.2f to %.2f", choice, r.offersPerCall, r.lowest, r.highest)
				for class := range r.counts {
					t.Logf("  %s: p50 %v, p99 %v, in target %.4f, rejected %d", class, r.quantile(class, 0.5),
						r.quantile(class, 0.99), r.inTarget(class), r.counts[class].rejected)
				}
			}
			g := gomega.NewWithT(t)
			before, now := results["by latency"], results["by capacity"]
			for class, c := range now.counts {
				// Three standard deviations of the difference of two counts are no difference.
				late := 2 - now.inTarget(class) - before.inTarget(class)
				noise := 3 * math.Sqrt(late/float64(c.total()))
				g.Expect(now.inTarget(class)).To(gomega.BeNumerically(">", before.inTarget(class)-noise))
				g.Expect(now.quantile(class, 0.5)).To(gomega.BeNumerically("<", before.quantile(class, 0.5)*103/100))
				g.Expect(now.counts[class].rejected).To(gomega.BeNumerically("<=", before.counts[class].rejected+c.total()/1000))
			}
			// At the usual load, some more offers are made to fast servers that turn out to be full.
			g.Expect(now.offersPerCall).To(gomega.BeNumerically("<", 1.1*before.offersPerCall))
			if load == 1 {
				g.Expect(now.quantile("room-confirm", 0.5)).To(gomega.BeNumerically("<", before.quantile("room-confirm", 0.5)*9/10))
			}
			g.Expect(now.highest).To(gomega.BeNumerically("<", max(0.95, before.highest)), "no server is full all the time")
		})
	}
}
