package ownership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A member that can ask its witnesses but never hears them has no lease. It must not keep its slots from being taken.
func TestMemberThatHearsNobodyFallsSilent(t *testing.T) {
	g := gomega.NewWithT(t)
	record := cellOf(6, 64)
	self := record.Members[0]
	m := NewMachine(self, "s", 64, DefaultTiming(), rand.New(rand.NewPCG(1, 1)))
	now := worldStart
	m.Learn(now, Versioned{Record: record, Revision: 1})
	m.Join(now, Active)
	witness := NewWitness(self.Witnesses[0], time.Second)
	witness.Learn(now, record)
	isSilent := false
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		for _, e := range m.Tick(now) {
			send, ok := e.(Send)
			if request, isVouch := send.Message.(VouchRequest); ok && isVouch && request.Witness == witness.self {
				witness.Vouch(now, request) // the answer is lost
			}
		}
		for _, e := range witness.Tick(now) {
			isSilent = isSilent || e.(Notify).Notice.Member == self.Ref
		}
	}
	g.Expect(isSilent).To(gomega.BeTrue())
	g.Expect(m.IsMember()).To(gomega.BeTrue())
}

// A daemon that joins again has old, expired vouches at its witnesses. They must not call it silent before it could ask.
func TestWitnessGivesAMemberThatReturnsTimeToAsk(t *testing.T) {
	g := gomega.NewWithT(t)
	record := cellOf(6, 64)
	self := record.Members[0]
	gone := record.Clone()
	gone.lose(self.Ref)
	witness := NewWitness(self.Witnesses[0], time.Second)
	names := func(now time.Time) []Ref {
		var silent []Ref
		for _, e := range witness.Tick(now) {
			silent = append(silent, e.(Notify).Notice.Member)
		}
		return silent
	}
	witness.Learn(worldStart, record)
	witness.Learn(worldStart.Add(2*time.Second), gone)
	witness.Learn(worldStart.Add(4*time.Second), record)
	g.Expect(names(worldStart.Add(4500 * time.Millisecond))).NotTo(gomega.ContainElement(self.Ref))
	g.Expect(names(worldStart.Add(5 * time.Second))).To(gomega.ContainElement(self.Ref))
}
