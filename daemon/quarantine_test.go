package daemon

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/quarantine"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// serveGossip serves a daemon's control messages and returns the address.
func serveGossip(t *testing.T, d *Daemon) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- peer.Serve(context.Background(), listener, gossipHandler{d.control}) }()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return listener.Addr().String()
}

// TestDaemonsLearnOfCrashesFromOthers covers a push, and a daemon that missed it because it has just started.
func TestDaemonsLearnOfCrashesFromOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	memory := store.NewMemory(clockwork.NewRealClock())
	reporting, restarted := newDaemon(t, memory), newDaemon(t, memory)
	address := serveGossip(t, reporting)
	c := call.Call{Origin: "s", URI: "/deadly"}
	for i, host := range []ownership.HostID{"h1", "h2", "h3"} {
		gossipHandler{reporting.control}.Push(peer.Update{Reports: []quarantine.Report{{
			Request: c.Fingerprint(), Crash: quarantine.Crash{Host: host}, At: time.Now().Add(time.Duration(i)),
		}}})
	}
	g.Eventually(func() int { return reporting.quarantine.Verdict(c.Fingerprint()).Crashes }).Should(gomega.Equal(3))
	gossipHandler{restarted.control}.Digest(peer.Digest{From: address, Reports: reporting.quarantine.Digest()})
	g.Eventually(func() time.Time { return restarted.quarantine.Verdict(c.Fingerprint()).HeldUntil }).
		ShouldNot(gomega.BeZero())
	g.Expect(restarted.quarantine.Digest()).To(gomega.Equal(reporting.quarantine.Digest()))
}
