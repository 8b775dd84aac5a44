package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/run"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/platform"
)

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

const (
	// listenRetry and listenTries are for an address that the process before this one still holds.
	listenRetry = 50 * time.Millisecond
	listenTries = 40
	// headerTimeout bounds the reading of headers from processes of the deployment. Connections that were made in advance
	// wait as long for their first request, so it is longer than they are kept.
	headerTimeout = 30 * time.Second
)

func listen(address string) (net.Listener, error) {
	var listener net.Listener
	var err error
	for range listenTries {
		listener, err = net.Listen("tcp", address)
		if err == nil {
			return listener, nil
		}
		time.Sleep(listenRetry) // before anything runs there is nothing else to wait for
	}
	return nil, &ListenError{Address: address, Cause: err}
}

// serve adds an HTTP server for processes of the deployment.
func (d *Daemon) serve(group *run.Group, name, address string, handler http.Handler) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          d.observer.httpErrors(name),
		ConnContext:       peer.WithConn,
	}
	group.Add(func() error { return ended(server.Serve(listener)) }, func(error) {
		_ = server.Close() // what runs ends with the process
	})
	return nil
}

// ended leaves out the error with which a closed server ends.
func ended(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

func (d *Daemon) addHop(_ context.Context, group *run.Group) error {
	report := func(err error) { d.observer.refused("hop", err) }
	handler := peer.HopHandler(d.runner, d.settings.Host, d.settings.Service, d.clock, report)
	return d.serve(group, "hop", d.settings.ForwardAddress(), handler)
}

// addWarmer makes connections to new hosts before calls need them.
func (d *Daemon) addWarmer(ctx context.Context, group *run.Group) error {
	loop(ctx, group, d.hops.Warm)
	return nil
}

func (d *Daemon) addHeartbeats(_ context.Context, group *run.Group) error {
	return d.serve(group, "heartbeats", d.settings.Backend.Listen, platform.HeartbeatHandler(heartbeats{d.control}))
}

func (d *Daemon) addReady(_ context.Context, group *run.Group) error {
	return d.serve(group, "ready", d.settings.Ready.Listen, platform.ReadyHandler(d.isReady))
}

// isReady tells whether callers should come here.
func (d *Daemon) isReady() bool { return d.entry.Config() != nil && !d.stopping.Load() }

func (d *Daemon) addGossip(ctx context.Context, group *run.Group) error {
	listener, err := listen(d.settings.ControlAddress())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return peer.Serve(ctx, listener, gossip{d.control}) }, func(error) {
		cancel()
		_ = listener.Close() // it ends with the process
	})
	return nil
}

func (d *Daemon) addCallers(_ context.Context, group *run.Group) error {
	listener, err := listen(d.settings.Caller.Listen)
	if err != nil {
		return err
	}
	group.Add(func() error { return d.limits.serve(listener) }, func(error) {
		_ = listener.Close() // it may be closed already
		d.limits.close()
	})
	return nil
}

// limitedServer serves callers under limits that may change. New limits hold for new connections.
type limitedServer struct {
	handler http.Handler
	errors  logWriter

	mu      sync.Mutex
	current *generation
	all     []*generation
	limits  class.Limits
	closed  bool
}

// generation is an HTTP server under the limits of one time.
type generation struct {
	server *http.Server
	conns  chan net.Conn
	done   chan struct{}
	addr   net.Addr
}

func newLimitedServer(handler http.Handler, errors logWriter) *limitedServer {
	return &limitedServer{handler: handler, errors: errors}
}

// setLimits puts limits in force.
func (l *limitedServer) setLimits(limits class.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limits == l.limits && l.current != nil {
		return
	}
	l.limits = limits
	l.current = nil // the next connection begins a new generation
}

// serve takes connections until the listener is closed.
func (l *limitedServer) serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return nil //nolint:nilerr // the listener is closed to stop
		}
		if g := l.generation(listener.Addr()); g != nil {
			g.take(conn)
		} else {
			_ = conn.Close() // nothing was read of it
		}
	}
}

func (l *limitedServer) generation(addr net.Addr) *generation {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	if l.current == nil {
		g := &generation{conns: make(chan net.Conn), done: make(chan struct{}), addr: addr}
		g.server = &http.Server{
			Handler:           l.handler,
			MaxHeaderBytes:    l.limits.HeaderBytes,
			ReadHeaderTimeout: l.limits.HeaderTimeout,
			IdleTimeout:       l.limits.IdleTimeout,
			ErrorLog:          l.errors,
		}
		go func() { _ = g.server.Serve(g) }() // it ends with close, and reports on ErrorLog
		l.current = g
		l.all = append(l.all, g)
	}
	return l.current
}

// close ends all connections.
func (l *limitedServer) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, g := range l.all {
		_ = g.server.Close() // what runs ends with the process
	}
}

func (g *generation) take(conn net.Conn) {
	select {
	case g.conns <- conn:
	case <-g.done:
		_ = conn.Close() // nothing was read of it
	}
}

// Accept implements net.Listener.
func (g *generation) Accept() (net.Conn, error) {
	select {
	case conn := <-g.conns:
		return conn, nil
	case <-g.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (g *generation) Close() error {
	select {
	case <-g.done:
	default:
		close(g.done)
	}
	return nil
}

// Addr implements net.Listener.
func (g *generation) Addr() net.Addr { return g.addr }
