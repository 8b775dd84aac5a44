package daemon

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// hangingServer accepts connections and reads requests, but never answers.
type hangingServer struct {
	listener net.Listener
	// conns gets each connection after its first request was read.
	conns chan net.Conn
}

func newHangingServer(t *testing.T) *hangingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &hangingServer{listener: listener, conns: make(chan net.Conn, 1)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					s.conns <- conn
				}
			}()
		}
	}()
	return s
}

// outlastTest makes the holds of a daemon's server last longer than any test, so that a slow machine does not end them.
func outlastTest(d *Daemon) {
	c := d.control
	done := make(chan struct{})
	c.post(context.Background(), func(now ownership.Instant) {
		timing := d.ownershipTiming()
		timing.HoldTime = time.Hour
		c.machine = ownership.NewStateMachine(now, c.self, c.service, c.layout, timing, c.random)
		close(done)
	})
	<-done
}

// TestRefusedConnectionIsNoEndByItself guards against two owners of a key: a backend server that shuts down in an orderly
// way refuses connections while it still works within its holds. Only a crash, which breaks its calls, ends them early.
func TestRefusedConnectionIsNoEndByItself(t *testing.T) {
	const (
		inProgress = "a call is in progress"
		isIdle     = "no call is in progress"
		breaksCall = "the call in progress breaks"
	)
	for _, c := range []struct {
		name        string
		isAnnounced bool
		work        string
		state       string
	}{
		{"announced, working", true, inProgress, "closed"},
		{"announced, idle", true, isIdle, "closed"},
		{"announced, its calls broken", true, breaksCall, "closed"},
		{"not announced, working", false, inProgress, "closed"},
		{"not announced, idle", false, isIdle, "closed"},
		{"crash", false, breaksCall, "ended"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			server := newHangingServer(t)
			s := testSettings()
			s.Backend.Address = server.listener.Addr().String()
			d := newDaemonWith(t, s, store.NewMemory(clockwork.NewRealClock()))
			outlastTest(d)
			instance := ownership.Instance{ID: "i", Born: 5}
			_, err := heartbeatHandler{d.control}.Heartbeat(context.Background(), ownership.Heartbeat{
				Instance: instance, Address: s.Backend.Address, Service: "s", Concurrency: 2, Sequence: 1,
			})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var conn net.Conn
			if c.work != isIdle {
				go func() {
					// A slow machine may exceed the timeout of the connection, and the call then does not reach the server.
					for range 20 {
						result := d.runner.Run(context.Background(), call.Call{
							ID: "id-1", Method: http.MethodGet, URI: "/", Class: &class.Class{Name: "c"}, Header: http.Header{},
							Deadline: time.Now().Add(time.Minute),
						})
						if result.Reason != call.Unreachable {
							return
						}
					}
				}()
				g.Eventually(server.conns, "30s").Should(gomega.Receive(&conn))
				defer conn.Close()
			}
			if c.isAnnounced {
				g.Expect(heartbeatHandler{d.control}.Deregister(context.Background(), "i", 5)).To(gomega.Succeed())
			}
			g.Expect(server.listener.Close()).To(gomega.Succeed())
			if c.work == breaksCall {
				g.Expect(conn.Close()).To(gomega.Succeed())
			}
			state := func() string {
				states := make(chan string, 1)
				d.control.post(context.Background(), func(ownership.Instant) { states <- d.control.server.state.String() })
				return <-states
			}
			g.Eventually(state, "2s").Should(gomega.Equal(c.state))
			g.Consistently(state, "500ms").Should(gomega.Equal(c.state))
		})
	}
}
