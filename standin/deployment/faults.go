package deployment

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkrelay/skylarkrelay/store"
)

// faultyStore is the store with everything that can go wrong with it.
type faultyStore struct {
	*store.Memory

	// calls counts the calls that were not turned away.
	calls atomic.Int64

	mu      sync.Mutex
	downAt  time.Time
	lapse   bool
	refused map[string]bool
	slow    time.Duration
	losing  float64
}

// lateWrite is how long a call whose answer is lost may wait before it is executed: longer than daemons wait for it.
const lateWrite = 1500 * time.Millisecond

// handler turns calls away while the store is down or refuses their host, delays them, and loses answers.
func (f *faultyStore) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		if err != nil || f.refuses(host) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		f.calls.Add(1)
		slow, losing := f.troubles()
		time.Sleep(slow)
		if rand.Float64() >= losing {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the caller is gone: nothing was asked
		}
		late := r.Clone(context.WithoutCancel(r.Context()))
		late.Body = io.NopCloser(bytes.NewReader(body))
		time.Sleep(time.Duration(rand.Int64N(int64(lateWrite))))
		next.ServeHTTP(httptest.NewRecorder(), late)
		panic(http.ErrAbortHandler) // closes the connection without an answer
	})
}

func (f *faultyStore) troubles() (time.Duration, float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slow, f.losing
}

func (f *faultyStore) setSlow(wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slow = wait
}

func (f *faultyStore) setLosing(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.losing = share
}

func (f *faultyStore) refuses(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.downAt.IsZero() || f.refused[host]
}

func (f *faultyStore) down(lapse bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.downAt, f.lapse = time.Now(), lapse
}

func (f *faultyStore) up() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lapse && !f.downAt.IsZero() {
		f.ExtendLeases(time.Since(f.downAt))
	}
	f.downAt = time.Time{}
}

func (f *faultyStore) refuse(host string, isRefused bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refused == nil {
		f.refused = map[string]bool{}
	}
	f.refused[host] = isRefused
}
