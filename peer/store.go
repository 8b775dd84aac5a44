package peer

import (
	"context"
	"errors"
	"time"

	"github.com/skylarkrelay/skylarkrelay/store"
)

// StoreCall is a call to the store that a peer should make. Exactly one field is set.
type StoreCall struct {
	Get    string        `json:"get,omitempty"`
	List   string        `json:"list,omitempty"`
	Commit *store.Txn    `json:"commit,omitempty"`
	Grant  time.Duration `json:"grant_ns,omitempty"`
	Renew  store.LeaseID `json:"renew,omitempty"`
	Revoke store.LeaseID `json:"revoke,omitempty"`
}

// StoreAnswer is the store's answer to a call that a peer made.
type StoreAnswer struct {
	Items    []store.Item   `json:"items,omitempty"`
	Revision store.Revision `json:"revision,omitempty"`
	Lease    store.LeaseID  `json:"lease,omitempty"`
	// At most one of the following says what went wrong.
	Conflict   bool          `json:"conflict,omitempty"`
	LeaseEnded store.LeaseID `json:"lease_ended,omitempty"`
	Rejected   string        `json:"rejected,omitempty"`
	Lost       string        `json:"lost,omitempty"`
}

// MakeStoreCall makes a peer's call. The store must not be a RelayedStore: calls take one hop at most.
func MakeStoreCall(ctx context.Context, s store.Store, c StoreCall) StoreAnswer {
	var a StoreAnswer
	var err error
	switch {
	case c.Get != "":
		var item store.Item
		item, err = s.Get(ctx, c.Get)
		a.Items = []store.Item{item}
	case c.List != "":
		var snapshot store.Snapshot
		snapshot, err = s.List(ctx, c.List)
		a.Items, a.Revision = snapshot.Items, snapshot.Revision
	case c.Commit != nil:
		a.Revision, err = s.Commit(ctx, *c.Commit)
	case c.Grant != 0:
		a.Lease, err = s.Grant(ctx, c.Grant)
	case c.Renew != 0:
		err = s.Renew(ctx, c.Renew)
	case c.Revoke != 0:
		err = s.Revoke(ctx, c.Revoke)
	}
	a.fail(err)
	return a
}

func (a *StoreAnswer) fail(err error) {
	if err == nil {
		return
	}
	var conflict *store.ConflictError
	var ended *store.LeaseEndedError
	var rejected *store.RejectedError
	switch {
	case errors.As(err, &conflict):
		a.Conflict = true
		a.Items = conflict.Current
	case errors.As(err, &ended):
		a.LeaseEnded = max(1, ended.Lease)
	case errors.As(err, &rejected):
		a.Rejected = err.Error()
	default:
		a.Lost = err.Error()
	}
}

// lostCause carries the text of a failure at a peer.
type lostCause struct{ text string }

func (e *lostCause) Error() string { return e.text }

func (a *StoreAnswer) err() error {
	switch {
	case a.Conflict:
		return &store.ConflictError{Current: a.Items}
	case a.LeaseEnded != 0:
		return &store.LeaseEndedError{Lease: a.LeaseEnded}
	case a.Rejected != "":
		return &store.RejectedError{Call: "by a peer", Cause: a.Rejected}
	case a.Lost != "":
		return &store.IndeterminateError{Call: "by a peer", Cause: &lostCause{text: a.Lost}}
	default:
		return nil
	}
}

// RelayedStore is the store reached through another daemon, for a host that the store turns away.
type RelayedStore struct {
	// Address is the control address of the peer.
	Address string
}

func (s RelayedStore) call(ctx context.Context, c StoreCall) (StoreAnswer, error) {
	var a StoreAnswer
	if err := ask(ctx, s.Address, methodStore, c, &a); err != nil {
		return a, &store.IndeterminateError{Call: "by a peer", Cause: err}
	}
	return a, a.err()
}

// Get implements store.Store.
func (s RelayedStore) Get(ctx context.Context, key string) (store.Item, error) {
	a, err := s.call(ctx, StoreCall{Get: key})
	if err != nil || len(a.Items) != 1 {
		return store.Item{}, err
	}
	return a.Items[0], nil
}

// List implements store.Store.
func (s RelayedStore) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	a, err := s.call(ctx, StoreCall{List: prefix})
	return store.Snapshot{Items: a.Items, Revision: a.Revision}, err
}

// Commit implements store.Store.
func (s RelayedStore) Commit(ctx context.Context, txn store.Txn) (store.Revision, error) {
	a, err := s.call(ctx, StoreCall{Commit: &txn})
	return a.Revision, err
}

// Grant implements store.Store.
func (s RelayedStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	a, err := s.call(ctx, StoreCall{Grant: ttl})
	return a.Lease, err
}

// Renew implements store.Store.
func (s RelayedStore) Renew(ctx context.Context, lease store.LeaseID) error {
	_, err := s.call(ctx, StoreCall{Renew: lease})
	return err
}

// Revoke implements store.Store.
func (s RelayedStore) Revoke(ctx context.Context, lease store.LeaseID) error {
	_, err := s.call(ctx, StoreCall{Revoke: lease})
	return err
}

// Watch implements store.Store. Watches do not go through peers: gossip brings what they would.
func (s RelayedStore) Watch(context.Context, string, store.Revision) (store.Snapshot, error) {
	return store.Snapshot{}, &store.RejectedError{Call: "watch", Cause: "not through a peer"}
}
