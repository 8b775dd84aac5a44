package experiment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
)

// Ways of spreading one change from one daemon to all.
const (
	// epidemic: a daemon that learns of the change tells fanout random others, which pull it.
	epidemic = "epidemic push"
	// digest: each daemon compares with one random other a round and pulls.
	digest = "digest pull"
	// both: epidemic push, and digest pull for those that it missed.
	both = "push and pull"
	// tree: a tree of that degree, with the inner nodes replicated at their children as in Valero et al.,
	// "Enhancing fault tolerance of distributed R-tree": children whose parent is gone are fed by its replica holder.
	tree = "replicated tree"
)

const (
	// spreadFanout is how many random daemons are told.
	spreadFanout = 4
	// treeDegree is how many children an inner node has.
	treeDegree = 8
	// spreadRounds bounds a count.
	spreadRounds = 200
)

// Spread is what one way of spreading took.
type Spread struct {
	Way      string
	Daemons  int
	Lost     float64
	Rounds   int
	Messages int
	// Missed is how many living daemons never heard.
	Missed int
}

// MeasureSpread counts rounds and messages until all living daemons know a change. A part of the daemons is dead,
// and the others do not know which. The same seed gives the same count.
func MeasureSpread(way string, daemons int, dead float64, seed uint64) Spread {
	s := &spreading{random: rand.New(rand.NewPCG(seed, 3)), dead: make([]bool, daemons), knows: make([]bool, daemons)}
	for i := range s.dead {
		s.dead[i] = i > 0 && s.random.Float64() < dead
	}
	s.knows[0] = true
	s.fresh = []int{0}
	result := Spread{Way: way, Daemons: daemons, Lost: dead}
	for s.missed() > 0 && result.Rounds < spreadRounds {
		result.Rounds++
		switch way {
		case epidemic:
			s.push()
		case digest:
			s.pull()
		case both:
			s.push()
			if result.Rounds%pullEvery == 0 {
				s.pull()
			}
		case tree:
			s.descend()
		}
		if way != digest && way != both && len(s.fresh) == 0 {
			break
		}
	}
	result.Messages = s.messages
	result.Missed = s.missed()
	return result
}

// pullEvery is how many rounds of pushing, one network delay each, pass between two rounds of digests.
const pullEvery = 10

// spreading is the state of one count.
type spreading struct {
	random   *rand.Rand
	dead     []bool
	knows    []bool
	fresh    []int
	messages int
}

func (s *spreading) missed() int {
	missed := 0
	for i, knows := range s.knows {
		if !knows && !s.dead[i] {
			missed++
		}
	}
	return missed
}

// tell sends a notice; a living receiver that is behind pulls the change, which takes two more messages.
func (s *spreading) tell(to int, next *[]int) {
	s.messages++
	if s.dead[to] || s.knows[to] {
		return
	}
	s.messages += 2
	s.knows[to] = true
	*next = append(*next, to)
}

func (s *spreading) push() {
	var next []int
	for range s.fresh {
		for range spreadFanout {
			s.tell(s.random.IntN(len(s.knows)), &next)
		}
	}
	s.fresh = next
}

func (s *spreading) pull() {
	before := append([]bool(nil), s.knows...)
	for i := range s.knows {
		if s.dead[i] {
			continue
		}
		other := s.random.IntN(len(s.knows))
		s.messages++ // the digest
		if !s.dead[other] && before[other] != before[i] {
			s.messages += 3 // versions, request and change
			s.knows[i] = true
			s.knows[other] = true
		}
	}
}

// descend feeds the children of fresh nodes. A dead child's children are fed by the child's sibling that holds its
// replica, after one round of waiting for an acknowledgement.
func (s *spreading) descend() {
	var next []int
	for _, node := range s.fresh {
		for child := node*treeDegree + 1; child <= node*treeDegree+treeDegree && child < len(s.knows); child++ {
			s.messages++
			if s.dead[child] {
				s.messages += treeDegree // the replica at each grandchild is asked to take over
				next = append(next, child)
				continue
			}
			s.messages++ // the acknowledgement
			s.knows[child] = true
			next = append(next, child)
		}
	}
	s.fresh = next
}

// PrintSpread writes the counts of all ways.
func PrintSpread(w io.Writer, seed uint64) error {
	out := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(out, "WAY\tDAEMONS\tDEAD\tROUNDS\tMESSAGES\tA DAEMON\tMISSED")
	for _, daemons := range []int{12, 300, 14000} {
		for _, dead := range []float64{0, 0.05} {
			for _, way := range []string{epidemic, digest, both, tree} {
				s := MeasureSpread(way, daemons, dead, seed)
				fmt.Fprintf(out, "%s\t%d\t%.0f%%\t%d\t%d\t%.1f\t%d\n", s.Way, s.Daemons, 100*s.Lost, s.Rounds, s.Messages,
					float64(s.Messages)/float64(s.Daemons), s.Missed)
			}
		}
	}
	return out.Flush()
}
