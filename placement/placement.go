// Package placement computes the assignment of keys to backend servers: the initial distribution, the reassignment of
// the keys of a server that is lost or leaves, and moves that rebalance key counts and load.
//
// It performs no I/O and keeps no state. Busy keys lie close to one another, so neighbouring keys are spread over the
// servers in short stripes.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
)

const (
	// stripesPerServer bounds the mean number of stripes per server in the initial distribution. A heartbeat response
	// has room for about 180 spans. The difference is left for stripes that are split and for spans of servers that are
	// lost.
	stripesPerServer = 130
	// coarseStripesPerServer takes its place if load is levelled by capacity. A server that is twice as fast as the mean
	// then has room for twice the spans, and for those that are split.
	coarseStripesPerServer = 65
	// MaxSpans is the maximum number of spans that a server may hold.
	MaxSpans = 165
	// mergeThreshold is the number of spans at which a server starts to be passed over in favour of the owner of the
	// keys before the span, so that the two spans merge.
	mergeThreshold = 130
	// maxNeighbourRatio bounds the keys per capacity that this owner may have, as a multiple of those of the server
	// passed over.
	maxNeighbourRatio = 1.3
)

// NoServer is the index that stands for no server.
const NoServer = -1

// Server describes one backend server to which keys can be assigned.
type Server struct {
	// Capacity is the server's weight relative to the others. A server of capacity 0 is assigned no keys.
	Capacity float64
	// Keys is the number of keys that the server owns or is about to own.
	Keys int
	// Spans is the number of separate spans of keys that the server owns or is about to own.
	Spans int
	// Load is the mean number of calls that run on the server at a time, or would run if none were rejected.
	Load float64
	// Slots is how many calls the server runs at a time. Only Level needs it.
	Slots float64
}

// Distribute assigns all keys to servers in proportion to their capacity.
func Distribute(servers []Server) keyspace.Map[int] { return distribute(servers, stripesPerServer) }

// DistributeCoarsely does the same in half as many spans, for services whose load is then levelled by capacity.
func DistributeCoarsely(servers []Server) keyspace.Map[int] {
	return distribute(servers, coarseStripesPerServer)
}

func distribute(servers []Server, stripesPerServer int) keyspace.Map[int] {
	var owners keyspace.Map[int]
	if len(servers) == 0 {
		owners.Set(keyspace.All(), NoServer)
		return owners
	}
	stripes := 1 << int(math.Log2(float64(stripesPerServer*len(servers))))
	stripes = min(stripes, class.KeyCount)
	size := class.KeyCount / stripes
	turns := newWeightedRoundRobin(servers)
	for stripe := range stripes {
		from := class.Key(stripe * size)
		owners.Set(keyspace.Span{From: from, To: from + class.Key(size-1)}, turns.next())
	}
	return owners
}

// weightedRoundRobin selects servers in proportion to their capacity, in a smooth order: the turns of a server are
// spread evenly over the sequence.
type weightedRoundRobin struct {
	capacity []float64
	credit   []float64
	total    float64
}

func newWeightedRoundRobin(servers []Server) *weightedRoundRobin {
	w := &weightedRoundRobin{capacity: make([]float64, len(servers)), credit: make([]float64, len(servers))}
	for i, s := range servers {
		w.capacity[i] = s.Capacity
		w.total += s.Capacity
	}
	return w
}

func (w *weightedRoundRobin) next() int {
	best := 0
	for i := range w.credit {
		w.credit[i] += w.capacity[i]
		if w.credit[i] > w.credit[best] {
			best = i
		}
	}
	w.credit[best] -= w.total
	return best
}

// LoadedSpan is a span of keys with the load on it.
type LoadedSpan struct {
	Span keyspace.Span
	// Load is the mean number of calls for these keys that run at a time, or would run if none were rejected.
	Load float64
	// Neighbour is one more than the index of the server that owns the keys before these, or zero if there is none.
	Neighbour int
}

// Move assigns a span to a server.
type Move struct {
	Span keyspace.Span
	To   int
}

// Reassign assigns the spans of a server that leaves or is lost to other servers. Each span goes to the server that by
// then has the fewest keys per capacity. If that server already has many spans, the span goes to the owner of the keys
// before it, with which it merges, unless that owner has far more keys. Servers without capacity get none.
func Reassign(spans []LoadedSpan, servers []Server) []Move {
	servers = slices.Clone(servers)
	moves := make([]Move, 0, len(spans))
	for _, span := range spans {
		best := NoServer
		for i, s := range servers {
			if s.Capacity > 0 && (best == NoServer || keysPerCapacity(s) < keysPerCapacity(servers[best])) {
				best = i
			}
		}
		if best == NoServer {
			return nil
		}
		isMerged := false
		if neighbour := span.Neighbour - 1; neighbour >= 0 &&
			servers[best].Spans >= mergeThreshold && servers[neighbour].Capacity > 0 {
			if keysPerCapacity(servers[neighbour]) <= maxNeighbourRatio*keysPerCapacity(servers[best])+1 {
				best, isMerged = neighbour, true
			}
		}
		servers[best].Keys += span.Span.Size()
		if !isMerged {
			servers[best].Spans++
		}
		servers[best].Load += span.Load
		moves = append(moves, Move{Span: span.Span, To: best})
	}
	return moves
}

