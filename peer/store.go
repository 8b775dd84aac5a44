package peer

import (
	"context"
	"errors"
	"time"

	"github.com/skylarkrelay/skylarkrelay/store"
)

// StoreCall is a call to the store that a daemon asks a peer to make on its behalf. Exactly one field is set.
type StoreCall struct {
	Get    string        `json:"get,omitempty"`
	List   string        `json:"list,omitempty"`
	Commit *store.Txn    `json:"commit,omitempty"`
	Grant  time.Duration `json:"grant_ns,omitempty"`
	Renew  store.LeaseID `json:"renew,omitempty"`
	Revoke store.LeaseID `json:"revoke,omitempty"`
}

// StoreResult is the result of a StoreCall.
type StoreResult struct {
	Items    []store.Item   `json:"items,omitempty"`
	Revision store.Revision `json:"revision,omitempty"`
	Lease    store.LeaseID  `json:"lease,omitempty"`
	// Era is the newest era of the store that the peer has observed.
	Era store.Era `json:"era,omitempty"`
	// At most one of the following fields is set. It is the error with which the call failed.
	Conflict   bool          `json:"conflict,omitempty"`
	LeaseEnded store.LeaseID `json:"lease_ended,omitempty"`
	Rejected   string        `json:"rejected,omitempty"`
	Lost       string        `json:"lost,omitempty"`
}

// ExecuteStoreCall makes a peer's call to the store. The store must not be a RelayedStore, because a call is forwarded
// once at most.
func ExecuteStoreCall(ctx context.Context, s store.EraStore, c StoreCall) StoreResult {
	var result StoreResult
	var err error
	switch {
	case c.Get != "":
		var item store.Item
		item, err = s.Get(ctx, c.Get)
		result.Items = []store.Item{item}
	case c.List != "":
		var snapshot store.Snapshot
		snapshot, err = s.List(ctx, c.List)
		result.Items, result.Revision = snapshot.Items, snapshot.Revision
	case c.Commit != nil:
		result.Revision, err = s.Commit(ctx, *c.Commit)
	case c.Grant != 0:
		result.Lease, err = s.Grant(ctx, c.Grant)
	case c.Renew != 0:
		err = s.Renew(ctx, c.Renew)
	case c.Revoke != 0:
		err = s.Revoke(ctx, c.Revoke)
	default:
		err = &store.RejectedError{Call: "for a peer", Cause: "the request names no call"}
	}
	result.setError(err)
	result.Era = s.Era()
	return result
}

// setError encodes an error of the store.
func (r *StoreResult) setError(err error) {
	if err == nil {
		return
	}
	var conflict *store.ConflictError
	var ended *store.LeaseEndedError
	var rejected *store.RejectedError
	switch {
	case errors.As(err, &conflict):
		r.Conflict = true
		r.Items = conflict.Current
	case errors.As(err, &ended):
		r.LeaseEnded = max(1, ended.Lease) // zero would mean that there is no error
	case errors.As(err, &rejected):
		r.Rejected = err.Error()
	default:
		r.Lost = err.Error()
	}
}

// remoteError is an error at a peer, of which only the text is known.
type remoteError struct{ text string }

func (e *remoteError) Error() string { return e.text }

// toError decodes the error that setError encoded, or returns nil.
func (r *StoreResult) toError() error {
	switch {
	case r.Conflict:
		return &store.ConflictError{Current: r.Items}
	case r.LeaseEnded != 0:
		return &store.LeaseEndedError{Lease: r.LeaseEnded}
	case r.Rejected != "":
		return &store.RejectedError{Call: "by a peer", Cause: r.Rejected}
	case r.Lost != "":
		return &store.IndeterminateError{Call: "by a peer", Cause: &remoteError{text: r.Lost}}
	default:
		return nil
	}
}

// RelayedStore is a store.Store that makes its calls through another daemon, for a host that the store rejects.
type RelayedStore struct {
	// Address is the control address of the peer.
	Address string
	// OnEra is called with the era that the peer has observed, before the result of a call is returned.
	OnEra func(era store.Era)
}

// call sends a StoreCall to the peer and decodes its result.
func (s RelayedStore) call(ctx context.Context, c StoreCall) (StoreResult, error) {
	var result StoreResult
	if err := request(ctx, s.Address, methodStore, c, &result); err != nil {
		return result, &store.IndeterminateError{Call: "by a peer", Cause: err}
	}
	s.OnEra(result.Era)
	return result, result.toError()
}

// Get implements store.Store.
func (s RelayedStore) Get(ctx context.Context, key string) (store.Item, error) {
	result, err := s.call(ctx, StoreCall{Get: key})
	if err != nil {
		return store.Item{}, err
	}
	if len(result.Items) != 1 {
		return store.Item{}, &store.IndeterminateError{
			Call:  "by a peer",
			Cause: &MessageError{Part: methodStore, Cause: "the result of a read has no item"},
		}
	}
	return result.Items[0], nil
}

// List implements store.Store.
func (s RelayedStore) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	result, err := s.call(ctx, StoreCall{List: prefix})
	return store.Snapshot{Items: result.Items, Revision: result.Revision}, err
}

// Commit implements store.Store.
func (s RelayedStore) Commit(ctx context.Context, txn store.Txn) (store.Revision, error) {
	result, err := s.call(ctx, StoreCall{Commit: &txn})
	return result.Revision, err
}

// Grant implements store.Store.
func (s RelayedStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	result, err := s.call(ctx, StoreCall{Grant: ttl})
	return result.Lease, err
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

// Watch implements store.Store. It always fails, because watches are not forwarded: gossip delivers the same updates.
func (s RelayedStore) Watch(context.Context, string, store.Revision) (store.Snapshot, error) {
	return store.Snapshot{}, &store.RejectedError{Call: "watch", Cause: "not through a peer"}
}
