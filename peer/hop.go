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
	timeLeftHeader     = "Skylark-Hop-Left-Us"
	keyHeader      = "Skylark-Hop-Key"
	classSpecHeader      = "Skylark-Hop-Spec"
	outcomeHeader  = "Skylark-Hop-Outcome"
	reasonHeader   = "Skylark-Hop-Reason"
	loadHeader     = "Skylark-Hop-Load"
	retryAfterHeader     = "Skylark-Hop-Retry-Us"
	hostHeader = "Skylark-Hop-Host"
	// targetHeader names the host that a call is for: its address may have gone to another one.
	targetHeader = "Skylark-Hop-To"
)

const (
	// hopDialTimeout bounds the making of a connection between hosts: many round trips of the mesh, and a lost packet
	// less than its resending.
	hopDialTimeout = 150 * time.Millisecond
	// hopAckTimeout ends a connection to a host that acknowledges nothing.
	hopAckTimeout = 500 * time.Millisecond
	// hopIdleTimeout is how long an unused connection between hosts is kept.
	hopIdleTimeout = 20 * time.Second
	// hopSpareIdleTimeout is how long unused connections beside the first one are kept: each costs both hosts some 15 kB.
	hopSpareIdleTimeout = 3 * time.Second
	// connectQueueCapacity bounds the hosts that wait for their first connection, and warmInterval is the pause between two: a host
	// that opens connections to a whole mesh at once has no processor time left for calls.
	connectQueueCapacity   = 128
	connectInterval = 25 * time.Millisecond
	// hopMaxIdleConns bounds the unused connections to one host.
	hopMaxIdleConns = 16
	// hopMaxBody bounds a body between hosts.
	hopMaxBody = 64 << 20
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

// CallRunner runs forwarded calls.
type CallRunner interface {
	Run(ctx context.Context, c call.Call) call.Answer
}

// HopClient forwards calls to the daemons beside the servers that are to run them.
type HopClient struct {
	clock  clockwork.Clock
	onDial func()

	// connectQueue holds the addresses to which no connection was made yet.
	connectQueue chan string

	mu    sync.Mutex
	pools map[string]*link.Pool
}

// NewHopClient returns a client without connections.
func NewHopClient(onDial func(), clock clockwork.Clock) *HopClient {
	return &HopClient{clock: clock, onDial: onDial, connectQueue: make(chan string, connectQueueCapacity), pools: map[string]*link.Pool{}}
}

func (h *HopClient) poolFor(address string) *link.Pool {
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
		AckTimeout: hopAckTimeout,
		IdleTimeout:    hopIdleTimeout,
		SpareIdleTimeout:   hopSpareIdleTimeout,
		MaxIdleConns:        hopMaxIdleConns,
		MaxBody:        hopMaxBody,
		OnDial:         h.onDial,
	}, h.clock)
}

// Keep closes the connections to all but some addresses, and has connections made to new ones.
func (h *HopClient) Keep(addresses map[string]bool) {
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
		case h.connectQueue <- address:
		default: // its first call makes the connection
		}
	}
}

// Warm makes the first connection to each new address, one after the other, until the context ends.
func (h *HopClient) Warm(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case address := <-h.connectQueue:
			// A host that is not reached now is tried again by its first call.
			_ = h.poolFor(address).Preconnect(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-h.clock.After(connectInterval):
		}
	}
}

// Send forwards a call to the daemon of a host, at an address, and returns its answer, or what is known of it.
func (h *HopClient) Send(ctx context.Context, host ownership.HostID, address string, c call.Call) call.Answer {
	remaining := c.Deadline.Sub(h.clock.Now())
	if remaining <= 0 {
		return call.NotRun(call.Late)
	}
	header := c.Header.Clone()
	header.Set(requestHeader, string(c.ID))
	header.Set(classHeader, string(c.Class.Name))
	header.Set(serviceHeader, string(c.Service))
	header.Set(originHeader, string(c.Origin))
	header.Set(targetHeader, string(host))
	header.Set(timeLeftHeader, strconv.FormatInt(remaining.Microseconds(), 10))
	header.Set(classSpecHeader, fmt.Sprintf(specFormat, c.Class.Latency.Microseconds(), c.Class.Rank, c.Class.Idempotent))
	if c.HasKey {
		header.Set(keyHeader, strconv.Itoa(int(c.Key)))
	}
	response, err := h.poolFor(address).Do(ctx, backend.NewRequest(c, header), func(r *http.Response) bool {
		return r.Header.Get(requestHeader) == string(c.ID)
	})
	if err != nil {
		return backend.ErrorResult(ctx, err, !h.clock.Now().Before(c.Deadline))
	}
	return parseResult(response)
}

