package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

const (
	// maxMoveShare is the largest share of its keys that a server hands over at a time, because a key is unavailable for
	// up to a second while it moves.
	maxMoveShare = 0.4
	// targetMargin is how far the utilisation of a server may exceed that of the service through a move to it.
	targetMargin = 0.05
	// minGain is how much lower the utilisation of a server that takes a span must be than that of the server which hands
	// it over, if it exceeds targetMargin. Only a hot key does so.
	minGain = 0.15
	// mergeShare is the share of the spans that go to the owner of the keys before them where possible. In the initial
	// distribution all spans of a server follow those of the same other server, so that it must not take all of them.
	mergeShare = 0.3
	// levelMaxSpans is the number of spans up to which a server is given further ones. The rest up to MaxSpans is left
	// for what several servers hand over at the same moment.
	levelMaxSpans = 150
)

// speed returns how much the server completes with each slot, in comparison with the others.
func (s Server) speed() float64 { return s.Capacity / s.Slots }

// utilisation returns the load of a server as a share of its slots.
func (s Server) utilisation() float64 { return s.Load / s.Slots }

// Utilisation returns the utilisation that all servers have if the load is divided in proportion to their capacity. A
// call that runs for a second on a server of half the capacity runs for half a second here.
func Utilisation(servers []Server) float64 {
	work, capacity := 0.0, 0.0
	for _, s := range servers {
		if s.Capacity > 0 {
			work += s.utilisation() * s.Capacity
			capacity += s.Capacity
		}
	}
	if capacity == 0 {
		return 0
	}
	return work / capacity
}

// Level returns the spans that the server self hands over so that a share of its load moves to servers that are utilised
// less than the service as a whole. Each span goes to a random one of them, in proportion to its spare capacity: several
// servers hand over keys at the same moment, and with the same choice they would all use the same target. The quantum is
// the load that one call contributes to the measured load of a span. Level also returns the share of the load that moves.
func Level(
	self int, spans []LoadedSpan, servers []Server, share, quantum float64, random *rand.Rand,
) ([]Move, float64) {
	l := newLevelling(self, servers, random)
	spansByLoad := denoise(spans, quantum)
	slices.SortStableFunc(spansByLoad, func(a, b LoadedSpan) int { return cmp.Compare(b.Load, a.Load) })
	keys := 0
	for _, span := range spans {
		keys += span.Span.Size()
	}
	total := servers[self].Load
	excess, keysLeft := share*total, int(maxMoveShare*float64(keys))
	var moves []Move
	for _, span := range spansByLoad {
		if excess < minMoveLoad || span.Load < minMoveLoad || len(moves) >= MaxSpans {
			break
		}
		if span.Load > excess+minMoveLoad || span.Span.Size() > keysLeft {
			continue
		}
		to := l.chooseFor(span)
		if to == NoServer {
			continue
		}
		moves = append(moves, Move{Span: span.Span, To: to})
		l.place(span.Load, to)
		excess -= span.Load
		keysLeft -= span.Span.Size()
	}
	if excess > share*total/2 {
		if move, load := l.moveHeavySpan(spansByLoad, excess); load > 0 {
			moves = append(moves, move)
			excess -= load
		}
	}
	return moves, share - excess/max(total, minMoveLoad)
}

// moveHeavySpan moves the lightest of the spans that carry more than the load to be moved, if a server with much lower
// utilisation can take it, and returns its load. It is needed if most of the load of a server is that of one hot key.
func (l *levelling) moveHeavySpan(spansByLoad []LoadedSpan, excess float64) (Move, float64) {
	for _, span := range slices.Backward(spansByLoad) {
		if span.Load <= excess+minMoveLoad {
			continue
		}
		if to := l.choose(span.Load); to != NoServer {
			return Move{Span: span.Span, To: to}, span.Load
		}
		break
	}
	return Move{}, 0
}

// FillNewServers returns the spans that the server self hands over to servers that have far fewer keys than their share
// by capacity, and are not utilised like the others by these few.
func FillNewServers(self int, spans []LoadedSpan, servers []Server) []Move {
	limit := minKeyShare * Utilisation(servers)
	return slices.DeleteFunc(rebalanceKeys(self, spans, servers), func(m Move) bool {
		return servers[m.To].utilisation() > limit
	})
}

// levelling is the state of one call of Level.
type levelling struct {
	self    int
	servers []Server
	random  *rand.Rand
	// mean is the utilisation of the service.
	mean float64
	// spare is the work that each server can take until it is utilised like the service, and rooms how many spans self
	// may hand to it.
	spare []float64
	rooms []int
}

func newLevelling(self int, servers []Server, random *rand.Rand) *levelling {
	l := &levelling{
		self: self, servers: slices.Clone(servers), random: random, mean: Utilisation(servers),
		spare: make([]float64, len(servers)), rooms: make([]int, len(servers)),
	}
	// All servers above the mean may hand over spans at the same moment. They share the room that a target has.
	donors := 0
	for i, s := range servers {
		if i == self || s.Capacity > 0 && s.utilisation() > l.mean+targetMargin {
			donors++
		}
	}
	for i, s := range servers {
		if i == self || s.Capacity == 0 || s.utilisation() >= l.mean {
			continue
		}
		l.spare[i] = (l.mean - s.utilisation()) * s.Capacity
		room := float64(max(0, levelMaxSpans-s.Spans)) / float64(donors)
		l.rooms[i] = int(room + random.Float64())
	}
	return l
}

// chooseFor returns a server for a span, or NoServer. With mergeShare it is the owner of the keys before it, if that can
// take the span, because the two spans then merge.
func (l *levelling) chooseFor(span LoadedSpan) int {
	neighbour := span.Neighbour - 1
	if neighbour >= 0 && l.random.Float64() < mergeShare && l.fits(neighbour, span.Load) {
		l.rooms[neighbour]++
		return neighbour
	}
	return l.choose(span.Load)
}

// choose returns a server for a span with the given load on self, or NoServer.
func (l *levelling) choose(load float64) int {
	total := 0.0
	for i, spare := range l.spare {
		if l.rooms[i] > 0 && l.fits(i, load) {
			total += spare
		}
	}
	pick := l.random.Float64() * total
	for i, spare := range l.spare {
		if l.rooms[i] <= 0 || !l.fits(i, load) {
			continue
		}
		if pick -= spare; pick < 0 {
			return i
		}
	}
	return NoServer
}

// fits reports whether a server can take a span with the given load on self.
func (l *levelling) fits(to int, load float64) bool {
	if l.spare[to] <= 0 {
		return false
	}
	after := l.servers[to].utilisation() + l.loadAt(to, load)/l.servers[to].Slots
	return after <= l.mean+targetMargin || after <= l.servers[l.self].utilisation()-minGain
}

// loadAt returns the load on a server from calls that have the given load on self.
func (l *levelling) loadAt(to int, load float64) float64 {
	return load * l.servers[l.self].speed() / l.servers[to].speed()
}

// place records that a span moves to a server.
func (l *levelling) place(load float64, to int) {
	l.servers[l.self].Load -= load
	l.servers[to].Load += l.loadAt(to, load)
	l.spare[to] -= l.loadAt(to, load) / l.servers[to].Slots * l.servers[to].Capacity
	l.rooms[to]--
}
