// Package placement decides which backend server should hold which keys. It is pure.
//
// Busy keys lie close to one another, so neighbouring keys are spread over servers in short stripes.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
)

const (
	// stripesPerPlace is how many stripes a server gets at most in a first deal. An answer to a heartbeat has room for
	// some 180 rows; the rest is for stripes that are split, and for those of servers that are lost.
	stripesPerPlace = 130
	// MaxSpans is how many rows a server may hold.
	MaxSpans = 165
	// crowdedRows is from how many rows on a run goes rather to the owner of a neighbouring run, so that rows can merge.
	crowdedRows = 130
	// neighbourShare is how much fuller that one may be.
	neighbourShare = 1.3
)

// NoServer is the index of no place.
const NoServer = -1

// Server is one backend server as placement sees it.
type Server struct {
	// Capacity is how much it can do, relative to the others.
	Capacity float64
	// Keys is how many keys it has or is about to get.
	Keys int
	// Spans is how many separate runs of keys it has or is about to get.
	Spans int
	// Load is how many of its places are busy on average.
	Load float64
}

// Distribute spreads all keys over places in proportion to their capacity.
func Distribute(places []Server) keyspace.Map[int] {
	var owners keyspace.Map[int]
	if len(places) == 0 {
		owners.Set(keyspace.All(), NoServer)
		return owners
	}
	stripes := 1 << int(math.Log2(float64(stripesPerPlace*len(places))))
	stripes = min(stripes, class.KeyCount)
	size := class.KeyCount / stripes
	turns := newTurns(places)
	for stripe := range stripes {
		from := class.Key(stripe * size)
		owners.Set(keyspace.Span{From: from, To: from + class.Key(size-1)}, turns.next())
	}
	return owners
}

// turns picks places in proportion to their capacity, as evenly in time as can be.
type turns struct {
	capacity []float64
	credit   []float64
	total    float64
}

func newTurns(places []Server) *turns {
	t := &turns{capacity: make([]float64, len(places)), credit: make([]float64, len(places))}
	for i, p := range places {
		t.capacity[i] = p.Capacity
		t.total += p.Capacity
	}
	return t
}

func (t *turns) next() int {
	best := 0
	for i := range t.credit {
		t.credit[i] += t.capacity[i]
		if t.credit[i] > t.credit[best] {
			best = i
		}
	}
	t.credit[best] -= t.total
	return best
}

// LoadedSpan is a span of keys with the load on it.
type LoadedSpan struct {
	Span keyspace.Span
	// Load is how many places of a server work on these keys on average.
	Load float64
	// Neighbour is one more than the index of the place that has the keys before these, or zero.
	Neighbour int
}

// Move gives a span to a place.
type Move struct {
	Span keyspace.Span
	To   int
}

// Reassign finds new places for runs whose server leaves or is lost: each run goes to the place that has the least keys
// for its capacity then. Places without capacity get none.
func Reassign(runs []LoadedSpan, places []Server) []Move {
	places = slices.Clone(places)
	moves := make([]Move, 0, len(runs))
	for _, run := range runs {
		best := NoServer
		for i, p := range places {
			if p.Capacity > 0 && (best == NoServer || fullness(p) < fullness(places[best])) {
				best = i
			}
		}
		if best == NoServer {
			return nil
		}
		isMerged := false
		if near := run.Neighbour - 1; near >= 0 && places[best].Spans >= crowdedRows && places[near].Capacity > 0 {
			if fullness(places[near]) <= neighbourShare*fullness(places[best])+1 {
				best, isMerged = near, true
			}
		}
		places[best].Keys += run.Span.Size()
		if !isMerged {
			places[best].Spans++
		}
		places[best].Load += run.Load
		moves = append(moves, Move{Span: run.Span, To: best})
	}
	return moves
}

// fullness ranks places by their keys for their capacity.
func fullness(p Server) float64 {
	return float64(p.Keys) / p.Capacity
}

