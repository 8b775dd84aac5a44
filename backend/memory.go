package backend

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
)

const (
	// memorySize is how many answers are remembered.
	memorySize = 4096
	// memoryTime is how long an answer is remembered.
	memoryTime = 10 * time.Minute
)

// memoryKey identifies a request by the caller's own key for it.
type memoryKey struct {
	class       class.Name
	key         class.Key
	idempotency string
}

// remembered is one request and, once done is closed, its answer.
type remembered struct {
	id     memoryKey
	slot   int
	at     time.Time
	done   chan struct{}
	answer call.Answer
}

// memory answers repeated requests from what the first one got. It lasts while the daemon owns the slot.
type memory struct {
	clock clockwork.Clock

	mu      sync.Mutex
	entries map[memoryKey]*list.Element
	order   *list.List
}

func newMemory(clock clockwork.Clock) *memory {
	return &memory{clock: clock, entries: map[memoryKey]*list.Element{}, order: list.New()}
}

// once runs a request that is new, and answers one that is known. A request that the caller calls a repeat and
// that is not known may have run at a former owner, or its answer may be forgotten: it is unknown and does not run.
func (m *memory) once(ctx context.Context, c call.Call, run func() call.Answer) call.Answer {
	entry, isNew := m.reserve(c)
	if entry == nil {
		return call.Unknown(call.MemoryLost)
	}
	if !isNew {
		select {
		case <-entry.done:
			return entry.answer
		case <-ctx.Done():
			return call.Unknown(call.CallerGone)
		}
	}
	answer := run()
	m.settle(entry, answer)
	return answer
}

func (m *memory) reserve(c call.Call) (entry *remembered, isNew bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.trim(now)
	id := memoryKey{class: c.Class.Name, key: c.Key, idempotency: c.Idempotency}
	if element, known := m.entries[id]; known {
		return element.Value.(*remembered), false
	}
	if c.IsRepeat {
		return nil, false
	}
	entry = &remembered{id: id, slot: c.Slot, at: now, done: make(chan struct{})}
	m.entries[id] = m.order.PushBack(entry)
	return entry, true
}

// settle publishes the answer. A request that surely did not run is forgotten, so that it can be sent again.
func (m *memory) settle(entry *remembered, answer call.Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry.answer = answer
	close(entry.done)
	if answer.Outcome == class.NotRun {
		m.drop(entry.id)
	}
}

// trim forgets the oldest settled answers.
func (m *memory) trim(now time.Time) {
	for m.order.Len() > 0 {
		oldest := m.order.Front().Value.(*remembered)
		isOver := m.order.Len() >= memorySize || now.Sub(oldest.at) > memoryTime
		if !isOver {
			return
		}
		m.drop(oldest.id)
	}
}

// forget drops the requests of slots that are no longer held under the same fence.
func (m *memory) forget(old, next []Fence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, element := range m.entries {
		entry := element.Value.(*remembered)
		isKept := entry.slot < len(old) && entry.slot < len(next) && old[entry.slot] == next[entry.slot]
		if !isKept {
			m.drop(entry.id)
		}
	}
}

func (m *memory) drop(id memoryKey) {
	if element, known := m.entries[id]; known {
		m.order.Remove(element)
		delete(m.entries, id)
	}
}
