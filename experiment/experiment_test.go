package experiment_test

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/experiment"
)

// Lower bounds of the results, from the stated targets.
const (
	minUrgentInTarget = 0.99
	minKept           = 0.95
	minUtilization    = 0.95
)

// testedMixes returns the mixes to test, by name: all of them, or one with -short.
func testedMixes(t *testing.T) map[string]experiment.Mix {
	t.Helper()
	mixes := map[string]experiment.Mix{}
	for _, m := range experiment.Mixes() {
		if !testing.Short() || m.Name == "fire-assay-bench" {
			mixes[m.Name] = m
		}
	}
	return mixes
}

// TestFloodsOnHealthyServer checks that floods without a server fault stay within the stated targets, and that the
// production policy does better than the baselines.
func TestFloodsOnHealthyServer(t *testing.T) {
	for _, mix := range testedMixes(t) {
		for _, s := range experiment.Scenarios(mix, 1) {
			if s.Fault != nil {
				continue
			}
			t.Run(s.Name, func(t *testing.T) {
				g := gomega.NewWithT(t)
				production := experiment.Measure(s, "targets")
				g.Expect(production.Utilization).
					To(gomega.BeNumerically(">=", minUtilization), "utilization while calls are queued")
				for i, result := range production.Classes {
					isUrgent := i == 0
					isFlooding := len(s.Floods) > 0 && s.Floods[0].Class == result.Class ||
						len(s.Floods) > 1 && s.Floods[1].Class == result.Class
					g.Expect(result.Succeeded).To(gomega.BeNumerically(">", 0), "no call of %s succeeded", result.Class)
					g.Expect(result.Kept).To(gomega.BeNumerically(">=", minKept), "share that %s kept", result.Class)
					if isUrgent && !isFlooding {
						g.Expect(result.InTarget).To(gomega.BeNumerically(">=", minUrgentInTarget), "share of %s in target", result.Class)
					}
				}
				if len(s.Floods) == 0 || strings.HasSuffix(s.Name, "both-in-turn") {
					return
				}
				for _, p := range experiment.Policies()[1:] {
					g.Expect(production.KeptSum).
						To(gomega.BeNumerically(">", experiment.Measure(s, p).KeptSum), "sum of Kept compared with %s", p)
				}
			})
		}
	}
}

// TestSameSeedGivesSameResult checks that a simulation depends on nothing but its scenario, policy and seed.
func TestSameSeedGivesSameResult(t *testing.T) {
	g := gomega.NewWithT(t)
	s := experiment.Scenarios(experiment.Mixes()[0], 7)[1]
	g.Expect(experiment.Measure(s, "targets")).To(gomega.Equal(experiment.Measure(s, "targets")))
}

// TestStartUnderFullLoad guards against a restarted daemon rejecting calls that its server could run: the offered load
// is slightly above the capacity, and the policy has not learned the demand yet. The server stays as busy as with a
// plain queue.
func TestStartUnderFullLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	ms := time.Millisecond
	scenario := experiment.Scenario{
		Name: "start-under-full-load",
		Loads: []experiment.ClassLoad{
			{
				Class: class.Class{Name: "browse", Rank: 1, Latency: 200 * ms, Timeout: 800 * ms, Success: 0.95},
				Rate:  55, ServiceTime: 60 * ms,
			},
			{
				Class: class.Class{Name: "order", Rank: 2, Latency: 500 * ms, Timeout: time.Second, Success: 0.95},
				Rate:  42, ServiceTime: 78 * ms,
			},
		},
		Length: 20 * time.Second,
		Seed:   3,
	}
	run := experiment.Simulate(scenario, admission.NewTargetPolicy(6))
	answered := 0
	for _, s := range run.Samples {
		if s.Answered {
			answered++
		}
	}
	// The capacity is about nine tenths of the offered load.
	g.Expect(float64(answered) / float64(len(run.Samples))).To(gomega.BeNumerically(">", 0.8))
}

// TestRefusalsAreEarly checks a server whose offered load exceeds its capacity for the whole simulation. Calls that
// cannot be served are rejected immediately, so that their callers can retry in time. The others are answered within
// their latency target.
func TestRefusalsAreEarly(t *testing.T) {
	ms := time.Millisecond
	for name, excess := range map[string]float64{"slight overload": 1.2, "heavy overload": 2.5} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			run := experiment.Simulate(experiment.Scenario{
				Name: name,
				Loads: []experiment.ClassLoad{
					{
						Class: class.Class{Name: "browse", Rank: 1, Latency: 200 * ms, Timeout: 800 * ms, Success: 0.95},
						Rate:  50 * excess, ServiceTime: 60 * ms,
					},
					{
						Class: class.Class{Name: "order", Rank: 2, Latency: 500 * ms, Timeout: time.Second, Success: 0.95},
						Rate:  38 * excess, ServiceTime: 78 * ms,
					},
				},
				Length: 20 * time.Second,
				Seed:   5,
			}, admission.NewTargetPolicy(6))
			var inTarget, answered, rejectedAtOnce, rejectedLate float64
			for _, s := range run.Samples {
				switch {
				case s.InTarget:
					inTarget++
					answered++
				case s.Answered:
					answered++
				case s.Duration > 50*ms:
					rejectedLate++
				default:
					rejectedAtOnce++
				}
			}
			g.Expect(rejectedLate/(rejectedLate+rejectedAtOnce)).
				To(gomega.BeNumerically("<", 0.05), "share of the unserved calls that were rejected late")
			g.Expect(inTarget/answered).To(gomega.BeNumerically(">", 0.9), "share of the answered calls in target")
			// The server runs 6 calls at a time and can answer 1/excess of the offered load. The bound allows for 5%
			// random variation.
			g.Expect(answered/float64(len(run.Samples))).
				To(gomega.BeNumerically(">", 0.95/excess), "share of the calls that were answered")
		})
	}
}
