package link

import (
	"errors"
	"net"
	"syscall"

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
