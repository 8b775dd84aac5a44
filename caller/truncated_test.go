package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/caller"
)

const bulkBytes = 90_000

// bulkServer is a server that sends a response of bulkBytes to each request, cut after sentBytes, and counts the requests.
type bulkServer struct {
	sentBytes int
	head      string
	requests  atomic.Int64
}

// start returns the address of the server.
func (s *bulkServer) start(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return listener.Addr().String()
}

func (s *bulkServer) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	s.requests.Add(1)
	names := call.DefaultHeaderNames()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n%s\r\n\r\n",
		names.RequestID, request.Header.Get(names.RequestID), names.Signature, s.head)
	_, _ = io.WriteString(conn, head+strings.Repeat("x", s.sentBytes)) // the client may have given the response up
}

// TestTruncatedResponses covers servers that cut their responses off. A caller never gets a part of a response; a download
// is sent to another server, and an upload never is, because it may have run.
func TestTruncatedResponses(t *testing.T) {
	const stated, chunked = "Content-Length: 90000", "Transfer-Encoding: chunked\r\n\r\n15f90"
	for name, c := range map[string]struct {
		path         string
		first, other *bulkServer
		status       int
		requests     int64
	}{
		"download, one server cuts": {
			path: "/download/1", first: &bulkServer{sentBytes: 50_000, head: stated},
			other: &bulkServer{sentBytes: bulkBytes, head: stated}, status: http.StatusOK, requests: 2,
		},
		"download, one server cuts at the last byte": {
			path: "/download/1", first: &bulkServer{sentBytes: bulkBytes - 1, head: stated},
			other: &bulkServer{sentBytes: bulkBytes, head: stated}, status: http.StatusOK, requests: 2,
		},
		"download, all servers cut": {
			path: "/download/1", first: &bulkServer{sentBytes: 50_000, head: stated},
			other: &bulkServer{head: stated}, status: http.StatusBadGateway, requests: 2,
		},
		"download, all servers cut chunks": {
			path: "/download/1", first: &bulkServer{sentBytes: 50_000, head: chunked},
			other: &bulkServer{sentBytes: bulkBytes, head: chunked}, status: http.StatusBadGateway, requests: 2,
		},
		"upload": {
			path: "/upload/1", first: &bulkServer{sentBytes: 50_000, head: stated},
			other: &bulkServer{sentBytes: 50_000, head: stated}, status: http.StatusBadGateway, requests: 1,
		},
		"upload, nothing sent": {
			path: "/upload/1", first: &bulkServer{head: stated},
			other: &bulkServer{head: stated}, status: http.StatusBadGateway, requests: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			clock := clockwork.NewRealClock()
			client := func(s *bulkServer) *backend.Client {
				return backend.NewClient(s.start(t), 2, call.DefaultHeaderNames(), func() {}, clock)
			}
			// The first server gets the first attempt, whichever host the balancer selects.
			sender := &firstSender{first: client(c.first), others: client(c.other)}
			handler, memory := bulkHandler(sender, call.IgnoreBodies())
			r := httptest.NewRequest(http.MethodPost, "http://h"+c.path, bytes.NewReader(make([]byte, 60_000)))
			r.Header.Set(call.DefaultHeaderNames().RequestID, "id-1")
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			g.Expect(w.Code).To(gomega.Equal(c.status))
			if c.status == http.StatusOK {
				g.Expect(w.Body.Len()).To(gomega.Equal(bulkBytes))
			} else {
				g.Expect(w.Body.String()).To(gomega.ContainSubstring(`"outcome":"unknown"`))
				g.Expect(w.Body.Len()).To(gomega.BeNumerically("<", 1000), "no part of the response")
			}
			g.Expect(c.first.requests.Load() + c.other.requests.Load()).To(gomega.Equal(c.requests))
			g.Expect(memory.Usage().Held).To(gomega.BeZero())
		})
	}
}

// firstSender sends the first attempt to one server and later ones to another.
type firstSender struct {
	first, others *backend.Client
	attempts      int
}

func (s *firstSender) Send(ctx context.Context, _ *caller.Server, c call.Call) call.Result {
	s.attempts++
	if s.attempts == 1 {
		return s.first.Do(ctx, c, "")
	}
	return s.others.Do(ctx, c, "")
}
