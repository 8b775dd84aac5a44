package caller

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// Config is the operators' configuration, ready for use.
type Config struct {
	*class.Config
	Router *class.Router
}

// FinishedCall is a call that was answered, for logs and metrics.
type FinishedCall struct {
	Call    call.Call
	Result  call.Result
	Duration    time.Duration
	ConfigVersion class.Version
}

// Handler serves callers over HTTP.
type Handler struct {
	clock   clockwork.Clock
	relay   *Relay
	names   call.HeaderNames
	origin  class.Service
	finish  func(FinishedCall)
	config  atomic.Pointer[Config]
	closing atomic.Bool
	closed  atomic.Bool
	active  atomic.Int64
}

// NewHandler returns an entry without a configuration, beside a backend server of a service.
func NewHandler(relay *Relay, origin class.Service, names call.HeaderNames, finish func(FinishedCall), clock clockwork.Clock) *Handler {
	return &Handler{clock: clock, relay: relay, names: names, origin: origin, finish: finish}
}

// SetConfig puts a configuration in force.
func (e *Handler) SetConfig(c *class.Config) {
	e.config.Store(&Config{Config: c, Router: class.NewRouter(c.Classes)})
}

// Config returns the configuration in force, or nil.
func (e *Handler) Config() *class.Config {
	if c := e.config.Load(); c != nil {
		return c.Config
	}
	return nil
}

// Drain asks callers, with each answer, to use another daemon from now on.
func (e *Handler) Drain() { e.closing.Store(true) }

// RejectCalls turns all further calls away: this daemon would end before their answers come.
func (e *Handler) RejectCalls() { e.closed.Store(true) }

// Active returns how many calls are being served.
func (e *Handler) Active() int { return int(e.active.Load()) }

// ServeHTTP brings one call to its outcome.
func (e *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	start := e.clock.Now()
	config := e.config.Load()
	c, answer, ok := e.read(w, r, config, start)
	if ok {
		ctx, cancel := clockwork.WithDeadline(r.Context(), e.clock, c.Deadline)
		answer = e.relay.Do(ctx, c)
		cancel()
	}
	if e.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	// A caller that is gone cannot be told; its request ends as any other.
	if err := call.Write(w, c.ID, e.names.RequestID, answer); err != nil {
		answer.Reason = call.CallerGone
	}
	finished := FinishedCall{Call: c, Result: answer, Duration: e.clock.Since(start)}
	if config != nil {
		finished.ConfigVersion = config.Version
	}
	e.finish(finished)
}

// read turns a request into a call, or into the answer that refuses it.
func (e *Handler) read(w http.ResponseWriter, r *http.Request, config *Config, now time.Time) (call.Call, call.Result, bool) {
	c := call.Call{
		ID:     class.RequestID(r.Header.Get(e.names.RequestID)),
		Origin: e.origin,
		Method: r.Method,
		URI:    r.RequestURI,
		Host:   r.Host,
		Header: r.Header,
	}
	if config == nil {
		return c, call.NotRun(call.NotConfigured), false
	}
	if e.closed.Load() {
		return c, call.NotRun(call.Closing), false
	}
	found := config.Router.Match(r.Host, r.URL.EscapedPath())
	if found == nil {
		return c, call.NotRun(call.UnknownClass), false
	}
	c.Class = found
	c.Service = choose(found.Destinations)
	timeout, ok := e.timeout(r, found)
	if !ok {
		return c, call.NotRun(call.BadRequest), false
	}
	c.Deadline = now.Add(timeout)
	if text := r.Header.Get(e.names.Key); text != "" && config.Services[c.Service].IsKeyed {
		key, err := strconv.ParseUint(text, 10, 16)
		if err != nil {
			return c, call.NotRun(call.BadRequest), false
		}
		c.Key, c.HasKey = class.Key(key), true
	}
	body, reason := readBody(w, r, config.Limits.BodyBytes)
	if reason != call.None {
		return c, call.NotRun(reason), false
	}
	c.Body = body
	call.StripConnection(c.Header)
	call.StripInternal(c.Header)
	return c, call.Result{}, true
}

// timeout returns how long the caller will wait: its own word where that is shorter than the class's.
func (e *Handler) timeout(r *http.Request, found *class.Class) (time.Duration, bool) {
	text := r.Header.Get(e.names.DeadlineMS)
	if text == "" {
		return found.Timeout, true
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || ms <= 0 {
		return 0, false
	}
	own := time.Duration(ms * float64(time.Millisecond))
	if found.Timeout <= 0 {
		return own, true
	}
	return min(own, found.Timeout), true
}

// readBody reads the whole body, so that nothing is sent on of a request that breaks off.
func readBody(w http.ResponseWriter, r *http.Request, most int64) ([]byte, call.Reason) {
	if r.ContentLength == 0 {
		return nil, call.None
	}
	reader := r.Body
	if most > 0 {
		reader = http.MaxBytesReader(w, r.Body, most)
	}
	body, err := io.ReadAll(reader)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, call.None
	case errors.As(err, &tooLarge):
		return nil, call.TooLarge
	case errors.Is(err, context.Canceled):
		return nil, call.CallerGone
	default:
		return nil, call.BadRequest
	}
}

// choose picks one of the services that share a class, by weight.
func choose(destinations []class.Destination) class.Service {
	if len(destinations) == 1 {
		return destinations[0].Service
	}
	total := 0
	for _, d := range destinations {
		total += d.Weight
	}
	if total <= 0 {
		return destinations[0].Service
	}
	ticket := rand.IntN(total)
	for _, d := range destinations {
		if ticket -= d.Weight; ticket < 0 {
			return d.Service
		}
	}
	return destinations[len(destinations)-1].Service
}
