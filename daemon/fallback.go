package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/store"
)

const (
	// fallbackDelay is how long direct calls have to fail before calls go through other daemons.
	fallbackDelay = 400 * time.Millisecond
	// directRetryInterval is how often the store is called directly while calls go through other daemons.
	directRetryInterval = time.Second
)

// fallbackStore calls the store directly, or through another daemon while the store is not available to this host.
type fallbackStore struct {
	direct  store.EraStore
	viaPeer func(address string) store.Store
	peers   func() []string
	health  externalSystem
	clock   clockwork.Clock

	mu sync.Mutex
	// failingSince is when the current series of failed direct calls began, or zero.
	failingSince  time.Time
	directTriedAt time.Time
}

func newFallbackStore(
	direct store.EraStore, viaPeer func(string) store.Store, peers func() []string, health externalSystem, clock clockwork.Clock,
) *fallbackStore {
	return &fallbackStore{direct: direct, viaPeer: viaPeer, peers: peers, health: health, clock: clock}
}

// choosePath returns the store to use for the next call, and whether that is the direct one.
func (f *fallbackStore) choosePath() (store.Store, bool) {
	peers := f.peers()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if !f.isFailing(now) || len(peers) == 0 || now.Sub(f.directTriedAt) > directRetryInterval {
		f.directTriedAt = now
		return f.direct, true
	}
	return f.viaPeer(peers[rand.IntN(len(peers))]), false
}

// isFailing reports whether direct calls have failed for longer than fallbackDelay. The caller holds the lock.
func (f *fallbackStore) isFailing(now time.Time) bool {
	return !f.failingSince.IsZero() && now.Sub(f.failingSince) > fallbackDelay
}

// isUnreachable reports whether the store cannot be reached directly.
func (f *fallbackStore) isUnreachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isFailing(f.clock.Now())
}

// recordResult records the result of a call if it was direct.
func (f *fallbackStore) recordResult(isDirect bool, err error) {
	if !isDirect {
		return
	}
	isDown := store.IsUnavailable(err)
	f.mu.Lock()
	if !isDown {
		f.failingSince = time.Time{}
	} else if f.failingSince.IsZero() {
		f.failingSince = f.clock.Now()
	}
	f.mu.Unlock()
	f.health.set(!isDown, err)
}

func callStore[T any](f *fallbackStore, do func(s store.Store) (T, error)) (T, error) {
	s, isDirect := f.choosePath()
	value, err := do(s)
	f.recordResult(isDirect, err)
	return value, err
}

// Get implements store.Store.
func (f *fallbackStore) Get(ctx context.Context, key string) (store.Item, error) {
	return callStore(f, func(s store.Store) (store.Item, error) { return s.Get(ctx, key) })
}

// List implements store.Store.
func (f *fallbackStore) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	return callStore(f, func(s store.Store) (store.Snapshot, error) { return s.List(ctx, prefix) })
}

// Commit implements store.Store.
func (f *fallbackStore) Commit(ctx context.Context, txn store.Txn) (store.Revision, error) {
	return callStore(f, func(s store.Store) (store.Revision, error) { return s.Commit(ctx, txn) })
}

// Grant implements store.Store.
func (f *fallbackStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return callStore(f, func(s store.Store) (store.LeaseID, error) { return s.Grant(ctx, ttl) })
}

// Renew implements store.Store.
func (f *fallbackStore) Renew(ctx context.Context, lease store.LeaseID) error {
	_, err := callStore(f, func(s store.Store) (struct{}, error) { return struct{}{}, s.Renew(ctx, lease) })
	return err
}

// Revoke implements store.Store.
func (f *fallbackStore) Revoke(ctx context.Context, lease store.LeaseID) error {
	_, err := callStore(f, func(s store.Store) (struct{}, error) { return struct{}{}, s.Revoke(ctx, lease) })
	return err
}

// Watch implements store.Store. It calls the store directly only, because gossip delivers the same changes through
// other daemons.
func (f *fallbackStore) Watch(ctx context.Context, prefix string, after store.Revision) (store.Snapshot, error) {
	snapshot, err := f.direct.Watch(ctx, prefix, after)
	if ctx.Err() == nil {
		f.recordResult(true, err)
	}
	return snapshot, err
}
