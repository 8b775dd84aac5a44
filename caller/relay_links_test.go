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
	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// linkWorld sends calls of a daemon in domain z0 to hosts of three domains. Nothing in domain z1 can be reached from z0 while
// isCut is set, and from nowhere while isLost is set. A direct attempt at a host that cannot be reached takes dialTime.
type linkWorld struct {
	clock         *clockwork.FakeClock
	isCut, isLost bool
	runs          map[class.RequestID]int
	direct, via   int
	// lost is how many further calls by way of another domain run without an answer.
	lost int
}

const linkDialTime = 150 * time.Millisecond

func (w *linkWorld) Send(_ context.Context, to *caller.Server, c call.Call) call.Result {
	isUnreached := to.Domain == "z1" && (w.isLost || w.isCut && to.Via == nil)
	if to.Via != nil {
		w.via++
	} else {
		w.direct++
	}
	if isUnreached {
		w.clock.Advance(linkDialTime)
		result := call.NotRun(call.Unreachable)
		if to.Via != nil {
			result.Host = string(to.Via.Host)
		}
		return result
	}
	w.clock.Advance(time.Millisecond)
	w.runs[c.ID]++
	if to.Via != nil && w.lost > 0 {
		w.lost--
		return call.Unknown(call.AnswerLost)
	}
	result := answered(200)
	result.Host = string(to.Host)
	return result
}

// linkRelay returns the relay of a daemon in domain z0. Keys 0 to 99 of service "keyed" belong to a host of z1, the others to
// one of z2. Service "mixed" has servers in both, and "far" in z1 only.
func linkRelay(isLoadAware bool) (*caller.Relay, *linkWorld) {
	clock := clockwork.NewFakeClock()
	w := &linkWorld{clock: clock, runs: map[class.RequestID]int{}}
	server := func(host ownership.HostID, domain ownership.FailureDomain) caller.Server {
		return caller.Server{Host: host, Domain: domain, IsUsable: true, Concurrency: 4}
	}
	record := &ownership.Record{Service: "keyed", Members: []ownership.Member{{Host: "k1"}, {Host: "k2"}}}
	record.Keys.Set(keyspace.All(), ownership.Assignment{Owner: 1, Fence: 1})
	record.Keys.Set(keyspace.Span{From: 0, To: 99}, ownership.Assignment{Owner: 0, Fence: 1})
	relay, _ := newRelay(w, caller.Routes{
		"keyed": caller.NewServiceRoute(true, []caller.Server{server("k1", "z1"), server("k2", "z2")}, record),
		"mixed": caller.NewServiceRoute(false, []caller.Server{server("m1", "z1"), server("m2", "z2")}, nil),
		"far":   caller.NewServiceRoute(false, []caller.Server{server("f1", "z1"), server("f2", "z1")}, nil),
		"evacuated": caller.NewServiceRoute(false, []caller.Server{
			{Host: "e1", Domain: "z1", IsUsable: true, IsEvacuated: true},
			{Host: "e2", Domain: "z1", IsUsable: true, ColdRate: 1, WarmupUntil: clock.Now().Add(time.Hour)},
			{Host: "e3", Domain: "z1", IsUsable: true, IsShuttingDown: true},
		}, nil),
	}, clock)
	relay.SetLoadAware(isLoadAware)
	relay.UseReach(caller.NewReach("z0", func(caller.ReachChange) {}))
	return relay, w
}

func (w *linkWorld) do(
	relay *caller.Relay, id class.RequestID, service class.Service, key class.Key, isIdempotent bool,
) call.Result {
	return relay.Do(context.Background(), call.Call{
		ID: id, Service: service, Key: key, HasKey: service == "keyed",
		Class:    &class.Class{Name: "c", Latency: 500 * time.Millisecond, Attempts: 3, Idempotent: isIdempotent},
		Deadline: w.clock.Now().Add(3 * time.Second),
	})
}

// learn makes a daemon find out that domain z1 cannot be reached.
func learn(g *gomega.WithT, relay *caller.Relay, w *linkWorld) {
	g.Expect(w.do(relay, "learn-0", "keyed", 500, true).Outcome).To(gomega.Equal(class.Answered))
	reach := relay.ActiveReach()
	reach.Failed(w.clock.Now(), "z1", "k1")
	reach.Failed(w.clock.Now(), "z1", "f1")
	g.Expect(reach.IsUnreachable("z1")).To(gomega.BeTrue())
	w.direct, w.via = 0, 0
}

