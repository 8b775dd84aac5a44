// Package timeline records the events of a process, and merges the events of several processes into one causal order.
package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

//go:generate go tool stringer -type=Kind -linecomment

// Kind is the category of an event.
type Kind int

const (
	// Ownership events report assignments, moves and takeovers of keys, raised fences, and failed writes of the ownership
	// record.
	Ownership Kind = iota // ownership
	// Backend events report changes of the backend server beside a daemon.
	Backend // backend
	// Configuration events report changes of the operators' configuration.
	Configuration // configuration
	// Call events report the outcomes of calls.
	Call // call
	// InvalidInput events report input that could not be read and was rejected.
	InvalidInput // refused
	// Process events report the start and the stop of a daemon.
	Process // process
)

// MarshalText implements encoding.TextMarshaler. It returns the name of the kind.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It reads an unknown name, which a newer daemon may send, as
// Process.
func (k *Kind) UnmarshalText(text []byte) error {
	for candidate := Ownership; candidate <= Process; candidate++ {
		if candidate.String() == string(text) {
			*k = candidate
			return nil
		}
	}
	*k = Process
	return nil
}

// Timestamp is a reading of a hybrid logical clock. The clock never goes back, and its readings are later than the
// timestamps of all messages that were received before.
type Timestamp struct {
	Wall    int64  `json:"wall_ns"`
	Counter uint32 `json:"counter"`
}

// Compare returns -1, 0 or 1 if the timestamp is before, equal to or after another one.
func (t Timestamp) Compare(other Timestamp) int {
	return cmp.Or(cmp.Compare(t.Wall, other.Wall), cmp.Compare(t.Counter, other.Counter))
}

// Event is a timestamped event of a process.
type Event struct {
	At      Timestamp `json:"at"`
	Host    string    `json:"host"`
	Kind    Kind      `json:"kind"`
	Name    string    `json:"name"`
	Service string    `json:"service,omitempty"`
	Class   string    `json:"class,omitempty"`
	Key     string    `json:"key,omitempty"`
	Request string    `json:"request,omitempty"`
	Detail  string    `json:"detail,omitempty"`
}

// Clock provides the wall-clock time.
type Clock interface{ Now() time.Time }

// ringBuffer keeps the newest events, up to the capacity of events.
type ringBuffer struct {
	events []Event
	next   int
}

func (b *ringBuffer) add(e Event) {
	if len(b.events) < cap(b.events) {
		b.events = append(b.events, e)
		return
	}
	b.events[b.next] = e
	b.next = (b.next + 1) % len(b.events)
}

// since returns the events after a timestamp, oldest first.
func (b *ringBuffer) since(after Timestamp) []Event {
	var events []Event
	for i := range b.events {
		e := b.events[(b.next+i)%len(b.events)]
		if e.At.Compare(after) > 0 {
			events = append(events, e)
		}
	}
	return events
}

// Recorder keeps the newest events of a process. Call events have a buffer of their own, so that a large number of
// calls does not evict the other events. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	clock  Clock
	host   string
	last   Timestamp
	calls  ringBuffer
	others ringBuffer
}

// NewRecorder returns a recorder that keeps up to capacity call events and up to capacity other events.
func NewRecorder(host string, capacity int, clock Clock) *Recorder {
	return &Recorder{
		clock:  clock,
		host:   host,
		calls:  ringBuffer{events: make([]Event, 0, capacity)},
		others: ringBuffer{events: make([]Event, 0, capacity)},
	}
}

// Add records an event with the recorder's host and the current timestamp, which it returns.
func (r *Recorder) Add(e Event) Timestamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = r.advance()
	e.Host = r.host
	if e.Kind == Call {
		r.calls.add(e)
	} else {
		r.others.add(e)
	}
	return e.At
}

// Now returns a new timestamp to send with a message.
func (r *Recorder) Now() Timestamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.advance()
}

// Observe advances the clock to the timestamp of a received message if that is later, so that subsequent events sort
// after the message.
func (r *Recorder) Observe(received Timestamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if received.Compare(r.last) > 0 {
		r.last = received
	}
}

// advance advances the hybrid logical clock and returns its reading.
func (r *Recorder) advance() Timestamp {
	wall := r.clock.Now().UnixNano()
	if wall > r.last.Wall {
		r.last = Timestamp{Wall: wall}
	} else {
		r.last.Counter++
	}
	return r.last
}

// Since returns the events after a timestamp, oldest first.
func (r *Recorder) Since(after Timestamp) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Merge(r.calls.since(after), r.others.since(after))
}

// Merge merges the events of several processes, ordered by timestamp and then by host.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Host, b.Host))
	})
	return all
}
