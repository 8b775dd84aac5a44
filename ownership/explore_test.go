package ownership_test

import (
	"flag"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// walkCount is the number of walks of the exploration. A walk is one simulation run with random events and faults; its
// number is the random seed. The long run is go test ./ownership -run Exploration -v -explore.walks 30000.
var walkCount = flag.Int("explore.walks", 150, "walks of the exploration")

// mutationWalks is the maximum number of walks in which the exploration must detect a mutation.
var mutationWalks = flag.Int("explore.flaw_walks", 4000, "walks in which each mutation must be detected")

// explore plays walks on all processors until one fails. It returns the number of the first failed walk, or -1, with the
// reason of the failure.
func explore(count int, m mutation, play func(*simulation)) (failedWalk int, reason string, takeovers, moves int64) {
	var next, tookOver, moved atomic.Int64
	var mu sync.Mutex
	failedWalk = -1
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for {
				walk := *firstWalk + int(next.Add(1)) - 1
				mu.Lock()
				isDone := walk >= *firstWalk+count || failedWalk >= 0
				mu.Unlock()
				if isDone {
					return
				}
				sim := newSimulation(uint64(walk), m)
				play(sim)
				tookOver.Add(int64(sim.takeovers))
				moved.Add(int64(sim.moves))
				if sim.failure == "" {
					continue
				}
				mu.Lock()
				if failedWalk < 0 || walk < failedWalk {
					failedWalk, reason = walk, sim.failure
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return failedWalk, reason, tookOver.Load(), moved.Load()
}

func TestExplorationFindsNoSecondOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	failedWalk, reason, takeovers, moves := explore(*walkCount, noMutation, (*simulation).run)
	t.Logf("%d walks, %d takeovers, %d moves", *walkCount, takeovers, moves)
	g.Expect(failedWalk).To(gomega.Equal(-1), fmt.Sprintf("walk %d: %s", failedWalk, reason))
	g.Expect(takeovers).To(gomega.BeNumerically(">", 0))
	g.Expect(moves).To(gomega.BeNumerically(">", 0))
}

func TestExplorationDetectsMutations(t *testing.T) {
	if testing.Short() {
		t.Skip("takes minutes; runs without -short")
	}
	for m := noMutation + 1; m < mutationCount; m++ {
		t.Run(mutationNames[m], func(t *testing.T) { expectDetected(t, m, (*simulation).run) })
	}
}

func expectDetected(t *testing.T, m mutation, play func(*simulation)) {
	t.Helper()
	g := gomega.NewWithT(t)
	failedWalk, reason, _, _ := explore(*mutationWalks, m, play)
	t.Logf("walk %d: %s", failedWalk, reason)
	g.Expect(failedWalk).To(gomega.BeNumerically(">=", 0), "the mutation was not detected")
}

// firstWalk is the number of the first walk, for repeating a particular walk.
var firstWalk = flag.Int("explore.first", 0, "first walk of the exploration")

// tracedKey is the key that TestTrace traces in the first walk, or -1.
var tracedKey = flag.Int("explore.watch", -1, "key to trace in the first walk")

func TestTrace(t *testing.T) {
	if *tracedKey < 0 {
		t.Skip("prints the trace of one walk: set -explore.first N -explore.watch KEY")
	}
	sim := newSimulation(uint64(*firstWalk), noMutation)
	sim.isTraced = true
	sim.tracedKey = class.Key(*tracedKey)
	sim.run()
	for _, line := range sim.trace {
		t.Log(line)
	}
	t.Log(sim.failure)
}
