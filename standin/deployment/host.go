package deployment

import (
	"context"
	"net"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/skylarkrelay/skylarkrelay/operator"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// Host is one host: a daemon's process and a backend server.
type Host struct {
	ID    ownership.HostID
	Group Group
	ip    string
	links links

	mu      sync.Mutex
	server  *Server
	process *exec.Cmd
	exited  chan struct{}
}

// daemon returns the host's process and the channel that closes when it has ended.
func (h *Host) daemon() (*os.Process, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process.Process, h.exited
}

// DaemonPID returns the id of the host's daemon.
func (h *Host) DaemonPID() int {
	process, _ := h.daemon()
	return process.Pid
}

// IP returns the host's IP number.
func (h *Host) IP() string { return h.ip }

// links are the addresses at which the ends of a host's links find each other.
type links struct{ store, server, advertise string }

// Caller returns the address for callers.
func (h *Host) Caller() string { return h.address(callerPort) }

// Operator returns the address for operators.
func (h *Host) Operator() string { return h.address(firstPort + 2) }

func (h *Host) address(port int) string { return net.JoinHostPort(h.ip, strconv.Itoa(port)) }

// IsDaemonRunning tells whether the host's daemon runs.
func (h *Host) IsDaemonRunning() bool {
	_, exited := h.daemon()
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// SignalDaemon sends a signal to a host's daemon.
func (h *Host) SignalDaemon(s syscall.Signal) error {
	process, _ := h.daemon()
	return process.Signal(s)
}

// KillDaemon ends a host's daemon at once.
func (h *Host) KillDaemon() {
	process, exited := h.daemon()
	_ = process.Kill() // it may have ended
	<-exited
}

// TerminateDaemon ends a host's daemon in order and tells whether it ended in time.
func (h *Host) TerminateDaemon() bool {
	process, exited := h.daemon()
	_ = process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case <-exited:
		return true
	case <-time.After(stopTimeout):
		_ = process.Kill() // it may have ended meanwhile
		<-exited
		return false
	}
}

// CrashServer ends a host's backend server, if there is one.
func (h *Host) CrashServer() {
	h.mu.Lock()
	server := h.server
	h.server = nil
	h.mu.Unlock()
	if server != nil {
		server.end()
	}
}

// HasServer tells whether the host's backend server runs.
func (h *Host) HasServer() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.server != nil
}

// DrainServer makes a host's backend server say that it leaves, if there is one.
func (h *Host) DrainServer() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server != nil {
		h.server.Drain()
	}
}

// Status asks a host's daemon.
func (h *Host) Status(ctx context.Context) (operator.Status, error) {
	return operator.NewClient(h.Operator()).Status(ctx)
}

func (h *Host) isStarted() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process != nil
}