const (
	// joinShare is the part of its fair share below which a place gets keys for their number alone.
	joinShare = 0.5
	// loadMargin is how far above the mean a place's load must be before keys move for it.
	loadMargin = 0.2
	// leastLoad is the share of a server's places below which its load is no reason to move keys.
	leastLoad = 0.45
	// reliefShare is the part of the gap between two places that a move should carry.
	reliefShare = 0.5
	// leastRelief is the load, in places, below which a run is not worth a move.
	leastRelief = 0.02
)

// Rebalance returns the runs that a place should give to others, because these have next to none or far less to do.
func Rebalance(self int, runs []LoadedSpan, places []Server, capacityPlaces float64) []Move {
	if moves := fill(self, runs, places); len(moves) > 0 {
		return moves
	}
	return relieve(self, runs, places, capacityPlaces)
}

// fill gives a place's part of what newcomers lack.
func fill(self int, runs []LoadedSpan, places []Server) []Move {
	total, surplus := 0.0, 0.0
	for _, p := range places {
		total += p.Capacity
	}
	if total == 0 {
		return nil
	}
	fair := func(i int) float64 { return class.KeyCount * places[i].Capacity / total }
	for i, p := range places {
		surplus += max(0, float64(p.Keys)-fair(i))
	}
	own := max(0, float64(places[self].Keys)-fair(self))
	if own == 0 || surplus == 0 {
		return nil
	}
	var moves []Move
	taken := map[int]bool{}
	for i, p := range places {
		lack := fair(i) - float64(p.Keys)
		if i == self || p.Capacity == 0 || float64(p.Keys) >= joinShare*fair(i) {
			continue
		}
		moves = append(moves, pickEvenly(runs, taken, lack*own/surplus, i)...)
	}
	return moves
}

// pickEvenly takes runs from all over the key space until they have so many keys.
func pickEvenly(runs []LoadedSpan, taken map[int]bool, keys float64, to int) []Move {
	var moves []Move
	mean := 0.0
	for _, run := range runs {
		mean += float64(run.Span.Size()) / float64(len(runs))
	}
	step := max(1, int(float64(len(runs))*mean/max(keys, 1)))
	for offset := range step {
		for index := offset; index < len(runs); index += step {
			size := float64(runs[index].Span.Size())
			if taken[index] || size > keys+mean/2 {
				continue
			}
			taken[index] = true
			moves = append(moves, Move{Span: runs[index].Span, To: to})
			if keys -= size; keys < mean/2 {
				return moves
			}
		}
	}
	return moves
}

// relieve gives load to the place that has least to do, if this one has much more than the mean.
func relieve(self int, runs []LoadedSpan, places []Server, capacityPlaces float64) []Move {
	usable, mean := 0, 0.0
	for _, p := range places {
		if p.Capacity > 0 {
			usable++
			mean += p.Load
		}
	}
	if usable < 2 {
		return nil
	}
	mean /= float64(usable)
	own := places[self]
	if own.Load < leastLoad*capacityPlaces || own.Load < (1+loadMargin)*mean {
		return nil
	}
	byLoad := slices.Clone(runs)
	slices.SortStableFunc(byLoad, func(a, b LoadedSpan) int { return cmp.Compare(b.Load, a.Load) })
	excess := own.Load - mean
	loads := make([]float64, len(places))
	for i, p := range places {
		loads[i] = p.Load
	}
	var moves []Move
	for _, run := range byLoad {
		if excess < leastRelief || run.Load < leastRelief || len(moves) >= MaxSpans {
			break
		}
		to := lightest(places, loads, self)
		gap := loads[self] - loads[to]
		isUseful := run.Load <= 2*reliefShare*gap*0.75 && run.Load <= excess+leastRelief
		if to == NoServer || !isUseful || places[to].Spans >= MaxSpans {
			continue
		}
		moves = append(moves, Move{Span: run.Span, To: to})
		loads[self] -= run.Load
		loads[to] += run.Load
		excess -= run.Load
	}
	return moves
}

// lightest returns the place with the least load besides one.
func lightest(places []Server, loads []float64, besides int) int {
	best := NoServer
	for i, p := range places {
		if i == besides || p.Capacity == 0 {
			continue
		}
		if best == NoServer || loads[i] < loads[best] {
			best = i
		}
	}
	return best
}
