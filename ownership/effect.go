package ownership

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/store"
)

// Effect is something that the machine wants done.
type Effect interface{ isEffect() }

// ReadRecord asks for a fresh read of the record. Its answer goes to ReadDone.
type ReadRecord struct{}

// WriteRecord asks for a write. Its answer goes to WriteDone.
type WriteRecord struct {
	Token WriteToken
	Txn   store.Txn
}

// WriteToken tells the answers to different writes apart: one may come after its write was settled in another way.
type WriteToken uint64

// EndLease asks to find a host's epoch, to end its lease and to make sure that its presence is gone. Its answer goes to
// LeaseEnded.
type EndLease struct{ Host HostID }

// Adopted says that a newer record is known.
type Adopted struct {
	Record   *Record
	Revision store.Revision
}

// Promise says that some hosts shall have keys of this one in about a while.
type Promise struct {
	To []HostID
	In time.Duration
}

// Event is a decision for the log.
type Event struct {
	Kind EventKind
	// Host is whom the event is about, if not this host.
	Host HostID
	// Keys is how many keys it is about.
	Keys   int
	Detail string
}

func (ReadRecord) isEffect()  {}
func (WriteRecord) isEffect() {}
func (EndLease) isEffect()    {}
func (Adopted) isEffect()     {}
func (Promise) isEffect()     {}
func (Event) isEffect()       {}

//go:generate go tool stringer -type=EventKind -linecomment

// EventKind says what was decided or found.
type EventKind int

const (
	// EventDealt means that this host dealt the keys out for the first time.
	EventDealt EventKind = iota // keys_dealt
	// EventMoved means that keys of this host went to others.
	EventMoved // keys_moved
	// EventRaised means that fences were raised for a new life of the backend server.
	EventRaised // fences_raised
	// EventSuspected means that this host prepares to take over from another.
	EventSuspected // takeover_begun
	// EventTookOver means that the keys of a lost host have new owners.
	EventTookOver // takeover_done
	// EventLeaving means that this host stops serving keys in order to give them away.
	EventLeaving // keys_leaving
	// EventKept means that a planned move was given up.
	EventKept // move_given_up
	// EventRefused means that the store refused a write because something had changed.
	EventRefused // write_refused
	// EventUndecided means that a write had no answer.
	EventUndecided // write_undecided
)
