package deployment

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/platform"
)

const (
	// pipelineLength is the number of requests that are sent ahead on one connection.
	pipelineLength = 3
	// pipelineWindow is the receive buffer of a caller that sends requests ahead, in bytes.
	pipelineWindow = 4 << 10
	// pipelineSpacing is the pause between two requests of a series. The daemon reads a request that arrives with the one
	// before, and leaves a later one unread until the answer to that is written.
	pipelineSpacing = time.Millisecond
	// pipelineInterval is the pause between two series of requests of one caller.
	pipelineInterval = 300 * time.Millisecond
	// largePath is the end of the path of requests with long answers, and largeBytes the length of what these answers
	// contain besides the usual.
	largePath  = "large"
	largeBytes = 200_000
)

// pipelineLoop sends series of idempotent requests through one daemon until ctx ends. Each series is sent ahead of its
// answers, which are long and taken through a small window.
func (l *Load) pipelineLoop(ctx context.Context, h *Host, c *class.Class) {
	ticker := time.NewTicker(pipelineInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		id := strconv.FormatUint(rand.Uint64(), 36)
		err := sendAhead(h, c, id)
		first := id + "-0"
		if isConnectionBroken(err) && l.deployment.Checker.executionCount(first) > 0 {
			l.mu.Lock()
			l.brokenCalls = append(l.brokenCalls, BrokenCall{Host: h.ID, Request: first, At: time.Now(), Cause: err})
			l.mu.Unlock()
		}
	}
}

// writeGet writes a request for a random key and a path of a class.
func writeGet(conn net.Conn, c *class.Class, path, id string, timeout time.Duration) error {
	headers := platform.Headers()
	_, err := fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %d\r\n\r\n",
		c.Prefix, path, c.Host, headers.RequestID, id, headers.DeadlineMS, timeout.Milliseconds(),
		headers.Key, rand.IntN(class.KeyCount))
	return err
}

// sendAhead sends a series of requests on one connection and reads the first answer. The caller takes no more of them, as
// if it had what it needs.
func sendAhead(h *Host, c *class.Class, id string) error {
	timeout := c.Timeout + 2*time.Second
	conn, err := net.DialTimeout("tcp", h.CallerAddress(), timeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if err := conn.(*net.TCPConn).SetReadBuffer(pipelineWindow); err != nil {
		return err
	}
	for i := range pipelineLength {
		if err := writeGet(conn, c, largePath, fmt.Sprintf("%s-%d", id, i), c.Timeout); err != nil {
			return err
		}
		time.Sleep(pipelineSpacing)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
