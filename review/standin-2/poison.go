package main

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	poisonPath = "/proof/poison"
	// stableWindow is stable_window_ms of the bounds.
	stableWindow = 3 * time.Second
	// allowedRetries is the number of retries that the rule allows.
	allowedRetries = 3
	// clientsOfPoison is the number of machines at which the request comes.
	clientsOfPoison = 9
)

// poison sends a request that crashes each backend that begins to run it. It comes again every ten seconds, at all
// machines. No other disruption is played. The rule is broken if the request reaches backends in more than allowedRetries
// retries later than stableWindow after the third crash.
func poison(w *world, isTroubled bool) (bool, error) {
	for i := range 9 {
		w.addHost([]string{"z1", "z2", "z3"}[i%3], "workshop", false)
	}
	w.putConfig(3, []route{
		{"proof", "/proof/", "safe", "workshop", 100, 400, 0, 2},
		{"book", "/book/", "unsafe", "workshop", 150, 600, 1, 2},
	}, map[string]bool{"workshop": false})
	var mu sync.Mutex
	var thirdAt time.Time
	var crashes, counted int
	work = func(_ *backend, r *http.Request) (time.Duration, bool) {
		if strings.HasPrefix(r.URL.Path, poisonPath) {
			return 20 * time.Millisecond, true
		}
		return 30 * time.Millisecond, false
	}
	onRun = func(b *backend, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, poisonPath) {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		crashes++
		isLate := !thirdAt.IsZero() && now.Sub(thirdAt) > stableWindow
		if isLate {
			counted++
		}
		if crashes == 3 {
			thirdAt = now
		}
		w.note("backend %s begins to run %s %s and crashes; crash %d; counts as a retry: %v", b.id, poisonPath,
			r.Header.Get("X-Request-Id"), crashes, isLate)
		go func() {
			time.Sleep(2500 * time.Millisecond)
			b.h.startBackend()
			w.note("backend %s is back", b.h.backend.id)
		}()
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	from := time.Now()
	w.note("traffic begins")
	done := make(chan struct{})
	var lost, answered atomic.Int64
	var clients sync.WaitGroup
	for _, h := range w.hosts {
		clients.Go(func() { // other work: ten bookings a second at each machine
			c := newClient()
			for {
				select {
				case <-done:
					return
				case <-time.After(100 * time.Millisecond):
				}
				clients.Go(func() {
					id := newID()
					status, err := h.send(c, id, "POST", "/book/"+id, -1, []byte(id), 600*time.Millisecond)
					if status == 200 {
						answered.Add(1)
					} else {
						lost.Add(1)
						w.note("booking %s at %s: status %d, %v", id, h.name, status, err)
					}
				})
			}
		})
	}
	attempt := func(h *host) {
		c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		id := newID()
		w.note("client sends %s %s to %s", poisonPath, id, h.name)
		status, err := h.send(c, id, "GET", poisonPath, -1, nil, 400*time.Millisecond)
		w.note("client gets %d for %s (%v)", status, id, err)
	}
	for _, at := range []float64{0, 10, 20, 30, 40} {
		sleepUntil(from, at)
		if !isTroubled {
			continue
		}
		for _, h := range w.hosts[:clientsOfPoison] {
			go attempt(h)
		}
	}
	sleepUntil(from, 44)
	close(done)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.note("crashes %d, retries that count %d, allowed %d; bookings answered %d, not answered with 200 %d",
		crashes, counted, allowedRetries, answered.Load(), lost.Load())
	return counted > allowedRetries, nil
}
