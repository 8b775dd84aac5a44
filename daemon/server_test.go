package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// sendHeartbeat sends a daemon a heartbeat of an instance of its backend server.
func sendHeartbeat(d *Daemon, instance ownership.Instance, sequence uint64) error {
	_, err := heartbeatHandler{d.control}.Heartbeat(context.Background(), ownership.Heartbeat{
		Instance: instance, Address: "127.0.0.1:2", Service: "s", Concurrency: 2, Sequence: sequence,
	})
	return err
}

// TestServerThatStatesItsLeavingGetsNoWorkAfterItsDrainTime guards against calls to a server that left without a heartbeat
// that says so, and against a heartbeat from before that makes it ready again.
func TestServerThatStatesItsLeavingGetsNoWorkAfterItsDrainTime(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDaemon(t, store.NewMemory(clockwork.NewRealClock()))
	instance := ownership.Instance{ID: "i", Born: 5}
	// inspect ticks at the given time after now and returns the server's state and whether it may get work.
	inspect := func(after time.Duration) (state ownership.ServerState, isUsable bool) {
		done := make(chan struct{})
		d.control.post(context.Background(), func(now ownership.Instant) {
			d.control.applyLeavingNotice(now)
			d.control.updatePermit(now.Add(after))
			state, isUsable = d.control.server.state, d.control.permit.isUsable
			close(done)
		})
		<-done
		return state, isUsable
	}
	g.Expect(sendHeartbeat(d, instance, 1)).To(gomega.Succeed())
	d.control.leavingNotice.Store(&leavingNotice{instance: "another", request: "id-1"})
	state, _ := inspect(0)
	g.Expect(state).To(gomega.Equal(ownership.ServerReady))
	d.control.leavingNotice.Store(&leavingNotice{instance: "i", request: "id-1"})
	state, isUsable := inspect(0)
	g.Expect(state).To(gomega.Equal(ownership.ServerDraining))
	g.Expect(isUsable).To(gomega.BeTrue())
	g.Expect(sendHeartbeat(d, instance, 2)).To(gomega.Succeed())
	state, isUsable = inspect(d.settings.Backend.DrainTime)
	g.Expect(state).To(gomega.Equal(ownership.ServerDraining))
	g.Expect(isUsable).To(gomega.BeFalse())
	g.Expect(sendHeartbeat(d, ownership.Instance{ID: "next", Born: 6}, 1)).To(gomega.Succeed())
	state, _ = inspect(0)
	g.Expect(state).To(gomega.Equal(ownership.ServerReady))
}

// TestDelayedHeartbeatAfterARestartYieldsToTheRunningServer covers a daemon that has restarted and gets a delayed heartbeat
// of a server that has ended before the first one of the server that runs. The daemon knows no better for a moment, and its
// calls name the instance that has ended, which the running server rejects; from the next heartbeat on it calls the server
// that runs, and a further delayed heartbeat changes nothing.
func TestDelayedHeartbeatAfterARestartYieldsToTheRunningServer(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDaemon(t, store.NewMemory(clockwork.NewRealClock()))
	ended, running := ownership.Instance{ID: "i", Born: 4}, ownership.Instance{ID: "i", Born: 5}
	current := func() ownership.Instance {
		instances := make(chan ownership.Instance, 1)
		d.control.post(context.Background(), func(now ownership.Instant) {
			d.control.updatePermit(now)
			instances <- d.control.permit.instance
		})
		return <-instances
	}
	g.Expect(sendHeartbeat(d, ended, 90)).To(gomega.Succeed())
	g.Expect(current()).To(gomega.Equal(ended))
	g.Expect(sendHeartbeat(d, running, 1)).To(gomega.Succeed())
	g.Expect(current()).To(gomega.Equal(running))
	g.Expect(sendHeartbeat(d, ended, 91)).To(gomega.BeAssignableToTypeOf(&ownership.StaleHeartbeatError{}))
	g.Expect(current()).To(gomega.Equal(running))
}
