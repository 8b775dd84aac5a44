package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Step is one fault of a schedule.
type Step struct {
	At    time.Duration
	For   time.Duration
	Fault string
	// Host is the index of the host that it strikes.
	Host int
}

func (s Step) String() string {
	return fmt.Sprintf("%6.2f s for %5.2f s: %s on host %d", s.At.Seconds(), s.For.Seconds(), s.Fault, s.Host)
}

const (
	// stepInterval is the mean time between the beginnings of two faults: several overlap.
	stepInterval = 900 * time.Millisecond
	// leastFor and mostFor bound how long a fault lasts: from less than a heartbeat to more than a lease.
	leastFor = 200 * time.Millisecond
	mostFor  = 6 * time.Second
	// seriesShare is how often the same fault strikes again a little later, and seriesGap how much later.
	seriesShare = 0.3
	seriesGap   = 1200 * time.Millisecond
)

// Schedule draws the faults of one run: they overlap, and some come in series. Equal seeds give equal schedules.
func Schedule(seed uint64, length time.Duration, hosts int, faults []string) []Step {
	random := rand.New(rand.NewPCG(seed, 1))
	var steps []Step
	for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() * float64(stepInterval)) {
		step := Step{
			At:    at,
			For:   leastFor + time.Duration(random.Int64N(int64(mostFor-leastFor))),
			Fault: faults[random.IntN(len(faults))],
			Host:  random.IntN(hosts),
		}
		steps = append(steps, step)
		for random.Float64() < seriesShare {
			step.At += step.For + time.Duration(random.Int64N(int64(seriesGap)))
			if random.IntN(2) == 0 {
				step.Host = random.IntN(hosts)
			}
			steps = append(steps, step)
		}
	}
	steps = slices.DeleteFunc(steps, func(s Step) bool { return s.At >= length })
	for i := range steps {
		steps[i].For = min(steps[i].For, length-steps[i].At)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}
