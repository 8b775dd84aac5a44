package link_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/link"
)

// startServer starts a TCP server that reads HTTP requests and writes the given raw responses in turn. It closes the
// connection instead of an empty response, and after a response that ends in "$". It returns the server's address and a
// function that returns the number of connections.
func startServer(t *testing.T, responses ...string) (address string, accepted func() int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	connCount := make(chan int, 1)
	connCount <- 0
	script := &responseScript{remaining: responses}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connCount <- 1 + <-connCount
			go serveConn(conn, script)
		}
	}()
	return listener.Addr().String(), func() int {
		n := <-connCount
		connCount <- n
		return n
	}
}

// responseScript holds the responses that the connections of a server take in turn.
type responseScript struct {
	mu        sync.Mutex
	remaining []string
}

// next removes and returns the next response, or returns an empty one if there is none.
func (s *responseScript) next() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.remaining) == 0 {
		return ""
	}
	response := s.remaining[0]
	s.remaining = s.remaining[1:]
	return response
}

// serveConn writes the remaining responses to the requests of one connection.
func serveConn(conn net.Conn, script *responseScript) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		response := script.next()
		if response == "" {
			return
		}
		if _, err := conn.Write([]byte(response)); err != nil {
			return
		}
		if response[len(response)-1] == '$' {
			return // the end of the connection ends the response
		}
	}
}

func newPool(address string) *link.Pool {
	return link.NewPool(address, link.Options{
		DialTimeout:  time.Second,
		AckTimeout:   time.Second,
		IdleTimeout:  time.Minute,
		MaxIdleConns: 2,
		MaxBody:      1000,
	}, clockwork.NewRealClock())
}

func get(p *link.Pool, id string) (*link.Response, error) {
	request, err := http.NewRequest(http.MethodGet, "http://x/", http.NoBody)
	if err != nil {
		return nil, err
	}
	return p.Do(context.Background(), request, "", func(r *http.Response, _ bool) bool { return r.Header.Get("Id") == id })
}

func TestResponses(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		body     string
		isLost   bool
	}{
		"complete": {response: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		"chunked": {
			response: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
			body:     "ok",
		},
		"ends with connection": {response: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok$", body: "ok$"},
		"after informational": {
			response: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
			body:     "ok",
		},
		"truncated": {response: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok$", isLost: true},
		"truncated in a chunk": {
			response: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok$",
			isLost:   true,
		},
		"not a response": {response: "GET / HTTP/1.1$", isLost: true},
		"no response":    {response: "", isLost: true},
		"too large":      {response: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5000\r\n\r\n$", isLost: true},
		"after one to another request": {
			response: "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 2\r\n\r\nno" +
				"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
			body: "ok",
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			address, _ := startServer(t, c.response)
			response, err := get(newPool(address), "1")
			if c.isLost {
				var lost *link.LostError
				g.Expect(errors.As(err, &lost)).To(gomega.BeTrue(), "%v", err)
				return
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(string(response.Body)).To(gomega.Equal(c.body))
		})
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n"

func TestOnlyCleanConnectionsAreReused(t *testing.T) {
	for name, c := range map[string]struct {
		first string
		conns int
	}{
		"clean":         {first: okResponse, conns: 1},
		"surplus bytes": {first: okResponse + "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n", conns: 2},
		"Connection: close": {
			first: "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
			conns: 2,
		},
		"about to expire": {
			first: "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n",
			conns: 2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			address, accepted := startServer(t, c.first, okResponse)
			p := newPool(address)
			defer p.Close()
			for range 2 {
				_, err := get(p, "1")
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			g.Expect(accepted()).To(gomega.Equal(c.conns))
		})
	}
}

func TestRequestsAreNotResent(t *testing.T) {
	g := gomega.NewWithT(t)
	address, accepted := startServer(t, okResponse, "", okResponse)
	p := newPool(address)
	_, err := get(p, "1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = get(p, "1")
	var lost *link.LostError
	g.Expect(errors.As(err, &lost)).To(gomega.BeTrue(), "a request on a broken connection is not sent again")
	g.Expect(accepted()).To(gomega.Equal(1))
}

func TestUnsent(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := listener.Addr().String()
	g.Expect(listener.Close()).To(gomega.Succeed())
	_, err = get(newPool(address), "1")
	var unsent *link.UnsentError
	g.Expect(errors.As(err, &unsent)).To(gomega.BeTrue())
}

func TestPreconnectServesTheFirstRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	address, accepted := startServer(t, okResponse)
	p := newPool(address)
	g.Expect(p.Preconnect(context.Background())).To(gomega.Succeed())
	g.Expect(p.Preconnect(context.Background())).To(gomega.Succeed())
	g.Eventually(accepted).Should(gomega.Equal(1))
	_, err := get(p, "1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(accepted()).To(gomega.Equal(1))
}

// TestSpareConnectionsExpireEarlier opens two connections at once and advances the clock beyond SpareIdleTimeout.
func TestSpareConnectionsExpireEarlier(t *testing.T) {
	g := gomega.NewWithT(t)
	address, accepted := startServer(t, okResponse, okResponse, okResponse, okResponse, okResponse, okResponse)
	clock := clockwork.NewFakeClock()
	p := link.NewPool(address, link.Options{
		DialTimeout: time.Second, AckTimeout: time.Second, IdleTimeout: time.Minute, SpareIdleTimeout: time.Second,
		MaxIdleConns: 9, MaxBody: 1000,
	}, clock)
	sendTwoAtOnce := func() {
		// The second request is sent while the first one is in progress, so each needs its own connection.
		request, err := http.NewRequest(http.MethodGet, "http://x/", http.NoBody)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = p.Do(context.Background(), request, "", func(*http.Response, bool) bool {
			_, err := get(p, "1")
			return err == nil
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	sendTwoAtOnce()
	g.Expect(accepted()).To(gomega.Equal(2))
	sendTwoAtOnce()
	g.Expect(accepted()).To(gomega.Equal(2), "both connections are reused")
	clock.Advance(2 * time.Second)
	sendTwoAtOnce()
	g.Expect(accepted()).To(gomega.Equal(3), "the first connection is reused, the spare one has expired")
}

// TestResetEndsNoAnswer covers an answer without a length, whose end is that of its connection: if the connection is
// reset, the answer is not complete.
func TestResetEndsNoAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf an answer")) // checked by the client
		_ = conn.(*net.TCPConn).SetLinger(0)                                        // closing then resets the connection
	}()
	_, err = get(newPool(listener.Addr().String()), "1")
	var lost *link.LostError
	g.Expect(errors.As(err, &lost)).To(gomega.BeTrue(), "%v", err)
}

// TestHeadThatBreaksOffIsNoAnswer guards against a response whose connection ends within its head and that is taken for a
// complete one without a body.
func TestHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\n",
		"without a length": "HTTP/1.1 200 OK\r\nId: 1\r\nServer: x\r\n\r\n",
		"chunked":          "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"empty":            "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
		"no content":       "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n",
		"line feeds only":  "HTTP/1.1 200 OK\nId: 1\nContent-Length: 0\n\n",
		"HTTP/1.0":         "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n",
		"after 100":        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			for n := range head {
				address := startBreakingServer(t, head[:n])
				_, err := get(newPool(address), "1")
				var lost *link.LostError
				g.Expect(errors.As(err, &lost)).To(gomega.BeTrue(), "%q: %v", head[:n], err)
			}
		})
	}
}

// startBreakingServer starts a server that writes a text to each connection and closes it.
func startBreakingServer(t *testing.T, text string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = conn.Write([]byte(text)) // the client may have closed the connection
	}()
	return listener.Addr().String()
}
