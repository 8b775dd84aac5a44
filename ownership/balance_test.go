package ownership

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Counts stay equal within one when members join and leave, and no more slots move than must.
func TestJoinAndLeaveMoveNoMoreThanTheirShare(t *testing.T) {
	for _, members := range []int{3, 8, 9, 16} {
		g := gomega.NewWithT(t)
		b := newBench(members, 1024)
		b.run(5 * time.Second)
		last := b.machines[members-1]
		before := b.stored.Record.Clone()
		b.apply(last, last.Drain(b.now))
		b.run(3 * time.Second)
		after := b.stored.Record
		g.Expect(after.Find(last.Self())).To(gomega.BeNil())
		moved, least, most := 0, 1024, 0
		for slot := range before.Owners {
			if before.Members[before.Owners[slot]].Ref != after.Members[after.Owners[slot]].Ref {
				moved++
			}
		}
		for _, m := range after.Members {
			count := len(after.SlotsOf(m.Ref))
			least, most = min(least, count), max(most, count)
		}
		t.Logf("%d members: %d slots moved for one that held %d; max/mean %.3f", members, moved, len(before.SlotsOf(last.Self())),
			float64(most)*float64(len(after.Members))/1024)
		g.Expect(moved).To(gomega.Equal(len(before.SlotsOf(last.Self()))), "only what the leaving member held")
		g.Expect(most - least).To(gomega.BeNumerically("<=", 1))
	}
}
