package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/dependency"
	"github.com/skylarkrelay/skylarkrelay/link"
)

// Config is the operators' configuration with the router that is built from its classes.
type Config struct {
	*class.Config
	Router *class.Router
}

// readTimeout returns how long a caller may take to read a response, or zero if that is not bounded.
func (c *Config) readTimeout() time.Duration {
	if c == nil {
		return 0
	}
	return call.ReadTimeout(c.Config)
}

// FinishedCall describes a call that has ended, for logs and metrics. The reason of its result is CallerGone if the
// result could not be sent to the caller.
type FinishedCall struct {
	Call          call.Call
	Result        call.Result
	Duration      time.Duration
	ConfigVersion class.Version
	// WasUnread reports whether the caller had left before its request was read.
	WasUnread bool
}

// Handler is the HTTP handler for requests of callers.
type Handler struct {
	clock       clockwork.Clock
	relay       *Relay
	headerNames call.HeaderNames
	origin      class.Service
	onFinished  func(FinishedCall)
	config      atomic.Pointer[Config]
	memory      *link.Memory
	nesting     *dependency.Tracker
	bodies      call.BodyObserver
	isDraining  atomic.Bool
	isRejecting atomic.Bool
	active      atomic.Int64
}

// NewHandler returns a handler without a configuration, which rejects all calls until SetConfig. The origin is the
// service of this host's backend server. onFinished is called once for each call.
func NewHandler(
	relay *Relay, origin class.Service, headerNames call.HeaderNames, onFinished func(FinishedCall),
	clock clockwork.Clock,
) *Handler {
	return &Handler{
		clock:       clock,
		relay:       relay,
		headerNames: headerNames,
		origin:      origin,
		onFinished:  onFinished,
		bodies:      call.IgnoreBodies(),
	}
}

// LimitMemory bounds the memory of bodies. It must be called before the first call.
func (h *Handler) LimitMemory(m *link.Memory) { h.memory = m }

// ObserveBodies sets the observer of bodies that are rejected or not read. It must be called before the first call.
func (h *Handler) ObserveBodies(o call.BodyObserver) { h.bodies = o }

// SetConfig replaces the configuration for calls that arrive from now on.
func (h *Handler) SetConfig(c *class.Config) {
	h.config.Store(&Config{Config: c, Router: class.NewRouter(c.Classes)})
}

// Config returns the configuration in force, or nil.
func (h *Handler) Config() *class.Config {
	if c := h.config.Load(); c != nil {
		return c.Config
	}
	return nil
}

// Drain adds "Connection: close" to all further responses, so that callers connect to another daemon.
func (h *Handler) Drain() { h.isDraining.Store(true) }

// RejectCalls rejects all further calls, because this daemon would end before they finish.
func (h *Handler) RejectCalls() { h.isRejecting.Store(true) }

// Active returns the number of calls in progress.
func (h *Handler) Active() int { return int(h.active.Load()) }

// ServeHTTP implements http.Handler. It runs one call and writes its result.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	start := h.clock.Now()
	wasUnread := link.HasCallerLeft(r.Context())
	config := h.config.Load()
	hold := h.memory.Hold()
	defer hold.Release()
	c, result, ok := h.parseCall(w, r, config, start.Add(-link.TakeWait(r.Context())), &hold)
	switch {
	case ok && wasUnread:
		result = call.NotRun(call.CallerGone)
	case ok && !h.clock.Now().Before(c.Deadline):
		result = call.NotRun(call.Late)
	case ok:
		ctx, cancel := clockwork.WithDeadline(r.Context(), h.clock, c.Deadline)
		stopWatching := link.OnReadAhead(ctx, func() { h.watchCaller(ctx, cancel) })
		c.IsNested = h.enterNested(c)
		result = h.relay.Do(ctx, c)
		h.endNested(c, result, h.clock.Since(start))
		stopWatching()
		cancel()
	}
	if h.isDraining.Load() {
		w.Header().Set("Connection", "close")
	}
	hold.Raise(int64(len(c.Body) + len(result.Body)))
	// The result cannot be delivered to a caller that has disconnected. The call is reported like any other.
	err := h.bodies.WriteWithin(w, config.readTimeout(), c.ID, len(result.Body), func() error {
		return call.Write(w, c.ID, h.headerNames.RequestID, result)
	})
	if err != nil {
		result.Reason = call.CallerGone
	}
	finished := FinishedCall{Call: c, Result: result, Duration: h.clock.Since(start), WasUnread: wasUnread}
	if config != nil {
		finished.ConfigVersion = config.Version
	}
	h.onFinished(finished)
}

// departureInterval is how often the connection of a running call is checked if its caller has sent a request ahead.
const departureInterval = 200 * time.Millisecond

// watchCaller calls onDeparture if the caller leaves while its call runs. The context of a request does not end if the
// caller has sent another request behind it.
func (h *Handler) watchCaller(ctx context.Context, onDeparture func()) {
	h.clock.AfterFunc(departureInterval, func() {
		switch {
		case ctx.Err() != nil:
		case link.HasCallerLeft(ctx):
			onDeparture()
		default:
			h.watchCaller(ctx, onDeparture)
		}
	})
}

