// Package capacity estimates how much work each backend server of a service completes in comparison with the others.
//
// The daemon beside a server measures the run times of its classes (Meter) and announces them (RunTimes). Every daemon
// turns the announced run times of a service into relative capacities (Estimator). The package performs no I/O and reads
// no clock.
package capacity

import (
	"slices"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

const (
	// sampleWindow is the age at which a run time is no longer used. It is some multiples of the slow moments of 400 ms
	// that servers have.
	sampleWindow = 6 * time.Second
	// maxSamples bounds the run times held for each class.
	maxSamples = 96
	// minSamples is the number of run times from which the mean of a class is reported. The mean of fewer is dominated
	// by chance.
	minSamples = 12
	// trimmedShare is the share of the shortest and of the longest run times that the mean leaves out. With it, a slow
	// moment of 400 ms in two seconds of calls does not show.
	trimmedShare = 0.2
)

// sample is the run time of one call.
type sample struct {
	endedAt time.Time
	runTime time.Duration
}

// Meter measures the run times of the classes of one backend server. The time that a run spends in nested calls counts,
// because it occupies a slot. It is not safe for concurrent use.
type Meter struct {
	classes map[class.Name]*samples
}

// samples is a ring of the newest run times of a class.
type samples struct {
	ring []sample
	next int
}

// NewMeter returns a meter without run times.
func NewMeter() *Meter { return &Meter{classes: map[class.Name]*samples{}} }

// Observe records the run time of a call that has ended.
func (m *Meter) Observe(now time.Time, name class.Name, runTime time.Duration) {
	s := m.classes[name]
	if s == nil {
		s = &samples{}
		m.classes[name] = s
	}
	newest := sample{endedAt: now, runTime: runTime}
	if len(s.ring) < maxSamples {
		s.ring = append(s.ring, newest)
		return
	}
	s.ring[s.next] = newest
	s.next = (s.next + 1) % maxSamples
}

// Reset forgets all run times, for a new instance of the server.
func (m *Meter) Reset() { clear(m.classes) }

// RunTimes returns the mean run times of the classes that have enough recent samples.
func (m *Meter) RunTimes(now time.Time) RunTimes {
	runTimes := RunTimes{}
	for name, s := range m.classes {
		if mean, ok := s.mean(now); ok {
			runTimes[name] = mean
		}
	}
	return runTimes
}

// mean returns the trimmed mean of the recent run times, and whether there are enough of them.
func (s *samples) mean(now time.Time) (time.Duration, bool) {
	recent := make([]time.Duration, 0, len(s.ring))
	for _, one := range s.ring {
		if now.Sub(one.endedAt) <= sampleWindow {
			recent = append(recent, one.runTime)
		}
	}
	if len(recent) < minSamples {
		return 0, false
	}
	slices.Sort(recent)
	trimmed := int(trimmedShare * float64(len(recent)))
	recent = recent[trimmed : len(recent)-trimmed]
	var sum time.Duration
	for _, runTime := range recent {
		sum += runTime
	}
	return sum / time.Duration(len(recent)), true
}
