package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/run"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/link"
	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/platform"
)

// ListenError reports that the daemon cannot listen on an address.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

const (
	// listenRetryInterval and listenAttempts allow for an address that the previous process has not released yet.
	listenRetryInterval = 50 * time.Millisecond
	listenAttempts      = 40
	// headerTimeout bounds the reading of request headers from other processes of the deployment. It also limits how
	// long a connection that was opened in advance waits for its first request, so it is longer than such connections
	// are kept.
	headerTimeout = 30 * time.Second
)

func listen(address string) (net.Listener, error) {
	var listener net.Listener
	var err error
	for range listenAttempts {
		listener, err = net.Listen("tcp", address)
		if err == nil {
			return listener, nil
		}
		time.Sleep(listenRetryInterval) // no other part of the daemon runs yet, so nothing else is delayed
	}
	return nil, &ListenError{Address: address, Cause: err}
}

// serve adds an HTTP server for other processes of the deployment to the run group.
func (d *Daemon) serve(group *run.Group, name, address string, handler http.Handler) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          d.observer.httpErrorLog(name),
		ConnContext:       link.WithConn,
	}
	group.Add(func() error { return ignoreServerClosed(server.Serve(d.lingerer.listen(listener))) }, func(error) {
		_ = server.Close() // running requests end with the process
	})
	return nil
}

// ignoreServerClosed drops the error that a closed server returns.
func ignoreServerClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

func (d *Daemon) addHop(_ context.Context, group *run.Group) error {
	receiver := peer.HopReceiver{
		Runner:    d.runner,
		Host:      d.settings.Host,
		Service:   d.settings.Service,
		Memory:    d.bodyMemory,
		Bodies:    d.observer.bodies("daemon"),
		Config:    d.callerHandler.Config,
		Forward:   d.forwardCall,
		Clock:     d.clock,
		BootClock: d.options.BootClock,
		OnInvalid: func(err error) { d.observer.inputRejected("hop", err) },
		OnArrival: d.observer.callArrived,
		Transfers: &peer.Transfers{Gate: d.transfers, CanStart: d.runner.CanStart},
	}
	return d.serve(group, "hop", d.settings.ForwardAddress(), receiver.Handler())
}

// addHopConnections adds a loop that opens connections to new hosts before calls need them, and closes expired ones.
func (d *Daemon) addHopConnections(ctx context.Context, group *run.Group) error {
	addLoop(ctx, group, d.hops.MaintainConnections)
	return nil
}

func (d *Daemon) addHeartbeats(_ context.Context, group *run.Group) error {
	return d.serve(group, "heartbeats", d.settings.Backend.Listen,
		platform.HeartbeatHandler(heartbeatHandler{d.control}))
}

func (d *Daemon) addReady(_ context.Context, group *run.Group) error {
	return d.serve(group, "ready", d.settings.Ready.Listen, platform.ReadyHandler(d.isReady))
}

// isReady reports whether callers may send their requests to this daemon.
func (d *Daemon) isReady() bool {
	return d.callerHandler.Config() != nil && isClosed(d.control.evacuation.isKnown) && !d.isStopping.Load()
}

func (d *Daemon) addGossip(ctx context.Context, group *run.Group) error {
	listener, err := listen(d.settings.ControlAddress())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return peer.Serve(ctx, listener, gossipHandler{d.control}) }, func(error) {
		cancel()
		_ = listener.Close() // the process is ending
	})
	return nil
}

func (d *Daemon) addCallers(_ context.Context, group *run.Group) error {
	listener, err := listen(d.settings.Caller.Listen)
	if err != nil {
		return err
	}
	group.Add(func() error { return d.callerServer.serve(d.lingerer.listen(listener)) }, func(error) {
		_ = listener.Close() // it may be closed already
		d.callerServer.close()
	})
	return nil
}

// limitedServer is an HTTP server for callers whose limits may change. New limits apply to new connections.
type limitedServer struct {
	handler  http.Handler
	errorLog stdLogger

	mu          sync.Mutex
	current     *serverGeneration
	generations []*serverGeneration
	limits      class.Limits
	isClosed    bool
}

// serverGeneration is an HTTP server with the limits that were in force when it was created. It is also the listener
// that passes connections to that server.
type serverGeneration struct {
	server *http.Server
	conns  chan net.Conn
	done   chan struct{}
	addr   net.Addr
}

func newLimitedServer(handler http.Handler, errorLog stdLogger) *limitedServer {
	return &limitedServer{handler: handler, errorLog: errorLog}
}

// setLimits sets the limits for new connections.
func (l *limitedServer) setLimits(limits class.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limits == l.limits && l.current != nil {
		return
	}
	l.limits = limits
	l.current = nil // the next connection creates a new generation
}

// serve accepts connections until the listener is closed.
func (l *limitedServer) serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return nil //nolint:nilerr // closing the listener is how the server is stopped
		}
		if g := l.currentGeneration(listener.Addr()); g != nil {
			g.dispatch(conn)
		} else {
			_ = conn.Close() // nothing has been read from it
		}
	}
}

func (l *limitedServer) currentGeneration(addr net.Addr) *serverGeneration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed {
		return nil
	}
	if l.current == nil {
		g := &serverGeneration{conns: make(chan net.Conn), done: make(chan struct{}), addr: addr}
		g.server = &http.Server{
			Handler:           l.handler,
			MaxHeaderBytes:    l.limits.HeaderBytes,
			ReadHeaderTimeout: l.limits.HeaderTimeout,
			IdleTimeout:       l.limits.IdleTimeout,
			ErrorLog:          l.errorLog,
			ConnContext:       link.WithConn,
		}
		go func() { _ = g.server.Serve(g) }() // it returns after close, and logs errors to ErrorLog
		l.current = g
		l.generations = append(l.generations, g)
	}
	return l.current
}

// close closes all connections. Connections that are accepted later are closed at once.
func (l *limitedServer) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isClosed = true
	for _, g := range l.generations {
		_ = g.server.Close() // running requests end with the process
	}
}

func (g *serverGeneration) dispatch(conn net.Conn) {
	select {
	case g.conns <- conn:
	case <-g.done:
		_ = conn.Close() // nothing has been read from it
	}
}

// Accept implements net.Listener.
func (g *serverGeneration) Accept() (net.Conn, error) {
	select {
	case conn := <-g.conns:
		return conn, nil
	case <-g.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (g *serverGeneration) Close() error {
	select {
	case <-g.done:
	default:
		close(g.done)
	}
	return nil
}

// Addr implements net.Listener.
func (g *serverGeneration) Addr() net.Addr { return g.addr }
