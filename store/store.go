// Package store defines the key-value store that daemons depend on: versioned values, conditional transactions over
// several keys, keys that expire with a lease, and watches.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Era counts the restores of the store. A store that came back from an older copy has lost what it acknowledged since
// and gives out the same revisions again. Zero means that the store does not state its era.
type Era uint32

// FirstEra is the era of a store that was never restored.
const FirstEra Era = 1

// Revision orders the changes of the store across restores: by its era first, then by the store's change counter. An
// item has the revision of its last change. Zero means that the item does not exist.
type Revision uint64

const (
	counterBits = 44
	maxCounter  = 1<<counterBits - 1
	maxEra      = 1<<(64-counterBits) - 1
)

// NewRevision returns the revision with the given counter in an era. The error is a RevisionError.
func NewRevision(era Era, counter uint64) (Revision, error) {
	if era > maxEra || counter > maxCounter {
		return 0, &RevisionError{Era: era, Counter: counter}
	}
	return Revision(uint64(era)<<counterBits | counter), nil
}

// MustRevision is like NewRevision for eras and counters that are known to be in range, such as those of a test. It panics
// if they are not.
func MustRevision(era Era, counter uint64) Revision {
	revision, err := NewRevision(era, counter)
	if err != nil {
		panic(err)
	}
	return revision
}

// Era returns the era of the revision.
func (r Revision) Era() Era { return Era(r >> counterBits) }

// Counter returns the store's change counter at the revision.
func (r Revision) Counter() uint64 { return uint64(r & maxCounter) }

func (r Revision) String() string { return fmt.Sprintf("%d/%d", r.Era(), r.Counter()) }

// RevisionError reports an era or a change counter that is too large.
type RevisionError struct {
	Era     Era
	Counter uint64
}

func (e *RevisionError) Error() string {
	return fmt.Sprintf("revision %d of era %d is out of range", e.Counter, e.Era)
}

// LeaseID identifies a lease. Zero means no lease.
type LeaseID uint64

// Item is a key and its value in the store.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	// Lease is the lease that the item is attached to. The item is removed when the lease ends.
	Lease LeaseID
	// IsDeleted means that the item was removed at Revision.
	IsDeleted bool
}

// Snapshot is a list of items and the revision of the store at which they were read.
type Snapshot struct {
	Items    []Item
	Revision Revision
}

// Condition requires that the item of a key is at the given revision. Zero requires that the key does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Put is a value to write, attached to Lease unless that is zero.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// MaxTxnEntries is the number of conditions, puts and removes that a transaction may have in total.
const MaxTxnEntries = 32

// Txn is an atomic transaction: if all Conditions hold, all Puts and Removes are applied, otherwise none.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Removes    []string
}

// entries returns the number of conditions, puts and removes.
func (t Txn) entries() int { return len(t.Conditions) + len(t.Puts) + len(t.Removes) }

// Era returns the newest era of the revisions that the conditions require, or zero.
func (t Txn) Era() Era {
	newest := Era(0)
	for _, c := range t.Conditions {
		newest = max(newest, c.Revision.Era())
	}
	return newest
}

// Store is the key-value service. It is safe for concurrent use.
type Store interface {
	// Get returns an item. An item that does not exist has revision zero.
	Get(ctx context.Context, key string) (Item, error)
	// List returns all items whose key has a prefix. The result may include changes that were made during the call.
	List(ctx context.Context, prefix string) (Snapshot, error)
	// Watch waits for changes after a revision to items with a prefix, and returns them. It may return without changes.
	Watch(ctx context.Context, prefix string, after Revision) (Snapshot, error)
	// Commit applies a transaction and returns its revision.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its TTL, counted from the arrival of the call at the store.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease. Revoking a lease that has ended is not an error.
	Revoke(ctx context.Context, lease LeaseID) error
}

// EraStore is a Store that observes its era.
type EraStore interface {
	Store
	// Era returns the newest observed era, or zero if none was observed.
	Era() Era
}

// ConflictError reports that a condition did not hold. The transaction was not applied.
type ConflictError struct {
	// Current holds the current state of the items that the conditions refer to.
	Current []Item
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("transaction not applied: revision conflict among %d items", len(e.Current))
}

// RestoredError reports that the store was restored before it executed a transaction whose conditions refer to an
// earlier era. The transaction may have been applied, but to other values than those that it was composed for.
type RestoredError struct {
	// Sent is the era of the conditions, and Current that of the store.
	Sent, Current Era
}

func (e *RestoredError) Error() string {
	return fmt.Sprintf("transaction of era %d: the store was restored and is in era %d", e.Sent, e.Current)
}

// LeaseEndedError reports that a lease has ended or never existed. The call that needed it had no effect.
type LeaseEndedError struct{ Lease LeaseID }

func (e *LeaseEndedError) Error() string {
	return fmt.Sprintf("lease %d has expired, was revoked or never existed", e.Lease)
}

// CompactedError reports that the history after a revision is incomplete. The items have to be listed again.
type CompactedError struct{ After Revision }

func (e *CompactedError) Error() string {
	return fmt.Sprintf("changes after revision %d have been compacted; the items have to be listed again", e.After)
}

// RejectedError reports that the store rejected a call or was not reached. The call had no effect.
type RejectedError struct {
	Call  string
	Cause string
}

func (e *RejectedError) Error() string { return e.Call + ": store call rejected: " + e.Cause }

// IndeterminateError reports that no response established the outcome of a call. The call may have taken effect, or may
// still do so.
type IndeterminateError struct {
	Call  string
	Cause error
}

func (e *IndeterminateError) Error() string {
	return e.Call + ": outcome of the store call unknown: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *IndeterminateError) Unwrap() error { return e.Cause }

// IsUnavailable reports whether an error means that the store was unavailable, in contrast to a regular negative
// response such as a conflict.
func IsUnavailable(err error) bool {
	var rejected *RejectedError
	var indeterminate *IndeterminateError
	return errors.As(err, &rejected) || errors.As(err, &indeterminate)
}
