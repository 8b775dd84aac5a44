// Package link is an HTTP/1.1 client with a connection pool for one address. Each connection carries one request at a
// time.
//
// Unlike the transport of net/http, it never sends a request twice, reports whether any byte of a request was sent, and
// reuses a connection only if it received nothing but the expected response.
package link

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// readBufferSize is the size of a connection's read buffer: the headers of a response and a short body.
	readBufferSize = 4 << 10
	// maxResponseReads is the number of responses that are read in search of the accepted one. The others belong to
	// other requests and are skipped.
	maxResponseReads = 4
	// maxHeadBytes limits the heads of all responses that are read for one request, informational ones among them. The
	// limit counts whole reads into the buffer, so a short body may be part of it.
	maxHeadBytes = 64 << 10
	// maxPooledBuffer is the capacity up to which a request buffer is kept for later requests. A request with a body of
	// 60 KB fits.
	maxPooledBuffer = 256 << 10
	// headSpace is the space in a request buffer besides the body: for the head, and for the read that finds the end.
	headSpace = 4 << 10
)

// requestBuffers holds buffers for encoding requests, so that each request is sent by a single write.
var requestBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// conn is a connection of a pool.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// head limits the bytes that are read outside of bodies.
	head *headLimit
	// ids holds the IDs of the requests that were sent last, and isUsed whether any request was sent.
	ids    []string
	isUsed bool
	// idleUntil is the time until which the connection may stay idle. It ends before the server's own idle timeout if
	// the server announced one.
	idleUntil time.Time
}

func newConn(raw net.Conn) *conn {
	head := &headLimit{reader: raw}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(head, readBufferSize), head: head}
}

// maxRecentIDs is the number of requests of a connection whose IDs are kept.
const maxRecentIDs = 8

// recordID records the ID of a request that is about to be sent. An empty ID stands for none.
func (c *conn) recordID(id string) {
	if id == "" {
		return
	}
	if len(c.ids) == maxRecentIDs {
		c.ids = slices.Delete(c.ids, 0, 1)
	}
	c.ids = append(c.ids, id)
}

func (c *conn) hasCarried(id string) bool { return id != "" && slices.Contains(c.ids, id) }

// HeadTooLargeError reports a response whose head, together with those of the responses skipped before it, exceeds the
// limit.
type HeadTooLargeError struct{ Bytes int64 }

// Error implements error.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("response head exceeds the limit of %d bytes", e.Bytes)
}

// headLimit is a reader that fails once the heads of one exchange exceed maxHeadBytes. Without it, a server that sends
// a head line or header fields without end would fill the memory until the deadline of the call.
type headLimit struct {
	reader io.Reader
	// remaining is how many bytes of heads may still be read.
	remaining int64
	// isInBody disables the limit while a body is read, which has a limit of its own.
	isInBody bool
}

// Read implements io.Reader.
func (h *headLimit) Read(p []byte) (int, error) {
	if h.isInBody {
		return h.reader.Read(p)
	}
	if h.remaining <= 0 {
		return 0, &HeadTooLargeError{Bytes: maxHeadBytes}
	}
	n, err := h.reader.Read(p)
	h.remaining -= int64(n)
	return n, err
}

// isClean reports whether an idle connection is open and has no unread bytes.
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
	// Only a read that would block shows a clean connection: it returns at once at the end of the stream and if there
	// are surplus bytes.
	err = rc.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, err := syscall.Read(int(fd), buf[:])
		clean = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && clean
}

// bodyLimits bounds the bodies of responses.
type bodyLimits struct {
	// maxBytes is the size limit of one body.
	maxBytes int64
	memory   *Memory
}

// exchange sends one request and reads the complete response to it. The end of the context closes the connection.
func (c *conn) exchange(
	ctx context.Context, r *http.Request, accepts Acceptor, limits bodyLimits,
) (*Response, error) {
	isFirst := !c.isUsed
	c.isUsed = true
	stop := context.AfterFunc(ctx, func() { _ = c.Close() }) // it may already be closed
	defer stop()
	if sent, err := c.writeRequest(r); err != nil {
		if !sent {
			return nil, &UnsentError{Cause: err}
		}
		return nil, &LostError{Cause: err}
	}
	c.head.remaining = maxHeadBytes
	for range maxResponseReads {
		response, err := c.readResponse(r, limits)
		if err != nil {
			return nil, &LostError{Cause: err}
		}
		if accepts(response.raw, isFirst) {
			return response, nil
		}
		if response.closesConn {
			break
		}
	}
	return nil, &LostError{Cause: ErrMismatchedResponse}
}

// writeRequest sends the request and reports whether any byte may have been sent.
func (c *conn) writeRequest(r *http.Request) (bool, error) {
	requestBuffer := requestBuffers.Get().(*bytes.Buffer)
	defer func() {
		if requestBuffer.Cap() <= maxPooledBuffer {
			requestBuffer.Reset()
			requestBuffers.Put(requestBuffer)
		}
	}()
	if r.ContentLength > 0 {
		requestBuffer.Grow(headSpace + int(r.ContentLength))
	}
	if err := r.Write(requestBuffer); err != nil {
		return false, err
	}
	n, err := c.Write(withOpaqueTarget(requestBuffer.Bytes(), r))
	return n > 0, err
}

// withOpaqueTarget returns an encoded request with its opaque target as it is. For a target that begins with two slashes,
// net/http writes a scheme before it, or only the colon if there is none.
func withOpaqueTarget(encoded []byte, r *http.Request) []byte {
	if !strings.HasPrefix(r.URL.Opaque, "//") || r.URL.Scheme != "" {
		return encoded
	}
	colon := len(r.Method) + len(" ")
	return slices.Delete(encoded, colon, colon+1)
}

// readResponse reads one response with its complete body and skips informational (1xx) responses before it.
func (c *conn) readResponse(r *http.Request, limits bodyLimits) (*Response, error) {
	head, err := http.ReadResponse(c.reader, r)
	for err == nil && head.StatusCode >= 100 && head.StatusCode < 200 {
		head, err = http.ReadResponse(c.reader, r)
	}
	if err != nil {
		return nil, err
	}
	defer head.Body.Close()
	if err := CheckStatus(head.StatusCode, head.Status); err != nil {
		return nil, err
	}
	if head.ContentLength > limits.maxBytes {
		return nil, &TooLargeError{Bytes: head.ContentLength}
	}
	var body []byte
	if head.Body != http.NoBody { // the response to a HEAD request states a length as well
		c.head.isInBody = true
		body, err = limits.memory.ReadBody(io.LimitReader(head.Body, limits.maxBytes+1), head.ContentLength)
		c.head.isInBody = false
		if err != nil {
			return nil, err
		}
	}
	if int64(len(body)) > limits.maxBytes {
		return nil, &TooLargeError{Bytes: int64(len(body))}
	}
	isDelimited := head.ContentLength >= 0 || len(head.TransferEncoding) > 0
	return &Response{
		Status:     head.StatusCode,
		Header:     head.Header,
		Body:       body,
		raw:        head,
		closesConn: head.Close || !isDelimited,
	}, nil
}

// keepAliveTimeout returns the timeout in the Keep-Alive header, for which the server keeps an idle connection open. It
// returns false if there is none.
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
