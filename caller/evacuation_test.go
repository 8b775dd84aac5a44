package caller_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// TestEvacuatedServersServeOnlyTheirKeys guards against calls to servers of an evacuated domain, and against calls that
// wait for an owner although all domains are evacuated.
func TestEvacuatedServersServeOnlyTheirKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock() // a call that waits never ends
	servers := []caller.Server{
		{Host: "a", IsUsable: true, IsEvacuated: true, Concurrency: 2}, {Host: "b", IsUsable: true, Concurrency: 2},
	}
	routes := func() caller.Routes {
		return caller.Routes{
			"free":  caller.NewServiceRoute(false, servers, nil),
			"keyed": caller.NewServiceRoute(true, servers, newRoutes()["keyed"].Record),
		}
	}
	s := &scriptedSender{}
	relay, table := newRelay(s, routes(), clock)
	unkeyed := call.Call{Service: "free", Class: &classes[0], Deadline: clock.Now().Add(time.Second)}
	keyed := call.Call{Service: "keyed", Class: &classes[2], Deadline: clock.Now().Add(time.Second), Key: 7, HasKey: true}
	for range 5 {
		relay.Do(context.Background(), unkeyed)
	}
	relay.Do(context.Background(), keyed)
	g.Expect(s.hosts).To(gomega.Equal([]ownership.HostID{"b", "b", "b", "b", "b", "a"}))
	servers[0].IsUsable, servers[1].IsEvacuated = false, true
	table.Set(routes())
	for _, c := range []call.Call{unkeyed, keyed} {
		result := relay.Do(context.Background(), c)
		g.Expect(result.Outcome).To(gomega.Equal(class.NotRun))
		g.Expect(result.RetryAfter).To(gomega.BeNumerically(">", 0))
	}
	g.Expect(s.hosts).To(gomega.HaveLen(6), "nothing is sent")
}
