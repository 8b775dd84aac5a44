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

// walkCount is how many walks the exploration takes; the long run is go test ./ownership -run Exploration -v
// -explore.walks 30000.
var walkCount = flag.Int("explore.walks", 150, "walks of the exploration")

// flawWalks bounds the walks in which a wrong variant must be found.
var flawWalks = flag.Int("explore.flaw_walks", 4000, "walks in which each wrong variant must be found")

// explore plays walks on all processors until one fails, and returns the first that did, or -1.
func explore(count int, f flaw) (failed int, why string, takeovers, moves int64) {
	var next, tookOver, moved atomic.Int64
	var mu sync.Mutex
	failed = -1
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for {
				walk := *firstWalk + int(next.Add(1)) - 1
				mu.Lock()
				isOver := walk >= *firstWalk+count || failed >= 0
				mu.Unlock()
				if isOver {
					return
				}
				w := newWorld(uint64(walk), f)
				w.run()
				tookOver.Add(int64(w.takeovers))
				moved.Add(int64(w.moves))
				if w.failure == "" {
					continue
				}
				mu.Lock()
				if failed < 0 || walk < failed {
					failed, why = walk, w.failure
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return failed, why, tookOver.Load(), moved.Load()
}

func TestExplorationFindsNoSecondOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	failed, why, takeovers, moves := explore(*walkCount, none)
	t.Logf("%d walks, %d take-overs, %d moves", *walkCount, takeovers, moves)
	g.Expect(failed).To(gomega.Equal(-1), fmt.Sprintf("walk %d: %s", failed, why))
	g.Expect(takeovers).To(gomega.BeNumerically(">", 0))
	g.Expect(moves).To(gomega.BeNumerically(">", 0))
}

func TestExplorationFindsWrongVariants(t *testing.T) {
	if testing.Short() {
		t.Skip("takes minutes; the whole run has it")
	}
	for f := none + 1; f < flaws; f++ {
		t.Run(flawNames[f], func(t *testing.T) {
			g := gomega.NewWithT(t)
			failed, why, _, _ := explore(*flawWalks, f)
			t.Logf("walk %d: %s", failed, why)
			g.Expect(failed).To(gomega.BeNumerically(">=", 0), "the wrong variant was not found")
		})
	}
}

// firstWalk lets a run begin at a walk that is of interest.
var firstWalk = flag.Int("explore.first", 0, "first walk of the exploration")

// watchedKey traces what happens around a key in the first walk.
var watchedKey = flag.Int("explore.watch", -1, "key to trace in the first walk")

func TestTrace(t *testing.T) {
	if *watchedKey < 0 {
		t.Skip("for looking at one walk: -explore.first N -explore.watch KEY")
	}
	w := newWorld(uint64(*firstWalk), none)
	w.isTraced = true
	w.watched = class.Key(*watchedKey)
	w.run()
	for _, line := range w.trace {
		t.Log(line)
	}
	t.Log(w.failure)
}
