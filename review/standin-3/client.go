package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// sending is where and when a client sent a request.
type sending struct {
	at      time.Time
	machine *machine
	// isInTouch reports whether the machine's daemon had run for longer than the stable window.
	isInTouch bool
}

// outcome is how a request ended at its client.
type outcome struct {
	status int
	// isCut reports whether the connection ended without an answer after the request was sent.
	isCut bool
	err   error
}

// clientConn is a connection of a client that may be kept for many requests.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	sent   int
	// key is the key of the next request, or empty.
	key string
}

func dial(m *machine) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", m.outbound, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

func newRequestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends a request and reads the answer.
func (l *lab) call(c *clientConn, m *machine, method, path, id string, deadline time.Duration) outcome {
	now := time.Now()
	since, isUp := m.upSince()
	l.mu.Lock()
	l.sentAt[id] = sending{at: now, machine: m, isInTouch: isUp && now.Sub(since) > stableWindow}
	l.mu.Unlock()
	length := ""
	if method != http.MethodGet {
		length = "Content-Length: 0\r\n"
	}
	if c.key != "" {
		length += "X-Shard-Key: " + c.key + "\r\n"
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n", method, path, hostName, id,
		deadline.Milliseconds(), length)
	c.sent++
	_ = c.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	if _, err := io.WriteString(c, text); err != nil {
		return outcome{err: err}
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if err != nil {
		timeout, isNet := err.(net.Error)
		return outcome{isCut: !isNet || !timeout.Timeout(), err: err}
	}
	_ = c.SetDeadline(time.Time{})
	return outcome{status: response.StatusCode}
}
