// Package keyspace provides ranges of keys and a run-length encoded map from the keys of a service to values.
package keyspace

import (
	"cmp"
	"iter"
	"slices"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// Span is a range of consecutive keys; both ends are included.
type Span struct {
	From class.Key
	To   class.Key
}

// Size returns the number of keys in the span.
func (s Span) Size() int { return int(s.To) - int(s.From) + 1 }

// Contains reports whether a key is in the span.
func (s Span) Contains(key class.Key) bool { return s.From <= key && key <= s.To }

// All returns the span of all keys.
func All() Span { return Span{To: class.KeyCount - 1} }

// run assigns one value to all keys from its first key up to the first key of the next run.
type run[T comparable] struct {
	from  class.Key
	value T
}

// Map maps each key to a value. It stores adjacent keys with equal values as one run. The zero Map maps each key to the
// zero value.
type Map[T comparable] struct {
	runs []run[T]
}

// At returns the value of the key.
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

// find returns the index of the run that starts at the key and true, or the index at which such a run would be inserted
// and false.
func (m *Map[T]) find(key class.Key) (int, bool) {
	return slices.BinarySearchFunc(m.runs, key, func(r run[T], k class.Key) int { return cmp.Compare(r.from, k) })
}

// Set assigns a value to all keys of a span.
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
	// The run after the replaced ones may now have the same value as the run before it, so it is included.
	m.mergeRuns(max(0, first-1), first+len(next)+1)
}

// SetFrom assigns a value to a key and to all keys after it. Calls in ascending key order build a map faster than Set.
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

// mergeRuns merges adjacent runs with equal values among the runs with indexes from up to, but not including, to.
func (m *Map[T]) mergeRuns(from, to int) {
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
	// Zero the unused tail so that it keeps no values alive.
	clear(m.runs[len(kept):])
	m.runs = kept
}

// Runs iterates over the runs in key order, including runs with the zero value. The map must not be modified during the
// iteration.
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

// Within iterates over the runs in key order, cut to a span. The map must not be modified during the iteration.
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

// RunCount returns the number of runs, not counting a first run with the zero value.
func (m *Map[T]) RunCount() int { return len(m.runs) }

// Clone returns an independent copy of the map.
func (m *Map[T]) Clone() Map[T] { return Map[T]{runs: slices.Clone(m.runs)} }

// Clear resets each key to the zero value.
func (m *Map[T]) Clear() { m.runs = nil }
