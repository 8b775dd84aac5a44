package peer_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/peer"
)

// TestInvalidStatusOfADaemonIsNoResult guards against a caller that gets a status that another daemon, for instance one of
// an earlier version, took over from its server.
func TestInvalidStatusOfADaemonIsNoResult(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "600", "999"} {
		for _, outcome := range []class.Outcome{class.Answered, class.NotRun} {
			t.Run(status+" "+outcome.String(), func(t *testing.T) {
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
					_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Text\r\nSkylark-Hop-Request: 1\r\nSkylark-Hop-Outcome: "+
						outcome.String()+"\r\nContent-Length: 0\r\n\r\n") // the client reports a failed write
				}()
				clock := clockwork.NewRealClock()
				result := peer.NewHopClient(func() {}, clock, bootClock{}).Send(
					context.Background(), "h", listener.Addr().String(), call.Call{
						ID: "1", Class: &class.Class{}, Header: http.Header{}, Method: http.MethodGet, URI: "/",
						Deadline: clock.Now().Add(time.Second),
					})
				g.Expect(result).To(gomega.Equal(call.Unknown(call.AnswerLost)))
			})
		}
	}
}
