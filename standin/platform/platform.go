// Package platform is a stand-in for the platform's key-value service, with switches for its faults.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	wire "github.com/skylarkrelay/skylarkrelay/platform"
)

// Rates of the service, in calls a second.
const (
	WriteRate = 500
	ReadRate  = 2000
)

// FaultPath takes a Fault as JSON; CallsPath reports Calls.
const (
	FaultPath = "/standin/fault"
	CallsPath = "/standin/calls"
)

// Fault says how the service misbehaves until the next Fault.
type Fault struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// Slow delays every call, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers drops that many answers to writes after they took effect.
	LoseAnswers int `json:"lose_answers"`
}

// Calls counts the calls since the start. A waiting watch is one.
type Calls struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	Refused int `json:"refused"`
}

// Service is the stand-in. It keeps everything in memory.
type Service struct {
	mu       sync.Mutex
	values   map[string]wire.Entry
	revision wire.Revision
	changed  chan struct{}
	fault    Fault
	calls    Calls
	writes   *rate.Limiter
	reads    *rate.Limiter
}

// New returns an empty service.
func New() *Service {
	return &Service{
		values:  map[string]wire.Entry{},
		changed: make(chan struct{}),
		writes:  rate.NewLimiter(WriteRate, WriteRate),
		reads:   rate.NewLimiter(ReadRate, ReadRate),
	}
}

// Handler returns the service's HTTP side.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.ValuePath+"{key...}", s.faulty(s.get, s.reads, func(c *Calls) { c.Reads++ }))
	mux.HandleFunc("PUT "+wire.ValuePath+"{key...}", s.faulty(s.put, s.writes, func(c *Calls) { c.Writes++ }))
	mux.HandleFunc("GET "+wire.ListPath, s.faulty(s.list, s.reads, func(c *Calls) { c.Reads++ }))
	mux.HandleFunc("GET "+wire.WatchPath, s.faulty(s.watch, s.reads, func(c *Calls) { c.Watches++ }))
	mux.HandleFunc("POST "+FaultPath, s.setFault)
	mux.HandleFunc("GET "+CallsPath, s.report)
	return mux
}

// faulty counts a call, holds it to the rate and applies the present fault.
func (s *Service) faulty(next http.HandlerFunc, limit *rate.Limiter, count func(*Calls)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		count(&s.calls)
		fault := s.fault
		isOver := !limit.Allow()
		if isOver || fault.Down {
			s.calls.Refused++
		}
		s.mu.Unlock()
		if fault.SlowMS > 0 && !pause(r.Context(), time.Duration(fault.SlowMS)*time.Millisecond) {
			return
		}
		switch {
		case fault.Down:
			http.Error(w, "down", http.StatusServiceUnavailable)
		case isOver:
			http.Error(w, "rate", http.StatusTooManyRequests)
		default:
			next(w, r)
		}
	}
}

func (s *Service) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	entry, ok := s.values[r.PathValue("key")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such value", http.StatusNotFound)
		return
	}
	setRevision(w, entry.Revision)
	_, _ = w.Write(entry.Data)
}

func (s *Service) put(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	expected, err := strconv.ParseUint(r.Header.Get(wire.ExpectHeader), 10, 64)
	if err != nil {
		http.Error(w, "no expected revision", http.StatusBadRequest)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxValue))
	if err != nil {
		http.Error(w, "value too large or cut", http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	actual := s.values[key].Revision
	if actual != wire.Revision(expected) {
		setRevision(w, actual)
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.revision++
	s.values[key] = wire.Entry{Key: key, Data: data, Revision: s.revision}
	close(s.changed)
	s.changed = make(chan struct{})
	if s.fault.LoseAnswers > 0 {
		s.fault.LoseAnswers--
		panic(http.ErrAbortHandler) // the connection closes without an answer
	}
	setRevision(w, s.revision)
}

func (s *Service) list(w http.ResponseWriter, r *http.Request) {
	changes, _ := s.since(r.URL.Query().Get("prefix"), 0)
	writeJSON(w, changes)
}

func (s *Service) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "bad revision", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "bad wait", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		changes, changed := s.since(r.URL.Query().Get("prefix"), wire.Revision(after))
		if len(changes.Entries) > 0 || ctx.Err() != nil {
			writeJSON(w, changes)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// since returns the values under a prefix that changed after a revision, and a channel that closes at the next change.
func (s *Service) since(prefix string, after wire.Revision) (wire.Changes, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := wire.Changes{Entries: []wire.Entry{}, Revision: s.revision}
	for key, entry := range s.values {
		if strings.HasPrefix(key, prefix) && entry.Revision > after {
			changes.Entries = append(changes.Entries, entry)
		}
	}
	sort.Slice(changes.Entries, func(i, j int) bool { return changes.Entries[i].Key < changes.Entries[j].Key })
	return changes, s.changed
}

func (s *Service) setFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.fault = fault
	if fault.Down {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.mu.Unlock()
}

func (s *Service) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	calls := s.calls
	s.mu.Unlock()
	writeJSON(w, calls)
}

func setRevision(w http.ResponseWriter, revision wire.Revision) {
	w.Header().Set(wire.RevisionHeader, strconv.FormatUint(uint64(revision), 10))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller sees a cut body
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