// TestCallsAreRelayedAroundACutLink guards against keys that cannot be used while the domain of their owner is reached from
// a third one only. Calls without a key go to servers that are reached directly, if there are any.
func TestCallsAreRelayedAroundACutLink(t *testing.T) {
	for name, c := range map[string]struct {
		service   class.Service
		key       class.Key
		isRelayed bool
	}{
		"key":                        {service: "keyed", key: 7, isRelayed: true},
		"key in a reached domain":    {service: "keyed", key: 500},
		"no key":                     {service: "mixed"},
		"no key and no other server": {service: "far", isRelayed: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			relay, w := linkRelay(true)
			w.isCut = true
			learn(g, relay, w)
			g.Expect(w.do(relay, "id", c.service, c.key, false).Outcome).To(gomega.Equal(class.Answered))
			g.Expect(w.runs["id"]).To(gomega.Equal(1))
			g.Expect(w.via > 0).To(gomega.Equal(c.isRelayed))
			g.Expect(w.direct + w.via).To(gomega.Equal(1))
		})
	}
}

// TestRelayedCallsRespectTheServers guards against relayed calls to servers that are evacuated, cold or shutting down, which
// get no direct ones.
func TestRelayedCallsRespectTheServers(t *testing.T) {
	g := gomega.NewWithT(t)
	relay, w := linkRelay(true)
	w.isCut = true
	learn(g, relay, w)
	g.Expect(w.do(relay, "id", "evacuated", 0, true).Outcome).To(gomega.Equal(class.NotRun))
	g.Expect(w.direct + w.via).To(gomega.BeZero())
}

// TestRelayedCallsRunOnce guards against a relayed call that runs twice, or is said not to have run, because its answer was
// lost on the way.
func TestRelayedCallsRunOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	relay, w := linkRelay(true)
	w.isCut, w.lost = true, 1
	learn(g, relay, w)
	g.Expect(w.do(relay, "post", "keyed", 7, false).Outcome).To(gomega.Equal(class.Unknown))
	g.Expect(w.runs["post"]).To(gomega.Equal(1))
	w.lost = 1
	g.Expect(w.do(relay, "get", "keyed", 7, true).Outcome).To(gomega.Equal(class.Answered))
	g.Expect(w.runs["get"]).To(gomega.Equal(2))
}

// TestOtherConfigurationsRelayNothing checks that calls are sent as before unless the configuration is load-aware.
func TestOtherConfigurationsRelayNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	relay, w := linkRelay(false)
	w.isCut = true
	g.Expect(relay.ActiveReach()).To(gomega.BeNil())
	for range 5 {
		for _, service := range []class.Service{"far", "keyed"} {
			g.Expect(w.do(relay, "id", service, 500, true).Outcome == class.Answered).To(gomega.Equal(service == "keyed"))
		}
	}
	g.Expect(w.via).To(gomega.BeZero())
}

// TestLostDomainCostsLittle covers a domain that is lost whole. Calls to it are not relayed again and again, have not run,
// and the daemons of other domains are asked once a second.
func TestLostDomainCostsLittle(t *testing.T) {
	g := gomega.NewWithT(t)
	relay, w := linkRelay(true)
	w.isCut, w.isLost = true, true
	learn(g, relay, w)
	const calls = 20
	for range calls {
		result := w.do(relay, "id", "far", 0, false)
		g.Expect(result.Outcome).To(gomega.Equal(class.NotRun))
		g.Expect(w.do(relay, "other", "keyed", 500, true).Outcome).To(gomega.Equal(class.Answered))
	}
	g.Expect(w.runs["id"]).To(gomega.BeZero())
	g.Expect(w.via).To(gomega.Equal(1))
}

// TestCutLinkUnderLoad plays 12 s of calls, 6 s of them with a cut link. Until the domain counts as unreachable, calls may
// be late; then all are answered in time and run once, and from a second after the end they are sent directly again.
func TestCutLinkUnderLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	relay, w := linkRelay(true)
	start := w.clock.Now()
	late, failed := 0, 0
	for i := 0; w.clock.Since(start) < 12*time.Second; i++ {
		elapsed := w.clock.Since(start)
		w.isCut = elapsed >= 3*time.Second && elapsed < 9*time.Second
		if elapsed > 10*time.Second {
			w.via = 0
		}
		// The control loop probes; a probe that fails says nothing new.
		for _, domain := range relay.ActiveReach().TakeProbes(w.clock.Now()) {
			if !w.isCut {
				relay.ActiveReach().Answered(w.clock.Now(), domain)
			}
		}
		began := w.clock.Now()
		id := class.RequestID(began.String())
		service, key := []class.Service{"keyed", "mixed", "far"}[i%3], class.Key(500*(i/3%2))
		if w.do(relay, id, service, key, false).Outcome != class.Answered {
			failed++
		}
		if w.clock.Since(began) > 100*time.Millisecond {
			late++
		}
		g.Expect(w.runs[id]).To(gomega.BeNumerically("<=", 1))
		w.clock.Advance(20 * time.Millisecond)
	}
	g.Expect(failed).To(gomega.BeZero())
	g.Expect(late).To(gomega.BeNumerically("<=", 3))
	g.Expect(w.via).To(gomega.BeZero())
	g.Expect(relay.ActiveReach().Unreachable()).To(gomega.BeEmpty())
}
