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

// TestOverloadedServiceIsOfferedACallTwiceAtMost guards against rejected calls taking the processor time of the daemons
// from the calls that are served.
func TestOverloadedServiceIsOfferedACallTwiceAtMost(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewRealClock()
	var servers []caller.Server
	s := &scriptedSender{}
	for i := range 16 {
		servers = append(servers, caller.Server{Host: ownership.HostID(rune('a' + i)), IsUsable: true, Concurrency: 2})
		rejected := call.NotRun(call.Overload)
		rejected.RetryAfter = time.Duration(50-i) * time.Millisecond
		s.results = append(s.results, rejected)
	}
	relay, _ := newRelay(s, caller.Routes{"free": caller.NewServiceRoute(false, servers, nil)}, clock)
	result := relay.Do(context.Background(),
		call.Call{Service: "free", Class: &classes[0], Deadline: clock.Now().Add(time.Second)})
	g.Expect(result.Outcome).To(gomega.Equal(class.NotRun))
	g.Expect(s.hosts).To(gomega.HaveLen(2))
	g.Expect(result.RetryAfter).To(gomega.Equal(49*time.Millisecond), "the sooner of the two")
}

// TestUnknownRetryAfterIsNotTheShortest checks that a server that does not say when it expects capacity does not make
// callers return at once.
func TestUnknownRetryAfterIsNotTheShortest(t *testing.T) {
	g := gomega.NewWithT(t)
	known, unknown := call.NotRun(call.Overload), call.NotRun(call.Overload)
	known.RetryAfter = 40 * time.Millisecond
	w := serve(&scriptedSender{results: []call.Result{known, unknown}}, withPath("/r/1"))
	g.Expect(w.Header().Get("Retry-After")).To(gomega.Equal("0.04"))
}

// crowdedSender rejects the calls to some servers and answers the others.
type crowdedSender struct {
	isCrowded func(ownership.HostID) bool
	offers    int
}

func (s *crowdedSender) Send(_ context.Context, to *caller.Server, _ call.Call) call.Result {
	s.offers++
	if !s.isCrowded(to.Host) {
		return answered(200)
	}
	return call.NotRun(call.Overload)
}

// TestOverloadedServiceIsOfferedCallsOnce guards against rejected calls taking the processor time of the daemons from the
// calls that are served.
func TestOverloadedServiceIsOfferedCallsOnce(t *testing.T) {
	const calls = 200
	for name, c := range map[string]struct {
		crowded   int
		maxOffers int
		answered  int
	}{
		"all of 16 servers": {crowded: 16, maxOffers: calls * 11 / 10},
		"one of 16 servers": {crowded: 1, maxOffers: calls * 12 / 10, answered: calls},
		"half of them":      {crowded: 8, maxOffers: calls * 3 / 2, answered: calls / 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			clock := clockwork.NewRealClock()
			var servers []caller.Server
			for i := range 16 {
				servers = append(servers, caller.Server{Host: ownership.HostID(rune('a' + i)), IsUsable: true, Concurrency: 2})
			}
			s := &crowdedSender{isCrowded: func(h ownership.HostID) bool { return int(h[0]-'a') < c.crowded }}
			relay, _ := newRelay(s, caller.Routes{"free": caller.NewServiceRoute(false, servers, nil)}, clock)
			answered := 0
			for range calls {
				result := relay.Do(context.Background(),
					call.Call{Service: "free", Class: &classes[0], Deadline: clock.Now().Add(time.Second)})
				if result.Outcome == class.Answered {
					answered++
				}
			}
			g.Expect(s.offers).To(gomega.BeNumerically("<=", c.maxOffers))
			g.Expect(answered).To(gomega.BeNumerically(">=", c.answered))
		})
	}
}
