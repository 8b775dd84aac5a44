package admission

import (
	"context"
	"errors"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/class"
)

const coldTime = 3 * time.Second

func testWarmupLimit() WarmupLimit { return NewWarmupLimit(7.1, 1.5, 8) }

// flood runs warmup limiters against a flood of calls and returns the most starts in any second after the server became
// cold. Each restart replaces the limiter.
func flood(perSecond int, learnedAfter time.Duration, restarts []time.Duration) int {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	coldAt := start.Add(2 * time.Second)
	var limiter warmupLimiter
	limiter.set(start, testWarmupLimit(), time.Time{})
	isLearned := false
	var starts []time.Time
	nextCall := start
	for now := start; now.Before(coldAt.Add(coldTime)); now = now.Add(time.Millisecond) {
		if len(restarts) > 0 && now.Sub(coldAt) >= restarts[0] {
			restarts, isLearned, limiter = restarts[1:], false, warmupLimiter{}
		}
		if !isLearned && now.Sub(coldAt) >= learnedAfter {
			isLearned = true
			limiter.set(now, testWarmupLimit(), coldAt.Add(coldTime))
		}
		if now.Before(nextCall) || limiter.delay(now, 1) > 0 {
			continue
		}
		nextCall = now.Add(time.Second / time.Duration(perSecond))
		limiter.start(now)
		if !now.Before(coldAt) {
			starts = append(starts, now)
		}
	}
	most, first := 0, 0
	for last, at := range starts {
		for at.Sub(starts[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestColdServerIsNotFlooded guards against a cold server getting more requests in a second than it survives, and states
// which cases are not covered. The cases are in testdata/warmup.
func TestColdServerIsNotFlooded(t *testing.T) {
	text, err := os.ReadFile("testdata/warmup/floods.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		if strings.HasPrefix(line, "#") {
			continue
		}
		t.Run(line, func(t *testing.T) {
			g := gomega.NewWithT(t)
			fields := strings.Fields(line)
			perSecond, err := strconv.Atoi(fields[0])
			g.Expect(err).NotTo(gomega.HaveOccurred())
			learned, err := time.ParseDuration(fields[1])
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var restarts []time.Duration
			for _, text := range strings.Split(strings.TrimPrefix(fields[2], "-"), ",") {
				if at, err := time.ParseDuration(text); err == nil {
					restarts = append(restarts, at)
				}
			}
			most, err := strconv.Atoi(fields[3])
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(flood(perSecond, learned, restarts)).To(gomega.BeNumerically("<=", most))
		})
	}
}

// TestCallsBeyondTheColdRateAreRejectedAtOnce guards against calls that wait in the queue of a cold server until their
// deadline, against callers that all return at the same time, and against a limit that outlasts the warm-up.
func TestCallsBeyondTheColdRateAreRejectedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	controller := NewController(NewTargetPolicy(8), 8, clock)
	controller.SetWarmup(testWarmupLimit(), clock.Now().Add(coldTime))
	c := &class.Class{Name: "c", Latency: 500 * time.Millisecond}
	acquire := func(ctx context.Context) error {
		ticket, err := controller.Acquire(ctx, c, clock.Now().Add(3*time.Second), nil)
		if err == nil {
			ticket.Done()
		}
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	queued := make(chan error, 3)
	for i := range cap(queued) {
		go func() { queued <- acquire(ctx) }()
		g.Eventually(func() int { return controller.State().Waiting }).Should(gomega.Equal(i + 1))
	}
	seen := map[time.Duration]bool{}
	for range 30 {
		var rejected *RejectedError
		g.Expect(errors.As(acquire(ctx), &rejected)).To(gomega.BeTrue())
		g.Expect(rejected.Reason).To(gomega.Equal(Cold))
		g.Expect(rejected.RetryAfter).To(gomega.BeNumerically("<", coldTime+time.Second))
		seen[rejected.RetryAfter] = true
	}
	g.Expect(seen).To(gomega.HaveLen(30), "each caller returns at another time")
	for i := range cap(queued) {
		clock.Advance(141 * time.Millisecond)
		g.Eventually(queued).Should(gomega.Receive(gomega.BeNil()))
		g.Expect(controller.State().Waiting).To(gomega.Equal(cap(queued) - i - 1))
	}
	clock.Advance(coldTime)
	for range 50 {
		g.Expect(acquire(ctx)).To(gomega.Succeed(), "the server is warm")
	}
}
