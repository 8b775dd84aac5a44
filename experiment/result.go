package experiment

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// PolicyName names a policy in tables.
type PolicyName string

// Policies returns the policy that the product runs, first, and the baselines.
func Policies() []PolicyName {
	return []PolicyName{"targets", "fifo", "strict-priority", "static-shares"}
}

// NewPolicy returns a fresh policy.
func NewPolicy(name PolicyName) admission.Policy {
	switch name {
	case "fifo":
		return admission.NewFIFO()
	case "strict-priority":
		return admission.NewStrictPriority()
	case "static-shares":
		return admission.NewStaticShares()
	default:
		return admission.NewTargetPolicy(places)
	}
}

// Line is what one class got in one scenario under one policy.
type Line struct {
	Scenario string
	Policy   PolicyName
	Class    class.Name
	// InTarget and Succeeded are shares of the calls in the measured time.
	InTarget  float64
	Succeeded float64
	// Kept is what the class has in the measured time of what it had before: the larger of the ratios of the rates
	// and of the shares of calls in target, at most 1. The shares leave out that arrivals are random; a class that
	// floods itself is measured by its rate.
	Kept float64
	// Recovery is how long after the flood the class missed its success target, in whole seconds.
	Recovery time.Duration
}

// Table is the outcome of one scenario under one policy.
type Table struct {
	Lines  []Line
	Busy   float64
	Wasted float64
	// Sum adds what the classes kept.
	Sum float64
}

// warmUp is left out of what counts as before the flood.
const warmUp = 5 * time.Second

// Measure runs a scenario under a policy and sums it up.
func Measure(s Scenario, name PolicyName) Table {
	run := Simulate(s, NewPolicy(name))
	table := Table{Busy: run.Busy, Wasted: run.Wasted}
	from, until := measured(s)
	for _, w := range s.Work {
		line := summarise(run.Samples, w.Class, from, until)
		line.Scenario = s.Name
		line.Policy = name
		line.Recovery = recovery(run.Samples, w.Class, until, s.Length)
		table.Lines = append(table.Lines, line)
		table.Sum += line.Kept
	}
	return table
}

// measured returns the time of the floods, or all after the warm-up.
func measured(s Scenario) (from, until time.Duration) {
	if len(s.Floods) == 0 {
		return floodFrom, s.Length
	}
	from, until = s.Floods[0].From, s.Floods[0].Until
	for _, f := range s.Floods {
		until = max(until, f.Until)
	}
	return from, until
}

func summarise(samples []Sample, c class.Class, from, until time.Duration) Line {
	var calls, inTarget, answered, callsBefore, before int
	for _, sample := range samples {
		if sample.Class != c.Name {
			continue
		}
		if sample.Arrived >= warmUp && sample.Arrived < floodFrom {
			callsBefore++
			if sample.InTarget {
				before++
			}
		}
		if sample.Arrived < from || sample.Arrived >= until {
			continue
		}
		calls++
		if sample.InTarget {
			inTarget++
		}
		if sample.Answered {
			answered++
		}
	}
	rate := float64(inTarget) / (until - from).Seconds()
	rateBefore := float64(before) / (floodFrom - warmUp).Seconds()
	rates := rate / max(rateBefore, 1e-9)
	shares := share(inTarget, calls) / max(share(before, callsBefore), 1e-9)
	return Line{
		Class:     c.Name,
		InTarget:  share(inTarget, calls),
		Succeeded: share(answered, calls),
		Kept:      min(1, max(rates, shares)),
	}
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// recovery returns the time after the flood until the class's success target holds in each second that follows.
func recovery(samples []Sample, c class.Class, from, until time.Duration) time.Duration {
	seconds := int((until - from) / time.Second)
	calls := make([]int, seconds+1)
	good := make([]int, seconds+1)
	for _, sample := range samples {
		second := int((sample.Arrived - from) / time.Second)
		if sample.Class != c.Name || sample.Arrived < from || second >= seconds {
			continue
		}
		calls[second]++
		if sample.InTarget {
			good[second]++
		}
	}
	last := 0
	for second := range seconds {
		if calls[second] > 0 && share(good[second], calls[second]) < c.Success {
			last = second + 1
		}
	}
	return time.Duration(last) * time.Second
}
