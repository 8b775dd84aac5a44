// Package peer is the transport between daemons: it forwards calls to other daemons ("hops"), carries gossip, and gives
// a host that the store rejects access to it through another daemon.
package peer

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/link"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// These are the headers that daemons add to forwarded calls and their responses.
const (
	classHeader      = "Skylark-Hop-Class"
	serviceHeader    = "Skylark-Hop-Service"
	originHeader     = "Skylark-Hop-Origin"
	requestHeader    = "Skylark-Hop-Request"
	timeLeftHeader   = "Skylark-Hop-Left-Us"
	keyHeader        = "Skylark-Hop-Key"
	classSpecHeader  = "Skylark-Hop-Spec"
	outcomeHeader    = "Skylark-Hop-Outcome"
	reasonHeader     = "Skylark-Hop-Reason"
	loadHeader       = "Skylark-Hop-Load"
	retryAfterHeader = "Skylark-Hop-Retry-Us"
	hostHeader       = "Skylark-Hop-Host"
	// targetHeader is the host that a call is meant for, because the address may have been reassigned to another host.
	targetHeader = "Skylark-Hop-To"
	// suspectHeader marks a call during which a backend server ended.
	suspectHeader = "Skylark-Hop-Suspected"
	// maxWaitHeader is how long a call may be queued at the backend server, in microseconds. Without it there is no bound.
	maxWaitHeader = "Skylark-Hop-Max-Wait-Us"
	// returnHeader marks a call that returned after its Retry-After.
	returnHeader = "Skylark-Hop-Return"
	// nestedHeader marks a call, or the response to a call, whose class the sender knows as nested.
	nestedHeader = "Skylark-Hop-Nested"
	// bulkHeader is the direction in which the calls of the class carry large bodies, if they do.
	bulkHeader = "Skylark-Hop-Bulk"
	// reserveHeader marks a request to reserve the place of an upload, with the size of the body and the time left to the
	// call. See HopClient.reserve.
	reserveHeader = "Skylark-Hop-Reserve"
	// reservationHeader is the token of a reservation, in the response to such a request and in the call with the body.
	reservationHeader = "Skylark-Hop-Reservation"
	// sentHeader is when a call was sent, by the sender's boot clock. See delayMeter.
	sentHeader = "Skylark-Hop-Sent"
	// viaHeader is the host whose daemon is to forward a call to the host that it is meant for. See SendVia.
	viaHeader = "Skylark-Hop-Via"
)

const (
	// hopDialTimeout limits the time to connect to another host. It is many round trips within the mesh, but shorter
	// than TCP's retransmission of a lost first packet.
	hopDialTimeout = 150 * time.Millisecond
	// hopAckTimeout is the time after which a connection is closed if sent data is not acknowledged.
	hopAckTimeout = 500 * time.Millisecond
	// hopIdleTimeout is how long an idle connection to another host is kept.
	hopIdleTimeout = 20 * time.Second
	// hopSpareIdleTimeout is how long idle connections in addition to the first one are kept. Each costs both
	// hosts about 15 kB.
	hopSpareIdleTimeout = 3 * time.Second
	// connectQueueCapacity limits the addresses queued for a first connection, and connectInterval is the pause between
	// two of these connections. A host that connects to a whole mesh at once has no processor time left for calls.
	connectQueueCapacity = 128
	connectInterval      = 25 * time.Millisecond
	// expiryInterval is how often idle connections that have expired are closed, also those of addresses without calls.
	expiryInterval = time.Second
	// hopMaxIdleConns limits the idle connections to one host.
	hopMaxIdleConns = 16
	// hopMaxBody is the size limit in bytes of the body of a forwarded call or its response.
	hopMaxBody = 64 << 20
)

// MessageError reports a message to or from another daemon that could not be encoded, decoded or answered.
type MessageError struct {
	// Part is the method, header or section of the message that failed.
	Part  string
	Cause string
}

// Error implements error.
func (e *MessageError) Error() string {
	return "could not process peer message: " + e.Part + ": " + e.Cause
}

// CallRunner runs forwarded calls on the backend server of this host.
type CallRunner interface {
	Run(ctx context.Context, c call.Call) call.Result
}

// HopClient forwards calls to other daemons, which run them on their hosts' backend servers.
type HopClient struct {
	clock clockwork.Clock
	// process and bootClock give the time in sentHeader.
	process   processID
	bootClock ownership.Clock

	onDial func()

	// connectQueue holds the new addresses to which MaintainConnections has not connected yet.
	connectQueue chan string

	memory *link.Memory

	reservations reservationSupport

	mu    sync.Mutex
	pools map[string]*link.Pool
}

// NewHopClient returns a client without connections. It calls onDial for each new connection. The boot clock gives the
// times at which calls are sent, from which other daemons derive how long they were on their way.
func NewHopClient(onDial func(), clock clockwork.Clock, bootClock ownership.Clock) *HopClient {
	return &HopClient{
		clock:        clock,
		process:      processID(rand.Uint64()),
		bootClock:    bootClock,
		onDial:       onDial,
		connectQueue: make(chan string, connectQueueCapacity),
		pools:        map[string]*link.Pool{},
	}
}

// LimitMemory bounds the memory of incomplete responses. It must be called before the first call.
func (h *HopClient) LimitMemory(m *link.Memory) { h.memory = m }

