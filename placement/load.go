package placement

import "math"

const (
	// loadHysteresis is how far above the mean a member's load must be before a slot moves for it.
	loadHysteresis = 0.25
	// leastLoad is the load, in busy places, below which evening out is not worth a move.
	leastLoad = 0.25
	// leastRelief and mostRelief bound the part of the gap that a moved slot carries. Half is best; with all of it the
	// two members would only change places.
	leastRelief = 0.05
	mostRelief  = 0.75
)

// Relieve returns the move that best evens out load from one member to the least loaded one, if it is overloaded.
//
// Loads are in busy places of the backend server. A slot moves only if that narrows the gap well: one that carries
// most of it, such as the slot of a single hot key, stays, and its neighbours go instead.
func Relieve(owners []int, self int, slotLoads, memberLoads []float64, places []Place) (Move, bool) {
	eligible := eligibleIndexes(places)
	if len(eligible) < 2 || !places[self].Eligible {
		return Move{}, false
	}
	mean, to := 0.0, Nobody
	for _, index := range eligible {
		mean += memberLoads[index] / float64(len(eligible))
		if index != self && (to == Nobody || memberLoads[index] < memberLoads[to]) {
			to = index
		}
	}
	gap := memberLoads[self] - memberLoads[to]
	if memberLoads[self] < leastLoad || memberLoads[self] <= (1+loadHysteresis)*mean {
		return Move{}, false
	}
	best := Nobody
	for slot, owner := range owners {
		share := slotLoads[slot] / gap
		isUseful := owner == self && share >= leastRelief && share <= mostRelief
		if isUseful && (best == Nobody || math.Abs(share-0.5) < math.Abs(slotLoads[best]/gap-0.5)) {
			best = slot
		}
	}
	return Move{Slot: best, From: self, To: to}, best != Nobody
}
