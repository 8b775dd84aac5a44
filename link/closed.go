package link

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsClosedByPeer tells whether the other side has closed a connection. It takes no byte from it. net/http notices the end on a
// goroutine of its own, which may come after a handler has begun to work.
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
