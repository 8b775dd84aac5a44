package link

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connKey is the context key of the connection that a request arrived on.
type connKey struct{}

// WithConn is the http.Server.ConnContext of servers whose handlers use HasCallerLeft.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// HasCallerLeft reports whether the caller of a request has closed the connection that the request arrived on. The
// context of a request ends for the same reason, but later: net/http detects the end on a goroutine of its own, and only
// if nothing else was sent before it.
func HasCallerLeft(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && IsClosedByPeer(conn)
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

// IsClosedByPeer reports whether the other side has closed a connection, without reading from it.
func IsClosedByPeer(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	isClosed := false
	err = rc.Control(func(fd uintptr) {
		// The end of the stream is reported also behind unread bytes, such as requests that were sent ahead.
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if _, err := unix.Poll(events, 0); err == nil {
			isClosed = events[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		}
	})
	return isClosed || err != nil
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
