package ownership

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/placement"
)

// TestKeysGoToColdServersByDegrees guards against a cold server that gets its whole share of the keys at once: of a lost
// host's keys it gets in proportion to what it accepts. The initial assignment makes no difference.
func TestKeysGoToColdServersByDegrees(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &StateMachine{}
	record := &Record{Members: []Member{{Host: "lost"}}}
	record.Keys.Set(keyspace.All(), Assignment{Owner: 0, Fence: 1})
	for i := range 4 {
		m.peers = append(m.peers, Peer{Host: HostID(fmt.Sprint(i)), IsPresent: true, IsEligible: true})
	}
	m.peers[0].ColdShare = 0.1
	var spans []placement.LoadedSpan
	for i := range 1024 {
		from := i * 64
		spans = append(spans, placement.LoadedSpan{Span: keyspace.Span{From: class.Key(from), To: class.Key(from + 63)}})
	}
	moved := make([]int, len(m.peers))
	for _, move := range placement.Reassign(spans, m.placementState(record, "lost")) {
		moved[move.To]++
	}
	g.Expect(moved[0]).To(gomega.BeNumerically("~", 1024*0.1/3.1, 2))
	for _, s := range m.placementState(&Record{}, "") {
		g.Expect(s.Capacity).To(gomega.BeEquivalentTo(1), "initial assignment")
	}
}
