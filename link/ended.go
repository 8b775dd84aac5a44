package link

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasEnded tells whether the other side has closed a connection. It takes no byte from it. net/http notices the end on a
// goroutine of its own, which may come after a handler has begun to work.
func HasEnded(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	err = rc.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isQuiet := errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR)
		ended = n <= 0 && !isQuiet
	})
	return ended || err != nil
}
