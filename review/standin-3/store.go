package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is one item of the store, or the deletion of one.
type storeItem struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"` // base64
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// storeLease is a lease with the time at which it ends.
type storeLease struct {
	ttl   time.Duration
	until time.Time
}

// platformStore is a stand-in for the platform's store, which speaks its HTTP API and loses nothing.
type platformStore struct {
	mu       sync.Mutex
	revision uint64
	lastID   uint64
	items    map[string]storeItem
	leases   map[uint64]*storeLease
	history  []storeItem
	changed  chan struct{}
	// era is what the header Store-Era states.
	era    uint64
	isDown bool
}

// storeCopy is a copy of the store from which it can come back.
type storeCopy struct {
	revision, lastID uint64
	items            map[string]storeItem
	history          []storeItem
}

// copy returns a copy of the present content.
func (s *platformStore) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{revision: s.revision, lastID: s.lastID, items: maps.Clone(s.items), history: slices.Clone(s.history)}
}

// setDown makes the store reject all calls, or serve them again.
func (s *platformStore) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
	s.wake()
}

// restore makes the store come back from a copy, without leases and their keys.
func (s *platformStore) restore(from storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.lastID, s.items, s.history = from.revision, from.lastID, map[string]storeItem{}, from.history
	for key, item := range from.items {
		if item.Lease == 0 {
			s.items[key] = item
		}
	}
	s.leases = map[uint64]*storeLease{}
	s.era++
	s.isDown = false
	s.wake()
}

func newStore() *platformStore {
	s := &platformStore{
		era: 1, revision: 1, items: map[string]storeItem{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{}),
	}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// put writes a value as the operator does.
func (s *platformStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(storeItem{Key: key, Value: base64.StdEncoding.EncodeToString(value)})
	s.wake()
}

// write applies one change at the present revision. The caller holds the lock.
func (s *platformStore) write(item storeItem) {
	item.Revision = s.revision
	if item.Deleted {
		delete(s.items, item.Key)
	} else {
		item.Created = s.revision
		if known, ok := s.items[item.Key]; ok {
			item.Created = known.Created
		}
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
}

func (s *platformStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *platformStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys. The caller holds the lock.
func (s *platformStore) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, item := range s.items {
		if item.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, key := range keys {
		s.write(storeItem{Key: key, Deleted: true})
	}
	s.wake()
}

func (s *platformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	era, isDown := s.era, s.isDown
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	if isDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	path := r.URL.Path
	switch {
	case path == "/api/kv-watch":
		s.watch(w, r)
		return
	case path == "/api/kv-txn":
		s.txn(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case path == "/api/kv-key":
		item, ok := s.items[r.URL.Query().Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, item)
	case path == "/api/kv-range":
		prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
		items := []storeItem{}
		for _, key := range slices.Sorted(maps.Keys(s.items)) {
			if strings.HasPrefix(key, prefix) && key > after {
				items = append(items, s.items[key])
			}
		}
		reply(w, map[string]any{"items": items, "has_more": false, "current_rev": s.revision})
	case path == "/api/kv-lease":
		var request struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&request)
		s.lastID++
		ttl := time.Duration(request.TTL) * time.Millisecond
		s.leases[s.lastID] = &storeLease{ttl: ttl, until: time.Now().Add(ttl)}
		reply(w, map[string]any{"lease": s.lastID, "ttl_ms": request.TTL})
	case strings.HasPrefix(path, "/api/kv-keep/"), strings.HasPrefix(path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseUint(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
		l := s.leases[id]
		if l == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if r.Method == http.MethodDelete {
			s.endLease(id)
		} else {
			l.until = time.Now().Add(l.ttl)
		}
		reply(w, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *platformStore) txn(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected_revision"`
		Puts []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, isMet := []storeItem{}, true
	for _, c := range request.Expected {
		item, ok := s.items[c.Key]
		if !ok {
			item = storeItem{Key: c.Key}
		}
		current = append(current, item)
		isMet = isMet && item.Revision == c.Revision
	}
	if !isMet {
		w.WriteHeader(http.StatusPreconditionFailed)
		reply(w, map[string]any{"items": current})
		return
	}
	for _, p := range request.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range request.Puts {
		s.write(storeItem{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range request.Remove {
		if _, ok := s.items[key]; ok {
			s.write(storeItem{Key: key, Deleted: true})
		}
	}
	s.wake()
	reply(w, map[string]any{"revision": s.revision})
}

func (s *platformStore) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		if after > s.revision || s.isDown {
			status := http.StatusGone
			if s.isDown {
				status = http.StatusServiceUnavailable
			}
			s.mu.Unlock()
			w.WriteHeader(status)
			return
		}
		events := []storeItem{}
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, query.Get("prefix")) {
				events = append(events, item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		isOver := len(events) > 0
		if !isOver {
			select {
			case <-changed:
				continue
			case <-timeout:
				isOver = true
			case <-r.Context().Done():
				return
			}
		}
		reply(w, map[string]any{"events": events, "current_rev": revision})
		return
	}
}

func reply(w http.ResponseWriter, body any) { _ = json.NewEncoder(w).Encode(body) }
