package ownership

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// cellOf returns the record of a cell with some members and slots.
func cellOf(members, slots int) *Record {
	r := newRecord("s", slots)
	r.Generation = 1
	for i := range members {
		m := Member{
			Ref:    Ref{Host: HostID(fmt.Sprintf("host-%05d", i)), Incarnation: 1796366324439},
			Peer:   "10.123.123.123:7403",
			Hop:    "10.123.123.123:7402",
			Domain: Domain(fmt.Sprintf("domain-%d", i%3)),
		}
		for w := range 5 {
			m.Witnesses = append(m.Witnesses, Ref{Host: HostID(fmt.Sprintf("host-%05d", (i+w+1)%members)), Incarnation: 1796366324439})
		}
		r.Members = append(r.Members, m)
	}
	for s := range r.Owners {
		r.assign(0, 0)
		r.Owners[s] = int16(s % members)
		r.Fences[s] = 1
	}
	return r
}

func idleMachine(members, slots int) *Machine {
	r := cellOf(members, slots)
	m := NewMachine(r.Members[0], "s", slots, DefaultTiming(), rand.New(rand.NewPCG(1, 1)))
	m.Learn(worldStart, Versioned{Record: r, Revision: 1})
	m.Join(worldStart, Active)
	return m
}

// BenchmarkIdleTick is what a turn of the control goroutine costs when nothing happens.
func BenchmarkIdleTick(b *testing.B) {
	for _, slots := range []int{256, 1024, 4096} {
		b.Run(fmt.Sprintf("slots-%d", slots), func(b *testing.B) {
			m := idleMachine(16, slots)
			now := worldStart.Add(time.Second) // settled, and before any witness counts as failed
			b.ReportAllocs()
			for b.Loop() {
				m.Tick(now)
			}
		})
	}
}

// BenchmarkVouch is what a witness spends on a request.
func BenchmarkVouch(b *testing.B) {
	w := NewWitness(Ref{Host: "w", Incarnation: 1}, time.Second)
	req := VouchRequest{Service: "s", Member: Ref{Host: "m", Incarnation: 1}, Witness: w.self, Generation: 1}
	b.ReportAllocs()
	for b.Loop() {
		w.Vouch(worldStart, req)
	}
}

// BenchmarkRecord is the size of a cell's record and what it costs to read one.
func BenchmarkRecord(b *testing.B) {
	for _, slots := range []int{256, 1024, 4096} {
		b.Run(fmt.Sprintf("slots-%d", slots), func(b *testing.B) {
			data := cellOf(16, slots).Encode()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Decode(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes/record")
		})
	}
}

// BenchmarkRoutingMemory is the memory that an entry needs for 900 cells of 16 members and 1,024 slots.
func BenchmarkRoutingMemory(b *testing.B) {
	const cells = 900
	data := cellOf(16, 1024).Encode()
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		records := make([]*Record, cells)
		for i := range records {
			r, err := Decode(data)
			if err != nil {
				b.Fatal(err)
			}
			records[i] = r
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/cells, "bytes/cell")
		runtime.KeepAlive(records)
	}
}
