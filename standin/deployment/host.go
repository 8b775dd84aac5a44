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

// Host is one host of a deployment, with its daemon's process and its backend server.
type Host struct {
	ID    ownership.HostID
	Group Group
	ip    string
	links linkAddresses

	mu sync.Mutex
	// server is nil while no backend server runs.
	server  *Server
	process *exec.Cmd
	// exited is closed when the daemon has exited.
	exited chan struct{}
}

// daemonProcess returns the process of the host's daemon and the channel that is closed when it has exited.
func (h *Host) daemonProcess() (*os.Process, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process.Process, h.exited
}

// DaemonPID returns the process ID of the host's daemon.
func (h *Host) DaemonPID() int {
	process, _ := h.daemonProcess()
	return process.Pid
}

// IP returns the host's IP address.
func (h *Host) IP() string { return h.ip }

// linkAddresses holds the addresses that an AddressMapper returned for a host's links: those of the store and the
// backend server for the host's daemon, and the IP address that the daemon advertises to other daemons.
type linkAddresses struct{ store, server, advertise string }

// CallerAddress returns the address on which the host's daemon accepts calls.
func (h *Host) CallerAddress() string { return h.address(callerPort) }

// OperatorAddress returns the address on which the host's daemon serves operators.
func (h *Host) OperatorAddress() string { return h.address(firstDaemonPort + 2) }

func (h *Host) address(port int) string { return net.JoinHostPort(h.ip, strconv.Itoa(port)) }

// IsDaemonRunning reports whether the host's daemon runs.
func (h *Host) IsDaemonRunning() bool {
	_, exited := h.daemonProcess()
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// SignalDaemon sends a signal to the host's daemon.
func (h *Host) SignalDaemon(s syscall.Signal) error {
	process, _ := h.daemonProcess()
	return process.Signal(s)
}

// KillDaemon kills the host's daemon and waits until it has exited.
func (h *Host) KillDaemon() {
	process, exited := h.daemonProcess()
	_ = process.Kill() // the daemon may have exited already
	<-exited
}

// TerminateDaemon sends SIGTERM to the host's daemon and reports whether it exited within stopTimeout. A daemon that
// did not is killed.
func (h *Host) TerminateDaemon() bool {
	process, exited := h.daemonProcess()
	_ = process.Signal(syscall.SIGTERM) // the daemon may have exited already
	select {
	case <-exited:
		return true
	case <-time.After(stopTimeout):
		_ = process.Kill() // the daemon may have exited meanwhile
		<-exited
		return false
	}
}

// CrashServer stops the host's backend server without a drain, if one runs.
func (h *Host) CrashServer() {
	h.mu.Lock()
	server := h.server
	h.server = nil
	h.mu.Unlock()
	if server != nil {
		server.crash()
	}
}

// HasServer reports whether the host's backend server runs.
func (h *Host) HasServer() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.server != nil
}

// DrainServer makes the host's backend server announce that it drains, if one runs.
func (h *Host) DrainServer() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server != nil {
		h.server.Drain()
	}
}

// LimitServer makes the host's backend server, if one runs, state a rate limit in requests per second. Zero ends it.
func (h *Host) LimitServer(perSecond float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server != nil {
		h.server.notices.setRateLimit(perSecond)
	}
}

// LeaveServer makes the host's backend server, if one runs, state in its responses, and nowhere else, that it is leaving.
func (h *Host) LeaveServer() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server != nil {
		h.server.notices.leave()
	}
}

// Status returns the status that the host's daemon reports to operators.
func (h *Host) Status(ctx context.Context) (operator.Status, error) {
	return operator.NewClient(h.OperatorAddress()).Status(ctx)
}

// isStarted reports whether a daemon was ever started on the host.
func (h *Host) isStarted() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process != nil
}
