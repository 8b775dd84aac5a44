package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its value.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// event is a change of the store: an item as it was written, or the deletion of a key.
type event struct {
	revision uint64
	key      string
	put      *item
}

// kvStore is a stand-in for the platform's metadata store. It keeps its whole history.
type kvStore struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]*item
	leases   map[uint64]*lease
	nextID   uint64
	history  []event
	changed  chan struct{}
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

func newStore() *kvStore {
	s := &kvStore{
		revision: 1, items: map[string]*item{}, leases: map[uint64]*lease{}, nextID: 100, changed: make(chan struct{}),
	}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *kvStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) endLease(id uint64) {
	delete(s.leases, id)
	var gone []string
	for key, it := range s.items {
		if it.Lease == id {
			gone = append(gone, key)
		}
	}
	if len(gone) == 0 {
		return
	}
	s.revision++
	for _, key := range gone {
		delete(s.items, key)
		s.history = append(s.history, event{revision: s.revision, key: key})
	}
	s.wake()
}

func (s *kvStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *kvStore) put(key string, value []byte, leaseID uint64) {
	created := s.revision
	if old := s.items[key]; old != nil {
		created = old.Created
	}
	it := &item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = it
	s.history = append(s.history, event{revision: s.revision, key: key, put: it})
}

// write is a write of the operator.
func (s *kvStore) write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0)
	s.wake()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP implements the store's calls.
func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch {
	case r.URL.Path == "/api/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		it := s.items[query.Get("key")]
		if it == nil {
			reply(w, http.StatusNotFound, map[string]any{"current_rev": s.revision})
			return
		}
		reply(w, http.StatusOK, map[string]any{
			"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease,
			"current_rev": s.revision,
		})
	case r.URL.Path == "/api/kv-range":
		s.mu.Lock()
		defer s.mu.Unlock()
		items := []*item{}
		for key, it := range s.items {
			if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
				items = append(items, it)
			}
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "current_rev": s.revision})
	case r.URL.Path == "/api/kv-watch":
		s.watch(w, r)
	case r.URL.Path == "/api/kv-txn":
		s.txn(w, r)
	case r.URL.Path == "/api/kv-lease":
		var request struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&request) != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
		ttl := max(1000, request.TTL)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.nextID++
		d := time.Duration(ttl) * time.Millisecond
		s.leases[s.nextID] = &lease{ttl: d, expires: time.Now().Add(d)}
		reply(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttl_ms": ttl})
	case strings.HasPrefix(r.URL.Path, "/api/kv-keep/"), strings.HasPrefix(r.URL.Path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseUint(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[id]
		if l == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		if r.Method == http.MethodDelete {
			s.endLease(id)
		} else {
			l.expires = time.Now().Add(l.ttl)
		}
		reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	default:
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for isLast := false; ; {
		s.mu.Lock()
		events := []any{}
		for _, e := range s.history {
			if e.revision <= after || !strings.HasPrefix(e.key, query.Get("prefix")) {
				continue
			}
			if e.put != nil {
				events = append(events, e.put)
			} else {
				events = append(events, map[string]any{"key": e.key, "revision": e.revision, "deleted": true})
			}
		}
		current, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || isLast {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": current})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			isLast = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *kvStore) txn(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	var request struct {
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
	if err != nil || json.Unmarshal(data, &request) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []*item{}, true
	for _, e := range request.Expected {
		var revision uint64
		if it := s.items[e.Key]; it != nil {
			revision = it.Revision
			current = append(current, it)
		}
		holds = holds && revision == e.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current, "current_rev": s.revision})
		return
	}
	for _, p := range request.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, p := range request.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range request.Remove {
		if s.items[key] != nil {
			delete(s.items, key)
			s.history = append(s.history, event{revision: s.revision, key: key})
		}
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}
