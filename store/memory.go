package store

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Memory is an in-memory Store for tests and for the platform's test double. It is safe for concurrent use.
type Memory struct {
	clock clockwork.Clock

	mu          sync.Mutex
	revision    Revision
	lastLeaseID LeaseID
	items       map[string]Item
	leases      map[LeaseID]*memoryLease
	history     []Item
	// compactedRevision is the newest revision whose changes are no longer in the history.
	compactedRevision Revision
	changed           chan struct{}
}

type memoryLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// NewMemory returns an empty store.
func NewMemory(clock clockwork.Clock) *Memory {
	m := &Memory{
		clock:   clock,
		items:   map[string]Item{},
		leases:  map[LeaseID]*memoryLease{},
		changed: make(chan struct{}),
	}
	m.startEra(1, 0)
	return m
}

// startEra starts an era at a change counter. The revisions of all items move to this era.
func (m *Memory) startEra(era Era, counter uint64) {
	m.revision = MustRevision(era, counter)
	for key, item := range m.items {
		item.Revision = MustRevision(era, item.Revision.Counter())
		m.items[key] = item
	}
	for i, item := range m.history {
		m.history[i].Revision = MustRevision(era, item.Revision.Counter())
	}
	m.compactedRevision = MustRevision(era, m.compactedRevision.Counter())
}

// Era returns the era of the store. It rises with each restore.
func (m *Memory) Era() Era {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision.Era()
}

// MemoryCopy is a copy of a Memory from which it can be restored.
type MemoryCopy struct {
	counter     uint64
	lastLeaseID LeaseID
	items       map[string]Item
	leases      map[LeaseID]memoryLease
	history     []Item
	compacted   Revision
}

// Copy returns a copy of the present state.
func (m *Memory) Copy() *MemoryCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	c := &MemoryCopy{
		counter:     m.revision.Counter(),
		lastLeaseID: m.lastLeaseID,
		items:       maps.Clone(m.items),
		leases:      map[LeaseID]memoryLease{},
		history:     slices.Clone(m.history),
		compacted:   m.compactedRevision,
	}
	for id, lease := range m.leases {
		c.leases[id] = *lease
	}
	return c
}

// Restore replaces the state by a copy and starts the next era. Everything that was written since the copy was made is
// lost, and its revisions and lease IDs are given out again. The leases of the copy continue for their full TTL.
func (m *Memory) Restore(c *MemoryCopy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastLeaseID = c.lastLeaseID
	m.items = maps.Clone(c.items)
	m.history = slices.Clone(c.history)
	m.compactedRevision = c.compacted
	m.leases = map[LeaseID]*memoryLease{}
	for id, lease := range c.leases {
		m.leases[id] = &memoryLease{ttl: lease.ttl, expiresAt: m.clock.Now().Add(lease.ttl)}
	}
	m.startEra(m.revision.Era()+1, c.counter)
	m.notifyWatchers()
}

// Get implements Store.
func (m *Memory) Get(_ context.Context, key string) (Item, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	return m.get(key), nil
}

func (m *Memory) get(key string) Item {
	item, ok := m.items[key]
	if !ok {
		return Item{Key: key}
	}
	return item
}

