// Package keyspace maps the keys of a service to values, run by run.
package keyspace

import (
	"cmp"
	"iter"
	"slices"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// Span is a run of keys, both ends included.
type Span struct {
	From class.Key
	To   class.Key
}

// Size returns how many keys a span has.
func (s Span) Size() int { return int(s.To) - int(s.From) + 1 }

// Has tells whether a key is in the span.
func (s Span) Has(key class.Key) bool { return s.From <= key && key <= s.To }

// All is the span of all keys.
func All() Span { return Span{To: class.KeyCount - 1} }

// run is a value that holds from a key up to the next run.
type run[T comparable] struct {
	from  class.Key
	value T
}

// Map gives each key a value. Neighbours with equal values form one run. The zero Map gives each key the zero value.
type Map[T comparable] struct {
	runs []run[T]
}

// At returns the value of a key.
func (m *Map[T]) At(key class.Key) T {
	var zero T
	index, found := m.find(key)
	if !found {
		index--
	}
	if index < 0 {
		return zero
	}
	return m.runs[index].value
}

func (m *Map[T]) find(key class.Key) (int, bool) {
	return slices.BinarySearchFunc(m.runs, key, func(r run[T], k class.Key) int { return cmp.Compare(r.from, k) })
}

// Set gives all keys of a span a value.
func (m *Map[T]) Set(span Span, value T) {
	first, _ := m.find(span.From)
	var next []run[T]
	next = append(next, run[T]{from: span.From, value: value})
	last := first
	for last < len(m.runs) && m.runs[last].from <= span.To {
		last++
	}
	endsAtNext := last < len(m.runs) && int(m.runs[last].from) == int(span.To)+1
	if span.To < class.KeyCount-1 && !endsAtNext {
		next = append(next, run[T]{from: span.To + 1, value: m.At(span.To + 1)})
	}
	m.runs = slices.Replace(m.runs, first, last, next...)
	m.join(max(0, first-1), first+len(next)+1)
}

// SetFrom gives a key and all behind it a value. It is the quick way to build a map from its first key to its last.
func (m *Map[T]) SetFrom(key class.Key, value T) {
	index, _ := m.find(key)
	m.runs = m.runs[:index]
	var before T
	if index > 0 {
		before = m.runs[index-1].value
	}
	if value != before {
		m.runs = append(m.runs, run[T]{from: key, value: value})
	}
}

// join merges neighbours with equal values among some runs.
func (m *Map[T]) join(from, to int) {
	var zero T
	to = min(to, len(m.runs))
	kept := m.runs[:from]
	for _, r := range m.runs[from:to] {
		before := zero
		if len(kept) > 0 {
			before = kept[len(kept)-1].value
		}
		if r.value != before {
			kept = append(kept, r)
		}
	}
	kept = append(kept, m.runs[to:]...)
	// A run behind the merged ones may now repeat the value before it.
	clear(m.runs[len(kept):])
	m.runs = kept
}

// Runs returns the runs in the order of their keys, those with the zero value too. The map must not change meanwhile.
func (m *Map[T]) Runs() iter.Seq2[Span, T] {
	return func(yield func(Span, T) bool) {
		var zero T
		if len(m.runs) == 0 || m.runs[0].from > 0 {
			end := class.Key(class.KeyCount - 1)
			if len(m.runs) > 0 {
				end = m.runs[0].from - 1
			}
			if !yield(Span{To: end}, zero) {
				return
			}
		}
		for i, r := range m.runs {
			end := class.Key(class.KeyCount - 1)
			if i+1 < len(m.runs) {
				end = m.runs[i+1].from - 1
			}
			if !yield(Span{From: r.from, To: end}, r.value) {
				return
			}
		}
	}
}

// Within returns the parts of the runs that lie in a span. The map must not change meanwhile.
func (m *Map[T]) Within(span Span) iter.Seq2[Span, T] {
	return func(yield func(Span, T) bool) {
		index, found := m.find(span.From)
		if !found {
			index--
		}
		for from := int(span.From); from <= int(span.To); index++ {
			var value T
			end := class.KeyCount - 1
			if index >= 0 {
				value = m.runs[index].value
			}
			if index+1 < len(m.runs) {
				end = int(m.runs[index+1].from) - 1
			}
			end = min(end, int(span.To))
			if !yield(Span{From: class.Key(from), To: class.Key(end)}, value) {
				return
			}
			from = end + 1
		}
	}
}

// Len returns how many runs there are, without a first one of zero values.
func (m *Map[T]) Len() int { return len(m.runs) }

// Clone returns a copy.
func (m *Map[T]) Clone() Map[T] { return Map[T]{runs: slices.Clone(m.runs)} }

// Clear gives each key the zero value.
func (m *Map[T]) Clear() { m.runs = nil }
