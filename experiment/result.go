package experiment

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// PolicyName identifies a policy in the results.
type PolicyName string

// Policies returns the names of the policies: the production policy first, then the baselines.
func Policies() []PolicyName {
	return []PolicyName{"targets", "fifo", "strict-priority", "static-shares"}
}

// NewPolicy returns a new instance of a policy.
func NewPolicy(name PolicyName) admission.Policy {
	switch name {
	case "fifo":
		return admission.NewFIFO()
	case "strict-priority":
		return admission.NewStrictPriority()
	case "static-shares":
		return admission.NewStaticShares()
	default:
		return admission.NewTargetPolicy(concurrency)
	}
}

// ClassResult is the result of one class in one scenario under one policy.
type ClassResult struct {
	Scenario string
	Policy   PolicyName
	Class    class.Name
	// InTarget and Succeeded are the shares of the calls in the measured interval that were answered within the latency
	// target and within the timeout.
	InTarget  float64
	Succeeded float64
	// Kept compares the calls in target during the measured interval with those before it. It is the larger of the
	// ratio of their rates and the ratio of their shares of all calls, at most 1. The ratio of the shares is not
	// affected by random variation of the arrivals. A class that floods is measured by the ratio of the rates.
	Kept float64
	// Recovery is the time from the end of the flood until the class met its success target again for the rest of the
	// scenario, in whole seconds.
	Recovery time.Duration
}

// Result is the result of one scenario under one policy.
type Result struct {
	Classes     []ClassResult
	Utilization float64
	WastedShare float64
	// KeptSum is the sum of Kept over all classes.
	KeptSum float64
}

// warmUpTime is the time at the start of a scenario that is excluded from the reference interval before the flood.
const warmUpTime = 5 * time.Second

// Measure simulates a scenario under a policy and computes its result.
func Measure(s Scenario, name PolicyName) Result {
	run := Simulate(s, NewPolicy(name))
	result := Result{Utilization: run.Utilization, WastedShare: run.WastedShare}
	from, until := measuredInterval(s)
	for _, l := range s.Loads {
		classResult := summarize(run.Samples, l.Class, from, until)
		classResult.Scenario = s.Name
		classResult.Policy = name
		classResult.Recovery = recovery(run.Samples, l.Class, until, s.Length)
		result.Classes = append(result.Classes, classResult)
		result.KeptSum += classResult.Kept
	}
	return result
}

// measuredInterval returns the interval from the start of the first flood to the end of the last, or the time from
// floodFrom on in a scenario without floods.
func measuredInterval(s Scenario) (from, until time.Duration) {
	if len(s.Floods) == 0 {
		return floodFrom, s.Length
	}
	from, until = s.Floods[0].From, s.Floods[0].Until
	for _, f := range s.Floods {
		until = max(until, f.Until)
	}
	return from, until
}

func summarize(samples []Sample, c class.Class, from, until time.Duration) ClassResult {
	var calls, inTarget, answered, callsBefore, inTargetBefore int
	for _, sample := range samples {
		if sample.Class != c.Name {
			continue
		}
		if sample.Arrived >= warmUpTime && sample.Arrived < floodFrom {
			callsBefore++
			if sample.InTarget {
				inTargetBefore++
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
	rateBefore := float64(inTargetBefore) / (floodFrom - warmUpTime).Seconds()
	rateRatio := rate / max(rateBefore, 1e-9)
	shareRatio := ratio(inTarget, calls) / max(ratio(inTargetBefore, callsBefore), 1e-9)
	return ClassResult{
		Class:     c.Name,
		InTarget:  ratio(inTarget, calls),
		Succeeded: ratio(answered, calls),
		Kept:      min(1, max(rateRatio, shareRatio)),
	}
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// recovery returns the time after the flood until the share of calls in target reaches the class's success target in
// each of the remaining seconds.
func recovery(samples []Sample, c class.Class, from, until time.Duration) time.Duration {
	seconds := int((until - from) / time.Second)
	calls := make([]int, seconds+1)
	inTarget := make([]int, seconds+1)
	for _, sample := range samples {
		second := int((sample.Arrived - from) / time.Second)
		if sample.Class != c.Name || sample.Arrived < from || second >= seconds {
			continue
		}
		calls[second]++
		if sample.InTarget {
			inTarget[second]++
		}
	}
	recovered := 0
	for second := range seconds {
		if calls[second] > 0 && ratio(inTarget[second], calls[second]) < c.Success {
			recovered = second + 1
		}
	}
	return time.Duration(recovered) * time.Second
}
