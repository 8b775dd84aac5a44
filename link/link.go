package link

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte

	raw   *http.Response
	closesConn bool
}

// mismatchedResponseError reports answers that belong to other requests.
type mismatchedResponseError struct{}

func (mismatchedResponseError) Error() string { return "answer to another request" }

// ErrMismatchedResponse is the cause of a LostError when only answers to other requests came.
var ErrMismatchedResponse error = mismatchedResponseError{}

// UnsentError says that no byte of the request left this host.
type UnsentError struct{ Cause error }

func (e *UnsentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// LostError says that the request was sent, at least in part, and no whole answer came back.
type LostError struct{ Cause error }

func (e *LostError) Error() string { return "answer lost: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// TooLargeError reports an answer over the limit.
type TooLargeError struct{ Bytes int64 }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("answer of %d bytes is too large", e.Bytes)
}

// Options are the limits of a pool.
type Options struct {
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// AckTimeout ends a connection whose other side does not acknowledge what was sent.
	AckTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept where the other side says nothing of it.
	IdleTimeout time.Duration
	// SpareIdleTimeout is how long unused connections are kept beside the first one; zero means IdleTimeout.
	SpareIdleTimeout time.Duration
	// MaxIdleConns bounds the unused connections.
	MaxIdleConns int
	// MaxBody bounds an answer's body.
	MaxBody int64
	// OnDial is called for each new connection, if set.
	OnDial func()
}

// idleMargin is how long before the other side's time-out an idle connection is given up, so that a request does not
// cross the close.
const idleMargin = time.Second

// Pool keeps connections to one address. It is safe for concurrent use.
type Pool struct {
	address string
	options Options
	clock   clockwork.Clock
	dialer  net.Dialer

	mu       sync.Mutex
	idle     []*conn
	isClosed bool
}

// NewPool returns a pool without connections.
func NewPool(address string, options Options, clock clockwork.Clock) *Pool {
	return &Pool{address: address, options: options, clock: clock, dialer: Dialer(options.DialTimeout, options.AckTimeout)}
}

// keepAliveProbes is how many probes go unanswered before a silent connection is given up.
const keepAliveProbes = 3

// Dialer returns a dialer whose connections notice a silent other side.
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
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockoptErr
		},
	}
}

// Do sends a request once and returns the whole answer to it. Answers that are not accepted belong to other requests
// and are skipped. The error is an UnsentError or a LostError.
func (p *Pool) Do(ctx context.Context, r *http.Request, accepts func(*http.Response) bool) (*Response, error) {
	c, err := p.acquire(ctx)
	if err != nil {
		return nil, &UnsentError{Cause: err}
	}
	response, err := c.exchange(ctx, r, accepts, p.options.MaxBody)
	if err != nil {
		_ = c.Close() // it may be closed already
		return nil, err
	}
	p.release(c, response)
	return response, nil
}

// acquire returns a clean idle connection or a new one.
func (p *Pool) acquire(ctx context.Context) (*conn, error) {
	for {
		c := p.popIdle()
		if c == nil {
			return p.dial(ctx)
		}
		if p.clock.Now().Before(c.idleUntil) && c.isClean() {
			return c, nil
		}
		_ = c.Close() // it may be closed already
	}
}

// popIdle returns the idle connection that was used last, so that the others can age.
func (p *Pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	if p.options.OnDial != nil {
		p.options.OnDial()
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferSize)}, nil
}

// release takes a connection back after a whole answer.
func (p *Pool) release(c *conn, r *Response) {
	idle := p.options.IdleTimeout
	if advertised, ok := keepAliveTimeout(r.Header); ok {
		idle = min(idle, advertised-idleMargin)
	}
	isReusable := !r.closesConn && idle > 0 && c.reader.Buffered() == 0
	if !isReusable {
		_ = c.Close() // it may be closed already
		return
	}
	p.addIdle(c, idle)
}

// addIdle adds an unused connection, and closes those that are too old.
func (p *Pool) addIdle(c *conn, idle time.Duration) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed || len(p.idle) >= p.options.MaxIdleConns {
		_ = c.Close() // it may be closed already
		return
	}
	if len(p.idle) > 0 && p.options.SpareIdleTimeout > 0 {
		idle = min(idle, p.options.SpareIdleTimeout)
	}
	c.idleUntil = now.Add(idle)
	for len(p.idle) > 0 && !now.Before(p.idle[0].idleUntil) {
		_ = p.idle[0].Close() // it may be closed already
		p.idle = p.idle[1:]
	}
	p.idle = append(p.idle, c)
}

// Preconnect makes a connection for the first request, unless there is one.
func (p *Pool) Preconnect(ctx context.Context) error {
	p.mu.Lock()
	hasIdle := len(p.idle) > 0 || p.isClosed
	p.mu.Unlock()
	if hasIdle {
		return nil
	}
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.addIdle(c, p.options.IdleTimeout)
	return nil
}

// Close ends the idle connections. Those in use end with their request.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	for _, c := range p.idle {
		_ = c.Close() // it may be closed already
	}
	p.idle = nil
}
