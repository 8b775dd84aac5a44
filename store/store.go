// Package store says what the relay needs of a key-value service: versioned values, writes under conditions over several
// keys, keys that expire with a lease, and watches.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Revision is the store's counter of changes. An item carries the revision of its last change; zero means no item.
type Revision uint64

// LeaseID names a lease; zero means none.
type LeaseID uint64

// Item is one value of the store.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	// Lease is the lease with which the item goes away.
	Lease LeaseID
	// IsDeleted marks an item that was removed at Revision.
	IsDeleted bool
}

// Snapshot is some items and the revision of the store when they were read.
type Snapshot struct {
	Items    []Item
	Revision Revision
}

// Condition demands that a key is at a revision; zero demands that it does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Put is one value to write.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a change that happens as a whole or not at all.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Removes    []string
}

// Store is the key-value service. It is safe for concurrent use.
type Store interface {
	// Get returns an item. One that does not exist has revision zero.
	Get(ctx context.Context, key string) (Item, error)
	// List returns all items whose key begins with a prefix. It may see changes that come while it reads.
	List(ctx context.Context, prefix string) (Snapshot, error)
	// Watch waits for items under a prefix to change after a revision. It may return without any.
	Watch(ctx context.Context, prefix string, after Revision) (Snapshot, error)
	// Commit makes a change and returns its revision.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease from the arrival of the call.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease. Ending one that has ended is no error.
	Revoke(ctx context.Context, lease LeaseID) error
}

// ConflictError says that a condition did not hold. The change did not happen.
type ConflictError struct {
	// Current holds the present state of the items that the conditions name.
	Current []Item
}

func (e *ConflictError) Error() string { return fmt.Sprintf("conflict over %d items", len(e.Current)) }

// LeaseEndedError says that a lease has ended or never was. What needed it did not happen.
type LeaseEndedError struct{ Lease LeaseID }

func (e *LeaseEndedError) Error() string { return fmt.Sprintf("lease %d has ended", e.Lease) }

// CompactedError says that the changes after a revision are forgotten. The items must be read again.
type CompactedError struct{ After Revision }

func (e *CompactedError) Error() string {
	return fmt.Sprintf("changes after revision %d are forgotten", e.After)
}

// RejectedError says that the store did not take a call. It surely had no effect.
type RejectedError struct {
	Call  string
	Cause string
}

func (e *RejectedError) Error() string { return e.Call + ": rejected: " + e.Cause }

// IndeterminateError says that no whole answer came. A change may have happened, or may still happen.
type IndeterminateError struct {
	Call  string
	Cause error
}

func (e *IndeterminateError) Error() string { return e.Call + ": no answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *IndeterminateError) Unwrap() error { return e.Cause }

// IsUnavailable tells whether an error says that the store could not be used, as opposed to an answer of its own.
func IsUnavailable(err error) bool {
	var rejected *RejectedError
	var lost *IndeterminateError
	return errors.As(err, &rejected) || errors.As(err, &lost)
}
