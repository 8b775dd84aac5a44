package ownership

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/store"
)

// Effect is an action or notification that the state machine returns for the caller to execute.
type Effect interface{ isEffect() }

// ReadRecord requests a fresh read of the record from the store, even if a copy is known. The result goes to ReadDone.
type ReadRecord struct{}

// WriteRecord requests a write of the record to the store. The result goes to WriteDone.
type WriteRecord struct {
	Token WriteToken
	Txn   store.Txn
}

// WriteToken identifies the write that a result belongs to. A result may arrive after the outcome of its write became
// known in another way.
type WriteToken uint64

// EndLease requests to read a host's epoch, to check that the host's presence is gone, and to end the lease that the
// epoch names. The result goes to LeaseEnded.
type EndLease struct{ Host HostID }

// Reregister requests to register this host again, because the store has another epoch of it than the known one.
type Reregister struct{}

// RecordUpdated reports that a newer record is known.
type RecordUpdated struct {
	Record   *Record
	Revision store.Revision
}

// AnnounceHandover requests to notify hosts that they will be assigned keys of this host after about Delay.
type AnnounceHandover struct {
	To    []HostID
	Delay time.Duration
}

// Event is a decision or an observation for the log.
type Event struct {
	Kind EventKind
	// Host is the host that the event concerns, if it is not this host.
	Host HostID
	// Keys is the number of keys that the event concerns.
	Keys   int
	Detail string
}

func (ReadRecord) isEffect()       {}
func (WriteRecord) isEffect()      {}
func (EndLease) isEffect()         {}
func (Reregister) isEffect()       {}
func (RecordUpdated) isEffect()    {}
func (AnnounceHandover) isEffect() {}
func (Event) isEffect()            {}

//go:generate go tool stringer -type=EventKind -linecomment

// EventKind is the kind of an Event.
type EventKind int

const (
	// EventKeysAssigned means that this host made the initial assignment of the service's keys.
	EventKeysAssigned EventKind = iota // keys_dealt
	// EventKeysMoved means that keys of this host were assigned to other hosts.
	EventKeysMoved // keys_moved
	// EventFencesRaised means that fences were raised for a new instance of the backend server, or for keys that it did
	// not accept.
	EventFencesRaised // fences_raised
	// EventTakeoverStarted means that this host started to take over from an absent host.
	EventTakeoverStarted // takeover_begun
	// EventTakeoverDone means that the keys of a lost host were assigned to other hosts.
	EventTakeoverDone // takeover_done
	// EventMoveStarted means that this host stops serving keys in order to move them to other hosts.
	EventMoveStarted // keys_leaving
	// EventMoveAbandoned means that a planned move was abandoned.
	EventMoveAbandoned // move_given_up
	// EventWriteRefused means that the store refused a write because a condition did not hold, or that the record could
	// not be encoded.
	EventWriteRefused // write_refused
	// EventStoreRestored means that the store was restored. Keys is how many keys this host continues to serve.
	EventStoreRestored // store_restored
	// EventRecordRestored means that this host put the known assignments in force after the store was restored.
	EventRecordRestored // record_restored
	// EventAssignmentsSettled means that this host confirmed its assignments after the store was restored. Keys is how
	// many of them got new fences.
	EventAssignmentsSettled // assignments_settled
	// EventWriteUnconfirmed means that a write was not answered, so it may or may not have been committed.
	EventWriteUnconfirmed // write_undecided
)
