package admission

import "github.com/skylarkrelay/skylarkrelay/class"

const (
	// refusalWeight is the weight of one window in the moving averages of offered and refused jobs.
	refusalWeight = 0.2
	// refusalTolerance is by how much the share of refused jobs of a class may exceed that of a less urgent class.
	refusalTolerance = 0.01
	// reserveIncrease is added to the reserve in each window in which it is exceeded, and reserveDecrease subtracted in
	// the others, in slots. maxReservedShare bounds the reserve as a share of the capacity.
	reserveIncrease  = 0.25
	reserveDecrease  = 0.15
	maxReservedShare = 0.7
)

// refusals counts the jobs of a class that were offered and refused.
type refusals struct {
	offered, refused         int
	meanOffered, meanRefused float64
}

func (r *refusals) roll() {
	r.meanOffered += refusalWeight * (float64(r.offered) - r.meanOffered)
	r.meanRefused += refusalWeight * (float64(r.refused) - r.meanRefused)
	r.offered, r.refused = 0, 0
}

// share returns the share of the jobs that were refused.
func (r *refusals) share() float64 {
	if r.meanOffered < refusalTolerance {
		return 0
	}
	return r.meanRefused / r.meanOffered
}

// slotReserve keeps slots free of less urgent jobs. A job with a short latency target cannot wait for the end of long jobs
// that occupy all slots, so that its class could be refused more often than the less urgent class of those jobs although
// its jobs go first. The reserve is adjusted by this comparison alone.
type slotReserve struct {
	slots float64
	// rank is the rank of the refused class. Only less urgent jobs are kept from the reserve.
	rank class.Rank
}

// adjust updates the reserve at the end of a window.
func (r *slotReserve) adjust(byRank []*classState, capacity float64) {
	for _, s := range byRank {
		s.load.refusals.roll()
	}
	isExceeded := false
	for i, urgent := range byRank {
		for _, other := range byRank[i+1:] {
			if other.class.Rank > urgent.class.Rank && !urgent.isFlooding && !isExceeded &&
				urgent.load.refusals.share() > other.load.refusals.share()+refusalTolerance {
				isExceeded = true
				r.rank = urgent.class.Rank
			}
		}
	}
	if isExceeded {
		r.slots = min(r.slots+reserveIncrease, maxReservedShare*capacity)
		return
	}
	r.slots = max(0, r.slots-reserveDecrease)
}

// allows reports whether the reserve permits another job of a class to start while the given number runs.
func (r *slotReserve) allows(s *classState, running int, capacity float64) bool {
	limit := r.limit(s, capacity)
	return limit >= capacity || float64(running) < limit
}

// limit returns the number of slots that jobs of a class may use.
func (r *slotReserve) limit(s *classState, capacity float64) float64 {
	if s.class.Rank <= r.rank {
		return capacity
	}
	return max(1, capacity-float64(int(r.slots+0.5)))
}
