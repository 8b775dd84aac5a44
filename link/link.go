package link

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Response is a complete HTTP response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte

	raw        *http.Response
	closesConn bool
}

// mismatchedResponseError reports that only responses to other requests were received.
type mismatchedResponseError struct{}

// Error implements error.
func (mismatchedResponseError) Error() string { return "received a response to another request" }

// ErrMismatchedResponse is the cause of a LostError if only responses to other requests were received.
var ErrMismatchedResponse error = mismatchedResponseError{}

// UnsentError reports a request of which no byte was sent.
type UnsentError struct{ Cause error }

// Error implements error.
func (e *UnsentError) Error() string { return "request not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// LostError reports a request that was sent, at least in part, and got no complete response.
type LostError struct{ Cause error }

// Error implements error.
func (e *LostError) Error() string {
	return "request sent at least in part, no complete response: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// TooLargeError reports a response whose body exceeds the limit.
type TooLargeError struct{ Bytes int64 }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("response body of at least %d bytes exceeds the limit", e.Bytes)
}

// Options configures a pool.
type Options struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// AckTimeout is the time after which a connection is closed if sent data is not acknowledged.
	AckTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept, unless the server announces a shorter time.
	IdleTimeout time.Duration
	// SpareIdleTimeout is how long idle connections in addition to the first one are kept. Zero means IdleTimeout.
	SpareIdleTimeout time.Duration
	// MaxIdleConns limits the number of idle connections.
	MaxIdleConns int
	// MaxBody is the size limit of a response body in bytes.
	MaxBody int64
	// OnDial is called for each new connection, if set.
	OnDial func()
}

// idleMargin is how long before the server's idle timeout a connection is no longer reused, so that a request is not
// sent while the server closes the connection.
const idleMargin = time.Second

// Pool is a pool of connections to one address. It is safe for concurrent use.
type Pool struct {
	address string
	options Options
	clock   clockwork.Clock
	dialer  net.Dialer

	memory *Memory
	active atomic.Int64
	// onIdleClosed is called for an idle connection that the other side has closed before its idle timeout, if set.
	onIdleClosed func()

	mu       sync.Mutex
	idle     []*conn
	isClosed bool
}

// NewPool returns an empty pool for the given address.
func NewPool(address string, options Options, clock clockwork.Clock) *Pool {
	return &Pool{
		address: address,
		options: options,
		clock:   clock,
		dialer:  Dialer(options.DialTimeout, options.AckTimeout),
	}
}

// keepAliveProbes is the number of unanswered keep-alive probes after which a connection is closed.
const keepAliveProbes = 3

