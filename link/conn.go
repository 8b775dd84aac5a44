// Package link keeps HTTP/1.1 connections to one address and sends requests over them, one at a time each.
//
// Unlike net/http's transport it never sends a request twice, tells exactly whether any byte of a request was sent,
// and lets a connection be used again only when nothing but the expected answer came over it.
package link

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// readBufferSize is the size of a connection's read buffer: an answer's headers and a short body.
	readBufferSize = 4 << 10
	// maxSkippedResponses bounds the answers to other requests that are skipped while the right one is awaited.
	maxSkippedResponses = 4
	// maxPooledBuffer bounds the request buffers that are kept for later requests.
	maxPooledBuffer = 64 << 10
)

// requestBuffers holds the buffers in which requests are put together, so that each is sent by one write.
var requestBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// conn is one connection.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleUntil is when the other side may close the connection, if it said so.
	idleUntil time.Time
}

// isClean tells whether an idle connection is open and has no unexpected bytes on it.
func (c *conn) isClean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	// A read that would block is the only good sign: the end of the stream and surplus bytes both return at once.
	err = rc.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, err := syscall.Read(int(fd), buf[:])
		clean = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && clean
}

// exchange sends one request and reads its whole answer.
func (c *conn) exchange(ctx context.Context, r *http.Request, accepts func(*http.Response) bool, maxBody int64) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() }) // it may be closed already
	defer stop()
	if sent, err := c.writeRequest(r); err != nil {
		if !sent {
			return nil, &UnsentError{Cause: err}
		}
		return nil, &LostError{Cause: err}
	}
	for range maxSkippedResponses {
		response, err := c.readResponse(r, maxBody)
		if err != nil {
			return nil, &LostError{Cause: err}
		}
		if accepts(response.raw) {
			return response, nil
		}
		if response.closesConn {
			break
		}
	}
	return nil, &LostError{Cause: ErrMismatchedResponse}
}

// writeRequest writes the request. It tells whether any byte may have left.
func (c *conn) writeRequest(r *http.Request) (bool, error) {
	requestBuffer := requestBuffers.Get().(*bytes.Buffer)
	defer func() {
		if requestBuffer.Cap() <= maxPooledBuffer {
			requestBuffer.Reset()
			requestBuffers.Put(requestBuffer)
		}
	}()
	if err := r.Write(requestBuffer); err != nil {
		return false, err
	}
	n, err := c.Write(requestBuffer.Bytes())
	return n > 0, err
}

// readResponse reads one answer with its whole body.
func (c *conn) readResponse(r *http.Request, maxBody int64) (*Response, error) {
	head, err := http.ReadResponse(c.reader, r)
	for err == nil && head.StatusCode >= 100 && head.StatusCode < 200 {
		head, err = http.ReadResponse(c.reader, r)
	}
	if err != nil {
		return nil, err
	}
	defer head.Body.Close()
	if head.ContentLength > maxBody {
		return nil, &TooLargeError{Bytes: head.ContentLength}
	}
	body, err := io.ReadAll(io.LimitReader(head.Body, maxBody+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > maxBody {
		return nil, &TooLargeError{Bytes: int64(len(body))}
	}
	isDelimited := head.ContentLength >= 0 || len(head.TransferEncoding) > 0
	return &Response{
		Status: head.StatusCode,
		Header: head.Header,
		Body:   body,
		raw:   head,
		closesConn: head.Close || !isDelimited,
	}, nil
}

// keepAliveTimeout returns how long the other side keeps an idle connection open, if the answer tells.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		return time.Duration(seconds) * time.Second, err == nil
	}
	return 0, false
}
