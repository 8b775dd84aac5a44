package caller_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// leavingSender answers all calls. One of the servers states that it is leaving.
type leavingSender struct {
	leaving ownership.HostID
	header  string
	hosts   []ownership.HostID
}

func (s *leavingSender) Send(_ context.Context, to *caller.Server, _ call.Call) call.Result {
	s.hosts = append(s.hosts, to.Host)
	result := answered(200)
	result.Header = http.Header{}
	if to.Host == s.leaving {
		result.Header.Set(s.header, call.LeavingValue)
	}
	return result
}

// TestLeavingServerGetsNoCallsAfterItsDrainTime guards against calls to a server that is leaving if the daemon beside it
// has forgotten that.
func TestLeavingServerGetsNoCallsAfterItsDrainTime(t *testing.T) {
	for name, c := range map[string]call.Call{
		"without a key": {Service: "free", Class: &classes[0]},
		"with a key":    {Service: "keyed", Class: &classes[2], Key: 7, HasKey: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			clock := clockwork.NewFakeClock()
			routes := newRoutes()
			s := &leavingSender{leaving: "a", header: call.DefaultHeaderNames().Leaving}
			relay, table := newRelay(s, routes, clock)
			relay.AvoidLeavingServers(s.header, time.Second)
			send := func() {
				for range 20 {
					c.Deadline = clock.Now() // a call that has to wait for another owner does not
					relay.Do(context.Background(), c)
				}
			}
			send()
			g.Expect(s.hosts).To(gomega.ContainElement(ownership.HostID("a")))
			clock.Advance(time.Second)
			s.hosts = nil
			send()
			g.Expect(s.hosts).NotTo(gomega.ContainElement(ownership.HostID("a")))
			// A new instance on the same host is not leaving.
			s.leaving = ""
			for service, route := range routes {
				next := append([]caller.Server(nil), route.Servers...)
				next[0].Instance.ID = "next"
				routes[service] = caller.NewServiceRoute(route.IsKeyed, next, route.Record)
			}
			table.Set(routes)
			send()
			g.Expect(s.hosts).To(gomega.ContainElement(ownership.HostID("a")))
		})
	}
}