// Dialer returns a dialer whose connections fail if the other side does not acknowledge sent data within ackTimeout or
// does not answer keep-alive probes.
func Dialer(timeout, ackTimeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     max(time.Second, ackTimeout),
			Interval: time.Second,
			Count:    keepAliveProbes,
		},
		ControlContext: func(_ context.Context, _, _ string, raw syscall.RawConn) error {
			var sockoptErr error
			err := raw.Control(func(fd uintptr) {
				sockoptErr = unix.SetsockoptInt(
					int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockoptErr
		},
	}
}

// Acceptor reports whether a response answers a request. isFirst is set if nothing was sent on the connection before the
// request, so that the response cannot belong to another one.
type Acceptor func(r *http.Response, isFirst bool) bool

// Do sends a request once and returns the complete response. Responses that are not accepted belong to other requests and
// are skipped. A request with an ID is not sent on a connection that recently carried the same ID, because a second copy
// of the earlier response would be taken for the answer. A request whose context has ended, or whose caller has left, is
// not sent. The error is an UnsentError or a LostError.
func (p *Pool) Do(ctx context.Context, r *http.Request, id string, accepts Acceptor) (*Response, error) {
	if err := departure(ctx); err != nil {
		return nil, &UnsentError{Cause: err}
	}
	c, err := p.acquire(ctx, id)
	if err != nil {
		return nil, &UnsentError{Cause: err}
	}
	if !c.isUsed { // opening the connection may have taken long
		if err := departure(ctx); err != nil {
			p.addIdle(c, p.options.IdleTimeout)
			return nil, &UnsentError{Cause: err}
		}
	}
	c.recordID(id)
	p.active.Add(1)
	response, err := c.exchange(ctx, r, accepts, bodyLimits{maxBytes: p.options.MaxBody, memory: p.memory})
	p.active.Add(-1)
	if err != nil {
		_ = c.Close() // it may already be closed
		return nil, err
	}
	p.release(c, response)
	return response, nil
}

// LimitMemory bounds the memory of response bodies that are being read, together with that of all other users of the
// bound. It must be called before the first request.
func (p *Pool) LimitMemory(m *Memory) { p.memory = m }

// ObserveIdleClosed sets the function that is called for an idle connection that cannot be reused, because the other side
// has closed it before its idle timeout or has sent surplus bytes. It must be called before the first request.
func (p *Pool) ObserveIdleClosed(onIdleClosed func()) { p.onIdleClosed = onIdleClosed }

// Active returns the number of requests that are in progress on open connections.
func (p *Pool) Active() int { return int(p.active.Load()) }

// acquire returns a clean idle connection that has not carried the ID, or a new one.
func (p *Pool) acquire(ctx context.Context, id string) (*conn, error) {
	for {
		c := p.popIdle(id)
		if c == nil {
			return p.dial(ctx)
		}
		isExpired := !p.clock.Now().Before(c.idleUntil)
		if !isExpired && c.isClean() {
			return c, nil
		}
		_ = c.Close() // it may already be closed
		if !isExpired && p.onIdleClosed != nil {
			p.onIdleClosed()
		}
	}
}

// popIdle removes and returns the idle connection that was used last, so that the others can reach their idle timeout. It
// passes over connections that have carried the ID.
func (p *Pool) popIdle(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; !c.hasCarried(id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	if p.options.OnDial != nil {
		p.options.OnDial()
	}
	return newConn(raw), nil
}

// release returns a connection to the pool after a complete response, or closes it if it cannot be reused.
func (p *Pool) release(c *conn, r *Response) {
	idle := p.options.IdleTimeout
	if advertised, ok := keepAliveTimeout(r.Header); ok {
		idle = min(idle, advertised-idleMargin)
	}
	isReusable := !r.closesConn && idle > 0 && c.reader.Buffered() == 0
	if !isReusable {
		_ = c.Close() // it may already be closed
		return
	}
	p.addIdle(c, idle)
}

// addIdle adds an idle connection and closes those that have reached their idle timeout.
func (p *Pool) addIdle(c *conn, idle time.Duration) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed || len(p.idle) >= p.options.MaxIdleConns {
		_ = c.Close() // it may already be closed
		return
	}
	if len(p.idle) > 0 && p.options.SpareIdleTimeout > 0 {
		idle = min(idle, p.options.SpareIdleTimeout)
	}
	c.idleUntil = now.Add(idle)
	p.closeExpired(now)
	p.idle = append(p.idle, c)
}

// CloseExpired closes the idle connections that have reached their idle timeout.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExpired(p.clock.Now())
}

// closeExpired does the work of CloseExpired. Idle timeouts differ, so an expired connection may be anywhere in the
// list. The caller holds the lock.
func (p *Pool) closeExpired(now time.Time) {
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		isExpired := !now.Before(c.idleUntil)
		if isExpired {
			_ = c.Close() // it may already be closed
		}
		return isExpired
	})
}

// Preconnect opens a connection for the first request, unless there is an idle one or the pool is closed.
func (p *Pool) Preconnect(ctx context.Context) error {
	p.mu.Lock()
	isUnneeded := len(p.idle) > 0 || p.isClosed
	p.mu.Unlock()
	if isUnneeded {
		return nil
	}
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.addIdle(c, p.options.IdleTimeout)
	return nil
}

// Close closes the idle connections. Connections in use are closed after their request.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	for _, c := range p.idle {
		_ = c.Close() // it may already be closed
	}
	p.idle = nil
}