// List implements Store.
func (m *Memory) List(_ context.Context, prefix string) (Snapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	snapshot := Snapshot{Revision: m.revision}
	for key, item := range m.items {
		if strings.HasPrefix(key, prefix) {
			snapshot.Items = append(snapshot.Items, item)
		}
	}
	slices.SortFunc(snapshot.Items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return snapshot, nil
}

// Watch implements Store. It waits until an item changes or the context ends.
func (m *Memory) Watch(ctx context.Context, prefix string, after Revision) (Snapshot, error) {
	for {
		snapshot, changed, err := m.changesSince(prefix, after)
		if err != nil || len(snapshot.Items) > 0 {
			return snapshot, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Snapshot{Revision: snapshot.Revision}, nil
		}
	}
}

// changesSince returns the changes after a revision, and a channel that is closed at the next change.
func (m *Memory) changesSince(prefix string, after Revision) (Snapshot, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	// The store knows counters only: it cannot tell the revisions of an earlier era from its own.
	if after.Counter() < m.compactedRevision.Counter() || after.Counter() > m.revision.Counter() {
		return Snapshot{}, nil, &CompactedError{After: after}
	}
	snapshot := Snapshot{Revision: m.revision}
	for _, item := range m.history {
		if item.Revision.Counter() > after.Counter() && strings.HasPrefix(item.Key, prefix) {
			snapshot.Items = append(snapshot.Items, item)
		}
	}
	return snapshot, m.changed, nil
}

// Commit implements Store.
func (m *Memory) Commit(_ context.Context, txn Txn) (Revision, error) {
	if n := txn.entries(); n > MaxTxnEntries {
		return 0, &RejectedError{Call: "commit", Cause: fmt.Sprintf("%d entries, at most %d are accepted", n, MaxTxnEntries)}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	for _, put := range txn.Puts {
		if put.Lease != 0 && m.leases[put.Lease] == nil {
			return 0, &LeaseEndedError{Lease: put.Lease}
		}
	}
	conflict := false
	var current []Item
	for _, c := range txn.Conditions {
		item := m.get(c.Key)
		current = append(current, item)
		conflict = conflict || item.Revision.Counter() != c.Revision.Counter()
	}
	if conflict {
		return 0, &ConflictError{Current: current}
	}
	m.revision++
	for _, put := range txn.Puts {
		m.putItem(Item{Key: put.Key, Value: slices.Clone(put.Value), Lease: put.Lease})
	}
	for _, key := range txn.Removes {
		m.removeItem(key)
	}
	m.notifyWatchers()
	return m.revision, nil
}

// putItem stores an item at the current revision.
func (m *Memory) putItem(item Item) {
	item.Revision = m.revision
	m.items[item.Key] = item
	m.history = append(m.history, item)
}

// removeItem removes an item, if it exists, at the current revision.
func (m *Memory) removeItem(key string) {
	if _, ok := m.items[key]; !ok {
		return
	}
	delete(m.items, key)
	m.history = append(m.history, Item{Key: key, Revision: m.revision, IsDeleted: true})
}

// notifyWatchers makes all pending watches look for changes.
func (m *Memory) notifyWatchers() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Grant implements Store.
func (m *Memory) Grant(_ context.Context, ttl time.Duration) (LeaseID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	m.lastLeaseID++
	m.leases[m.lastLeaseID] = &memoryLease{ttl: ttl, expiresAt: m.clock.Now().Add(ttl)}
	return m.lastLeaseID, nil
}

// Renew implements Store.
func (m *Memory) Renew(_ context.Context, id LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	lease := m.leases[id]
	if lease == nil {
		return &LeaseEndedError{Lease: id}
	}
	lease.expiresAt = m.clock.Now().Add(lease.ttl)
	return nil
}

// Revoke implements Store.
func (m *Memory) Revoke(_ context.Context, id LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	m.endLease(id)
	return nil
}

func (m *Memory) expireLeases() {
	now := m.clock.Now()
	for id, lease := range m.leases {
		if !now.Before(lease.expiresAt) {
			m.endLease(id)
		}
	}
}

// endLease removes a lease and the items that are attached to it.
func (m *Memory) endLease(id LeaseID) {
	if m.leases[id] == nil {
		return
	}
	delete(m.leases, id)
	m.removeItemsWhere(func(item Item) bool { return item.Lease == id })
}

// RemoveLeased removes the items with the given prefix that are attached to a lease, but keeps their leases. It
// simulates a platform that loses data.
func (m *Memory) RemoveLeased(prefix string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeItemsWhere(func(item Item) bool { return item.Lease != 0 && strings.HasPrefix(item.Key, prefix) })
}

// removeItemsWhere removes all matching items in one revision.
func (m *Memory) removeItemsWhere(matches func(Item) bool) {
	var keys []string
	for key, item := range m.items {
		if matches(item) {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	slices.Sort(keys)
	m.revision++
	for _, key := range keys {
		m.removeItem(key)
	}
	m.notifyWatchers()
}

// ExtendLeases extends all leases by a duration. It simulates a platform that was paused for that long.
func (m *Memory) ExtendLeases(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, lease := range m.leases {
		lease.expiresAt = lease.expiresAt.Add(d)
	}
}

// Compact deletes the history, so that a watch from an earlier revision fails.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history = nil
	m.compactedRevision = m.revision
	m.notifyWatchers()
}
