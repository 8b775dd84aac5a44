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

// waitExceeded is the rejection of a call that can start later than its bound.
func waitExceeded(retryAfter time.Duration) call.Result {
	result := call.NotRun(call.WaitExceeded)
	result.RetryAfter = retryAfter
	return result
}

// loadAwareRelay returns a relay with bounded offers to a number of servers.
func loadAwareRelay(s caller.Sender, servers int, clock clockwork.Clock) *caller.Relay {
	var routes []caller.Server
	for i := range servers {
		routes = append(routes, caller.Server{Host: ownership.HostID(rune('a' + i)), IsUsable: true, Concurrency: 2})
	}
	relay, _ := newRelay(s, caller.Routes{"free": caller.NewServiceRoute(false, routes, nil)}, clock)
	relay.SetLoadAware(true)
	return relay
}

// offerCall runs a call of the class "write", with a latency target of 100 ms, and a deadline in 500 ms.
func offerCall(relay *caller.Relay, clock clockwork.Clock) call.Result {
	return relay.Do(context.Background(),
		call.Call{Service: "free", Class: &classes[1], Deadline: clock.Now().Add(500 * time.Millisecond)})
}

// TestBoundsOfOffers guards against calls that wait in one queue while other servers are idle, and against a Retry-After
// that only says when a server can start a call within a shorter bound than the call's own.
func TestBoundsOfOffers(t *testing.T) {
	const ms = time.Millisecond
	full := call.NotRun(call.Overload)
	full.RetryAfter = 300 * ms
	hung := call.Unknown(call.TimedOut)
	// The run time is assumed as a quarter of the latency target, 25 ms.
	const short, untilTarget, untilDeadline = 7500 * time.Microsecond, 75 * ms, 435 * ms
	for name, c := range map[string]struct {
		servers    int
		results    []call.Result
		bounds     []time.Duration
		outcome    class.Outcome
		reason     call.Reason
		retryAfter time.Duration
		distinct   int
	}{
		"accepted at once": {servers: 8, bounds: []time.Duration{short}, outcome: class.Answered, distinct: 1},
		"rejected four times": {
			servers: 8,
			results: []call.Result{waitExceeded(ms), waitExceeded(ms), waitExceeded(ms), waitExceeded(90 * ms)},
			bounds:  []time.Duration{short, short, untilTarget, untilDeadline},
			outcome: class.NotRun, reason: call.Overload, retryAfter: 90 * ms, distinct: 3,
		},
		"only two servers": {
			servers: 2, results: []call.Result{waitExceeded(ms)},
			bounds: []time.Duration{short, untilDeadline}, outcome: class.Answered, distinct: 2,
		},
		"only one server": {
			servers: 1, results: []call.Result{full}, bounds: []time.Duration{untilDeadline},
			outcome: class.NotRun, reason: call.Overload, retryAfter: 300 * ms, distinct: 1,
		},
		"full": {
			servers: 8, results: []call.Result{full, full, full, full},
			bounds:  []time.Duration{short, short, untilTarget, untilDeadline},
			outcome: class.NotRun, reason: call.Overload, retryAfter: 300 * ms, distinct: 4,
		},
		"accepted by a server that hangs": {
			servers: 8, results: []call.Result{hung}, bounds: []time.Duration{short},
			outcome: class.Unknown, reason: call.TimedOut, distinct: 1,
		},
		"unreachable": {
			servers: 8, results: []call.Result{call.NotRun(call.Unreachable)},
			bounds: []time.Duration{short, short}, outcome: class.Answered, distinct: 2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			clock := clockwork.NewFakeClock()
			s := &scriptedSender{results: c.results}
			result := offerCall(loadAwareRelay(s, c.servers, clock), clock)
			var bounds []time.Duration
			for _, sent := range s.calls {
				bounds = append(bounds, sent.MaxWait)
			}
			g.Expect(bounds).To(gomega.Equal(c.bounds))
			g.Expect(result.Outcome).To(gomega.Equal(c.outcome))
			g.Expect(result.Reason).To(gomega.Equal(c.reason))
			g.Expect(result.RetryAfter).To(gomega.Equal(c.retryAfter))
			hosts := map[ownership.HostID]bool{}
			for _, host := range s.hosts {
				hosts[host] = true
			}
			g.Expect(len(hosts)).To(gomega.BeNumerically(">=", c.distinct))
		})
	}
}

// TestOffersAreBoundedOnlyIfLoadAware guards against other decisions for configurations that are not load-aware, and for
// calls with a key.
func TestOffersAreBoundedOnlyIfLoadAware(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	s := &scriptedSender{results: []call.Result{call.NotRun(call.Overload), call.NotRun(call.Overload)}}
	relay := loadAwareRelay(s, 8, clock)
	relay.SetLoadAware(false)
	g.Expect(offerCall(relay, clock).Outcome).To(gomega.Equal(class.NotRun))
	g.Expect(s.calls).To(gomega.HaveLen(2))
	g.Expect(s.calls[0].MaxWait + s.calls[1].MaxWait).To(gomega.BeZero())

	s = &scriptedSender{}
	relay, _ = newRelay(s, newRoutes(), clock)
	relay.SetLoadAware(true)
	relay.Do(context.Background(), call.Call{
		Service: "keyed", Class: &classes[2], Key: 7, HasKey: true, Deadline: clock.Now().Add(time.Second),
	})
	g.Expect(s.calls).To(gomega.HaveLen(1))
	g.Expect(s.calls[0].MaxWait).To(gomega.BeZero())
}

// TestFullServiceRests guards against asking a full service about every call, and against a rest that outlasts the
// overload or that rejects nested calls.
func TestFullServiceRests(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	full := call.NotRun(call.Overload)
	full.RetryAfter = 400 * time.Millisecond
	s := &scriptedSender{}
	for range 40 {
		s.results = append(s.results, full)
	}
	relay := loadAwareRelay(s, 8, clock)
	for range 4 {
		g.Expect(offerCall(relay, clock).Outcome).To(gomega.Equal(class.NotRun))
	}
	asked := len(s.calls)
	clock.Advance(60 * time.Millisecond)
	result := offerCall(relay, clock)
	g.Expect(result.Reason).To(gomega.Equal(call.Overload))
	// The rest ends after 340 ms. The times are spread from then on, by half of it or twice the interval of accepted calls.
	g.Expect(result.RetryAfter).To(gomega.BeNumerically(">=", 340*time.Millisecond))
	g.Expect(result.RetryAfter).To(gomega.BeNumerically("<", 540*time.Millisecond))
	g.Expect(offerCall(relay, clock).RetryAfter).NotTo(gomega.Equal(result.RetryAfter))
	g.Expect(s.calls).To(gomega.HaveLen(asked), "the service is not asked during the rest")
	for range 14 {
		offerCall(relay, clock)
	}
	g.Expect(len(s.calls)).To(gomega.BeNumerically(">", asked), "one call of 16 is a probe")

	s.results, asked = nil, len(s.calls)
	relay.Do(context.Background(), call.Call{
		Service: "free", Class: &classes[1], IsNested: true, Deadline: clock.Now().Add(500 * time.Millisecond),
	})
	g.Expect(s.calls).To(gomega.HaveLen(asked+1), "nested calls are always offered")
	g.Expect(offerCall(relay, clock).Outcome).To(gomega.Equal(class.Answered), "an accepted call ends the rest")
}
