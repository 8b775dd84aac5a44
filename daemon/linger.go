package daemon

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkrelay/skylarkrelay/link"
)

const (
	// lingerTime bounds how long a closed connection waits for the other side to close it. It allows for a
	// retransmission of the last response.
	lingerTime = 5 * time.Second
	// exitLingerTime bounds the same wait at the end of the process.
	exitLingerTime = 300 * time.Millisecond
)

// lingerer owns the connections that have been closed but still wait for the other side.
type lingerer struct {
	conns sync.WaitGroup
	// running ends when the process is about to end.
	running context.Context
	exit    context.CancelFunc
}

func newLingerer() *lingerer {
	l := &lingerer{}
	l.running, l.exit = context.WithCancel(context.Background())
	return l
}

// listen returns a listener whose connections linger when they are closed.
func (l *lingerer) listen(listener net.Listener) net.Listener {
	return lingeringListener{Listener: listener, lingerer: l}
}

// finish waits until all closed connections have ended, for exitLingerTime at most. It is called once, after the last
// connection was closed.
func (l *lingerer) finish() {
	l.exit()
	l.conns.Wait()
}

type lingeringListener struct {
	net.Listener
	lingerer *lingerer
}

// Accept implements net.Listener.
func (l lingeringListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &lingeringConn{TCPConn: tcp, lingerer: l.lingerer}, err
	}
	return conn, err
}

// lingeringConn is a connection that is closed in three steps: it sends the end of the stream, discards what still
// arrives, and is released when the other side has closed it too. A socket that is closed with unread bytes, such as
// requests that a caller sent ahead, is reset, and the kernel drops the part of the last response that the caller has not
// received yet.
type lingeringConn struct {
	*net.TCPConn
	link.ArrivalMeter
	lingerer *lingerer

	// hasEnded is whether the other side has closed the connection.
	hasEnded atomic.Bool
	// reading is held during a read, so that the server's last read does not compete with the discarding reads.
	reading sync.Mutex

	mu       sync.Mutex
	isClosed bool
}

// Read implements net.Conn.
func (c *lingeringConn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.closed() {
		return 0, net.ErrClosed
	}
	begunAt := time.Now() // connections are measured by the operating system's clock
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.Observe(begunAt, time.Now())
	}
	if errors.Is(err, io.EOF) {
		c.hasEnded.Store(true)
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *lingeringConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return net.ErrClosed
	}
	return c.TCPConn.SetReadDeadline(t)
}

func (c *lingeringConn) closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isClosed
}

// Close implements net.Conn. It does not block: the other side is waited for on a goroutine that the lingerer owns.
func (c *lingeringConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return net.ErrClosed
	}
	c.isClosed = true
	if c.hasEnded.Load() || c.TCPConn.CloseWrite() != nil {
		return c.TCPConn.Close()
	}
	// Connections measure deadlines by the operating system's clock. It fails only on a connection that has ended.
	_ = c.TCPConn.SetReadDeadline(time.Now()) // ends the server's read
	c.lingerer.conns.Go(c.linger)
	return nil
}

// linger discards what arrives until the other side closes the connection, and releases it.
func (c *lingeringConn) linger() {
	c.reading.Lock()
	defer c.reading.Unlock()
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime)) // as above
	stop := context.AfterFunc(c.lingerer.running, func() {
		_ = c.TCPConn.SetReadDeadline(time.Now().Add(exitLingerTime)) // as above
	})
	defer stop()
	_, _ = io.Copy(io.Discard, c.TCPConn) // any end will do
	_ = c.TCPConn.Close()                 // the connection is of no more use
}
