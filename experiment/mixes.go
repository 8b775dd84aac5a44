package experiment

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// Schedule of a scenario: the policy learns the demand until floodFrom, a flood follows, then a recovery period, and in
// one scenario a second flood.
const (
	floodFrom        = 20 * time.Second
	floodUntil       = 40 * time.Second
	secondFloodFrom  = 50 * time.Second
	secondFloodUntil = 70 * time.Second
	scenarioLength   = 90 * time.Second
	// floodFactor is the arrival rate of a flood as a multiple of the server's capacity.
	floodFactor = 10
	// coldTime is how long a cold server is slow, and coldSlowdown multiplies its service times meanwhile.
	coldTime     = 5 * time.Second
	coldSlowdown = 4
	// frozenTime is how long a frozen server makes no progress.
	frozenTime = 2 * time.Second
)

func classLoad(
	name string, rank int, latency, timeout time.Duration, success, rate float64, serviceTime time.Duration,
) ClassLoad {
	return ClassLoad{
		Class: class.Class{
			Name:    class.Name(name),
			Rank:    class.Rank(rank),
			Latency: latency,
			Timeout: timeout,
			Success: success,
		},
		Rate:        rate,
		ServiceTime: serviceTime,
	}
}

// Mix is the load of one service's classes on one of its servers.
type Mix struct {
	Name  string
	Loads []ClassLoad
	// LeastUrgent and MostUrgent are the classes that flood.
	LeastUrgent, MostUrgent class.Name
}

// Mixes returns the mixes of the services of both example deployments.
func Mixes() []Mix {
	ms := time.Millisecond
	return []Mix{
		{
			Name: "fire-assay-bench", LeastUrgent: "fineness-check", MostUrgent: "hallmark-query",
			Loads: []ClassLoad{
				classLoad("hallmark-query", 1, 80*ms, 2*time.Second, 0.99, 120, 8*ms),
				classLoad("fineness-result", 3, 300*ms, 3*time.Second, 0.95, 60, 20*ms),
				classLoad("fineness-check", 5, time.Second, 3*time.Second, 0.5, 100, 12*ms),
			},
		},
		{
			Name: "lot-register", LeastUrgent: "lot-intake", MostUrgent: "certificate-lookup",
			Loads: []ClassLoad{
				classLoad("certificate-lookup", 2, 100*ms, 2*time.Second, 0.99, 200, 8*ms),
				classLoad("lot-intake", 3, 250*ms, 3*time.Second, 0.95, 80, 20*ms),
			},
		},
		{
			Name: "workshop", LeastUrgent: "stock-read", MostUrgent: "board-proof",
			Loads: []ClassLoad{
				classLoad("board-proof", 1, 80*ms, 2*time.Second, 0.99, 100, 10*ms),
				classLoad("delivery-booking", 3, 300*ms, 3*time.Second, 0.95, 60, 20*ms),
				classLoad("stock-read", 5, time.Second, 3*time.Second, 0.5, 150, 8*ms),
			},
		},
		{
			Name: "catalogue", LeastUrgent: "style-browse", MostUrgent: "order-check",
			Loads: []ClassLoad{
				classLoad("order-check", 2, 100*ms, 2*time.Second, 0.99, 120, 8*ms),
				classLoad("order-placement", 3, 250*ms, 3*time.Second, 0.95, 60, 20*ms),
				classLoad("style-browse", 4, 200*ms, 2*time.Second, 0.9, 120, 10*ms),
			},
		},
	}
}

// Scenarios returns the scenarios that are simulated for a mix.
func Scenarios(m Mix, seed uint64) []Scenario {
	leastUrgentFlood := Flood{Class: m.LeastUrgent, From: floodFrom, Until: floodUntil, Factor: floodFactor}
	mostUrgentFlood := Flood{Class: m.MostUrgent, From: floodFrom, Until: floodUntil, Factor: floodFactor}
	secondFlood := Flood{Class: m.MostUrgent, From: secondFloodFrom, Until: secondFloodUntil, Factor: floodFactor}
	midFlood := (floodFrom + floodUntil) / 2
	cold := &Fault{From: midFlood, Until: midFlood + coldTime, Slowdown: coldSlowdown}
	frozen := &Fault{From: midFlood, Until: midFlood + frozenTime}
	scenario := func(name string, fault *Fault, floods ...Flood) Scenario {
		return Scenario{
			Name: m.Name + "/" + name, Loads: m.Loads, Floods: floods, Fault: fault, Length: scenarioLength, Seed: seed,
		}
	}
	return []Scenario{
		scenario("normal", nil),
		scenario("flood-of-least", nil, leastUrgentFlood),
		scenario("flood-of-most", nil, mostUrgentFlood),
		scenario("both-in-turn", nil, leastUrgentFlood, secondFlood),
		scenario("flood-of-least-cold", cold, leastUrgentFlood),
		scenario("flood-of-most-cold", cold, mostUrgentFlood),
		scenario("flood-of-least-frozen", frozen, leastUrgentFlood),
		scenario("flood-of-most-frozen", frozen, mostUrgentFlood),
	}
}
