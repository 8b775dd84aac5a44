package link_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/link"
)

// endlessServer answers the first request of its first connection with bytes that never end, and all other requests
// with okResponse. The repeated bytes are sent again and again, after a pause each time, until the client closes the
// connection. It reports that on the returned channel.
func endlessServer(t *testing.T, head, repeated string, pause time.Duration) (address string, closed <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	ended := make(chan struct{})
	go func() {
		first, err := listener.Accept()
		if err != nil {
			return
		}
		go writeEndlessly(first, head, repeated, pause, ended)
		script := &responseScript{remaining: []string{okResponse, okResponse}}
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serveConn(conn, script)
		}
	}()
	return listener.Addr().String(), ended
}

func writeEndlessly(conn net.Conn, head, repeated string, pause time.Duration, ended chan<- struct{}) {
	defer close(ended)
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	if _, err := conn.Write([]byte(head)); err != nil {
		return
	}
	block := []byte(repeated)
	if pause == 0 {
		block = bytes.Repeat(block, max(1, 32<<10/len(block)))
	}
	for {
		if _, err := conn.Write(block); err != nil {
			return
		}
		time.Sleep(pause) // the rate of the trickle is what the test is about
	}
}

const (
	// endlessTimeout is the deadline of a call whose answer never ends.
	endlessTimeout = 300 * time.Millisecond
	// maxEndlessMemory bounds the memory that one such call may allocate in total, in bytes.
	maxEndlessMemory = 16 << 20
)

// TestEndlessBytesAreNoAnswer covers servers in trouble that send bytes without end, in a head or in a body. The call
// ends by its deadline as lost, the connection is closed and not used again, and the next call gets its own answer.
func TestEndlessBytesAreNoAnswer(t *testing.T) {
	const chunkedHead = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ head, repeated string }{
		"head line":          {repeated: "x"},
		"status line":        {head: "HTTP/1.1 200 ", repeated: "x"},
		"one header":         {head: "HTTP/1.1 200 OK\r\nId: ", repeated: "1"},
		"headers":            {head: "HTTP/1.1 200 OK\r\n", repeated: "Id: 1\r\n"},
		"informational":      {repeated: "HTTP/1.1 100 Continue\r\n\r\n"},
		"other answers":      {repeated: "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\n"},
		"chunks":             {head: chunkedHead, repeated: "1\r\nx\r\n"},
		"chunk size":         {head: chunkedHead, repeated: "0"},
		"chunk extension":    {head: chunkedHead + "1;", repeated: "x"},
		"trailers":           {head: chunkedHead + "0\r\n", repeated: "Id: 1\r\n"},
		"body with no end":   {head: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", repeated: "x"},
		"body, false length": {head: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 999999999999\r\n\r\n", repeated: "x"},
		"body, too long":     {head: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nxxx", repeated: "x"},
	} {
		for speed, pause := range map[string]time.Duration{"fast": 0, "trickle": 5 * time.Millisecond} {
			t.Run(name+" "+speed, func(t *testing.T) {
				g := gomega.NewWithT(t)
				address, closed := endlessServer(t, c.head, c.repeated, pause)
				p := link.NewPool(address, link.Options{
					DialTimeout: time.Second, AckTimeout: time.Second, IdleTimeout: time.Minute, MaxIdleConns: 2, MaxBody: 1 << 20,
				}, clockwork.NewRealClock())
				defer p.Close()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				start := time.Now()
				_, err := getWithin(p, "1", endlessTimeout)
				elapsed := time.Since(start)
				runtime.ReadMemStats(&after)
				if name == "body, too long" {
					// The answer is complete; the surplus makes the connection unusable.
					g.Expect(err).NotTo(gomega.HaveOccurred())
				} else {
					var lost *link.LostError
					g.Expect(errors.As(err, &lost)).To(gomega.BeTrue(), "%v", err)
				}
				g.Expect(elapsed).To(gomega.BeNumerically("<", 2*endlessTimeout))
				g.Expect(after.TotalAlloc - before.TotalAlloc).To(gomega.BeNumerically("<", maxEndlessMemory))
				_, err = getWithin(p, "1", time.Second)
				g.Expect(err).NotTo(gomega.HaveOccurred(), "the next call gets its own answer")
				g.Eventually(closed, "2s").Should(gomega.BeClosed(), "the connection is closed")
			})
		}
	}
}

// TestHungConnectionIsNotUsedAgain covers a server that never answers a request that it cannot queue, nor any later one
// on that connection.
func TestHungConnectionIsNotUsedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	go func() {
		hung, err := listener.Accept()
		if err != nil {
			return
		}
		defer hung.Close()
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		serveConn(conn, &responseScript{remaining: []string{okResponse}})
	}()
	p := newPool(listener.Addr().String())
	defer p.Close()
	_, err = getWithin(p, "1", 100*time.Millisecond)
	var lost *link.LostError
	g.Expect(errors.As(err, &lost)).To(gomega.BeTrue(), "the call may have run: %v", err)
	_, err = getWithin(p, "1", time.Second)
	g.Expect(err).NotTo(gomega.HaveOccurred(), "the next call uses another connection")
}

// getWithin is get with a deadline.
func getWithin(p *link.Pool, id string, timeout time.Duration) (*link.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequest(http.MethodGet, "http://x/", http.NoBody)
	if err != nil {
		return nil, err
	}
	return p.Do(ctx, request, "", func(r *http.Response, _ bool) bool { return r.Header.Get("Id") == id })
}
