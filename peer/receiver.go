package peer

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/link"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// Arrival describes a forwarded call that has arrived, for logs and metrics.
type Arrival struct {
	Call call.Call
	// From is the address of the daemon that sent the call.
	From string
	// Delay is how much longer than usual the call was on its way. See delayMeter.
	Delay time.Duration
	// HasLeft reports whether the daemon that sent the call has closed the connection, as it does when its caller
	// disconnects.
	HasLeft bool
}

// HopReceiver runs the calls that other daemons forward to this host.
type HopReceiver struct {
	Runner  CallRunner
	Host    ownership.HostID
	Service class.Service
	// Memory bounds the memory of bodies.
	Memory *link.Memory
	// Bodies is told of bodies that are rejected or not read.
	Bodies call.BodyObserver
	// Config returns the configuration in force, or nil. It gives how long another daemon may take to read a response.
	Config    func() *class.Config
	Clock     clockwork.Clock
	BootClock ownership.Clock
	// Forward sends a call for another host to its daemon, on behalf of a daemon that cannot reach it. Nil means that no
	// calls are forwarded.
	Forward func(ctx context.Context, host ownership.HostID, c call.Call) call.Result
	// OnInvalid gets the errors of invalid requests, whose calls do not run.
	OnInvalid func(error)
	// OnArrival is called for each valid call, before it runs.
	OnArrival func(Arrival)
	// Transfers limits bulk bodies. If it is nil, nothing is limited, and requests to reserve a place are invalid, as they
	// are for daemons of earlier versions.
	Transfers *Transfers
}

// Handler returns the handler for forwarded calls. Its server needs link.WithConn.
func (h HopReceiver) Handler() http.Handler {
	delays := newDelayMeter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		config := h.Config()
		if h.Transfers.isReservation(r) {
			h.serveReservation(w, r, delays)
			return
		}
		hold := h.Memory.Hold()
		defer hold.Release()
		upload := h.Transfers.beginUpload(r)
		c, delay, err := h.parseCall(w, r, delays, &hold)
		upload.end(h.Clock.Now(), &c)
		isMisrouted := r.Header.Get(targetHeader) != string(h.Host) || c.Service != h.Service
		var result call.Result
		var exceeded *link.MemoryError
		var noRoom *call.NoRoomError
		switch {
		case errors.As(err, &noRoom):
			result = h.Bodies.Reject(c.ID, err)
		case errors.As(err, &exceeded):
			h.OnInvalid(err)
			result = call.NotRun(call.Overload)
		case err != nil:
			h.OnInvalid(err)
			result = call.NotRun(call.BadRequest)
		case isMisrouted && h.isVia(r, config):
			result = h.forward(r, c)
		case isMisrouted:
			result = call.NotRun(call.NotOwner)
		default:
			hasLeft := link.HasCallerLeft(r.Context())
			h.OnArrival(Arrival{Call: c, From: r.RemoteAddr, Delay: delay, HasLeft: hasLeft})
			if hasLeft {
				return
			}
			result = h.run(r.Context(), c)
		}
		if result.Host == "" {
			result.Host = string(h.Host)
		}
		hold.Raise(int64(len(c.Body) + len(result.Body)))
		err = h.Bodies.WriteWithin(w, call.ReadTimeout(config), c.ID, len(result.Body), func() error {
			return writeResult(w, r.Header.Get(requestHeader), result)
		})
		if err != nil && r.Context().Err() == nil {
			h.OnInvalid(&MessageError{Part: "response", Cause: err.Error()})
		}
	})
}

// run runs a call unless its deadline passed while it was on its way.
func (h HopReceiver) run(ctx context.Context, c call.Call) call.Result {
	if !h.Clock.Now().Before(c.Deadline) {
		return call.NotRun(call.Late)
	}
	return h.runTransfer(ctx, c)
}

