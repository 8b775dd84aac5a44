package capacity_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/capacity"
	"github.com/skylarkrelay/skylarkrelay/class"
)

var start = time.Unix(1_000, 0)

// TestMeterIgnoresSlowMoments guards against a capacity that drops when a server is three times slower for 400 ms, and
// against one that follows a few calls.
func TestMeterIgnoresSlowMoments(t *testing.T) {
	g := gomega.NewWithT(t)
	m := capacity.NewMeter()
	m.Observe(start, "rare", time.Second)
	for i := range 60 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		runTime := time.Duration(90+i%3*10) * time.Millisecond
		if isSlow := i >= 40 && i < 48; isSlow {
			runTime *= 3
		}
		m.Observe(now, "common", runTime)
	}
	end := start.Add(3 * time.Second)
	g.Expect(m.RunTimes(end)).To(gomega.HaveLen(1))
	g.Expect(m.RunTimes(end)["common"]).To(gomega.BeNumerically("~", 100*time.Millisecond, 10*time.Millisecond))
	g.Expect(m.RunTimes(end.Add(10*time.Second))).To(gomega.BeEmpty(), "old run times")
	m.Reset()
	g.Expect(m.RunTimes(end)).To(gomega.BeEmpty())
}

func TestRunTimesRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	r := capacity.RunTimes{"calibrate": 150_320 * time.Microsecond, "a=b": time.Second, "x,y": time.Second, "idle": 0}
	g.Expect(r.Encode()).To(gomega.Equal("calibrate=1503"))
	decoded, err := capacity.DecodeRunTimes(r.Encode())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decoded).To(gomega.Equal(capacity.RunTimes{"calibrate": 150_300 * time.Microsecond}))
	for _, text := range []string{"calibrate", "calibrate=", "=1", "a=0", "a=-1", "a=1,", "a=99999999999", "a=1;b=2"} {
		_, err := capacity.DecodeRunTimes(text)
		g.Expect(err).To(gomega.BeAssignableToTypeOf(&capacity.RunTimesError{}), text)
	}
}

// reports returns reports of servers of the given speeds. Only the first classes of each are known.
func reports(age time.Duration, speeds ...float64) []capacity.Report[int] {
	var found []capacity.Report[int]
	for host, speed := range speeds {
		r := capacity.Report[int]{Host: host, RunTimes: capacity.RunTimes{}, Age: age}
		for name, runTime := range map[class.Name]time.Duration{"short": 35 * time.Millisecond, "long": 3 * time.Second} {
			if speed > 0 && (name == "short" || host%2 == 0) {
				r.RunTimes[name] = time.Duration(float64(runTime) / speed)
			}
		}
		found = append(found, r)
	}
	return found
}

func TestCapacitiesAreRelativeToTheMean(t *testing.T) {
	g := gomega.NewWithT(t)
	e := capacity.NewEstimator[int]()
	e.Update(start, reports(0, 7, 7, 17, 7, 7, 17, 0))
	for host, want := range []float64{0.677, 0.677, 1.645, 0.677, 0.677, 1.645, 1, 1} {
		g.Expect(e.Capacity(host)).To(gomega.BeNumerically("~", want, 0.01), "host %d", host)
	}
	e.Update(start.Add(time.Second), reports(0, 0.01, 7, 7, 7, 7, 7, 700))
	g.Expect(e.Capacity(0)).To(gomega.BeNumerically(">=", capacity.MinCapacity))
	e.Update(start.Add(time.Minute), reports(0, 0.01, 7, 7, 7, 7, 7, 700))
	g.Expect(e.Capacity(0)).To(gomega.Equal(capacity.MinCapacity))
	g.Expect(e.Capacity(6)).To(gomega.Equal(float64(capacity.MaxCapacity)))
}

// TestCapacitiesAreSmoothed guards against a capacity that jumps with one report.
func TestCapacitiesAreSmoothed(t *testing.T) {
	g := gomega.NewWithT(t)
	e := capacity.NewEstimator[int]()
	e.Update(start, reports(0, 1, 1, 1, 1))
	e.Update(start.Add(250*time.Millisecond), reports(0, 0.5, 1, 1, 1))
	g.Expect(e.Capacity(0)).To(gomega.BeNumerically(">", 0.9))
	for i := range 40 {
		e.Update(start.Add(time.Duration(2+i)*250*time.Millisecond), reports(0, 0.5, 1, 1, 1))
	}
	g.Expect(e.Capacity(0)).To(gomega.BeNumerically("~", 0.5/0.875, 0.02))
}

// TestCapacitiesDecayWithoutReports guards against stale knowledge: if announcements stop, capacities are those of the
// mean within 10 s.
func TestCapacitiesDecayWithoutReports(t *testing.T) {
	g := gomega.NewWithT(t)
	e := capacity.NewEstimator[int]()
	e.Update(start, reports(0, 0.5, 1.5))
	before := e.Capacity(1)
	for _, age := range []time.Duration{3 * time.Second, 7 * time.Second, 10 * time.Second} {
		e.Update(start.Add(age), reports(age, 0.5, 1.5))
		if age > 3*time.Second {
			g.Expect(e.Capacity(1)).To(gomega.BeNumerically("<", before))
		}
	}
	g.Expect(e.Capacity(0)).To(gomega.Equal(1.0))
	g.Expect(e.Capacity(1)).To(gomega.Equal(1.0))
}
