package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// rawServer answers each connection's requests by a script: the raw bytes to write for the nth request. An empty
// answer closes the connection.
type rawServer struct {
	address string
	seen    atomic.Int64
}

func serveRaw(t *testing.T, script func(n int64, request *http.Request) string) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &rawServer{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.converse(conn, script)
		}
	}()
	return s
}

func (s *rawServer) converse(conn net.Conn, script func(int64, *http.Request) string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		answer := script(s.seen.Add(1), request)
		if answer == "" {
			return
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if strings.Contains(answer, "Connection: close") {
			return
		}
	}
}

func whole(request *http.Request) string {
	body := "for " + request.Header.Get(backend.RequestHeader)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		backend.RequestHeader, request.Header.Get(backend.RequestHeader), len(body), body)
}

func clientFor(address string) *backend.Client {
	return backend.NewClient(backend.Announcement{Address: address, Slots: 2, Connections: 4}, 1<<10, clockwork.NewRealClock())
}

func work(id string, isIdempotent bool) call.Call {
	return call.Call{
		ID:       class.RequestID(id),
		Class:    class.Class{Name: "c", Idempotent: isIdempotent},
		Method:   http.MethodPost,
		URI:      "/x",
		Header:   http.Header{call.IdempotencyHeader: {"replay me"}},
		Body:     []byte("gold"),
		Deadline: time.Now().Add(5 * time.Second),
	}
}

func do(c *backend.Client, w call.Call) call.Answer {
	return c.Do(context.Background(), w, backend.Order{Slot: call.Unkeyed, Deadline: 5 * time.Second}, time.Second)
}

func TestOutcomeOfBrokenAnswers(t *testing.T) {
	for _, c := range []struct {
		name    string
		answer  string
		outcome class.Outcome
		reason  call.Reason
	}{
		{"connection closed after the request was read", "", class.Unknown, call.AnswerLost},
		{"body cut short", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\nConnection: close\r\n\r\nhalf", class.Unknown, call.AnswerLost},
		{"chunked body cut short", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n4\r\nhalf\r\n", class.Unknown, call.AnswerLost},
		{"end of the body cannot be told from a cut", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf?", class.Unknown, call.AnswerLost},
		{"body over the limit", "HTTP/1.1 200 OK\r\nContent-Length: 2048\r\n\r\n" + strings.Repeat("x", 2048), class.Unknown, call.AnswerLost},
		{"answer to another request", "HTTP/1.1 200 OK\r\nSkylark-Request: other\r\nContent-Length: 0\r\n\r\n", class.Unknown, call.AnswerLost},
		{"not HTTP", "hello\r\n\r\n", class.Unknown, call.AnswerLost},
		{"shed", "HTTP/1.1 503 No\r\nSkylark-Refused: shed\r\nContent-Length: 0\r\n\r\n", class.NotRun, call.Shed},
		{"stale fence", "HTTP/1.1 503 No\r\nSkylark-Refused: stale_fence\r\nContent-Length: 0\r\n\r\n", class.NotRun, call.Refused},
		{"a server's own 503 is an answer", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", class.Answered, call.None},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server := serveRaw(t, func(int64, *http.Request) string { return c.answer })
			answer := do(clientFor(server.address), work("mine", false))
			g.Expect(answer.Outcome).To(gomega.Equal(c.outcome))
			g.Expect(answer.Reason).To(gomega.Equal(c.reason))
			g.Expect(server.seen.Load()).To(gomega.Equal(int64(1)), "requests seen")
		})
	}
}

// A server that closes reused connections tempts net/http to send the request again.
func TestNonIdempotentOrdersAreNeverReplayed(t *testing.T) {
	g := gomega.NewWithT(t)
	server := serveRaw(t, func(n int64, r *http.Request) string {
		if n%2 == 0 {
			return "" // the connection dies with the request read
		}
		return whole(r)
	})
	client := clientFor(server.address)
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodPut, http.MethodDelete} {
		for _, body := range []string{"gold", ""} {
			before := server.seen.Load()
			w := work(method+body, false)
			w.Method = method
			w.Body = []byte(body)
			first := do(client, w)
			g.Expect(first.Outcome).To(gomega.Equal(class.Answered))
			g.Expect(string(first.Body)).To(gomega.Equal("for " + method + body))
			g.Expect(do(client, w).Outcome).To(gomega.Equal(class.Unknown))
			g.Expect(server.seen.Load()-before).To(gomega.Equal(int64(2)), "%s %q: requests seen", method, body)
		}
	}
}

func TestNotRunWhereNothingWasSent(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(listener.Close()).To(gomega.Succeed())
	answer := do(clientFor(listener.Addr().String()), work("mine", false))
	g.Expect(answer.Outcome).To(gomega.Equal(class.NotRun))
	g.Expect(answer.Reason).To(gomega.Equal(call.Unreachable))
}

func TestCancelledOrderIsUnknown(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	server := serveRaw(t, func(int64, *http.Request) string {
		cancel()
		return ""
	})
	answer := clientFor(server.address).Do(ctx, work("mine", false), backend.Order{Slot: call.Unkeyed, Deadline: time.Second}, time.Second)
	g.Expect(answer.Outcome).To(gomega.Equal(class.Unknown))
}
