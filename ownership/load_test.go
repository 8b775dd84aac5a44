package ownership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// bench runs the members of one cell on a store that never fails, with messages that arrive at once.
type bench struct {
	now      time.Time
	machines []*Machine
	stored   Versioned
	writes   int
}

func newBench(members, slots int) *bench {
	b := &bench{now: worldStart}
	for i := range members {
		self := Member{Ref: Ref{Host: HostID(rune('a' + i)), Incarnation: 1}}
		b.machines = append(b.machines, NewMachine(self, "s", slots, DefaultTiming(), rand.New(rand.NewPCG(uint64(i), 1))))
	}
	for _, m := range b.machines {
		b.apply(m, m.Join(b.now, Active))
	}
	return b
}

func (b *bench) apply(m *Machine, effects []Effect) {
	for _, e := range effects {
		switch effect := e.(type) {
		case Read:
			b.apply(m, m.ReadDone(b.now, b.stored, true))
		case Write:
			if b.stored.Revision != effect.Base {
				b.apply(m, m.WriteDone(b.now, effect, WriteRefused, 0))
				continue
			}
			b.writes++
			b.stored = Versioned{Record: effect.Record, Revision: effect.Base + 1}
			b.apply(m, m.WriteDone(b.now, effect, WriteLanded, b.stored.Revision))
		case Adopted:
			for _, other := range b.machines {
				if other != m {
					b.apply(other, other.Learn(b.now, effect.Known))
				}
			}
		case Quiesce:
			b.apply(m, m.Idle(b.now, effect.Token, effect.Slots))
		case Send:
			for _, other := range b.machines {
				if other.Self() == effect.To {
					b.apply(other, other.Deliver(b.now, effect.Message))
				}
			}
		}
	}
}

func (b *bench) run(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(20 * time.Millisecond) {
		for _, m := range b.machines {
			b.apply(m, m.Tick(b.now))
		}
	}
}

// loads returns the load of each member, given the load of each slot.
func (b *bench) loads(slots []float64) []float64 {
	totals := make([]float64, len(b.machines))
	for i, m := range b.machines {
		for _, slot := range b.stored.Record.SlotsOf(m.Self()) {
			totals[i] += slots[slot]
		}
	}
	return totals
}

func (b *bench) report(slots []float64) {
	for _, m := range b.machines {
		own := make([]float64, len(slots))
		for _, slot := range b.stored.Record.SlotsOf(m.Self()) {
			own[slot] = slots[slot]
		}
		b.apply(m, m.SetLoads(b.now, own))
	}
	b.run(time.Second)
}

func imbalance(loads []float64) float64 {
	most, sum := 0.0, 0.0
	for _, load := range loads {
		most = max(most, load)
		sum += load
	}
	return most / (sum / float64(len(loads)))
}

// Hot slots that happen to share an owner are spread; counts stay equal within one; then nothing moves any more.
func TestLoadIsEvenedOutOneMoveAtATime(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(4, 64)
	b.run(3 * time.Second)
	slots := make([]float64, 64)
	for slot := range slots {
		slots[slot] = 0.02
	}
	for i, slot := range b.stored.Record.SlotsOf(b.machines[0].Self()) {
		if i < 8 {
			slots[slot] = 0.4
		}
	}
	t.Logf("max/mean load %.2f after %d writes", imbalance(b.loads(slots)), b.writes)
	g.Expect(imbalance(b.loads(slots))).To(gomega.BeNumerically(">", 2))
	for range 30 {
		b.report(slots)
	}
	g.Expect(imbalance(b.loads(slots))).To(gomega.BeNumerically("<=", 1.25))
	for _, m := range b.machines {
		g.Expect(b.stored.Record.SlotsOf(m.Self())).To(gomega.HaveLen(16))
	}
	t.Logf("max/mean load %.2f after %d writes", imbalance(b.loads(slots)), b.writes)
	settled := b.writes
	for range 10 {
		b.report(slots)
	}
	g.Expect(b.writes).To(gomega.Equal(settled), "hysteresis stops the moves")
}

// The slot of a single hot key cannot be split and stays; its neighbours leave.
func TestNeighboursLeaveAHotKey(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(4, 64)
	b.run(3 * time.Second)
	hot := b.stored.Record.SlotsOf(b.machines[0].Self())[0]
	slots := make([]float64, 64)
	for slot := range slots {
		slots[slot] = 0.1
	}
	slots[hot] = 3
	before := b.loads(slots)[0]
	for range 30 {
		b.report(slots)
	}
	g.Expect(b.stored.Record.Owner(class.Slot(hot)).Ref).To(gomega.Equal(b.machines[0].Self()))
	g.Expect(b.loads(slots)[0]).To(gomega.BeNumerically("<=", before))
}
