package experiment

import (
	"fmt"
	"strings"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// MeanSpeed returns the mean speed of a server, with its slow moments and its share of long runs.
func (v *Server) MeanSpeed() float64 {
	speed := v.Speed / (1 + v.TailShare*(v.TailFactor-1))
	if v.SlowEvery > 0 {
		slowShare := v.SlowTime.Seconds() / v.SlowEvery.Seconds()
		speed *= 1 - slowShare + slowShare/v.SlowFactor
	}
	return speed
}

// ClassSummary is how the calls of one class ended. Each call of a caller counts once, however often it returned.
type ClassSummary struct {
	Class class.Class
	Calls int
	// InTarget, Late and Rejected are shares of the calls.
	InTarget, Late, Rejected float64
}

// LoadSummary is the result of a scenario with a described server, after warmUpTime.
type LoadSummary struct {
	Classes []ClassSummary
	// Goodput is the capacity that went to calls in target, as a share of what the offered load and the capacity of each
	// second allow. Runs that are TailFactor times longer miss their target under any policy.
	Goodput float64
	// Inversion is by how much the share of answered calls, or of those in target, of a class is below that of a less
	// urgent class, at most.
	Inversion float64
	// RejectedLate is the share of the rejections that came more than lateRejection after the call.
	RejectedLate float64
	// Recovered is the share of the calls in target among those that arrived over a second after each peak, while the
	// load is below the capacity by a margin of recoveredLoad.
	Recovered float64
	// Returned is the number of calls that returned, and RejectedAgain the share of them that was rejected again.
	Returned      int
	RejectedAgain float64
	// MeanRetryAfter is the mean time that rejected calls were told to wait.
	MeanRetryAfter time.Duration
	// Wasted is the share of the run time spent on calls that missed their latency target.
	Wasted float64
}

const (
	// lateRejection is the time after which a rejection is late.
	lateRejection = 50 * time.Millisecond
	// recoveredLoad is the load, as a share of the capacity, below which all calls should be in target.
	recoveredLoad = 0.8
)

// Summarize computes the summary of a simulated scenario.
func Summarize(s Scenario, run Run) LoadSummary {
	summary := LoadSummary{Wasted: run.WastedShare}
	seconds := int(s.Length / time.Second)
	offered, goodWork := make([]float64, seconds), 0.0
	var rejections, rejectedLate, again, recovered, recoveredOf int
	var retryAfter time.Duration
	for _, l := range s.Loads {
		c := ClassSummary{Class: l.Class}
		for _, sample := range run.Samples {
			second := int(sample.Arrived / time.Second)
			if sample.Class != l.Class.Name || sample.Arrived < warmUpTime || second >= seconds {
				continue
			}
			work := l.ServiceTime.Seconds()
			if !sample.IsReturn {
				c.Calls++
				offered[second] += work
				if s.Swing != nil && s.isRecovered(sample.Arrived) {
					recoveredOf++
					if sample.InTarget {
						recovered++
					}
				}
			} else {
				summary.Returned++
			}
			switch {
			case sample.InTarget:
				c.InTarget++
				goodWork += work
			case sample.Answered:
				c.Late++
			default:
				c.Rejected++
				rejections++
				retryAfter += sample.RetryAfter
				if sample.Duration > lateRejection {
					rejectedLate++
				}
				if sample.IsReturn {
					again++
				}
			}
		}
		calls := float64(max(1, c.Calls))
		c.InTarget, c.Late, c.Rejected = c.InTarget/calls, c.Late/calls, c.Rejected/calls
		summary.Classes = append(summary.Classes, c)
	}
	capacity := float64(s.Server.Slots) * s.Server.MeanSpeed()
	possible := 0.0
	for _, work := range offered {
		possible += min(work, capacity) * (1 - s.Server.TailShare)
	}
	summary.Goodput = goodWork / possible
	summary.RejectedLate = ratio(rejectedLate, max(1, rejections))
	summary.Recovered = ratio(recovered, max(1, recoveredOf))
	summary.RejectedAgain = ratio(again, max(1, summary.Returned))
	summary.MeanRetryAfter = retryAfter / time.Duration(max(1, rejections))
	summary.Inversion = inversion(summary.Classes)
	return summary
}

// isRecovered reports whether the load at a time has been below recoveredLoad for a second.
func (s *Scenario) isRecovered(at time.Duration) bool {
	work := 0.0
	for _, l := range s.Loads {
		work += l.Rate * l.ServiceTime.Seconds()
	}
	limit := recoveredLoad * float64(s.Server.Slots) * s.Server.MeanSpeed()
	for _, before := range []time.Duration{0, time.Second / 2, time.Second} {
		if at < before || work*s.Swing.factor(at-before) > limit {
			return false
		}
	}
	return true
}

// inversion returns by how much a class is served below a less urgent one, at most.
func inversion(classes []ClassSummary) float64 {
	most := 0.0
	for _, a := range classes {
		for _, b := range classes {
			if a.Class.Rank < b.Class.Rank {
				most = max(most, b.InTarget-a.InTarget, b.InTarget+b.Late-a.InTarget-a.Late)
			}
		}
	}
	return most
}

// Value returns a figure of the summary by its name in scripts.
func (l LoadSummary) Value(name string) (float64, bool) {
	values := map[string]float64{
		"goodput": l.Goodput, "inversion": l.Inversion, "rejected_late": l.RejectedLate, "recovered": l.Recovered,
		"rejected_again": l.RejectedAgain, "returned": float64(l.Returned),
	}
	for _, c := range l.Classes {
		values["in_target:"+string(c.Class.Name)] = c.InTarget
		values["late:"+string(c.Class.Name)] = c.Late
		values["rejected:"+string(c.Class.Name)] = c.Rejected
	}
	value, ok := values[name]
	return value, ok
}

func (l LoadSummary) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "goodput %.3f inversion %.3f recovered %.3f rejected late %.3f, returned %d (again %.3f), retry after %v, wasted %.3f",
		l.Goodput, l.Inversion, l.Recovered, l.RejectedLate, l.Returned, l.RejectedAgain,
		l.MeanRetryAfter.Round(time.Millisecond), l.Wasted)
	for _, c := range l.Classes {
		fmt.Fprintf(&b, "; %s in %.3f late %.3f rejected %.3f", c.Class.Name, c.InTarget, c.Late, c.Rejected)
	}
	return b.String()
}