// poolFor returns the connection pool of an address and creates it if there is none.
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
	p := link.NewPool(address, link.Options{
		DialTimeout:      hopDialTimeout,
		AckTimeout:       hopAckTimeout,
		IdleTimeout:      hopIdleTimeout,
		SpareIdleTimeout: hopSpareIdleTimeout,
		MaxIdleConns:     hopMaxIdleConns,
		MaxBody:          hopMaxBody,
		OnDial:           h.onDial,
	}, h.clock)
	p.LimitMemory(h.memory)
	return p
}

// SetAddresses closes the connections to all other addresses and queues new addresses for a first connection.
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
		case h.connectQueue <- address:
		default: // the first call opens the connection
		}
	}
}

// closeExpired closes the idle connections that have reached their idle timeout.
func (h *HopClient) closeExpired() {
	h.mu.Lock()
	pools := slices.Collect(maps.Values(h.pools))
	h.mu.Unlock()
	for _, p := range pools {
		p.CloseExpired()
	}
}

// MaintainConnections opens a first connection to each new address, one after the other, and closes idle connections
// that have expired, until the context ends.
func (h *HopClient) MaintainConnections(ctx context.Context) error {
	expiry := h.clock.NewTicker(expiryInterval)
	defer expiry.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-expiry.Chan():
			h.closeExpired()
			continue
		case address := <-h.connectQueue:
			// If this fails, the first call connects again.
			_ = h.poolFor(address).Preconnect(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-h.clock.After(connectInterval):
		}
	}
}

// Send forwards a call once to the daemon of a host at the given address and returns its result. The body of an upload is
// sent only after its place is reserved.
func (h *HopClient) Send(ctx context.Context, host ownership.HostID, address string, c call.Call) call.Result {
	reservation, rejected := h.reserve(ctx, host, address, c)
	if rejected != nil {
		return *rejected
	}
	return h.send(ctx, host, address, c, func(header http.Header) {
		if reservation != "" {
			header.Set(reservationHeader, reservation)
		}
	})
}

// send sends a call to the daemon at an address, with the headers that addHeaders adds.
func (h *HopClient) send(
	ctx context.Context, host ownership.HostID, address string, c call.Call, addHeaders func(http.Header),
) call.Result {
	remaining := c.Deadline.Sub(h.clock.Now())
	if remaining <= 0 {
		return call.NotRun(call.Late)
	}
	header := h.callHeader(host, c, c.Header.Clone())
	header.Set(timeLeftHeader, strconv.FormatInt(remaining.Microseconds(), 10))
	addHeaders(header)
	response, err := h.poolFor(address).Do(ctx, backend.NewRequest(c, header), "", func(r *http.Response, _ bool) bool {
		return r.Header.Get(requestHeader) == string(c.ID)
	})
	if err != nil {
		result := backend.ErrorResult(ctx, err, !h.clock.Now().Before(c.Deadline))
		result.IsUnacknowledged = errors.Is(err, syscall.ETIMEDOUT)
		return result
	}
	return parseResult(response)
}

// callHeader adds the headers that describe a call to the given ones.
func (h *HopClient) callHeader(host ownership.HostID, c call.Call, header http.Header) http.Header {
	header.Set(requestHeader, string(c.ID))
	header.Set(classHeader, string(c.Class.Name))
	header.Set(serviceHeader, string(c.Service))
	header.Set(originHeader, string(c.Origin))
	header.Set(targetHeader, string(host))
	header.Set(sentHeader, sendTime{process: h.process, at: h.bootClock.Now()}.String())
	header.Set(classSpecHeader,
		formatFields(c.Class.Latency.Microseconds(), int64(c.Class.Rank))+","+strconv.FormatBool(c.Class.Idempotent))
	if c.Class.Bulk != class.NoBulk {
		header.Set(bulkHeader, c.Class.Bulk.String())
	}
	if c.IsSuspected {
		header.Set(suspectHeader, "1")
	}
	if c.MaxWait > 0 {
		header.Set(maxWaitHeader, strconv.FormatInt(max(1, c.MaxWait.Microseconds()), 10))
	}
	if c.IsNested {
		header.Set(nestedHeader, "1")
	}
	if c.IsReturn {
		header.Set(returnHeader, "1")
	}
	if c.HasKey {
		header.Set(keyHeader, strconv.Itoa(int(c.Key)))
	}
	return header
}

// parseResult decodes the result from the response of another daemon. Without a valid outcome header, the outcome is
// unknown.
func parseResult(r *link.Response) call.Result {
	result := call.Result{
		Outcome: class.ParseOutcome(r.Header.Get(outcomeHeader)),
		Reason:  call.ParseReason(r.Header.Get(reasonHeader)),
		Status:  r.Status,
		Host:    r.Header.Get(hostHeader),
		Body:    r.Body,
	}
	if us, err := strconv.ParseInt(r.Header.Get(retryAfterHeader), 10, 64); err == nil {
		result.RetryAfter = time.Duration(us) * time.Microsecond
	}
	result.Load = parseLoad(r.Header.Get(loadHeader))
	result.IsNested = r.Header.Get(nestedHeader) != ""
	call.StripHopByHop(r.Header)
	call.StripDaemonHeaders(r.Header)
	result.Header = r.Header
	return result
}
