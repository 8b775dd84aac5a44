package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Step is one fault injection of a schedule.
type Step struct {
	Start    time.Duration
	Duration time.Duration
	Fault    string
	// Host is the index of the host into which the fault is injected.
	Host int
}

func (s Step) String() string {
	return fmt.Sprintf("at %6.2f s for %5.2f s: %s on host %d",
		s.Start.Seconds(), s.Duration.Seconds(), s.Fault, s.Host)
}

const (
	// meanInterval is the mean time between the starts of two faults. It is shorter than most faults last, so that
	// several overlap.
	meanInterval = 900 * time.Millisecond
	// minDuration and maxDuration bound how long a fault lasts: from less than a heartbeat interval to more than a
	// lease.
	minDuration = 200 * time.Millisecond
	maxDuration = 6 * time.Second
	// repeatProbability is the probability that the same fault is injected again, and maxRepeatDelay the longest time
	// between the end of a fault and its repetition.
	repeatProbability = 0.3
	maxRepeatDelay    = 1200 * time.Millisecond
)

// NewSchedule draws the faults of one run at random: faults overlap, and some are repeated. With equal arguments, equal
// seeds give equal schedules.
func NewSchedule(seed uint64, total time.Duration, hosts int, faults []string) []Step {
	random := rand.New(rand.NewPCG(seed, 1))
	var steps []Step
	for start := time.Duration(0); start < total; start += time.Duration(random.ExpFloat64() * float64(meanInterval)) {
		step := Step{
			Start:    start,
			Duration: minDuration + time.Duration(random.Int64N(int64(maxDuration-minDuration))),
			Fault:    faults[random.IntN(len(faults))],
			Host:     random.IntN(hosts),
		}
		steps = append(steps, step)
		for random.Float64() < repeatProbability {
			step.Start += step.Duration + time.Duration(random.Int64N(int64(maxRepeatDelay)))
			if random.IntN(2) == 0 {
				step.Host = random.IntN(hosts)
			}
			steps = append(steps, step)
		}
	}
	steps = slices.DeleteFunc(steps, func(s Step) bool { return s.Start >= total })
	for i := range steps {
		steps[i].Duration = min(steps[i].Duration, total-steps[i].Start)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.Start - b.Start) })
	return steps
}
