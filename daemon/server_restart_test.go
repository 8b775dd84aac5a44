package daemon

import (
	"context"
	"net"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// TestServerThatNeverReportsLosesItsKeys guards against keys that stay with a server that was lost while its daemon
// restarted: the new process never gets a heartbeat of it.
func TestServerThatNeverReportsLosesItsKeys(t *testing.T) {
	listening, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listening.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close() // its address refuses connections now
	t.Run("servers", func(t *testing.T) {
		for address, state := range map[string]string{
			closed.Addr().String():    "ended",
			listening.Addr().String(): "silent", // such as a server that is frozen
		} {
			t.Run(state, func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				s := testSettings()
				s.Backend.Address = address
				d := newDaemonWith(t, s, store.NewMemory(clockwork.NewRealClock()))
				current := func() string {
					states := make(chan string, 1)
					d.control.post(context.Background(), func(now ownership.Instant) {
						d.control.updatePermit(now)
						if d.control.permit.isUsable || d.control.server.announcement(now).IsUsable {
							states <- "usable"
							return
						}
						states <- d.control.server.state.String()
					})
					return <-states
				}
				// From then on its keys are given away as soon as no hold can be left.
				g.Eventually(current, "6s").Should(gomega.Equal(state))
			})
		}
	})
}
