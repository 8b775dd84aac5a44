// Package placement decides which member owns which slot, with the fewest moves.
package placement

import (
	"slices"
)

// Nobody marks a slot without an owner.
const Nobody = -1

// Place is one member as placement sees it.
type Place struct {
	// Eligible members take slots; the others give theirs away.
	Eligible bool
	// Successor is the index of the member that should rather get this one's slots, or Nobody.
	Successor int
}

// Move gives a slot to a member.
type Move struct {
	Slot int
	From int
	To   int
}

// Plan returns the moves that make slot counts equal within one among the eligible places.
//
// Slots of ineligible owners and unowned slots go first; then surplus moves from the fullest to the emptiest.
// The plan depends on nothing but its arguments, so all members compute the same.
func Plan(owners []int, places []Place) []Move {
	eligible := eligibleIndexes(places)
	if len(eligible) == 0 {
		return nil
	}
	counts := make([]int, len(places))
	for _, owner := range owners {
		if owner != Nobody {
			counts[owner]++
		}
	}
	quota := quotas(counts, eligible, len(owners))
	moves := rehome(owners, places, eligible, counts, quota)
	return append(moves, level(owners, places, counts, quota)...)
}

// quotas returns each place's fair share; the places that hold the most get the odd slots, which saves moves.
func quotas(counts, eligible []int, slots int) []int {
	byCount := slices.Clone(eligible)
	slices.SortStableFunc(byCount, func(a, b int) int { return counts[b] - counts[a] })
	quota := make([]int, len(counts))
	base, odd := slots/len(eligible), slots%len(eligible)
	for i, index := range byCount {
		quota[index] = base
		if i < odd {
			quota[index]++
		}
	}
	return quota
}

// rehome finds owners for slots that are unowned or held by an ineligible place.
func rehome(owners []int, places []Place, eligible, counts, quota []int) []Move {
	var moves []Move
	for slot, owner := range owners {
		if owner != Nobody && places[owner].Eligible {
			continue
		}
		to := emptiest(counts, quota, eligible)
		if owner != Nobody {
			if next := places[owner].Successor; next != Nobody && counts[next] < quota[next] {
				to = next
			}
			counts[owner]--
		}
		counts[to]++
		moves = append(moves, Move{Slot: slot, From: owner, To: to})
	}
	return moves
}

// level moves surplus slots of eligible places to those below their quota.
func level(owners []int, places []Place, counts, quota []int) []Move {
	var moves []Move
	for slot := len(owners) - 1; slot >= 0; slot-- {
		from := owners[slot]
		if from == Nobody || !places[from].Eligible || counts[from] <= quota[from] {
			continue
		}
		to := neediest(places, counts, quota)
		if to == Nobody {
			return moves
		}
		counts[from]--
		counts[to]++
		moves = append(moves, Move{Slot: slot, From: from, To: to})
	}
	return moves
}

// emptiest returns the eligible place that lacks the most slots; ties go to the lower index.
func emptiest(counts, quota, eligible []int) int {
	best := eligible[0]
	for _, index := range eligible {
		if quota[index]-counts[index] > quota[best]-counts[best] {
			best = index
		}
	}
	return best
}

// neediest returns the place furthest below its quota, or Nobody.
func neediest(places []Place, counts, quota []int) int {
	best := Nobody
	for index, place := range places {
		lack := quota[index] - counts[index]
		if !place.Eligible || lack <= 0 {
			continue
		}
		if best == Nobody || lack > quota[best]-counts[best] {
			best = index
		}
	}
	return best
}

func eligibleIndexes(places []Place) []int {
	var eligible []int
	for index, place := range places {
		if place.Eligible {
			eligible = append(eligible, index)
		}
	}
	return eligible
}
