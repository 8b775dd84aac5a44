package caller

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/timeline"
)

// openTimeout is how long a call waits for a daemon that has just started.
const openTimeout = 2 * time.Second

// Classes is the classes in force, ready for use.
type Classes struct {
	class.Set
	Router *class.Router
}

// Entry serves callers over HTTP.
type Entry struct {
	clock    clockwork.Clock
	relay    *Relay
	slots    int
	maxBody  int64
	registry metrics.Registry
	ring     *timeline.Ring
	classes  atomic.Pointer[Classes]
	closing  atomic.Bool
	ready    chan struct{}
}

// NewEntry returns an entry without classes.
func NewEntry(relay *Relay, slots int, maxBody int64, registry metrics.Registry, ring *timeline.Ring, clock clockwork.Clock) *Entry {
	e := &Entry{clock: clock, relay: relay, slots: slots, maxBody: maxBody, registry: registry, ring: ring, ready: make(chan struct{})}
	router, err := class.NewRouter(nil)
	if err != nil {
		panic(err) // an empty set of classes has no clash
	}
	e.classes.Store(&Classes{Router: router})
	return e
}

// SetClasses puts classes in force.
func (e *Entry) SetClasses(c *Classes) { e.classes.Store(c) }

// Classes returns the classes in force.
func (e *Entry) Classes() *Classes { return e.classes.Load() }

// Open lets calls in: the configuration is known now. Until then they wait for a short while.
func (e *Entry) Open() { close(e.ready) }

// awaitOpen returns false if the entry was not opened in time.
func (e *Entry) awaitOpen(ctx context.Context) bool {
	select {
	case <-e.ready:
		return true
	default:
	}
	select {
	case <-e.ready:
		return true
	case <-e.clock.After(openTimeout):
	case <-ctx.Done():
	}
	return false
}

// Close asks callers, with each answer, to use another daemon from now on.
func (e *Entry) Close() { e.closing.Store(true) }

// ServeHTTP brings one call to its outcome.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := e.clock.Now()
	c, answer, ok := e.read(w, r, start)
	if ok {
		answer = e.relay.Do(r.Context(), c)
	}
	e.record(c, answer, start)
	if e.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	call.Write(w, c.ID, answer)
}

// read turns a request into a call, or into the answer that refuses it.
func (e *Entry) read(w http.ResponseWriter, r *http.Request, now time.Time) (call.Call, call.Answer, bool) {
	c := call.Call{
		ID:     class.RequestID(rand.Text()),
		Slot:   call.Unkeyed,
		Method: r.Method,
		URI:    r.URL.RequestURI(),
		Header: r.Header,
	}
	if !e.awaitOpen(r.Context()) {
		return c, call.NotRun(call.NoServer), false
	}
	found, key, ok := e.classes.Load().Router.Match(r)
	if !ok {
		return c, call.NotRun(call.UnknownClass), false
	}
	c.Class = found
	c.Key = key
	if found.Keyed && key == "" {
		return c, call.NotRun(call.MissingKey), false
	}
	if found.Keyed {
		c.Slot = int(class.SlotOf(key, e.slots))
	}
	timeout, ok := timeoutOf(r, found.Timeout)
	if !ok {
		return c, call.NotRun(call.BadRequest), false
	}
	c.Deadline = now.Add(timeout)
	c.Idempotency = r.Header.Get(call.IdempotencyHeader)
	c.IsRepeat = r.Header.Get(call.RepeatHeader) != ""
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.maxBody))
	if err != nil {
		return c, call.NotRun(bodyReason(err)), false
	}
	c.Body = body
	return c, call.Answer{}, true
}

// timeoutOf returns the caller's own timeout where it is shorter than the class's.
func timeoutOf(r *http.Request, most time.Duration) (time.Duration, bool) {
	text := r.Header.Get(call.TimeoutHeader)
	if text == "" {
		return most, true
	}
	wanted, err := time.ParseDuration(text)
	if err != nil || wanted <= 0 {
		return 0, false
	}
	return min(wanted, most), true
}

func bodyReason(err error) call.Reason {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return call.TooLarge
	}
	return call.BadRequest
}

// record counts the outcome and puts it on the time line.
func (e *Entry) record(c call.Call, a call.Answer, start time.Time) {
	took := e.clock.Since(start)
	name := string(c.Class.Name)
	if name == "" {
		name = "none"
	}
	prefix := "class." + name
	metrics.GetOrRegisterCounter(prefix+"."+a.Outcome.String(), e.registry).Inc(1)
	if a.Outcome == class.Answered {
		metrics.GetOrRegisterTimer(prefix+".latency", e.registry).Update(took)
	}
	if a.Outcome == class.Answered && took <= c.Class.Latency {
		metrics.GetOrRegisterCounter(prefix+".in_target", e.registry).Inc(1)
	}
	detail := "by " + a.Host
	if a.Outcome != class.Answered {
		detail = a.Reason.String()
	}
	e.ring.Add(timeline.Event{
		Kind:    timeline.Call,
		Name:    a.Outcome.String(),
		Service: string(c.Class.Service),
		Class:   string(c.Class.Name),
		Key:     string(c.Key),
		Request: string(c.ID),
		Detail:  detail,
	})
}
