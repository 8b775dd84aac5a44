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
	// readBuffer is the size of a connection's read buffer: an answer's headers and a short body.
	readBuffer = 4 << 10
	// maxExtraAnswers bounds the answers to other requests that are skipped while the right one is awaited.
	maxExtraAnswers = 4
	// largestKept bounds the request buffers that are kept for later requests.
	largestKept = 64 << 10
)

// buffers holds the buffers in which requests are put together, so that each is sent by one write.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

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
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		clean = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && clean
}

// exchange sends one request and reads its whole answer.
func (c *conn) exchange(ctx context.Context, r *http.Request, accepts func(*http.Response) bool, maxBody int64) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() }) // it may be closed already
	defer stop()
	if sent, err := c.send(r); err != nil {
		if !sent {
			return nil, &UnsentError{Cause: err}
		}
		return nil, &LostError{Cause: err}
	}
	for range maxExtraAnswers {
		response, err := c.receive(r, maxBody)
		if err != nil {
			return nil, &LostError{Cause: err}
		}
		if accepts(response.head) {
			return response, nil
		}
		if response.isLast {
			break
		}
	}
	return nil, &LostError{Cause: ErrForeignAnswer}
}

// send writes the request. It tells whether any byte may have left.
func (c *conn) send(r *http.Request) (bool, error) {
	buffer := buffers.Get().(*bytes.Buffer)
	defer func() {
		if buffer.Cap() <= largestKept {
			buffer.Reset()
			buffers.Put(buffer)
		}
	}()
	if err := r.Write(buffer); err != nil {
		return false, err
	}
	n, err := c.Write(buffer.Bytes())
	return n > 0, err
}

// receive reads one answer with its whole body.
func (c *conn) receive(r *http.Request, maxBody int64) (*Response, error) {
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
	hasEnd := head.ContentLength >= 0 || len(head.TransferEncoding) > 0
	return &Response{
		Status: head.StatusCode,
		Header: head.Header,
		Body:   body,
		head:   head,
		isLast: head.Close || !hasEnd,
	}, nil
}

// keepAlive returns how long the other side keeps an idle connection open, if the answer tells.
func keepAlive(header http.Header) (time.Duration, bool) {
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
