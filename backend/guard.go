package backend

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Order is what a backend server has to know of a call before it begins.
type Order struct {
	Epoch Epoch
	// Slot is -1 for work without a key.
	Slot  int
	Fence Fence
	// Deadline is the time left for the answer.
	Deadline time.Duration
}

// Guard is the part of the protocol that a backend server embeds. It refuses orders that a daemon gave before
// it lost its grant or its slot. It is safe for concurrent use.
type Guard struct {
	clock   clockwork.Clock
	slots   int
	life    string
	started time.Time

	mu       sync.Mutex
	epoch    Epoch
	until    time.Time
	fences   map[int]Fence
	running  int
	draining bool
	idle     chan struct{}
}

// NewGuard returns the guard of a server that runs a number of orders at a time.
func NewGuard(slots int, clock clockwork.Clock) *Guard {
	return &Guard{clock: clock, slots: slots, life: rand.Text(), started: clock.Now(), fences: map[int]Fence{}}
}

// Extend takes in a grant and returns the stamp for the next one. A grant with a lower epoch is refused; one
// that does not refer to a stamp of this process only gets a stamp.
func (g *Guard) Extend(grant Grant) (Stamp, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if grant.Epoch < g.epoch {
		return Stamp{}, &RefusalError{Refusal: StaleEpoch}
	}
	if grant.Epoch > g.epoch {
		g.epoch = grant.Epoch
		g.until = time.Time{}
	}
	now := g.clock.Now()
	if grant.Since.Life == g.life {
		until := g.started.Add(grant.Since.Elapsed + grant.For)
		if until.After(g.until) {
			g.until = until
		}
	}
	return Stamp{Life: g.life, Elapsed: now.Sub(g.started)}, nil
}

// Begin checks an order and counts it as running. The caller must call end once.
func (g *Guard) Begin(o Order) (end func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.check(o); err != nil {
		return nil, err
	}
	if o.Slot >= 0 {
		g.fences[o.Slot] = o.Fence
	}
	g.running++
	return sync.OnceFunc(g.end), nil
}

func (g *Guard) check(o Order) error {
	switch {
	case g.draining:
		return &RefusalError{Refusal: Leaving}
	case o.Epoch != g.epoch:
		return &RefusalError{Refusal: StaleEpoch}
	case !g.clock.Now().Before(g.until):
		return &RefusalError{Refusal: NoGrant}
	case o.Deadline <= 0:
		return &RefusalError{Refusal: TooLate}
	case o.Slot >= 0 && o.Fence < g.fences[o.Slot]:
		return &RefusalError{Refusal: StaleFence}
	case g.running >= g.slots:
		return &RefusalError{Refusal: Shed}
	default:
		return nil
	}
}

func (g *Guard) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.running == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Drain refuses new orders and waits for the running ones.
func (g *Guard) Drain(ctx context.Context) error {
	g.mu.Lock()
	g.draining = true
	if g.running == 0 {
		g.mu.Unlock()
		return nil
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Handler wraps a server's own handler: it takes grants, refuses stale orders, sets the deadline on the
// request's context and tells the daemon when an order begins.
func (g *Guard) Handler(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+GrantPath, g.serveGrant)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { g.serveOrder(w, r, next) })
	return mux
}

func (g *Guard) serveGrant(w http.ResponseWriter, r *http.Request) {
	var grant Grant
	if err := json.NewDecoder(r.Body).Decode(&grant); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	stamp, err := g.Extend(grant)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	_ = json.NewEncoder(w).Encode(stamp) // a cut answer is a lost stamp
}

func (g *Guard) serveOrder(w http.ResponseWriter, r *http.Request, next http.Handler) {
	order, err := ReadOrder(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set(RequestHeader, r.Header.Get(RequestHeader))
	end, err := g.Begin(order)
	if err != nil {
		Refuse(w, err)
		return
	}
	defer end()
	ctx, cancel := context.WithTimeout(r.Context(), order.Deadline)
	defer cancel()
	w.WriteHeader(http.StatusProcessing) // tells the daemon that the order has begun
	next.ServeHTTP(w, r.WithContext(ctx))
}

// Refuse answers an order that was not begun.
func Refuse(w http.ResponseWriter, err error) {
	refusal := Shed
	if known, ok := err.(*RefusalError); ok {
		refusal = known.Refusal
	}
	w.Header().Set(RefusedHeader, refusal.String())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// OrderError reports an order whose headers cannot be read.
type OrderError struct {
	Header string
}

func (e *OrderError) Error() string { return "order: unreadable header " + e.Header }

// ReadOrder reads an order from a request's headers.
func ReadOrder(r *http.Request) (Order, error) {
	numbers := map[string]int64{EpochHeader: 0, SlotHeader: 0, FenceHeader: 0, DeadlineHeader: 0}
	for header := range numbers {
		n, err := strconv.ParseInt(r.Header.Get(header), 10, 64)
		if err != nil {
			return Order{}, &OrderError{Header: header}
		}
		numbers[header] = n
	}
	return Order{
		Epoch:    Epoch(numbers[EpochHeader]),
		Slot:     int(numbers[SlotHeader]),
		Fence:    Fence(numbers[FenceHeader]),
		Deadline: time.Duration(numbers[DeadlineHeader]) * time.Millisecond,
	}, nil
}

// AnnounceError reports a daemon that did not take an announcement.
type AnnounceError struct {
	Status int
	Cause  error
}

func (e *AnnounceError) Error() string {
	if e.Cause != nil {
		return "announce: " + e.Cause.Error()
	}
	return "announce: status " + strconv.Itoa(e.Status)
}

// Unwrap returns the cause.
func (e *AnnounceError) Unwrap() error { return e.Cause }

// Announce tells the daemon at an address about a backend server.
func Announce(ctx context.Context, client *http.Client, daemon string, a Announcement) error {
	data, err := json.Marshal(a)
	if err != nil {
		return &AnnounceError{Cause: err}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon+AnnouncePath, bytes.NewReader(data))
	if err != nil {
		return &AnnounceError{Cause: err}
	}
	response, err := client.Do(request)
	if err != nil {
		return &AnnounceError{Cause: err}
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // so that the connection can be used again
	if response.StatusCode != http.StatusOK {
		return &AnnounceError{Status: response.StatusCode}
	}
	return nil
}
