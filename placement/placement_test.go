package placement_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkrelay/skylarkrelay/placement"
)

func ExamplePlan() {
	places := []placement.Place{
		{Eligible: true, Successor: placement.Nobody},
		{Eligible: true, Successor: placement.Nobody},
	}
	fmt.Println(placement.Plan([]int{0, 0, 0, 0}, places))
	// Output: [{3 0 1} {2 0 1}]
}

func apply(owners []int, moves []placement.Move) {
	for _, m := range moves {
		owners[m.Slot] = m.To
	}
}

func TestPlanIsEvenAndMovesNoMoreThanNeeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		count := rapid.IntRange(1, 16).Draw(t, "members")
		places := make([]placement.Place, count)
		for i := range places {
			places[i] = placement.Place{Eligible: i == 0 || rapid.Bool().Draw(t, "eligible"), Successor: placement.Nobody}
		}
		owners := make([]int, rapid.IntRange(1, 200).Draw(t, "slots"))
		before := make([]int, count)
		for s := range owners {
			owners[s] = rapid.IntRange(-1, count-1).Draw(t, "owner")
			if owners[s] >= 0 {
				before[owners[s]]++
			}
		}
		moves := placement.Plan(owners, places)
		apply(owners, moves)
		after := make([]int, count)
		for _, owner := range owners {
			g.Expect(owner).NotTo(gomega.Equal(placement.Nobody))
			g.Expect(places[owner].Eligible).To(gomega.BeTrue())
			after[owner]++
		}
		least, most, gained := len(owners), 0, 0
		for i, place := range places {
			if place.Eligible {
				least, most = min(least, after[i]), max(most, after[i])
				gained += max(0, after[i]-before[i])
			}
		}
		g.Expect(most-least).To(gomega.BeNumerically("<=", 1), "counts equal within one")
		g.Expect(moves).To(gomega.HaveLen(gained), "each move fills a lack")
	})
}

func TestSuccessorGetsItsPredecessorsSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	places := []placement.Place{
		{Successor: 2},
		{Eligible: true, Successor: placement.Nobody},
		{Eligible: true, Successor: placement.Nobody},
	}
	owners := []int{0, 1, 0, 1}
	apply(owners, placement.Plan(owners, places))
	g.Expect(owners).To(gomega.Equal([]int{2, 1, 2, 1}))
}

func TestWitnessesSpreadOverDomains(t *testing.T) {
	g := gomega.NewWithT(t)
	var candidates []placement.Candidate
	for i := range 12 {
		candidates = append(candidates, placement.Candidate{ID: fmt.Sprint(i), Domain: fmt.Sprint("d", i%3)})
	}
	self := placement.Candidate{ID: "self", Domain: "d0"}
	counts := map[string]int{}
	for _, w := range placement.Witnesses(self, candidates, nil, 5) {
		counts[w.Domain]++
	}
	g.Expect(counts).To(gomega.Equal(map[string]int{"d0": 1, "d1": 2, "d2": 2}))
}
