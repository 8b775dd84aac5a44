package placement_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/placement"
)

func newServers(count int) []placement.Server {
	servers := make([]placement.Server, count)
	for i := range servers {
		servers[i].Capacity = 1
	}
	return servers
}

func ExampleReassign() {
	spans := []placement.LoadedSpan{{Span: keyspace.Span{From: 0, To: 9}}, {Span: keyspace.Span{From: 20, To: 29}}}
	for _, move := range placement.Reassign(spans, []placement.Server{{}, {Capacity: 1}, {Capacity: 1}}) {
		fmt.Println(move.Span.From, move.To)
	}
	// Output:
	// 0 1
	// 20 2
}

// TestDistributionIsEven checks the distribution over 1 to 100 servers: keys are spread evenly, no server exceeds
// MaxSpans, and no span is so long that many neighbouring keys share a server.
func TestDistributionIsEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		count := rapid.IntRange(1, 100).Draw(t, "servers")
		owners := placement.Distribute(newServers(count))
		keys, spans := make([]int, count), make([]int, count)
		for span, owner := range owners.Runs() {
			keys[owner] += span.Size()
			spans[owner]++
			if count > 1 {
				g.Expect(span.Size()).To(gomega.BeNumerically("<=", class.KeyCount/64))
			}
		}
		for i := range count {
			g.Expect(keys[i]).To(gomega.BeNumerically("~", class.KeyCount/count, class.KeyCount/count/32+class.KeyCount/512))
			g.Expect(spans[i]).To(gomega.BeNumerically("<=", placement.MaxSpans))
		}
	})
}

func loadedSpans(span, count int, load float64) []placement.LoadedSpan {
	var spans []placement.LoadedSpan
	for i := range count {
		from := class.Key(2 * i * span)
		spans = append(spans, placement.LoadedSpan{Span: keyspace.Span{From: from, To: from + class.Key(span-1)}, Load: load})
	}
	return spans
}

func TestNewServersGetTheirShare(t *testing.T) {
	g := gomega.NewWithT(t)
	servers := newServers(3)
	servers[0].Keys, servers[1].Keys = 32768, 32768
	moved := 0
	for _, move := range placement.Rebalance(0, loadedSpans(128, 256, 0), servers, 6) {
		g.Expect(move.To).To(gomega.Equal(2))
		moved += move.Span.Size()
	}
	g.Expect(moved).To(gomega.BeNumerically("~", class.KeyCount/6, 256))
}

func TestLoadMovesFromTheMostLoadedServer(t *testing.T) {
	for name, c := range map[string]struct {
		loads []float64
		least int
		most  int
	}{
		"even":            {loads: []float64{4, 4, 4}},
		"all idle":        {loads: []float64{0.9, 0.1, 0.1}},
		"a little above":  {loads: []float64{4.5, 4, 4}},
		"far above":       {loads: []float64{6, 3, 3}, least: 5, most: 30},
		"not the busiest": {loads: []float64{3, 6, 3}},
		"only server":     {loads: []float64{6}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			servers := newServers(len(c.loads))
			for i := range servers {
				servers[i].Load = c.loads[i]
				servers[i].Keys = class.KeyCount / len(servers)
			}
			moves := placement.Rebalance(0, loadedSpans(64, 60, 0.1), servers, 6)
			g.Expect(len(moves)).To(gomega.BeNumerically(">=", c.least))
			g.Expect(len(moves)).To(gomega.BeNumerically("<=", c.most))
		})
	}
}
