package caller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// TestEntryDaemonsShareAColdServer guards against a flood from many entry daemons at once, each of which sends little, and
// against a new server that gets nothing. 61 daemons call 13 servers, of which one is cold.
func TestEntryDaemonsShareAColdServer(t *testing.T) {
	const daemons, callsPerSecond = 61, 430
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g := gomega.NewWithT(t)
			clock := clockwork.NewFakeClock()
			var servers []Server
			for i := range 13 {
				servers = append(servers, Server{
					Host: ownership.HostID(fmt.Sprint(i)), IsUsable: true, Concurrency: 8, ColdRate: ColdRate(7.1, daemons),
				})
			}
			servers[0].WarmupUntil = clock.Now().Add(3 * time.Second)
			route := NewServiceRoute(false, servers, nil)
			random := rand.New(rand.NewPCG(seed, 1))
			var balancers []*balancer
			for range daemons {
				balancers = append(balancers, newBalancer("d", clock, random))
			}
			cold := 0
			for range 3 * callsPerSecond {
				b := balancers[random.IntN(daemons)]
				s := b.pick(route, nil, &call.Call{})
				endCall := b.begin(s.Host)
				endCall(call.Result{Outcome: class.Answered, Status: 200})
				if s == &route.Servers[0] {
					cold++
				}
				clock.Advance(time.Second / callsPerSecond)
			}
			g.Expect(cold).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", 3*7.1)))
		})
	}
}

// TestColdServersAreUsedIfThereAreNoOthers guards against calls without a server when a whole service has just started.
func TestColdServersAreUsedIfThereAreNoOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	server := Server{Host: "a", IsUsable: true, Concurrency: 8, ColdRate: 0.01, WarmupUntil: clock.Now().Add(time.Second)}
	b := newBalancer("d", clock, rand.New(rand.NewPCG(1, 1)))
	route := NewServiceRoute(false, []Server{server}, nil)
	for range 5 {
		g.Expect(b.pick(route, nil, &call.Call{})).NotTo(gomega.BeNil())
	}
}

// TestServersWithoutAColdRateAreChosenAsBefore guards against new decisions for configurations that do not ask for them: a
// server that is warming up is compared with the others.
func TestServersWithoutAColdRateAreChosenAsBefore(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	cold := Server{Host: "a", IsUsable: true, Concurrency: 8, WarmupUntil: clock.Now().Add(time.Minute)}
	other := Server{Host: "b", IsUsable: true, Concurrency: 8}
	b := newBalancer("d", clock, rand.New(rand.NewPCG(1, 1)))
	route := NewServiceRoute(false, []Server{cold, other}, nil)
	g.Expect(b.pick(route, nil, &call.Call{}).Host).To(gomega.BeEquivalentTo("b"))
	b.statsOf("b").latency = time.Second
	g.Expect(b.pick(route, nil, &call.Call{}).Host).To(gomega.BeEquivalentTo("a"))
	g.Expect(b.cold.buckets).To(gomega.BeEmpty())
}
