package placement

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Candidate is a daemon that could be a witness.
type Candidate struct {
	ID     string
	Domain string
}

// WitnessCount returns how many witnesses a member should have among the given number of other daemons:
// five where there are enough, else three, else all of them.
func WitnessCount(others int) int {
	switch {
	case others >= 5:
		return 5
	case others >= 3:
		return 3
	default:
		return others
	}
}

// Witnesses chooses count witnesses for a member, spread over failure domains with the member's own domain last.
// Those in keep stay unless the spread suffers from it.
func Witnesses(member Candidate, candidates []Candidate, keep map[string]bool, count int) []Candidate {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b Candidate) int {
		return cmp.Or(
			boolOrder(keep[b.ID], keep[a.ID]),
			cmp.Compare(affinity(member.ID, a.ID), affinity(member.ID, b.ID)),
		)
	})
	used := map[string]int{}
	var chosen []Candidate
	for len(chosen) < count && len(sorted) > 0 {
		best := 0
		for i, c := range sorted {
			if crowding(c, member, used) < crowding(sorted[best], member, used) {
				best = i
			}
		}
		used[sorted[best].Domain]++
		chosen = append(chosen, sorted[best])
		sorted = slices.Delete(sorted, best, best+1)
	}
	return chosen
}

// crowding ranks a candidate by how many witnesses its domain has; the member's own domain counts as one fuller.
func crowding(c, member Candidate, used map[string]int) int {
	if c.Domain == member.Domain {
		return used[c.Domain] + 1
	}
	return used[c.Domain]
}

// affinity spreads the work of witnessing evenly over the daemons.
func affinity(member, candidate string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(member + "/" + candidate))
	return h.Sum64()
}

func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