// parseResult takes an answer apart. One that does not say its outcome is unknown.
func parseResult(r *link.Response) call.Answer {
	result := call.Answer{
		Outcome: class.ParseOutcome(r.Header.Get(outcomeHeader)),
		Reason:  call.ParseReason(r.Header.Get(reasonHeader)),
		Status:  r.Status,
		Host:    r.Header.Get(hostHeader),
		Body:    r.Body,
	}
	if us, err := strconv.ParseInt(r.Header.Get(retryAfterHeader), 10, 64); err == nil {
		result.RetryAfter = time.Duration(us) * time.Microsecond
	}
	var load call.Load
	var waitUS int64
	if n, err := fmt.Sscanf(r.Header.Get(loadHeader), loadFormat, &load.Running, &load.Waiting, &load.Concurrency, &waitUS); err == nil && n == 4 {
		load.QueueDelay = time.Duration(waitUS) * time.Microsecond
		result.Load = &load
	}
	call.StripHopByHop(r.Header)
	call.StripDaemonHeaders(r.Header)
	result.Header = r.Header
	return result
}

// connKey finds the connection of a forwarded call.
type connKey struct{}

// WithConn is the ConnContext of a server of HopHandler: it lets the handler see that the daemon that asked has left.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// isClientGone tells whether the daemon that asked has closed the connection: its caller is gone.
func isClientGone(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && link.IsClosedByPeer(conn)
}

// HopHandler serves forwarded calls. Broken ones are reported and answered as not run.
func HopHandler(owner CallRunner, host ownership.HostID, service class.Service, clock clockwork.Clock, report func(error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := parseCall(w, r, clock)
		isMisrouted := r.Header.Get(targetHeader) != string(host) || c.Service != service
		var result call.Answer
		switch {
		case err != nil:
			report(err)
			result = call.NotRun(call.BadRequest)
		case isMisrouted:
			result = call.NotRun(call.NotOwner)
		case isClientGone(r.Context()):
			return
		default:
			result = owner.Run(r.Context(), c)
		}
		result.Host = string(host)
		if err := writeResult(w, r.Header.Get(requestHeader), result); err != nil && r.Context().Err() == nil {
			report(&MessageError{Part: "answer", Cause: err.Error()})
		}
	})
}

func parseCall(w http.ResponseWriter, r *http.Request, clock clockwork.Clock) (call.Call, error) {
	arrived := clock.Now()
	remainingUS, err := strconv.ParseInt(r.Header.Get(timeLeftHeader), 10, 64)
	if err != nil {
		return call.Call{}, &MessageError{Part: timeLeftHeader, Cause: err.Error()}
	}
	c := call.Call{
		ID:       class.RequestID(r.Header.Get(requestHeader)),
		Service:  class.Service(r.Header.Get(serviceHeader)),
		Origin:   class.Service(r.Header.Get(originHeader)),
		Method:   r.Method,
		URI:      r.RequestURI,
		Host:     r.Host,
		Deadline: arrived.Add(time.Duration(remainingUS) * time.Microsecond),
	}
	c.Class = &class.Class{Name: class.Name(r.Header.Get(classHeader))}
	var latencyUS int64
	if _, err := fmt.Sscanf(r.Header.Get(classSpecHeader), specFormat, &latencyUS, &c.Class.Rank, &c.Class.Idempotent); err != nil {
		return c, &MessageError{Part: classSpecHeader, Cause: err.Error()}
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
		c.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, hopMaxBody))
		if err != nil {
			return c, &MessageError{Part: "body", Cause: err.Error()}
		}
	}
	c.Header = r.Header.Clone()
	call.StripHopByHop(c.Header)
	call.StripDaemonHeaders(c.Header)
	return c, nil
}

func writeResult(w http.ResponseWriter, id string, result call.Answer) error {
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
		header.Set(loadHeader, fmt.Sprintf(loadFormat, result.Load.Running, result.Load.Waiting, result.Load.Concurrency, result.Load.QueueDelay.Microseconds()))
	}
	header.Set("Content-Length", strconv.Itoa(len(result.Body)))
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps net/http from guessing one
	}
	status := result.Status
	if result.Outcome != class.Answered {
		status = http.StatusOK
	}
	w.WriteHeader(status)
	_, err := w.Write(result.Body)
	return err
}
