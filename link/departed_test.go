package link_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/link"
)

// TestRequestsOfDepartedCallersAreNotSent guards against work for callers that left before their request was sent.
func TestRequestsOfDepartedCallersAreNotSent(t *testing.T) {
	for name, leave := range map[string]func(t *testing.T) context.Context{
		"context ended": func(*testing.T) context.Context {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			return ctx
		},
		"connection closed": func(t *testing.T) context.Context {
			accepted, dialed := connect(t)
			closeAndAwait(t, accepted, dialed)
			return link.WithConn(context.Background(), accepted)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var received atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
			defer server.Close()
			pool := link.NewPool(server.Listener.Addr().String(), link.Options{
				DialTimeout: time.Second, AckTimeout: time.Second, IdleTimeout: time.Minute, MaxIdleConns: 4, MaxBody: 100,
			}, clockwork.NewRealClock())
			defer pool.Close()
			send := func(ctx context.Context) error {
				request, err := http.NewRequest(http.MethodGet, server.URL, http.NoBody)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				_, err = pool.Do(ctx, request, "", func(*http.Response, bool) bool { return true })
				return err
			}
			g.Expect(send(context.Background())).To(gomega.Succeed())
			const attempts = 100
			var unsent *link.UnsentError
			for range attempts {
				g.Expect(errors.As(send(leave(t)), &unsent)).To(gomega.BeTrue())
			}
			g.Expect(send(context.Background())).To(gomega.Succeed(), "the connection is still of use")
			g.Expect(received.Load()).To(gomega.Equal(int64(2)))
		})
	}
}

// connect returns both ends of a connection.
func connect(t *testing.T) (accepted, dialed net.Conn) {
	t.Helper()
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	dialed, err = net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	accepted, err = listener.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = accepted.Close() })
	return accepted, dialed
}

// closeAndAwait closes the dialed end of a connection, which has sent nothing, and waits until the other end knows.
func closeAndAwait(t *testing.T, accepted, dialed net.Conn) {
	t.Helper()
	g := gomega.NewWithT(t)
	g.Expect(dialed.Close()).To(gomega.Succeed())
	_, err := accepted.Read(make([]byte, 1))
	g.Expect(err).To(gomega.MatchError(io.EOF))
}

// TestClosedConnectionIsSeenBehindUnreadBytes guards against callers whose departure stays unnoticed because they had
// sent further requests ahead.
func TestClosedConnectionIsSeenBehindUnreadBytes(t *testing.T) {
	g := gomega.NewWithT(t)
	accepted, dialed := connect(t)
	_, err := io.WriteString(dialed, "GET")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.ReadFull(accepted, make([]byte, 2))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(link.IsClosedByPeer(accepted)).To(gomega.BeFalse())
	g.Expect(dialed.Close()).To(gomega.Succeed())
	g.Eventually(func() bool { return link.IsClosedByPeer(accepted) }).Should(gomega.BeTrue())
}
