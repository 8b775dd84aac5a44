package ownership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/placement"
)

// fragmentedRecord returns the record of a service after many moves of single keys.
func fragmentedRecord(servers, moves int) *ownership.Record {
	random := rand.New(rand.NewPCG(1, 2))
	r := &ownership.Record{Service: "lot-register", Generation: ownership.Fence(moves + 1)}
	candidates := make([]placement.Server, servers)
	for i := range candidates {
		candidates[i].Capacity = 1
		r.Members = append(r.Members, ownership.Member{
			Host: ownership.HostID(fmt.Sprintf("sidecar-lorient-quai-%d", i)),
			Instance: ownership.Instance{
				ID:   fmt.Sprintf("i-%010x", random.Uint64N(1<<40)),
				Born: 1764848888000 + random.Int64N(9000),
			},
		})
	}
	owners := placement.Distribute(candidates)
	for span, owner := range owners.Runs() {
		r.Keys.Set(span, ownership.Assignment{Owner: owner, Fence: 1})
	}
	for i := range moves {
		key := class.Key(random.IntN(class.KeyCount))
		r.Keys.Set(keyspace.Span{From: key, To: key}, ownership.Assignment{
			Owner: random.IntN(servers),
			Fence: ownership.Fence(i + 2),
		})
	}
	return r
}

// TestRecordsStaySmall limits the size of the record, which each move writes: at 10 Mbit/s, 16 kB in base64 take 17 ms.
func TestRecordsStaySmall(t *testing.T) {
	for _, c := range []struct{ servers, moves, maxBytes int }{
		{9, 0, 2_000}, {56, 0, 6_000}, {56, 600, 12_000}, {200, 600, 24_000},
	} {
		t.Run(fmt.Sprintf("%d servers, %d moves", c.servers, c.moves), func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := fragmentedRecord(c.servers, c.moves)
			data, err := r.Encode()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Logf("%d bytes", len(data))
			g.Expect(len(data)).To(gomega.BeNumerically("<=", c.maxBytes))
			read, err := ownership.Decode(data)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(read).To(gomega.Equal(r))
		})
	}
}

func BenchmarkRecord(b *testing.B) {
	r := fragmentedRecord(56, 600)
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			if _, err := r.Encode(); err != nil {
				b.Fatal(err)
			}
		}
	})
	data, err := r.Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			if _, err := ownership.Decode(data); err != nil {
				b.Fatal(err)
			}
		}
	})
}
