package deployment

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/skylarkrelay/skylarkrelay/platform"
)

// deregister announces the end of the server and sends no more heartbeats. It reports whether the daemon acknowledged it.
func (s *Server) deregister() bool {
	s.stop()
	path, body, err := platform.EncodeDeregistration(s.instance)
	if err != nil || !s.post(path, body) {
		return false
	}
	s.recordDrainAcknowledgment()
	return true
}

// post sends a call to the host's daemon and reports whether it succeeded.
func (s *Server) post(path string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.heartbeatAddress+path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	client := &http.Client{}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // only the status matters
	return response.StatusCode == http.StatusOK
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
			server.post(path, body) // the daemon may reject it
		}
	}
}

func (h *Host) currentServer() *Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.server
}
