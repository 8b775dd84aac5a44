package ownership_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// drawHistory draws consecutive records. In each, some rows change, and members may be added or swap positions.
func drawHistory(t *rapid.T, length int) []*ownership.Record {
	member := func(n int) ownership.Member {
		return ownership.Member{
			Host:     ownership.HostID(fmt.Sprintf("h%d", n)),
			Instance: ownership.Instance{ID: "i", Born: int64(n)},
		}
	}
	first := &ownership.Record{Service: "s", Generation: 1, Members: []ownership.Member{member(0), member(1)}}
	first.Keys.Set(keyspace.All(), ownership.Assignment{Owner: 0, Fence: 1})
	records := []*ownership.Record{first}
	for len(records) < length {
		last := records[len(records)-1]
		next := &ownership.Record{
			Service:    "s",
			Generation: last.Generation + 1,
			Nonce:      fmt.Sprint(len(records)),
			Keys:       last.Keys.Clone(),
		}
		next.Members = append(next.Members, last.Members...)
		if rapid.Bool().Draw(t, "joins") {
			next.Members = append(next.Members, member(100+len(records)))
		}
		for range rapid.IntRange(0, 3).Draw(t, "rows") {
			from := rapid.IntRange(0, class.KeyCount-1).Draw(t, "from")
			to := rapid.IntRange(from, min(from+500, class.KeyCount-1)).Draw(t, "to")
			owner := rapid.IntRange(0, len(next.Members)-1).Draw(t, "owner")
			next.Keys.Set(keyspace.Span{From: class.Key(from), To: class.Key(to)}, ownership.Assignment{
				Owner:    owner,
				Fence:    next.Generation,
				Handover: ownership.HandoverToken(rapid.SampledFrom([]string{"", "warm"}).Draw(t, "handover")),
			})
		}
		if len(next.Members) > 2 && rapid.Bool().Draw(t, "swaps") {
			swapMembers(next, 0, len(next.Members)-1)
		}
		records = append(records, next)
	}
	return records
}

// swapMembers swaps the indexes of two members without changing who owns which key.
func swapMembers(r *ownership.Record, a, b int) {
	r.Members[a], r.Members[b] = r.Members[b], r.Members[a]
	keys := r.Keys.Clone()
	for span, v := range keys.Runs() {
		switch v.Owner {
		case a:
			v.Owner = b
		case b:
			v.Owner = a
		}
		r.Keys.Set(span, v)
	}
}

func mustEncode(t *rapid.T, r *ownership.Record) string {
	data, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestDeltasLeadToTheSameRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawHistory(t, rapid.IntRange(2, 14).Draw(t, "length"))
		known := records[0]
		missed := 0
		for i := 1; i < len(records); i++ {
			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				missed++
				continue
			}
			next, err := known.Apply(records[i].Delta(records[i-1], 7))
			var gap *ownership.GapError
			if missed > 0 && errors.As(err, &gap) {
				known, missed = records[i], 0 // the whole record was fetched
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			if mustEncode(t, next) != mustEncode(t, records[i]) {
				t.Fatalf("record of generation %d differs after %d missed deltas", records[i].Generation, missed)
			}
			known, missed = next, 0
		}
	})
}

func TestInvalidDeltasAreRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &ownership.Record{Service: "s", Generation: 3, Members: []ownership.Member{{Host: "a"}}}
	r.Keys.Set(keyspace.All(), ownership.Assignment{Owner: 0, Fence: 3})
	delta := r.Delta(&ownership.Record{Service: "s", Generation: 2, Members: r.Members}, 9)
	var gap *ownership.GapError
	var invalid *ownership.RecordError
	for name, corrupt := range map[string]func(*ownership.Delta){
		"truncated":           func(d *ownership.Delta) { d.Rows = d.Rows[:2] },
		"range":               func(d *ownership.Delta) { d.Rows = []byte{1, 255, 255, 255, 1, 1, 0, 0} },
		"owner":               func(d *ownership.Delta) { d.Rows[len(d.Rows)-3] = 9 },
		"other service":       func(d *ownership.Delta) { d.Service = "other" },
		"missing generations": func(d *ownership.Delta) { d.Since = 8 },
		"members":             func(d *ownership.Delta) { d.MembersSum++ },
	} {
		corrupted := delta
		corrupted.Rows = append([]byte(nil), delta.Rows...)
		corrupt(&corrupted)
		_, err := r.Apply(corrupted)
		g.Expect(errors.As(err, &gap) || errors.As(err, &invalid)).To(gomega.BeTrue(), name)
	}
}