// keysPerCapacity returns how many keys a server has in relation to its capacity.
func keysPerCapacity(s Server) float64 {
	return float64(s.Keys) / s.Capacity
}

const (
	// minKeyShare is the fraction of its fair share of the keys below which a server is given keys regardless of load.
	minKeyShare = 0.5
	// loadMargin is how far, as a fraction of the mean, a server's load must exceed the mean before keys are moved off
	// it.
	loadMargin = 0.3
	// minLoadShare is the fraction of a server's concurrency below which its load is no reason to move keys.
	minLoadShare = 0.6
	// maxGapShare is the largest fraction of the load difference between two servers that a single span may carry. Half
	// of the difference would make them equal; a heavier span still narrows it.
	maxGapShare = 0.75
	// minMoveLoad is the load, in concurrent calls, below which a span is not moved.
	minMoveLoad = 0.02
)

// Rebalance returns the spans that the server self hands over to servers that have far fewer keys or, if there are
// none, to servers that have far less load. Concurrency is how many calls self runs at a time.
func Rebalance(self int, spans []LoadedSpan, servers []Server, concurrency float64) []Move {
	if moves := rebalanceKeys(self, spans, servers); len(moves) > 0 {
		return moves
	}
	return rebalanceLoad(self, spans, servers, concurrency)
}

// rebalanceKeys moves keys to servers that joined recently and have far fewer than their fair share. Each server with a
// surplus contributes in proportion to it.
func rebalanceKeys(self int, spans []LoadedSpan, servers []Server) []Move {
	total, surplus := 0.0, 0.0
	for _, s := range servers {
		total += s.Capacity
	}
	if total == 0 {
		return nil
	}
	fair := func(i int) float64 { return class.KeyCount * servers[i].Capacity / total }
	for i, s := range servers {
		surplus += max(0, float64(s.Keys)-fair(i))
	}
	own := max(0, float64(servers[self].Keys)-fair(self))
	if own == 0 || surplus == 0 {
		return nil
	}
	var moves []Move
	taken := map[int]bool{}
	for i, s := range servers {
		deficit := fair(i) - float64(s.Keys)
		if i == self || s.Capacity == 0 || float64(s.Keys) >= minKeyShare*fair(i) {
			continue
		}
		moves = append(moves, pickSpansEvenly(spans, taken, deficit*own/surplus, i)...)
	}
	return moves
}

// pickSpansEvenly moves spans from all parts of the key space until they hold about the given number of keys. It skips
// the spans whose indexes are in taken, and adds those that it picks.
func pickSpansEvenly(spans []LoadedSpan, taken map[int]bool, keys float64, to int) []Move {
	var moves []Move
	mean := 0.0
	for _, span := range spans {
		mean += float64(span.Span.Size()) / float64(len(spans))
	}
	step := max(1, int(float64(len(spans))*mean/max(keys, 1)))
	for offset := range step {
		for index := offset; index < len(spans); index += step {
			size := float64(spans[index].Span.Size())
			if taken[index] || size > keys+mean/2 {
				continue
			}
			taken[index] = true
			moves = append(moves, Move{Span: spans[index].Span, To: to})
			if keys -= size; keys < mean/2 {
				return moves
			}
		}
	}
	return moves
}

// rebalanceLoad moves the most loaded spans to the servers with the least load, if the load of self is far above the
// mean.
func rebalanceLoad(self int, spans []LoadedSpan, servers []Server, concurrency float64) []Move {
	usable, mean := 0, 0.0
	for _, s := range servers {
		if s.Capacity > 0 {
			usable++
			mean += s.Load
		}
	}
	if usable < 2 {
		return nil
	}
	mean /= float64(usable)
	own := servers[self]
	if own.Load < minLoadShare*concurrency || own.Load < (1+loadMargin)*mean {
		return nil
	}
	spansByLoad := slices.Clone(spans)
	slices.SortStableFunc(spansByLoad, func(a, b LoadedSpan) int { return cmp.Compare(b.Load, a.Load) })
	excess := own.Load - mean
	loads := make([]float64, len(servers))
	for i, s := range servers {
		loads[i] = s.Load
	}
	var moves []Move
	for _, span := range spansByLoad {
		if excess < minMoveLoad || span.Load < minMoveLoad || len(moves) >= MaxSpans {
			break
		}
		to := leastLoaded(servers, loads, self)
		gap := loads[self] - loads[to]
		isUseful := span.Load <= maxGapShare*gap && span.Load <= excess+minMoveLoad
		if to == NoServer || !isUseful || servers[to].Spans >= MaxSpans {
			continue
		}
		moves = append(moves, Move{Span: span.Span, To: to})
		loads[self] -= span.Load
		loads[to] += span.Load
		excess -= span.Load
	}
	return moves
}

// leastLoaded returns the index of the server with the least load other than excluded, or NoServer.
func leastLoaded(servers []Server, loads []float64, excluded int) int {
	best := NoServer
	for i, s := range servers {
		if i == excluded || s.Capacity == 0 {
			continue
		}
		if best == NoServer || loads[i] < loads[best] {
			best = i
		}
	}
	return best
}
