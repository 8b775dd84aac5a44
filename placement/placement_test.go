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

func places(count int) []placement.Server {
	places := make([]placement.Server, count)
	for i := range places {
		places[i].Capacity = 1
	}
	return places
}

func ExampleReassign() {
	runs := []placement.LoadedSpan{{Span: keyspace.Span{From: 0, To: 9}}, {Span: keyspace.Span{From: 20, To: 29}}}
	for _, move := range placement.Reassign(runs, []placement.Server{{}, {Capacity: 1}, {Capacity: 1}}) {
		fmt.Println(move.Span.From, move.To)
	}
	// Output:
	// 0 1
	// 20 2
}

// TestDealIsEven deals to any number of servers: keys are even, rows fit, and neighbours lie apart.
func TestDealIsEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		count := rapid.IntRange(1, 100).Draw(t, "servers")
		owners := placement.Distribute(places(count))
		keys, rows := make([]int, count), make([]int, count)
		for span, owner := range owners.Runs() {
			keys[owner] += span.Size()
			rows[owner]++
			if count > 1 {
				g.Expect(span.Size()).To(gomega.BeNumerically("<=", class.KeyCount/64))
			}
		}
		for i := range count {
			g.Expect(keys[i]).To(gomega.BeNumerically("~", class.KeyCount/count, class.KeyCount/count/32+class.KeyCount/512))
			g.Expect(rows[i]).To(gomega.BeNumerically("<=", placement.MaxSpans))
		}
	})
}

func runs(span, count int, load float64) []placement.LoadedSpan {
	var found []placement.LoadedSpan
	for i := range count {
		from := class.Key(2 * i * span)
		found = append(found, placement.LoadedSpan{Span: keyspace.Span{From: from, To: from + class.Key(span-1)}, Load: load})
	}
	return found
}

func TestNewcomersGetTheirShare(t *testing.T) {
	g := gomega.NewWithT(t)
	all := places(3)
	all[0].Keys, all[1].Keys = 32768, 32768
	moved := 0
	for _, move := range placement.Rebalance(0, runs(128, 256, 0), all, 6) {
		g.Expect(move.To).To(gomega.Equal(2))
		moved += move.Span.Size()
	}
	g.Expect(moved).To(gomega.BeNumerically("~", class.KeyCount/6, 256))
}

func TestLoadMovesFromTheBusiest(t *testing.T) {
	for name, c := range map[string]struct {
		loads []float64
		least int
		most  int
	}{
		"even":              {loads: []float64{4, 4, 4}},
		"all idle":          {loads: []float64{0.9, 0.1, 0.1}},
		"a little above":    {loads: []float64{4.5, 4, 4}},
		"far above":         {loads: []float64{6, 3, 3}, least: 5, most: 30},
		"not the busiest":   {loads: []float64{3, 6, 3}},
		"nobody else there": {loads: []float64{6}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			all := places(len(c.loads))
			for i := range all {
				all[i].Load = c.loads[i]
				all[i].Keys = class.KeyCount / len(all)
			}
			moves := placement.Rebalance(0, runs(64, 60, 0.1), all, 6)
			g.Expect(len(moves)).To(gomega.BeNumerically(">=", c.least))
			g.Expect(len(moves)).To(gomega.BeNumerically("<=", c.most))
		})
	}
}
