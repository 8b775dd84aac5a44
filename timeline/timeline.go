// Package timeline records what happened in a process and merges the records of all processes into one order.
package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

//go:generate go tool stringer -type=Kind -linecomment

// Kind says what happened.
type Kind int

const (
	// Ownership events tell about members, slots and witnesses.
	Ownership Kind = iota // ownership
	// Backend events tell about the backend server beside a daemon.
	Backend // backend
	// Configuration events tell about the operators' configuration.
	Configuration // configuration
	// Call events tell how calls ended.
	Call // call
	// InvalidInput events tell about input that was not understood.
	InvalidInput // refused
	// Process events tell about a daemon's start and stop.
	Process // process
)

// MarshalText writes the kind's name.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads a kind's name. An unknown name, from a newer daemon, reads as Process.
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

// Timestamp is a hybrid logical clock's reading: it never goes back and respects the order of messages.
type Timestamp struct {
	Wall    int64  `json:"wall_ns"`
	Counter uint32 `json:"counter"`
}

// Compare orders stamps.
func (s Timestamp) Compare(other Timestamp) int {
	return cmp.Or(cmp.Compare(s.Wall, other.Wall), cmp.Compare(s.Counter, other.Counter))
}

// Event is one thing that happened.
type Event struct {
	At      Timestamp  `json:"at"`
	Host    string `json:"host"`
	Kind    Kind   `json:"kind"`
	Name    string `json:"name"`
	Service string `json:"service,omitempty"`
	Class   string `json:"class,omitempty"`
	Key     string `json:"key,omitempty"`
	Request string `json:"request,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Clock tells the time.
type Clock interface{ Now() time.Time }

// buffer keeps the newest events of one sort.
type buffer struct {
	events []Event
	next   int
}

func (b *buffer) add(e Event) {
	if len(b.events) < cap(b.events) {
		b.events = append(b.events, e)
		return
	}
	b.events[b.next] = e
	b.next = (b.next + 1) % len(b.events)
}

// since returns the events after a stamp, oldest first.
func (b *buffer) since(after Timestamp) []Event {
	var events []Event
	for i := range b.events {
		e := b.events[(b.next+i)%len(b.events)]
		if e.At.Compare(after) > 0 {
			events = append(events, e)
		}
	}
	return events
}

// Recorder keeps the newest events of a process. Calls have a buffer of their own, so that a busy hour does not push
// the rest out. It is safe for concurrent use.
type Recorder struct {
	mu    sync.Mutex
	clock Clock
	host  string
	last  Timestamp
	calls buffer
	rest  buffer
}

// NewRecorder returns a ring for a number of events of each sort.
func NewRecorder(host string, capacity int, clock Clock) *Recorder {
	return &Recorder{
		clock: clock,
		host:  host,
		calls: buffer{events: make([]Event, 0, capacity)},
		rest:  buffer{events: make([]Event, 0, capacity)},
	}
}

// Add records an event and returns its stamp.
func (r *Recorder) Add(e Event) Timestamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = r.tick()
	e.Host = r.host
	if e.Kind == Call {
		r.calls.add(e)
	} else {
		r.rest.add(e)
	}
	return e.At
}

// Now returns a stamp to send with a message.
func (r *Recorder) Now() Timestamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tick()
}

// Observe takes note of a stamp that came with a message, so that later events sort after it.
func (r *Recorder) Observe(s Timestamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Compare(r.last) > 0 {
		r.last = s
	}
}

// tick advances the hybrid logical clock.
func (r *Recorder) tick() Timestamp {
	wall := r.clock.Now().UnixNano()
	if wall > r.last.Wall {
		r.last = Timestamp{Wall: wall}
	} else {
		r.last.Counter++
	}
	return r.last
}

// Since returns the events after a stamp, oldest first.
func (r *Recorder) Since(after Timestamp) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Merge(r.calls.since(after), r.rest.since(after))
}

// Merge orders the events of several processes.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Host, b.Host))
	})
	return all
}
