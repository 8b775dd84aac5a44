// Package ownership keeps each key of a service with at most one backend server at a time.
//
// A record in the store says which host's backend server owns which keys. A host's authority to act on the record ends
// a fixed time after its last successful lease renewal; who takes over from a silent host ends that lease first and
// waits as long. The state machine has no I/O: inputs and the time go in, effects come out.
package ownership

import (
	"fmt"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
)

// HostID names a host. It stays the same when the daemon or the backend server on it restarts.
type HostID string

// Domain names a failure domain.
type Domain string

// Epoch counts the registrations of a host. Each one voids what earlier ones still have on its way to the store.
type Epoch uint64

// Fence orders the owners of a key: each new owner has a higher one.
type Fence uint64

// Handover proves to a new owner that the last one gave a key up in order, so that it starts warm.
type Handover string

// Instant is a time since boot. It counts the time that a suspended machine misses, unlike the steady clock.
type Instant time.Duration

// Add returns the instant a while later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time between two instants.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Instance is one life of a backend server.
type Instance struct {
	ID string
	// Born is the Unix millisecond of its start; it tells lives with the same id apart.
	Born int64
}

func (i Instance) String() string { return fmt.Sprintf("%s@%d", i.ID, i.Born) }

// Hold is what a backend server says that it holds or still works on.
type Hold struct {
	Span  keyspace.Span
	Fence Fence
}

// Release is what a backend server has given up since its last acknowledged heartbeat.
type Release struct {
	Span     keyspace.Span
	Handover Handover
}

// Heartbeat is what a backend server says of itself.
type Heartbeat struct {
	Instance Instance
	Address  string
	Service  class.Service
	// Places is how many requests it runs at a time.
	Places int
	// Sequence counts the heartbeats of one life.
	Sequence   uint64
	IsDraining bool
	// WarmupLeft is how much longer it is slow after its start.
	WarmupLeft time.Duration
	Holds      []Hold
	Released   []Release
}

// Grant is a run of keys that a backend server may hold.
type Grant struct {
	Span     keyspace.Span
	Fence    Fence
	Handover Handover
}

// Orders is the answer to a heartbeat: all that the backend server is to hold, and for how long from the sending of the
// heartbeat. A zero Hold renews nothing.
type Orders struct {
	Hold   time.Duration
	Grants []Grant
}

// StaleError refuses a heartbeat that is not from the newest life of the backend server, or not its newest.
type StaleError struct {
	Got      Instance
	Sequence uint64
	Newest   Instance
	Last     uint64
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("heartbeat %d of %s is older than %d of %s", e.Sequence, e.Got, e.Last, e.Newest)
}

// Timing holds the times of the protocol. All daemons of a service need the same values.
type Timing struct {
	// Authority is how long a host may act on the record after its last successful lease renewal.
	Authority time.Duration
	// Hold is how long a backend server may hold keys after a heartbeat.
	Hold time.Duration
	// Beat is the interval of the backend servers' heartbeats.
	Beat time.Duration
	// Settle is how long the membership must have been quiet before a first deal.
	Settle time.Duration
	// AbsenceGrace is how long a host may be absent from the store before it is taken over: after an outage hosts need
	// a moment to come back.
	AbsenceGrace time.Duration
	// Stagger is by how much each further host waits before it does what the first in line should do.
	Stagger time.Duration
	// LevelInterval is how often a host looks whether it should give keys away for their number or load.
	LevelInterval time.Duration
	// MoveTime is how long a planned move may take before it is given up.
	MoveTime time.Duration
	// Retry is the pause before a write without an answer is sent again.
	Retry time.Duration
}

// DefaultTiming returns the times for a mesh with a few milliseconds between hosts.
func DefaultTiming() Timing {
	return Timing{
		// A store that is away for 4.5 s is ridden out: one renewal interval before, one heartbeat after.
		Authority:     8 * time.Second,
		Hold:          3 * time.Second,
		Beat:          time.Second,
		Settle:        700 * time.Millisecond,
		AbsenceGrace:  2200 * time.Millisecond,
		Stagger:       600 * time.Millisecond,
		LevelInterval: 400 * time.Millisecond,
		MoveTime:      6 * time.Second,
		Retry:         60 * time.Millisecond,
	}
}

// clockMargin covers a backend server's clock that runs 2% slow, and a taker's against an owner's.
const clockMargin = 1.03

// stretch returns how long a span of another clock may last on this one.
func stretch(d time.Duration) time.Duration { return time.Duration(float64(d) * clockMargin) }