// parseCall decodes a forwarded call and how much longer than usual it was on its way, and adds its body to the hold. The
// deadline is sent as the time that remained when the call was sent, so that the hosts' clocks need not agree.
func (h HopReceiver) parseCall(
	w http.ResponseWriter, r *http.Request, delays *delayMeter, hold *link.Hold,
) (call.Call, time.Duration, error) {
	arrived := h.Clock.Now()
	delay, err := delays.observe(r.Header.Get(sentHeader), h.BootClock.Now())
	if err != nil {
		return call.Call{}, 0, err
	}
	remainingUS, err := strconv.ParseInt(r.Header.Get(timeLeftHeader), 10, 64)
	if err != nil {
		return call.Call{}, delay, &MessageError{Part: timeLeftHeader, Cause: err.Error()}
	}
	c := call.Call{
		ID:       class.RequestID(r.Header.Get(requestHeader)),
		Service:  class.Service(r.Header.Get(serviceHeader)),
		Origin:   class.Service(r.Header.Get(originHeader)),
		Method:   r.Method,
		URI:      r.RequestURI,
		Host:     r.Host,
		Deadline: arrived.Add(time.Duration(remainingUS)*time.Microsecond - delay),
	}
	c.Class = &class.Class{Name: class.Name(r.Header.Get(classHeader))}
	if err := parseSpec(r.Header.Get(classSpecHeader), c.Class); err != nil {
		return c, delay, err
	}
	c.Class.Bulk = parseBulk(r.Header.Get(bulkHeader))
	c.IsSuspected = r.Header.Get(suspectHeader) != ""
	if text := r.Header.Get(maxWaitHeader); text != "" {
		us, err := strconv.ParseInt(text, 10, 64)
		if err != nil || us <= 0 {
			return c, delay, &MessageError{Part: maxWaitHeader, Cause: "invalid value " + strconv.Quote(text)}
		}
		c.MaxWait = time.Duration(us) * time.Microsecond
	}
	c.IsNested = r.Header.Get(nestedHeader) != ""
	c.IsReturn = r.Header.Get(returnHeader) != ""
	if text := r.Header.Get(keyHeader); text != "" {
		key, err := strconv.ParseUint(text, 10, 16)
		if err != nil {
			return c, delay, &MessageError{Part: keyHeader, Cause: err.Error()}
		}
		c.Key, c.HasKey = class.Key(key), true
	}
	// Daemons always state the length.
	if err := call.ReserveBodies(hold, h.Memory, c.Class.Bulk, min(r.ContentLength, hopMaxBody)); err != nil {
		return c, delay, err
	}
	if r.ContentLength != 0 {
		c.Body, err = h.Memory.ReadBody(http.MaxBytesReader(w, r.Body, hopMaxBody), r.ContentLength)
		var exceeded *link.MemoryError
		if errors.As(err, &exceeded) {
			return c, delay, exceeded
		}
		if err != nil {
			return c, delay, &MessageError{Part: "body", Cause: err.Error()}
		}
	}
	c.Header = r.Header.Clone()
	call.StripHopByHop(c.Header)
	call.StripDaemonHeaders(c.Header)
	return c, delay, nil
}

// writeResult encodes a result as the response to a forwarded call.
func writeResult(w http.ResponseWriter, id string, result call.Result) error {
	header := w.Header()
	for name, values := range result.Header {
		header[name] = values
	}
	header.Set(requestHeader, id)
	header.Set(outcomeHeader, result.Outcome.String())
	header.Set(reasonHeader, result.Reason.String())
	header.Set(hostHeader, result.Host)
	if result.RetryAfter > 0 {
		header.Set(retryAfterHeader, strconv.FormatInt(result.RetryAfter.Microseconds(), 10))
	}
	if result.Load != nil {
		header.Set(loadHeader, formatLoad(*result.Load))
	}
	if result.IsNested {
		header.Set(nestedHeader, "1")
	}
	header.Set("Content-Length", strconv.Itoa(len(result.Body)))
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // prevents net/http from detecting a content type
	}
	status := result.Status
	if result.Outcome != class.Answered {
		status = http.StatusOK
	}
	w.WriteHeader(status)
	_, err := w.Write(result.Body)
	return err
}
