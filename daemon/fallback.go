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
	// peerAfter is for how long the store may fail before calls go through other daemons.
	peerAfter = 400 * time.Millisecond
	// directProbe is how often the store itself is tried while calls go through other daemons.
	directProbe = time.Second
)

// fallbackStore reaches the store through another daemon while the store turns this host away.
type fallbackStore struct {
	direct  store.Store
	through func(address string) store.Store
	peers   func() []string
	health  dependency
	clock   clockwork.Clock

	mu sync.Mutex
	// failingSince is since when direct calls have failed, or zero.
	failingSince time.Time
	probedAt     time.Time
}

func newFallbackStore(direct store.Store, through func(string) store.Store, peers func() []string, health dependency, clock clockwork.Clock) *fallbackStore {
	return &fallbackStore{direct: direct, through: through, peers: peers, health: health, clock: clock}
}

// choose returns the way for the next call.
func (f *fallbackStore) choose() (store.Store, bool) {
	peers := f.peers()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if !f.isFailing(now) || len(peers) == 0 || now.Sub(f.probedAt) > directProbe {
		f.probedAt = now
		return f.direct, true
	}
	return f.through(peers[rand.IntN(len(peers))]), false
}

// isFailing tells whether direct calls have failed for a while. The lock is held by the caller.
func (f *fallbackStore) isFailing(now time.Time) bool {
	return !f.failingSince.IsZero() && now.Sub(f.failingSince) > peerAfter
}

// isCutOff tells whether the store cannot be reached directly.
func (f *fallbackStore) isCutOff() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isFailing(f.clock.Now())
}

// did takes note of how a direct call went.
func (f *fallbackStore) did(isDirect bool, err error) {
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

func through[T any](f *fallbackStore, do func(s store.Store) (T, error)) (T, error) {
	s, isDirect := f.choose()
	value, err := do(s)
	f.did(isDirect, err)
	return value, err
}

// Get implements store.Store.
func (f *fallbackStore) Get(ctx context.Context, key string) (store.Item, error) {
	return through(f, func(s store.Store) (store.Item, error) { return s.Get(ctx, key) })
}

// List implements store.Store.
func (f *fallbackStore) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	return through(f, func(s store.Store) (store.Snapshot, error) { return s.List(ctx, prefix) })
}

// Commit implements store.Store.
func (f *fallbackStore) Commit(ctx context.Context, txn store.Txn) (store.Revision, error) {
	return through(f, func(s store.Store) (store.Revision, error) { return s.Commit(ctx, txn) })
}

// Grant implements store.Store.
func (f *fallbackStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return through(f, func(s store.Store) (store.LeaseID, error) { return s.Grant(ctx, ttl) })
}

// Renew implements store.Store.
func (f *fallbackStore) Renew(ctx context.Context, lease store.LeaseID) error {
	_, err := through(f, func(s store.Store) (struct{}, error) { return struct{}{}, s.Renew(ctx, lease) })
	return err
}

// Revoke implements store.Store.
func (f *fallbackStore) Revoke(ctx context.Context, lease store.LeaseID) error {
	_, err := through(f, func(s store.Store) (struct{}, error) { return struct{}{}, s.Revoke(ctx, lease) })
	return err
}

// Watch implements store.Store. A watch is only made directly: gossip brings the same through other daemons.
func (f *fallbackStore) Watch(ctx context.Context, prefix string, after store.Revision) (store.Snapshot, error) {
	snapshot, err := f.direct.Watch(ctx, prefix, after)
	if ctx.Err() == nil {
		f.did(true, err)
	}
	return snapshot, err
}
