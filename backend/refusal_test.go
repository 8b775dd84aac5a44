package backend_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// startRawServer starts a server that answers the requests of each connection with the given texts in turn, and returns
// its address.
func startRawServer(t *testing.T, responses ...string) string {
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
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for _, response := range responses {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = conn.Write([]byte(response)) // the client may have closed the connection
				}
				_, _ = http.ReadRequest(reader) // keeps the connection open
			}()
		}
	}()
	return listener.Addr().String()
}

const (
	refusalWithoutID = "HTTP/1.1 503 Busy\r\nSkylark-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	refusalOfFirst   = "HTTP/1.1 503 Busy\r\nSkylark-Request: id-1\r\nSkylark-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	answerToSecond   = "HTTP/1.1 200 OK\r\nSkylark-Request: id-2\r\nSkylark-Signature: s\r\nContent-Length: 0\r\n\r\n"
)

// TestEarlierRefusalIsNoRefusalOfALaterCall guards against a call that is told as not run, and sent to a second server,
// because the server wrote the refusal of an earlier call once more.
func TestEarlierRefusalIsNoRefusalOfALaterCall(t *testing.T) {
	for name, refusal := range map[string]string{"without an ID": refusalWithoutID, "with its ID": refusalOfFirst} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r, _ := newRunner(startRawServer(t, refusal, refusal+answerToSecond), unchanged)
			g.Expect(r.Run(context.Background(), newCall(time.Second)).Reason).To(gomega.Equal(call.Shed))
			second := newCall(time.Second)
			second.ID = "id-2"
			second.Header.Set(headerNames.RequestID, "id-2")
			g.Expect(r.Run(context.Background(), second).Outcome).To(gomega.Equal(class.Answered))
		})
	}
}

// TestRetryIsNotSentOnTheConnectionOfItsRefusal guards against the same where the later call is a retry under the same
// ID, so that the ID cannot tell the two refusals apart.
func TestRetryIsNotSentOnTheConnectionOfItsRefusal(t *testing.T) {
	g := gomega.NewWithT(t)
	var remotes []string
	r, _ := newRunner(startServer(t, func(w http.ResponseWriter, r *http.Request) {
		remotes = append(remotes, r.RemoteAddr)
		w.Header().Set(headerNames.RequestID, r.Header.Get(headerNames.RequestID))
		w.Header().Set(headerNames.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}), unchanged)
	for range 2 {
		g.Expect(r.Run(context.Background(), newCall(time.Second)).Reason).To(gomega.Equal(call.Shed))
	}
	g.Expect(remotes).To(gomega.HaveLen(2))
	g.Expect(remotes[0]).NotTo(gomega.Equal(remotes[1]))
	other := newCall(time.Second)
	other.ID = "id-2"
	other.Header.Set(headerNames.RequestID, "id-2")
	r.Run(context.Background(), other)
	g.Expect(remotes[:2]).To(gomega.ContainElement(remotes[2]), "other calls use the connections again")
}
