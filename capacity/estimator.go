package capacity

import (
	"math"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

const (
	// MinCapacity and MaxCapacity bound a relative capacity. What lies beyond is taken for an error of measurement.
	MinCapacity = 0.25
	MaxCapacity = 4
	// smoothingTime is the time constant with which a capacity follows the measured one.
	smoothingTime = 2 * time.Second
	// fullWeightAge is the age of a report up to which it counts in full. Announcements are about a second apart, and a
	// few of them may be lost.
	fullWeightAge = 4 * time.Second
	// maxReportAge is the age at which a report no longer counts.
	maxReportAge = 10 * time.Second
)

// Report is what the daemon beside a backend server announced of its run times.
type Report[H comparable] struct {
	Host     H
	RunTimes RunTimes
	// Age is the time since the report was received.
	Age time.Duration
}

// Estimator turns the reported run times of the servers of one service into capacities relative to their mean. Servers
// of which nothing is known have capacity 1. It is not safe for concurrent use.
type Estimator[H comparable] struct {
	updatedAt time.Time
	hosts     map[H]*estimate
}

// estimate is what is known of one server.
type estimate struct {
	// log is the smoothed logarithm of the measured capacity. It is valid if isMeasured is set.
	log        float64
	isMeasured bool
	// heardAt is when run times of the server were last received.
	heardAt time.Time
	// capacity is the resulting capacity.
	capacity float64
}

// NewEstimator returns an estimator that knows of no server.
func NewEstimator[H comparable]() *Estimator[H] { return &Estimator[H]{hosts: map[H]*estimate{}} }

// Capacity returns the relative capacity of a server.
func (e *Estimator[H]) Capacity(host H) float64 {
	if s := e.hosts[host]; s != nil {
		return s.capacity
	}
	return 1
}

// Update applies the newest report of each server of the service. Servers without a report are forgotten.
func (e *Estimator[H]) Update(now time.Time, reports []Report[H]) {
	weight := 1 - math.Exp(-now.Sub(e.updatedAt).Seconds()/smoothingTime.Seconds())
	e.updatedAt = now
	fitted := fitCapacities(reports)
	hosts := make(map[H]*estimate, len(reports))
	for _, r := range reports {
		s := e.hosts[r.Host]
		if s == nil {
			s = &estimate{}
		}
		hosts[r.Host] = s
		measured, ok := fitted[r.Host]
		if !ok {
			continue
		}
		s.heardAt = now.Add(-r.Age)
		if !s.isMeasured {
			s.log, s.isMeasured = measured, true
			continue
		}
		s.log += weight * (measured - s.log)
	}
	e.hosts = hosts
	e.normalise(now)
}

// normalise sets the capacities in relation to the mean of the measured servers. That of a server which is no longer
// heard decays to 1.
func (e *Estimator[H]) normalise(now time.Time) {
	sum, count := 0.0, 0
	for _, s := range e.hosts {
		s.isMeasured = s.isMeasured && now.Sub(s.heardAt) < maxReportAge
		if s.isMeasured {
			sum += math.Exp(s.log)
			count++
		}
	}
	for _, s := range e.hosts {
		s.capacity = 1
		if s.isMeasured {
			relative := s.log - math.Log(sum/float64(count))
			relative *= reportWeight(now.Sub(s.heardAt))
			s.capacity = min(MaxCapacity, max(MinCapacity, math.Exp(relative)))
		}
	}
}

// reportWeight returns the weight of a report by its age, from 1 to 0.
func reportWeight(age time.Duration) float64 {
	return min(1, max(0, float64(maxReportAge-age)/float64(maxReportAge-fullWeightAge)))
}

// fitPasses is the number of passes in which capacities and reference run times are fitted to one another.
const fitPasses = 8

// fitCapacities returns the logarithm of the capacity of each server whose run times can be compared with those of
// others: the model is that each class takes its reference run time, divided by the capacity of the server. Both are
// fitted by turns, because servers do not all report the same classes. All classes of a server count the same, however
// long they run.
func fitCapacities[H comparable](reports []Report[H]) map[H]float64 {
	capacities := map[H]float64{}
	for range fitPasses {
		references := referenceRunTimes(reports, capacities)
		for _, r := range reports {
			if fitted, ok := relativeCapacity(r.RunTimes, references); ok && r.Age < maxReportAge {
				capacities[r.Host] = fitted
			}
		}
	}
	return capacities
}

// referenceRunTimes returns, for each class that several servers report, the logarithm of the run time in seconds on a
// server of capacity 1.
func referenceRunTimes[H comparable](reports []Report[H], capacities map[H]float64) map[class.Name]float64 {
	sums, counts := map[class.Name]float64{}, map[class.Name]int{}
	for _, r := range reports {
		if r.Age >= maxReportAge {
			continue
		}
		for name, runTime := range r.RunTimes {
			sums[name] += math.Log(runTime.Seconds()) + capacities[r.Host]
			counts[name]++
		}
	}
	for name, count := range counts {
		if count < 2 {
			delete(sums, name) // there is nothing to compare it with
			continue
		}
		sums[name] /= float64(count)
	}
	return sums
}

// relativeCapacity returns the logarithm of a server's capacity in comparison with the reference run times.
func relativeCapacity(runTimes RunTimes, references map[class.Name]float64) (float64, bool) {
	sum, count := 0.0, 0
	for name, runTime := range runTimes {
		if reference, ok := references[name]; ok {
			sum += reference - math.Log(runTime.Seconds())
			count++
		}
	}
	if count == 0 {
		return 0, false
	}
	return sum / float64(count), true
}
