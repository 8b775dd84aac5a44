package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connKey is the context key of the connection that a request arrived on.
type connKey struct{}

// departureCacheTime is for how long a connection that was open counts as open. The requests that follow from one that has
// just been read need no checks of their own.
const departureCacheTime = 10 * time.Millisecond

// WithConn is the http.Server.ConnContext of servers whose handlers use HasCallerLeft.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, newProbe(conn))
}

// HasCallerLeft reports whether the caller of a request has closed the connection that the request arrived on. The
// context of a request ends for the same reason, but later: net/http detects the end on a goroutine of its own, and only
// if nothing else was sent before it.
func HasCallerLeft(ctx context.Context) bool {
	p, ok := ctx.Value(connKey{}).(*probe)
	return ok && p.isClosedByPeer(departureCacheTime)
}

// IsClosedByPeer reports whether the other side has closed a connection, without reading from it.
func IsClosedByPeer(conn net.Conn) bool { return newProbe(conn).isClosedByPeer(0) }

// probe checks one connection. It is safe for concurrent use.
type probe struct {
	// raw is nil if the connection is not one of the operating system.
	raw syscall.RawConn
	// arrivals is nil if the connection does not measure when its requests arrive.
	arrivals arrivalConn
	// check is the method checkDescriptor, which is kept because each use of a method as a function allocates it.
	check func(fd uintptr)

	mu       sync.Mutex
	events   [1]unix.PollFd
	openAt   time.Time
	isClosed bool
}

func newProbe(conn net.Conn) *probe {
	p := &probe{}
	p.check = p.checkDescriptor
	p.arrivals, _ = conn.(arrivalConn)
	if c, ok := conn.(syscall.Conn); ok {
		// It fails only for connections that are not initialized.
		p.raw, _ = c.SyscallConn()
	}
	return p
}

// isClosedByPeer reports whether the other side has closed the connection, or had not done so less than maxAge ago.
func (p *probe) isClosedByPeer(maxAge time.Duration) bool {
	if p.raw == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// The result concerns a connection of the operating system, so its age is measured by the system's clock.
	now := time.Now()
	if p.isClosed || now.Sub(p.openAt) < maxAge {
		return p.isClosed
	}
	if err := p.raw.Control(p.check); err != nil {
		p.isClosed = true // this side has closed it
	}
	if !p.isClosed {
		p.openAt = now
	}
	return p.isClosed
}

// checkDescriptor sets isClosed. The caller holds the lock.
func (p *probe) checkDescriptor(fd uintptr) {
	// The end of the stream is reported also behind unread bytes, such as requests that were sent ahead.
	p.events[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLRDHUP}
	if _, err := unix.Poll(p.events[:], 0); err == nil {
		p.isClosed = p.events[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	}
}

// callerGoneError reports that the caller of a request has closed its connection.
type callerGoneError struct{}

// Error implements error.
func (callerGoneError) Error() string { return "the caller has closed its connection" }

// ErrCallerGone is the cause of an UnsentError if the caller of the request has closed its connection.
var ErrCallerGone error = callerGoneError{}

// departure returns the cause for which nobody waits for the response to a request: the end of its context, or that its
// caller has left. It returns nil if neither is known.
func departure(ctx context.Context) error {
	if err := context.Cause(ctx); err != nil {
		return err
	}
	if HasCallerLeft(ctx) {
		return ErrCallerGone
	}
	return nil
}

// IsRefused reports whether a host refuses connections to an address, which means that no process listens there. A host
// that does not answer within the timeout refuses nothing.
func IsRefused(ctx context.Context, address string, timeout time.Duration) bool {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close() // only whether connecting succeeds matters
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