// parseCall converts a request, which arrived at the given time, to a call, and adds its body to the hold. If the request
// cannot be served, it returns false and the result that rejects it.
func (h *Handler) parseCall(
	w http.ResponseWriter, r *http.Request, config *Config, arrivedAt time.Time, hold *link.Hold,
) (call.Call, call.Result, bool) {
	c := call.Call{
		ID:     class.RequestID(r.Header.Get(h.headerNames.RequestID)),
		Origin: h.origin,
		Method: r.Method,
		URI:    r.RequestURI,
		Host:   r.Host,
		Header: r.Header,
	}
	if config == nil {
		return c, call.NotRun(call.NotConfigured), false
	}
	if h.isRejecting.Load() {
		return c, call.NotRun(call.Closing), false
	}
	matched := config.Router.Match(r.Host, r.URL.EscapedPath())
	if matched == nil {
		return c, call.NotRun(call.UnknownClass), false
	}
	c.Class = matched
	c.Service = chooseDestination(matched.Destinations)
	timeout, ok := h.callTimeout(r, matched)
	if !ok {
		return c, call.NotRun(call.BadRequest), false
	}
	c.Deadline = arrivedAt.Add(timeout)
	if text := r.Header.Get(h.headerNames.Key); text != "" && config.Services[c.Service].IsKeyed {
		key, err := strconv.ParseUint(text, 10, 16)
		if err != nil {
			return c, call.NotRun(call.BadRequest), false
		}
		c.Key, c.HasKey = class.Key(key), true
	}
	stated := r.ContentLength
	if config.Limits.BodyBytes > 0 {
		stated = min(stated, config.Limits.BodyBytes) // no more than that is read
	}
	if err := call.ReserveBodies(hold, h.memory, matched.Bulk, stated); err != nil {
		return c, h.bodies.Reject(c.ID, err), false
	}
	body, reason := h.readBody(w, r, config.Limits.BodyBytes, timeout)
	if reason != call.None {
		return c, call.NotRun(reason), false
	}
	if stated < 0 {
		if err := call.ReserveBodies(hold, h.memory, class.NoBulk, int64(len(body))); err != nil {
			return c, h.bodies.Reject(c.ID, err), false
		}
	}
	if h.isRejecting.Load() { // the body may have come slowly
		return c, call.NotRun(call.Closing), false
	}
	c.Body = body
	call.StripHopByHop(c.Header)
	call.StripDaemonHeaders(c.Header)
	return c, call.Result{}, true
}

// callTimeout returns the class's timeout, or the one in the request's deadline header if that is shorter or the class
// has none. It returns false if the header is invalid.
func (h *Handler) callTimeout(r *http.Request, matched *class.Class) (time.Duration, bool) {
	text := r.Header.Get(h.headerNames.DeadlineMS)
	if text == "" {
		return matched.Timeout, true
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || ms <= 0 {
		return 0, false
	}
	requested := time.Duration(ms * float64(time.Millisecond))
	if matched.Timeout <= 0 {
		return requested, true
	}
	return min(requested, matched.Timeout), true
}

// readBody reads the whole body before the call is sent, so that no part of a truncated request is forwarded. A body
// that is not complete within the call's timeout ends the call.
func (h *Handler) readBody(
	w http.ResponseWriter, r *http.Request, maxBytes int64, timeout time.Duration,
) ([]byte, call.Reason) {
	if r.ContentLength == 0 {
		return nil, call.None
	}
	connection := http.NewResponseController(w)
	if timeout > 0 {
		// Connections measure deadlines by the operating system's clock, not by the injected one. It fails only in tests
		// that have no connection.
		_ = connection.SetReadDeadline(time.Now().Add(timeout))
	}
	reader := r.Body
	if maxBytes > 0 {
		reader = http.MaxBytesReader(w, r.Body, maxBytes)
	}
	body, err := h.memory.ReadBody(reader, r.ContentLength)
	var tooLarge *http.MaxBytesError
	var memory *link.MemoryError
	switch {
	case err == nil:
		_ = connection.SetReadDeadline(time.Time{}) // as above
		return body, call.None
	case errors.As(err, &tooLarge):
		return nil, call.TooLarge
	case errors.As(err, &memory):
		return nil, call.Overload
	case errors.Is(err, context.Canceled):
		return nil, call.CallerGone
	case errors.Is(err, os.ErrDeadlineExceeded):
		// The deadline stays, so that the server does not wait for the rest of the body before it responds.
		w.Header().Set("Connection", "close")
		return nil, call.Late
	default:
		return nil, call.BadRequest
	}
}

// chooseDestination selects one of a class's services at random, in proportion to their weights.
func chooseDestination(destinations []class.Destination) class.Service {
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
	draw := rand.IntN(total)
	for _, d := range destinations {
		if draw -= d.Weight; draw < 0 {
			return d.Service
		}
	}
	return destinations[len(destinations)-1].Service
}
