// Package ownership assigns each key of a service to at most one backend server at a time.
//
// A record in the store lists which host's backend server owns which keys. A host's authority to act on the record
// expires a fixed time after its last successful lease renewal. A host that takes over from an absent host first ends
// that host's lease and then waits for the same time. The state machine performs no I/O: it receives inputs with the
// current time and returns effects for the caller to execute.
package ownership

import (
	"fmt"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
)

// HostID identifies a host. It does not change when the daemon or the backend server on the host restarts.
type HostID string

// FailureDomain is the name of a failure domain.
type FailureDomain string

// Epoch counts the registrations of a host. Each registration invalidates the writes of earlier ones that have not yet
// reached the store.
type Epoch uint64

// Fence is a fencing token that orders the owners of a key: each new owner gets a higher fence.
type Fence uint64

// HandoverToken proves to a new owner that the previous owner released the key in an orderly way, so that the new owner
// avoids a cold start.
type HandoverToken string

// Instant is a time since boot. Unlike the monotonic clock, it includes the time during which the machine was
// suspended.
type Instant time.Duration

// Clock returns the current time since boot.
type Clock interface{ Now() Instant }

// Add returns the instant plus a duration.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from the other instant to this one.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Instance identifies one run of a backend server process.
type Instance struct {
	ID string
	// Born is the start time in Unix milliseconds. It distinguishes instances with the same ID.
	Born int64
}

func (i Instance) String() string { return fmt.Sprintf("%s@%d", i.ID, i.Born) }

// Hold is a span of keys that a backend server reports as held or still in use by running requests.
type Hold struct {
	Span  keyspace.Span
	Fence Fence
}

// Release is a span of keys that a backend server has released since its last acknowledged heartbeat.
type Release struct {
	Span     keyspace.Span
	Handover HandoverToken
}

// Heartbeat is a backend server's periodic report of its own state.
type Heartbeat struct {
	Instance Instance
	Address  string
	Service  class.Service
	// Concurrency is how many requests the backend server runs at a time.
	Concurrency int
	// Sequence counts the heartbeats of one instance.
	Sequence   uint64
	IsDraining bool
	// WarmupLeft is the remaining time during which the backend server is slow after its start.
	// It is valid only if WarmupErr, which reports a figure that cannot be used, is nil.
	WarmupLeft time.Duration
	WarmupErr  error
	Holds      []Hold
	Released   []Release
}

// Grant is a span of keys that a backend server may hold.
type Grant struct {
	Span     keyspace.Span
	Fence    Fence
	Handover HandoverToken
}

// HeartbeatResponse is the answer to a heartbeat: all keys that the backend server may hold, and for how long, counted
// from when it sent the heartbeat. A zero HoldTime renews no holds.
type HeartbeatResponse struct {
	HoldTime time.Duration
	Grants   []Grant
}

// StaleHeartbeatError rejects a heartbeat that is not from the newest instance of the backend server, or that is not
// the newest heartbeat of that instance.
type StaleHeartbeatError struct {
	Instance       Instance
	Sequence       uint64
	NewestInstance Instance
	NewestSequence uint64
}

func (e *StaleHeartbeatError) Error() string {
	return fmt.Sprintf("stale heartbeat: got number %d of instance %s after number %d of instance %s",
		e.Sequence, e.Instance, e.NewestSequence, e.NewestInstance)
}

// Timing holds the durations of the protocol. All daemons of a service need the same values.
type Timing struct {
	// AuthorityTime is how long a host may act on the record after its last successful lease renewal.
	AuthorityTime time.Duration
	// HoldTime is how long a backend server may hold keys after a heartbeat.
	HoldTime time.Duration
	// HeartbeatInterval is the interval between a backend server's heartbeats.
	HeartbeatInterval time.Duration
	// SettleTime is how long the membership must have been unchanged before the initial assignment of keys. For
	// rebalancing, the record must have been unchanged for as long too.
	SettleTime time.Duration
	// AbsenceGrace is how long a host may be absent from the store before another host takes over its keys. After an
	// outage of the store, hosts need some time to register again.
	AbsenceGrace time.Duration
	// Stagger is how much longer a host waits before a takeover or the initial assignment, for each usable host that
	// precedes it in the order of host IDs.
	Stagger time.Duration
	// RebalanceInterval is how often a host checks whether to move keys away because of their number or load.
	RebalanceInterval time.Duration
	// MoveTimeout is how long a planned move may take before it is abandoned.
	MoveTimeout time.Duration
	// RetryDelay is the pause before a failed read, or a write that was rejected or not answered, is sent again. It is
	// also the upper bound of the random pause after a conflict.
	RetryDelay time.Duration
}

// DefaultTiming returns the durations for a network with a few milliseconds of latency between hosts.
func DefaultTiming() Timing {
	return Timing{
		// Long enough for a store outage of 4.5 s, one renewal interval before it and one heartbeat after it.
		AuthorityTime:     8 * time.Second,
		HoldTime:          3 * time.Second,
		HeartbeatInterval: time.Second,
		SettleTime:        700 * time.Millisecond,
		AbsenceGrace:      2200 * time.Millisecond,
		Stagger:           600 * time.Millisecond,
		RebalanceInterval: 400 * time.Millisecond,
		MoveTimeout:       6 * time.Second,
		RetryDelay:        60 * time.Millisecond,
	}
}

// clockMarginFactor allows for a backend server's clock that runs 2% slow, and for the difference between the clocks of
// a host that takes over and of the previous owner.
const clockMarginFactor = 1.03

// addClockMargin returns the longest time that a duration measured by another clock can take on this one. The other
// clock is that of the backend server or of another host.
func addClockMargin(d time.Duration) time.Duration {
	return time.Duration(float64(d) * clockMarginFactor)
}
