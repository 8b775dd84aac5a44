package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// Trouble is what a proxy does to the connections of one link.
type Trouble struct {
	// Delay holds each piece of data up.
	Delay time.Duration
	// HoldTo and HoldFrom carry nothing towards the target, or nothing back, until they end.
	HoldTo, HoldFrom bool
	// Refuse resets new connections.
	Refuse bool
}

// Proxy carries TCP connections to one target, and brings trouble on them.
type Proxy struct {
	target   string
	dialer   net.Dialer
	listener net.Listener
	cancel   context.CancelFunc
	group    sync.WaitGroup

	mu      sync.Mutex
	trouble Trouble
	// changed closes when the trouble changes.
	changed chan struct{}
	conns   map[net.Conn]bool
}

// chunkSize is how much is read at a time.
const chunkSize = 16 << 10

// NewProxy returns a proxy from an address to a target. It calls the target from the given IP number.
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

// Set replaces the trouble.
func (p *Proxy) Set(t Trouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trouble = t
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) state() (Trouble, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trouble, p.changed
}

// Reset breaks all connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

// reset closes a connection without the rest of its data.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a closed one needs no more
	}
	_ = conn.Close() // it may be closed already
}

// Close ends the proxy and all its connections.
func (p *Proxy) Close() {
	p.cancel()
	_ = p.listener.Close() // nobody is left
	p.Reset()
	p.group.Wait()
}

func (p *Proxy) serve(ctx context.Context) {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		if t, _ := p.state(); t.Refuse {
			reset(near)
			continue
		}
		p.group.Go(func() { p.carry(ctx, near) })
	}
}

// carry connects one connection with the target until either side ends.
func (p *Proxy) carry(ctx context.Context, near net.Conn) {
	far, err := p.dialer.DialContext(ctx, "tcp", p.target)
	if err != nil {
		reset(near) // the target refuses
		return
	}
	p.keep(near, far)
	defer p.drop(near, far)
	var group sync.WaitGroup
	group.Go(func() { p.pump(ctx, far, near, func(t Trouble) bool { return t.HoldTo }) })
	group.Go(func() { p.pump(ctx, near, far, func(t Trouble) bool { return t.HoldFrom }) })
	group.Wait()
}

func (p *Proxy) keep(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.conns[conn] = true
	}
}

func (p *Proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.conns, conn)
		_ = conn.Close() // it may be closed already
	}
}

// pump copies one direction. The other one ends with it, unless this one ended in order.
func (p *Proxy) pump(ctx context.Context, to, from net.Conn, isHeld func(Trouble) bool) {
	chunk := make([]byte, chunkSize)
	for {
		n, err := from.Read(chunk)
		if !p.await(ctx, isHeld) {
			return
		}
		if n > 0 {
			if _, err := to.Write(chunk[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // it may be closed already
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// await waits for the delay, and for as long as the direction is held.
func (p *Proxy) await(ctx context.Context, isHeld func(Trouble) bool) bool {
	t, _ := p.state()
	if t.Delay > 0 && !sleep(ctx, t.Delay) {
		return false
	}
	for {
		t, changed := p.state()
		if !isHeld(t) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// sleep waits, and tells whether it did so to the end.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
