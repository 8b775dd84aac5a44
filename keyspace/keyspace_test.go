package keyspace_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
)

func ExampleMap() {
	var owners keyspace.Map[string]
	owners.Set(keyspace.All(), "a")
	owners.Set(keyspace.Span{From: 100, To: 199}, "b")
	for span, owner := range owners.Runs() {
		fmt.Println(span.From, span.To, owner)
	}
	// Output:
	// 0 99 a
	// 100 199 b
	// 200 65535 a
}

// TestMapAgreesWithAnArray sets random spans in a Map and in an array and compares the two.
func TestMapAgreesWithAnArray(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		var m keyspace.Map[int]
		plain := make([]int, class.KeyCount)
		edges := rapid.SampledFrom([]int{0, 1, 2, 3, 5, 8, 100, 101, 65533, 65534, 65535})
		for range rapid.IntRange(1, 30).Draw(t, "sets") {
			a, b := edges.Draw(t, "from"), edges.Draw(t, "to")
			span := keyspace.Span{From: class.Key(min(a, b)), To: class.Key(max(a, b))}
			value := rapid.IntRange(0, 3).Draw(t, "value")
			m.Set(span, value)
			for key := int(span.From); key <= int(span.To); key++ {
				plain[key] = value
			}
		}
		next, before := 0, -1
		for span, value := range m.Runs() {
			g.Expect(int(span.From)).To(gomega.Equal(next), "runs are contiguous")
			g.Expect(value).NotTo(gomega.Equal(before), "adjacent runs have different values")
			g.Expect(plain[span.From]).To(gomega.Equal(value))
			g.Expect(plain[span.To]).To(gomega.Equal(value))
			g.Expect(m.At(span.From)).To(gomega.Equal(value))
			g.Expect(m.At(span.To)).To(gomega.Equal(value))
			next, before = int(span.To)+1, value
		}
		g.Expect(next).To(gomega.Equal(class.KeyCount))
		a, b := edges.Draw(t, "within from"), edges.Draw(t, "within to")
		within := keyspace.Span{From: class.Key(min(a, b)), To: class.Key(max(a, b))}
		next = int(within.From)
		for span, value := range m.Within(within) {
			g.Expect(int(span.From)).To(gomega.Equal(next))
			g.Expect(plain[span.From]).To(gomega.Equal(value))
			g.Expect(plain[span.To]).To(gomega.Equal(value))
			next = int(span.To) + 1
		}
		g.Expect(next).To(gomega.Equal(int(within.To) + 1))
	})
}

func TestSetFromEqualsSetToTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var one, two keyspace.Map[int]
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			key := class.Key(rapid.IntRange(0, 40).Draw(t, "key"))
			value := rapid.IntRange(0, 3).Draw(t, "value")
			one.Set(keyspace.Span{From: key, To: class.KeyCount - 1}, value)
			two.SetFrom(key, value)
			for k := range class.Key(45) {
				if one.At(k) != two.At(k) {
					t.Fatalf("key %d: Set gives %d, SetFrom gives %d", k, one.At(k), two.At(k))
				}
			}
			if one.RunCount() != two.RunCount() {
				t.Fatalf("Set gives %d runs, SetFrom gives %d", one.RunCount(), two.RunCount())
			}
		}
	})
}
