// Package peer speaks with the other daemons: it forwards calls to them, and spreads what the mesh knows.
package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/link"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// Headers between daemons, besides those of the request itself.
const (
	classHeader    = "Skylark-Hop-Class"
	serviceHeader  = "Skylark-Hop-Service"
	originHeader   = "Skylark-Hop-Origin"
	requestHeader  = "Skylark-Hop-Request"
	leftHeader     = "Skylark-Hop-Left-Us"
	keyHeader      = "Skylark-Hop-Key"
	classSpec      = "Skylark-Hop-Spec"
	outcomeHeader  = "Skylark-Hop-Outcome"
	reasonHeader   = "Skylark-Hop-Reason"
	loadHeader     = "Skylark-Hop-Load"
	waitHeader     = "Skylark-Hop-Retry-Us"
	answererHeader = "Skylark-Hop-Host"
	// targetHeader names the host that a call is for: its address may have gone to another one.
	targetHeader = "Skylark-Hop-To"
)

const (
	// hopDialTimeout bounds the making of a connection between hosts: many round trips of the mesh, and a lost packet
	// less than its resending.
	hopDialTimeout = 150 * time.Millisecond
	// hopSilence ends a connection to a host that acknowledges nothing.
	hopSilence = 500 * time.Millisecond
	// hopIdle is how long an unused connection between hosts is kept.
	hopIdle = 20 * time.Second
	// hopSpare is how long unused connections beside the first one are kept: each costs both hosts some 15 kB.
	hopSpare = 3 * time.Second
	// coldLength bounds the hosts that wait for their first connection, and warmInterval is the pause between two: a host
	// that opens connections to a whole mesh at once has no processor time left for calls.
	coldLength   = 128
	warmInterval = 25 * time.Millisecond
	// hopMaxIdle bounds the unused connections to one host.
	hopMaxIdle = 16
	// maxHopBody bounds a body between hosts.
	maxHopBody = 64 << 20
	// specFormat carries of a class what admission needs: latency in microseconds, rank, idempotence.
	specFormat = "%d,%d,%t"
	// loadFormat carries running, waiting, places and the wait in microseconds.
	loadFormat = "%d,%d,%d,%d"
)

// MessageError reports input of another daemon that cannot be read.
type MessageError struct {
	Part  string
	Cause string
}

func (e *MessageError) Error() string { return "message of a daemon: " + e.Part + ": " + e.Cause }

// Owner runs forwarded calls.
type Owner interface {
	Run(ctx context.Context, c call.Call) call.Result
}

// HopClient forwards calls to the daemons beside the servers that are to run them.
type HopClient struct {
	clock  clockwork.Clock
	onDial func()

	// cold holds the addresses to which no connection was made yet.
	cold chan string

	mu    sync.Mutex
	pools map[string]*link.Pool
}

// NewHopClient returns a client without connections.
func NewHopClient(onDial func(), clock clockwork.Clock) *HopClient {
	return &HopClient{clock: clock, onDial: onDial, cold: make(chan string, coldLength), pools: map[string]*link.Pool{}}
}

func (h *HopClient) pool(address string) *link.Pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pools[address]
	if p == nil {
		p = h.newPool(address)
		h.pools[address] = p
	}
	return p
}

func (h *HopClient) newPool(address string) *link.Pool {
	return link.NewPool(address, link.Options{
		DialTimeout:    hopDialTimeout,
		SilenceTimeout: hopSilence,
		IdleTimeout:    hopIdle,
		SpareTimeout:   hopSpare,
		MaxIdle:        hopMaxIdle,
		MaxBody:        maxHopBody,
		OnDial:         h.onDial,
	}, h.clock)
}

// SetAddresses closes the connections to all but some addresses, and has connections made to new ones.
func (h *HopClient) SetAddresses(addresses map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for address, p := range h.pools {
		if !addresses[address] {
			p.Close()
			delete(h.pools, address)
		}
	}
	for address := range addresses {
		if h.pools[address] != nil {
			continue
		}
		h.pools[address] = h.newPool(address)
		select {
		case h.cold <- address:
		default: // its first call makes the connection
		}
	}
}

// Preconnect makes the first connection to each new address, one after the other, until the context ends.
func (h *HopClient) Preconnect(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case address := <-h.cold:
			// A host that is not reached now is tried again by its first call.
			_ = h.pool(address).Warm(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-h.clock.After(warmInterval):
		}
	}
}

// Send forwards a call to the daemon of a host, at an address, and returns its answer, or what is known of it.
func (h *HopClient) Send(ctx context.Context, host ownership.HostID, address string, c call.Call) call.Result {
	left := c.Deadline.Sub(h.clock.Now())
	if left <= 0 {
		return call.NotRun(call.Late)
	}
	header := c.Header.Clone()
	header.Set(requestHeader, string(c.ID))
	header.Set(classHeader, string(c.Class.Name))
	header.Set(serviceHeader, string(c.Service))
	header.Set(originHeader, string(c.Origin))
	header.Set(targetHeader, string(host))
	header.Set(leftHeader, strconv.FormatInt(left.Microseconds(), 10))
	header.Set(classSpec, fmt.Sprintf(specFormat, c.Class.Latency.Microseconds(), c.Class.Rank, c.Class.Idempotent))
	if c.HasKey {
		header.Set(keyHeader, strconv.Itoa(int(c.Key)))
	}
	response, err := h.pool(address).Do(ctx, backend.NewRequest(c, header), func(r *http.Response) bool {
		return r.Header.Get(requestHeader) == string(c.ID)
	})
	if err != nil {
		return backend.Failed(ctx, err, !h.clock.Now().Before(c.Deadline))
	}
	return readAnswer(response)
}

