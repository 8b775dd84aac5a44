// Package cutter relays TCP connections and can cut them, as a broken network does.
package cutter

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
)

// Cutter relays connections to one address.
type Cutter struct {
	to string

	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]bool
}

// New returns a cutter that lets connections through to an address.
func New(to string) *Cutter { return &Cutter{to: to, conns: map[net.Conn]bool{}} }

// ListenError reports a listener that broke.
type ListenError struct{ Cause error }

func (e *ListenError) Error() string { return "cutter: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Serve relays until the context ends.
func (c *Cutter) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		c.Cut()
	})
	defer stop()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return &ListenError{Cause: err}
		}
		go c.relay(conn)
	}
}

// Cut ends all connections and refuses new ones.
func (c *Cutter) Cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isCut = true
	for conn := range c.conns {
		_ = conn.Close() // it may be closed already
	}
}

// Heal lets connections through again.
func (c *Cutter) Heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isCut = false
}

// keep remembers a connection, unless the network is cut.
func (c *Cutter) keep(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isCut {
		return false
	}
	c.conns[conn] = true
	return true
}

func (c *Cutter) drop(conn net.Conn) {
	_ = conn.Close() // it may be closed already
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

func (c *Cutter) relay(near net.Conn) {
	defer c.drop(near)
	if !c.keep(near) {
		return
	}
	far, err := net.Dial("tcp", c.to)
	if err != nil {
		return
	}
	defer c.drop(far)
	if !c.keep(far) {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(far, near) // either side may end it
		_ = far.Close()
	}()
	_, _ = io.Copy(near, far) // either side may end it
	_ = near.Close()
	<-done
}
