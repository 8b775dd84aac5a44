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

// faultyStore is the platform's store with injected faults: outages, rejected hosts, delays and lost responses.
type faultyStore struct {
	*store.Memory

	// callCount counts the calls that were not rejected.
	callCount atomic.Int64

	mu sync.Mutex
	// downAt is when the current outage began, or zero if there is none.
	downAt        time.Time
	expireLeases  bool
	rejectedHosts map[string]bool
	delay         time.Duration
	lossRate      float64
}

// maxLateDelay bounds the delay before a call whose response is lost is executed. It is longer than daemons wait for
// the response, so that some of these calls are executed after their callers have given up.
const maxLateDelay = 1500 * time.Millisecond

// handler rejects calls while the store is down or rejects their host, delays the others, and loses some responses.
func (f *faultyStore) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		if err != nil || f.rejectsCall(host) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		f.callCount.Add(1)
		delay, lossRate := f.callFaults()
		time.Sleep(delay)
		if rand.Float64() >= lossRate {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the caller closed the connection before the request was complete
		}
		late := r.Clone(context.WithoutCancel(r.Context()))
		late.Body = io.NopCloser(bytes.NewReader(body))
		time.Sleep(time.Duration(rand.Int64N(int64(maxLateDelay))))
		next.ServeHTTP(httptest.NewRecorder(), late)
		panic(http.ErrAbortHandler) // closes the connection without a response
	})
}

// callFaults returns the delay of each call and the share of responses that are lost.
func (f *faultyStore) callFaults() (time.Duration, float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delay, f.lossRate
}

func (f *faultyStore) setDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

func (f *faultyStore) setLossRate(rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lossRate = rate
}

func (f *faultyStore) rejectsCall(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.downAt.IsZero() || f.rejectedHosts[host]
}

func (f *faultyStore) takeDown(expireLeases bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.downAt, f.expireLeases = time.Now(), expireLeases
}

// bringUp ends an outage. Unless leases expire during the outage, it extends them by the length of the outage.
func (f *faultyStore) bringUp() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.expireLeases && !f.downAt.IsZero() {
		f.ExtendLeases(time.Since(f.downAt))
	}
	f.downAt = time.Time{}
}

func (f *faultyStore) setRejected(host string, isRejected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rejectedHosts == nil {
		f.rejectedHosts = map[string]bool{}
	}
	f.rejectedHosts[host] = isRejected
}
