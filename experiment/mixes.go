package experiment

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// Times of a scenario: learning, the flood, a rest, a second flood, the end.
const (
	floodFrom   = 20 * time.Second
	floodUntil  = 40 * time.Second
	secondFrom  = 50 * time.Second
	secondUntil = 70 * time.Second
	length      = 90 * time.Second
	// floodFactor is how many times more than the server can take a flood brings.
	floodFactor = 10
	// coldTime is how long a cold server is slow, and coldSlow how slow it is.
	coldTime = 5 * time.Second
	coldSlow = 4
	// frozenTime is how long a frozen server does nothing.
	frozenTime = 2 * time.Second
)

func work(name string, rank int, latency, timeout time.Duration, success, rate float64, service time.Duration) Work {
	return Work{
		Class: class.Class{
			Name:    class.Name(name),
			Rank:    class.Rank(rank),
			Latency: latency,
			Timeout: timeout,
			Success: success,
		},
		Rate:    rate,
		Service: service,
	}
}

// Mix is the load of one service on one of its servers.
type Mix struct {
	Name string
	Work []Work
	// Least and Most are the classes that flood.
	Least, Most class.Name
}

// Mixes returns the services of both deployments with the classes of the examples.
func Mixes() []Mix {
	ms := time.Millisecond
	return []Mix{
		{
			Name: "fire-assay-bench", Least: "fineness-check", Most: "hallmark-query",
			Work: []Work{
				work("hallmark-query", 1, 80*ms, 2*time.Second, 0.99, 120, 8*ms),
				work("fineness-result", 3, 300*ms, 3*time.Second, 0.95, 60, 20*ms),
				work("fineness-check", 5, time.Second, 3*time.Second, 0.5, 100, 12*ms),
			},
		},
		{
			Name: "lot-register", Least: "lot-intake", Most: "certificate-lookup",
			Work: []Work{
				work("certificate-lookup", 2, 100*ms, 2*time.Second, 0.99, 200, 8*ms),
				work("lot-intake", 3, 250*ms, 3*time.Second, 0.95, 80, 20*ms),
			},
		},
		{
			Name: "workshop", Least: "stock-read", Most: "board-proof",
			Work: []Work{
				work("board-proof", 1, 80*ms, 2*time.Second, 0.99, 100, 10*ms),
				work("delivery-booking", 3, 300*ms, 3*time.Second, 0.95, 60, 20*ms),
				work("stock-read", 5, time.Second, 3*time.Second, 0.5, 150, 8*ms),
			},
		},
		{
			Name: "catalogue", Least: "style-browse", Most: "order-check",
			Work: []Work{
				work("order-check", 2, 100*ms, 2*time.Second, 0.99, 120, 8*ms),
				work("order-placement", 3, 250*ms, 3*time.Second, 0.95, 60, 20*ms),
				work("style-browse", 4, 200*ms, 2*time.Second, 0.9, 120, 10*ms),
			},
		},
	}
}

// Scenarios returns the experiments on a mix.
func Scenarios(m Mix, seed uint64) []Scenario {
	least := Flood{Class: m.Least, From: floodFrom, Until: floodUntil, Factor: floodFactor}
	most := Flood{Class: m.Most, From: floodFrom, Until: floodUntil, Factor: floodFactor}
	later := Flood{Class: m.Most, From: secondFrom, Until: secondUntil, Factor: floodFactor}
	middle := (floodFrom + floodUntil) / 2
	cold := &Trouble{From: middle, Until: middle + coldTime, Slow: coldSlow}
	frozen := &Trouble{From: middle, Until: middle + frozenTime}
	scenario := func(name string, trouble *Trouble, floods ...Flood) Scenario {
		return Scenario{Name: m.Name + "/" + name, Work: m.Work, Floods: floods, Trouble: trouble, Length: length, Seed: seed}
	}
	return []Scenario{
		scenario("normal", nil),
		scenario("flood-of-least", nil, least),
		scenario("flood-of-most", nil, most),
		scenario("both-in-turn", nil, least, later),
		scenario("flood-of-least-cold", cold, least),
		scenario("flood-of-most-cold", cold, most),
		scenario("flood-of-least-frozen", frozen, least),
		scenario("flood-of-most-frozen", frozen, most),
	}
}
