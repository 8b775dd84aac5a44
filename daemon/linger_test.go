package daemon

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"
)

// TestClosingConnectionDeliversItsLastResponse guards against responses that are cut when a daemon stops: the caller has
// sent requests ahead, which stay unread, and takes the response slowly.
func TestClosingConnectionDeliversItsLastResponse(t *testing.T) {
	const responseBytes = 200_000
	for _, c := range []struct {
		name string
		// isAtExit is whether the daemon closes its connections, and not the handler this one.
		isAtExit bool
		method   string
	}{
		{name: "response that closes the connection", method: http.MethodGet},
		{name: "body that is not read", method: http.MethodPost},
		{name: "end of the process", isAtExit: true, method: http.MethodGet},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			d := New(testSettings(), Options{Log: hclog.NewNullLogger(), Clock: clockwork.NewRealClock()})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			calls := 0
			isSecondRunning := make(chan struct{})
			l := newLimitedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if calls++; calls == 2 {
					close(isSecondRunning)
					<-r.Context().Done()
					return
				}
				if !c.isAtExit {
					w.Header().Set("Connection", "close")
				}
				w.Header().Set("Content-Length", fmt.Sprint(responseBytes))
				_, _ = w.Write(bytes.Repeat([]byte("x"), responseBytes)) // the caller checks what arrives
			}), d.observer.httpErrorLog("test"))
			ended := make(chan error, 1)
			go func() { ended <- l.serve(d.lingerer.listen(listener)) }()

			conn, err := net.Dial("tcp", listener.Addr().String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer conn.Close()
			g.Expect(conn.(*net.TCPConn).SetReadBuffer(8 << 10)).To(gomega.Succeed())
			body := bytes.Repeat([]byte("y"), 8<<10)
			for range 3 {
				_, err = fmt.Fprintf(conn, "%s / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", c.method, len(body))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				_, err = conn.Write(body)
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			reader := bufio.NewReaderSize(conn, 4<<10)
			response, err := http.ReadResponse(reader, nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			if c.isAtExit {
				<-isSecondRunning
				_ = listener.Close() // it may be closed already
				l.close()
				go d.lingerer.finish()
			}
			time.Sleep(50 * time.Millisecond) // a slow caller
			rest, err := io.Copy(io.Discard, response.Body)
			g.Expect(err).NotTo(gomega.HaveOccurred(), "after %d more bytes", rest)
			_, err = reader.ReadByte()
			g.Expect(err).To(gomega.MatchError(io.EOF))
			if !c.isAtExit {
				_ = listener.Close() // it may be closed already
				l.close()
			}
			g.Expect(<-ended).NotTo(gomega.HaveOccurred())
		})
	}
}

// TestLingeringEndsWithTheProcess checks that callers that never close their connections delay the end of the process by
// exitLingerTime at most.
func TestLingeringEndsWithTheProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	l := newLingerer()
	lingering := l.listen(listener)
	caller, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer caller.Close()
	conn, err := lingering.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	read := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		read <- err
	}()
	g.Expect(conn.Close()).To(gomega.Succeed())
	g.Expect(<-read).To(gomega.HaveOccurred(), "closing ends a read")
	finished := make(chan struct{})
	go func() {
		l.finish()
		close(finished)
	}()
	g.Eventually(finished, 2*exitLingerTime).Should(gomega.BeClosed())
}
