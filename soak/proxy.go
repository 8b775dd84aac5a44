package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/skylarkrelay/skylarkrelay/standin/deployment"
)

// Impairment describes how a proxy disturbs the connections of one link.
type Impairment struct {
	// Delay is added before each chunk of data is forwarded, in both directions.
	Delay time.Duration
	// StallToTarget and StallFromTarget hold back all data to the target or from the target until they are cleared.
	StallToTarget, StallFromTarget bool
	// RefuseConnections resets new connections; existing ones go on.
	RefuseConnections bool
}

// Proxy forwards TCP connections to one target and applies an impairment to them.
type Proxy struct {
	target   string
	dialer   net.Dialer
	listener net.Listener
	cancel   context.CancelFunc
	group    sync.WaitGroup

	mu         sync.Mutex
	impairment Impairment
	// changed is closed when the impairment changes.
	changed chan struct{}
	conns   map[net.Conn]bool
}

// bufferSize is the maximum number of bytes read and forwarded at a time.
const bufferSize = 16 << 10

// NewProxy returns a proxy that listens on an address and forwards connections to a target. It connects to the target
// from the given IP address.
func NewProxy(address, target, from string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Proxy{
		target:   target,
		dialer:   net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}},
		listener: listener,
		cancel:   cancel,
		changed:  make(chan struct{}),
		conns:    map[net.Conn]bool{},
	}
	p.group.Go(func() { p.serve(ctx) })
	return p, nil
}

// SetImpairment replaces the impairment; it also applies to existing connections.
func (p *Proxy) SetImpairment(impairment Impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.impairment = impairment
	close(p.changed)
	p.changed = make(chan struct{})
}

// current returns the impairment and a channel that is closed when it changes.
func (p *Proxy) current() (Impairment, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.impairment, p.changed
}

// ResetConnections resets all connections.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

// reset closes a connection and discards unsent data.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
	_ = conn.Close() // may be closed already
}

// Close stops the proxy and resets all its connections.
func (p *Proxy) Close() {
	p.cancel()
	_ = p.listener.Close() // the proxy is stopping: an error has no consequence
	p.ResetConnections()
	p.group.Wait()
}

func (p *Proxy) serve(ctx context.Context) {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if impairment, _ := p.current(); impairment.RefuseConnections {
			reset(client)
			continue
		}
		p.group.Go(func() { p.forward(ctx, client) })
	}
}

// forward connects to the target and copies data in both directions until both directions have ended.
func (p *Proxy) forward(ctx context.Context, client net.Conn) {
	target, err := p.dialer.DialContext(ctx, "tcp", p.target)
	if err != nil {
		reset(client) // the target did not accept the connection
		return
	}
	p.track(client, target)
	defer p.closeTracked(client, target)
	var group sync.WaitGroup
	group.Go(func() {
		p.copyDirection(ctx, target, client, func(impairment Impairment) bool { return impairment.StallToTarget })
	})
	group.Go(func() {
		p.copyDirection(ctx, client, target, func(impairment Impairment) bool { return impairment.StallFromTarget })
	})
	group.Wait()
}

// track records connections for ResetConnections.
func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.conns[conn] = true
	}
}

// closeTracked closes connections and removes them from the tracked ones.
func (p *Proxy) closeTracked(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.conns, conn)
		_ = conn.Close() // may be closed already
	}
}

// copyDirection copies data in one direction. On an error it resets the connection that did not fail, which ends the
// other direction too. On EOF it closes only its own direction.
func (p *Proxy) copyDirection(ctx context.Context, dst, src net.Conn, isStalled func(Impairment) bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := src.Read(buffer)
		if !p.awaitRelease(ctx, isStalled) {
			return
		}
		if n > 0 {
			if _, err := dst.Write(buffer[:n]); err != nil {
				reset(src)
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := dst.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // may be closed already
			}
			return
		}
		if err != nil {
			reset(dst)
			return
		}
	}
}

// awaitRelease waits for the delay, and then until the direction is no longer stalled. It returns false if the context
// ends first.
func (p *Proxy) awaitRelease(ctx context.Context, isStalled func(Impairment) bool) bool {
	impairment, _ := p.current()
	if impairment.Delay > 0 && !deployment.Sleep(ctx, impairment.Delay) {
		return false
	}
	for {
		impairment, changed := p.current()
		if !isStalled(impairment) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