// readAnswer takes an answer apart. One that does not say its outcome is unknown.
func readAnswer(r *link.Response) call.Result {
	a := call.Result{
		Outcome: class.ParseOutcome(r.Header.Get(outcomeHeader)),
		Reason:  call.ParseReason(r.Header.Get(reasonHeader)),
		Status:  r.Status,
		Host:    r.Header.Get(answererHeader),
		Body:    r.Body,
	}
	if us, err := strconv.ParseInt(r.Header.Get(waitHeader), 10, 64); err == nil {
		a.RetryAfter = time.Duration(us) * time.Microsecond
	}
	var load call.Load
	var waitUS int64
	if n, err := fmt.Sscanf(r.Header.Get(loadHeader), loadFormat, &load.Running, &load.Waiting, &load.Places, &waitUS); err == nil && n == 4 {
		load.Wait = time.Duration(waitUS) * time.Microsecond
		a.Load = &load
	}
	call.StripConnection(r.Header)
	call.StripInternal(r.Header)
	a.Header = r.Header
	return a
}

// connKey finds the connection of a forwarded call.
type connKey struct{}

// WithConn is the ConnContext of a server of HopHandler: it lets the handler see that the daemon that asked has left.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// hasLeft tells whether the daemon that asked has closed the connection: its caller is gone.
func hasLeft(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && link.HasEnded(conn)
}

// HopHandler serves forwarded calls. Broken ones are reported and answered as not run.
func HopHandler(owner Owner, host ownership.HostID, service class.Service, clock clockwork.Clock, report func(error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := readCall(w, r, clock)
		isForeign := r.Header.Get(targetHeader) != string(host) || c.Service != service
		var answer call.Result
		switch {
		case err != nil:
			report(err)
			answer = call.NotRun(call.BadRequest)
		case isForeign:
			answer = call.NotRun(call.NotOwner)
		case hasLeft(r.Context()):
			return
		default:
			answer = owner.Run(r.Context(), c)
		}
		answer.Host = string(host)
		if err := writeAnswer(w, r.Header.Get(requestHeader), answer); err != nil && r.Context().Err() == nil {
			report(&MessageError{Part: "answer", Cause: err.Error()})
		}
	})
}

func readCall(w http.ResponseWriter, r *http.Request, clock clockwork.Clock) (call.Call, error) {
	arrived := clock.Now()
	leftUS, err := strconv.ParseInt(r.Header.Get(leftHeader), 10, 64)
	if err != nil {
		return call.Call{}, &MessageError{Part: leftHeader, Cause: err.Error()}
	}
	c := call.Call{
		ID:       class.RequestID(r.Header.Get(requestHeader)),
		Service:  class.Service(r.Header.Get(serviceHeader)),
		Origin:   class.Service(r.Header.Get(originHeader)),
		Method:   r.Method,
		URI:      r.RequestURI,
		Host:     r.Host,
		Deadline: arrived.Add(time.Duration(leftUS) * time.Microsecond),
	}
	c.Class = &class.Class{Name: class.Name(r.Header.Get(classHeader))}
	var latencyUS int64
	if _, err := fmt.Sscanf(r.Header.Get(classSpec), specFormat, &latencyUS, &c.Class.Rank, &c.Class.Idempotent); err != nil {
		return c, &MessageError{Part: classSpec, Cause: err.Error()}
	}
	c.Class.Latency = time.Duration(latencyUS) * time.Microsecond
	if text := r.Header.Get(keyHeader); text != "" {
		key, err := strconv.ParseUint(text, 10, 16)
		if err != nil {
			return c, &MessageError{Part: keyHeader, Cause: err.Error()}
		}
		c.Key, c.HasKey = class.Key(key), true
	}
	if r.ContentLength != 0 {
		c.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxHopBody))
		if err != nil {
			return c, &MessageError{Part: "body", Cause: err.Error()}
		}
	}
	c.Header = r.Header.Clone()
	call.StripConnection(c.Header)
	call.StripInternal(c.Header)
	return c, nil
}

func writeAnswer(w http.ResponseWriter, id string, a call.Result) error {
	header := w.Header()
	for name, values := range a.Header {
		header[name] = values
	}
	header.Set(requestHeader, id)
	header.Set(outcomeHeader, a.Outcome.String())
	header.Set(reasonHeader, a.Reason.String())
	header.Set(answererHeader, a.Host)
	if a.RetryAfter > 0 {
		header.Set(waitHeader, strconv.FormatInt(a.RetryAfter.Microseconds(), 10))
	}
	if a.Load != nil {
		header.Set(loadHeader, fmt.Sprintf(loadFormat, a.Load.Running, a.Load.Waiting, a.Load.Places, a.Load.Wait.Microseconds()))
	}
	header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps net/http from guessing one
	}
	status := a.Status
	if a.Outcome != class.Answered {
		status = http.StatusOK
	}
	w.WriteHeader(status)
	_, err := w.Write(a.Body)
	return err
}
