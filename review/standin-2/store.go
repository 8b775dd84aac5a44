package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// kvStore is the platform's metadata store, as PROTOCOL.md describes it, in memory.
type kvStore struct {
	mu      sync.Mutex
	era     uint64
	rev     uint64
	leaseID uint64
	items   map[string]kvItem
	leases  map[uint64]*kvLease
	history []kvItem
	// compacted is the newest revision whose changes are no longer in the history.
	compacted uint64
	changed   chan struct{}
	// isDown makes the store answer 503 to all calls.
	isDown bool
}

type kvItem struct {
	Key      string  `json:"key"`
	Value    *[]byte `json:"value,omitempty"`
	Revision uint64  `json:"revision"`
	Created  uint64  `json:"created,omitempty"`
	Lease    uint64  `json:"lease"`
	Deleted  bool    `json:"deleted,omitempty"`
}

type kvLease struct {
	ttl   time.Duration
	until time.Time
}

func newStore() *kvStore {
	s := &kvStore{
		era: 1, rev: 1, items: map[string]kvItem{}, leases: map[uint64]*kvLease{}, changed: make(chan struct{}),
	}
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *kvStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the leases that have ended, and their keys. The caller holds the lock.
func (s *kvStore) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *kvStore) endLease(id uint64) {
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.rev++
	for _, key := range keys {
		s.remove(key)
	}
	s.notify()
}

func (s *kvStore) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, kvItem{Key: key, Revision: s.rev, Deleted: true})
	}
}

func (s *kvStore) put(key string, value []byte, lease uint64) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := kvItem{Key: key, Value: &value, Revision: s.rev, Created: created, Lease: lease}
	s.items[key] = i
	s.history = append(s.history, i)
}

// operatorPut writes a value as the operator does.
func (s *kvStore) operatorPut(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, value, 0)
	s.notify()
}

// storeCopy is a copy of the store. The leases of its keys end with the restore.
type storeCopy struct {
	rev   uint64
	items map[string]kvItem
}

func (s *kvStore) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{rev: s.rev, items: map[string]kvItem{}}
	for key, i := range s.items {
		if i.Lease == 0 {
			c.items[key] = i
		}
	}
	return c
}

func (s *kvStore) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
}

// restore brings the store back from a copy, in the next era.
func (s *kvStore) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.rev, s.items, s.history, s.leases, s.isDown = c.rev, c.items, nil, map[uint64]*kvLease{}, false
	s.compacted = s.rev
	s.notify()
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		w.WriteHeader(503)
		return
	}
	s.expire()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	switch path := r.URL.Path; {
	case path == "/api/kv-key":
		i, ok := s.items[q.Get("key")]
		if !ok {
			w.WriteHeader(404)
			return
		}
		reply(w, 200, struct {
			kvItem
			Current uint64 `json:"current_rev"`
		}{i, s.rev})
	case path == "/api/kv-range":
		items := []kvItem{}
		for key, i := range s.items {
			if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
				items = append(items, i)
			}
		}
		sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
		reply(w, 200, map[string]any{"items": items, "has_more": false, "current_rev": s.rev})
	case path == "/api/kv-watch":
		s.watch(w, r)
	case path == "/api/kv-txn":
		s.txn(w, r)
	case path == "/api/kv-lease":
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < 1000 {
			w.WriteHeader(400)
			return
		}
		s.leaseID++
		ttl := time.Duration(body.TTL) * time.Millisecond
		s.leases[s.leaseID] = &kvLease{ttl: ttl, until: time.Now().Add(ttl)}
		reply(w, 200, map[string]any{"lease": s.leaseID, "ttl_ms": body.TTL})
	case strings.HasPrefix(path, "/api/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/api/kv-keep/"), 10, 64)
		l := s.leases[id]
		if l == nil {
			w.WriteHeader(404)
			return
		}
		l.until = time.Now().Add(l.ttl)
		reply(w, 200, struct{}{})
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/api/kv-lease-end/"), 10, 64)
		if s.leases[id] == nil {
			w.WriteHeader(404)
			return
		}
		s.endLease(id)
		reply(w, 200, struct{}{})
	default:
		w.WriteHeader(404)
	}
}

// watch waits for events. The caller holds the lock.
func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		if after > s.rev || after < s.compacted {
			w.WriteHeader(410)
			return
		}
		events := []kvItem{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		changed, isOver := s.changed, len(events) > 0
		if !isOver {
			s.mu.Unlock()
			select {
			case <-changed:
			case <-end:
				isOver = true
			case <-r.Context().Done():
				isOver = true
			}
			s.mu.Lock()
		}
		if isOver {
			reply(w, 200, map[string]any{"events": events, "current_rev": s.rev})
			return
		}
	}
}

// txn executes a transaction. The caller holds the lock.
func (s *kvStore) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected_revision"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(400)
		return
	}
	isMet, items := true, []kvItem{}
	for _, c := range body.Expected {
		i, ok := s.items[c.Key]
		if !ok {
			i = kvItem{Key: c.Key}
		}
		items = append(items, i)
		isMet = isMet && i.Revision == c.Revision
	}
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(403)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(404)
			return
		}
	}
	if !isMet {
		reply(w, 412, map[string]any{"items": items})
		return
	}
	s.rev++
	for _, p := range body.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	s.notify()
	reply(w, 200, map[string]any{"revision": s.rev})
}
