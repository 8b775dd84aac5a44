package link

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// IsClosedByPeer reports whether the other side has closed a connection, without reading from it. The detection by
// net/http runs on a separate goroutine, which may notice the end only after a handler has started its work.
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
		var buf [1]byte
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isOpen := errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR)
		isClosed = n <= 0 && !isOpen
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
