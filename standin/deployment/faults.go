package deployment

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/skylarkrelay/skylarkrelay/store"
)

// faultyStore is the store with everything that can go wrong with it.
type faultyStore struct {
	*store.Memory

	mu      sync.Mutex
	downAt  time.Time
	lapse   bool
	refused map[string]bool
}

// handler turns calls away while the store is down, or refuses their host.
func (f *faultyStore) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		if err != nil || f.refuses(host) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
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
	if !f.lapse {
		f.Pause(time.Since(f.downAt))
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
