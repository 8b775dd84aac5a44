package store

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Memory is a Store in this process: the heart of the stand-in, and the fake for tests.
type Memory struct {
	clock clockwork.Clock

	mu       sync.Mutex
	revision Revision
	nextID   LeaseID
	items    map[string]Item
	leases   map[LeaseID]*memoryLease
	history  []Item
	// compacted is the last revision whose change is forgotten.
	compacted Revision
	changed   chan struct{}
}

type memoryLease struct {
	ttl  time.Duration
	ends time.Time
}

// NewMemory returns an empty store.
func NewMemory(clock clockwork.Clock) *Memory {
	return &Memory{
		clock:   clock,
		items:   map[string]Item{},
		leases:  map[LeaseID]*memoryLease{},
		changed: make(chan struct{}),
	}
}

// Get implements Store.
func (m *Memory) Get(_ context.Context, key string) (Item, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
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
	m.expire()
	snapshot := Snapshot{Revision: m.revision}
	for key, item := range m.items {
		if strings.HasPrefix(key, prefix) {
			snapshot.Items = append(snapshot.Items, item)
		}
	}
	slices.SortFunc(snapshot.Items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return snapshot, nil
}

// Watch implements Store. It waits until something changes or the context ends.
func (m *Memory) Watch(ctx context.Context, prefix string, after Revision) (Snapshot, error) {
	for {
		snapshot, changed, err := m.since(prefix, after)
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

func (m *Memory) since(prefix string, after Revision) (Snapshot, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	if after < m.compacted {
		return Snapshot{}, nil, &CompactedError{After: after}
	}
	snapshot := Snapshot{Revision: m.revision}
	for _, item := range m.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			snapshot.Items = append(snapshot.Items, item)
		}
	}
	return snapshot, m.changed, nil
}

// Commit implements Store.
func (m *Memory) Commit(_ context.Context, txn Txn) (Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
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
		conflict = conflict || item.Revision != c.Revision
	}
	if conflict {
		return 0, &ConflictError{Current: current}
	}
	m.revision++
	for _, put := range txn.Puts {
		m.apply(Item{Key: put.Key, Value: slices.Clone(put.Value), Lease: put.Lease})
	}
	for _, key := range txn.Removes {
		m.remove(key)
	}
	m.wake()
	return m.revision, nil
}

// apply stores an item at the present revision.
func (m *Memory) apply(item Item) {
	item.Revision = m.revision
	m.items[item.Key] = item
	m.history = append(m.history, item)
}

func (m *Memory) remove(key string) {
	if _, ok := m.items[key]; !ok {
		return
	}
	delete(m.items, key)
	m.history = append(m.history, Item{Key: key, Revision: m.revision, IsDeleted: true})
}

func (m *Memory) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Grant implements Store.
func (m *Memory) Grant(_ context.Context, ttl time.Duration) (LeaseID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	m.nextID++
	m.leases[m.nextID] = &memoryLease{ttl: ttl, ends: m.clock.Now().Add(ttl)}
	return m.nextID, nil
}

// Renew implements Store.
func (m *Memory) Renew(_ context.Context, id LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	lease := m.leases[id]
	if lease == nil {
		return &LeaseEndedError{Lease: id}
	}
	lease.ends = m.clock.Now().Add(lease.ttl)
	return nil
}

// Revoke implements Store.
func (m *Memory) Revoke(_ context.Context, id LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	m.end(id)
	return nil
}

// Expire ends the leases whose time is over. Other calls do it too; only a store without any needs it.
func (m *Memory) Expire() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
}

func (m *Memory) expire() {
	now := m.clock.Now()
	for id, lease := range m.leases {
		if !now.Before(lease.ends) {
			m.end(id)
		}
	}
}

// end removes a lease and the items that hang on it.
func (m *Memory) end(id LeaseID) {
	if m.leases[id] == nil {
		return
	}
	delete(m.leases, id)
	m.removeWhere(func(item Item) bool { return item.Lease == id })
}

// RemoveLeased removes the items with a lease under a prefix, while their leases go on: a platform that forgets.
func (m *Memory) RemoveLeased(prefix string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeWhere(func(item Item) bool { return item.Lease != 0 && strings.HasPrefix(item.Key, prefix) })
}

func (m *Memory) removeWhere(isGone func(Item) bool) {
	var gone []string
	for key, item := range m.items {
		if isGone(item) {
			gone = append(gone, key)
		}
	}
	if len(gone) == 0 {
		return
	}
	slices.Sort(gone)
	m.revision++
	for _, key := range gone {
		m.remove(key)
	}
	m.wake()
}

// ExtendLeases lets time pass without ending leases: a platform that stood still.
func (m *Memory) ExtendLeases(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, lease := range m.leases {
		lease.ends = lease.ends.Add(d)
	}
}

// Compact forgets the history.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history = nil
	m.compacted = m.revision
	m.wake()
}
