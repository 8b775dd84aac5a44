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

// Bounds from the stated targets.
const (
	urgentInTarget = 0.99
	othersKeep     = 0.95
	leastBusy      = 0.95
)

// scenarios returns the floods on a sound server. The short run takes one service.
func scenarios(t *testing.T) map[string]experiment.Mix {
	t.Helper()
	mixes := map[string]experiment.Mix{}
	for _, m := range experiment.Mixes() {
		if !testing.Short() || m.Name == "fire-assay-bench" {
			mixes[m.Name] = m
		}
	}
	return mixes
}

func TestFloodsOnASoundServer(t *testing.T) {
	for _, mix := range scenarios(t) {
		for _, s := range experiment.Scenarios(mix, 1) {
			if s.Trouble != nil {
				continue
			}
			t.Run(s.Name, func(t *testing.T) {
				g := gomega.NewWithT(t)
				own := experiment.Measure(s, "targets")
				g.Expect(own.Busy).To(gomega.BeNumerically(">=", leastBusy), "places busy while work waits")
				for i, line := range own.Lines {
					isUrgent := i == 0
					isFlooding := len(s.Floods) > 0 && s.Floods[0].Class == line.Class || len(s.Floods) > 1 && s.Floods[1].Class == line.Class
					g.Expect(line.Succeeded).To(gomega.BeNumerically(">", 0), "%s falls to nothing", line.Class)
					g.Expect(line.Kept).To(gomega.BeNumerically(">=", othersKeep), "%s keeps", line.Class)
					if isUrgent && !isFlooding {
						g.Expect(line.InTarget).To(gomega.BeNumerically(">=", urgentInTarget), "%s in target", line.Class)
					}
				}
				if len(s.Floods) == 0 || strings.HasSuffix(s.Name, "both-in-turn") {
					return
				}
				for _, p := range experiment.Policies()[1:] {
					g.Expect(own.Sum).To(gomega.BeNumerically(">", experiment.Measure(s, p).Sum), "against %s", p)
				}
			})
		}
	}
}

func TestSameSeedSameTable(t *testing.T) {
	g := gomega.NewWithT(t)
	s := experiment.Scenarios(experiment.Mixes()[0], 7)[1]
	g.Expect(experiment.Measure(s, "targets")).To(gomega.Equal(experiment.Measure(s, "targets")))
}

// TestStartUnderFullLoad is a daemon that restarts while callers ask for slightly more than its server can do. It has
// learned nothing yet, and still has to keep the server as busy as a plain queue does.
func TestStartUnderFullLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	ms := time.Millisecond
	scenario := experiment.Scenario{
		Name: "start-under-full-load",
		Work: []experiment.Work{
			{Class: class.Class{Name: "browse", Rank: 1, Latency: 200 * ms, Timeout: 800 * ms, Success: 0.95}, Rate: 55, Service: 60 * ms},
			{Class: class.Class{Name: "order", Rank: 2, Latency: 500 * ms, Timeout: time.Second, Success: 0.95}, Rate: 42, Service: 78 * ms},
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
	// The server can do about nine tenths of what is asked.
	g.Expect(float64(answered) / float64(len(run.Samples))).To(gomega.BeNumerically(">", 0.8))
}

// TestRefusalsAreEarly is a server that is asked for more than it can do for as long as the run lasts. Callers of calls that
// it cannot serve learn it at once and can come back in time; the others are answered inside their target.
func TestRefusalsAreEarly(t *testing.T) {
	ms := time.Millisecond
	for name, excess := range map[string]float64{"just too much": 1.2, "far too much": 2.5} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			run := experiment.Simulate(experiment.Scenario{
				Name: name,
				Work: []experiment.Work{
					{Class: class.Class{Name: "browse", Rank: 1, Latency: 200 * ms, Timeout: 800 * ms, Success: 0.95}, Rate: 50 * excess, Service: 60 * ms},
					{Class: class.Class{Name: "order", Rank: 2, Latency: 500 * ms, Timeout: time.Second, Success: 0.95}, Rate: 38 * excess, Service: 78 * ms},
				},
				Length: 20 * time.Second,
				Seed:   5,
			}, admission.NewTargetPolicy(6))
			var inTarget, answered, refused, held float64
			for _, s := range run.Samples {
				switch {
				case s.InTarget:
					inTarget++
					answered++
				case s.Answered:
					answered++
				case s.Took > 50*ms:
					held++
				default:
					refused++
				}
			}
			g.Expect(held/(held+refused)).To(gomega.BeNumerically("<", 0.05), "part of the unserved calls that were held")
			g.Expect(inTarget/answered).To(gomega.BeNumerically(">", 0.9), "part of the answers inside their target")
			// The server has 6 places: what it can answer of what is asked is 1 in excess, and 5% are left to chance.
			g.Expect(answered/float64(len(run.Samples))).To(gomega.BeNumerically(">", 0.95/excess), "answered")
		})
	}
}
