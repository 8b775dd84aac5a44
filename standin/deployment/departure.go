package deployment

import (
	"context"
	"net/http"
	"time"

	"github.com/skylarkrelay/skylarkrelay/platform"
)

// deregister announces the end of the server and sends no more heartbeats. It reports whether the daemon acknowledged it.
func (s *Server) deregister() bool {
	s.stop()
	s.mu.Lock()
	s.isDeregistered = true
	s.mu.Unlock()
	path, body, err := platform.EncodeDeregistration(s.instance)
	if err != nil || !s.postOnce(path, body) {
		return false
	}
	s.recordDrainAcknowledgment()
	return true
}

// serveHealth answers a health check.
func (s *Server) serveHealth(w http.ResponseWriter) {
	s.warmup.stateWarmup(w.Header(), s.headers)
	w.Header().Set(s.headers.Instance, s.instance.ID)
	s.mu.Lock()
	isLeaving := s.draining || s.isDeregistered
	s.mu.Unlock()
	if isLeaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// postOnce sends a call to the host's daemon on a connection of its own and reports whether it succeeded.
func (s *Server) postOnce(path string, body []byte) bool {
	client := &http.Client{Timeout: heartbeatTimeout}
	defer client.CloseIdleConnections()
	_, ok := s.post(context.Background(), client, path, body)
	return ok
}

// DeregisterServer makes the host's backend server, if one runs, announce its end without a drain. It goes on to serve.
func (h *Host) DeregisterServer() {
	if server := h.currentServer(); server != nil {
		server.deregister()
	}
}

// stopsListeningFor is how long a server that shuts down is up after it has stopped listening.
const stopsListeningFor = time.Second

// ShutDownServer ends the host's backend server, if one runs, in an orderly way: it stops listening, and exits a while later,
// within its holds.
func (h *Host) ShutDownServer() {
	server := h.currentServer()
	if server == nil {
		return
	}
	server.stop()
	_ = server.listener.Close() // it may be closed already
	time.Sleep(stopsListeningFor)
	h.CrashServer()
}

// HoldBackHeartbeat returns a function that delivers a heartbeat which the host's backend server, if one runs, sends now.
func (h *Host) HoldBackHeartbeat() (deliver func()) {
	server := h.currentServer()
	if server == nil {
		return func() {}
	}
	path, body, err := platform.EncodeHeartbeat(server.newHeartbeat())
	return func() {
		if err == nil {
			server.postOnce(path, body) // the daemon may reject it
		}
	}
}

func (h *Host) currentServer() *Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.server
}
