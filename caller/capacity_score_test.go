package caller_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/capacity"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// choiceTest is a relay in domain d0 with a number of servers in alternating domains.
type choiceTest struct {
	sender  *scriptedSender
	relay   *caller.Relay
	clock   *clockwork.FakeClock
	reports []caller.ServerReport
}

func newChoiceTest(servers int) *choiceTest {
	c := &choiceTest{sender: &scriptedSender{}, clock: clockwork.NewFakeClock()}
	var routes []caller.Server
	for i := range servers {
		domain := ownership.FailureDomain(fmt.Sprintf("d%d", i%2))
		routes = append(routes, caller.Server{Host: hostName(i), Domain: domain, IsUsable: true, Concurrency: 6})
		c.reports = append(c.reports, caller.ServerReport{
			Host: hostName(i), Service: "free", Domain: domain, Slots: 6, Capacity: 1, Load: 3.6,
			RunTimes: capacity.RunTimes{"write": 40 * time.Millisecond},
		})
	}
	table := caller.NewTable()
	table.Set(caller.Routes{"free": caller.NewServiceRoute(false, routes, nil)})
	budget := caller.NewBudget(caller.BudgetLimits{Ratio: 0.2, Slack: 60, Window: 10 * time.Second, Daemons: 1}, c.clock)
	c.relay = caller.NewRelay("d0", table, c.sender, budget, func(caller.Attempt) {}, c.clock, 1)
	c.relay.SetLoadAware(true)
	return c
}

// report passes the reports to the relay, as of now.
func (c *choiceTest) report() {
	for i := range c.reports {
		c.reports[i].AnnouncedAt = c.clock.Now()
	}
	c.relay.SetServerReports(c.reports)
}

// share returns the share of 4,000 calls of a kind that go to the hosts for which include is true.
func (c *choiceTest) share(bulk class.Bulk, include func(host int) bool) float64 {
	callClass := classes[1]
	callClass.Bulk = bulk
	c.sender.hosts = nil
	const calls = 4000
	for range calls {
		c.relay.Do(context.Background(),
			call.Call{Service: "free", Class: &callClass, Deadline: c.clock.Now().Add(500 * time.Millisecond)})
	}
	included := map[ownership.HostID]bool{}
	for i := range c.reports {
		included[hostName(i)] = include(i)
	}
	count := 0
	for _, host := range c.sender.hosts {
		if included[host] {
			count++
		}
	}
	return float64(count) / calls
}

func isLocal(host int) bool { return host%2 == 0 }

// TestServerThatJoinsGetsItsShare guards against a server that gets no calls until it has announced run times, and against
// one that gets the calls of all entry daemons because it is idle.
func TestServerThatJoinsGetsItsShare(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newChoiceTest(40)
	for i := range c.reports {
		c.reports[i].Load = 3 + 0.3*float64(i/2%5)
	}
	c.report()
	c.clock.Advance(time.Minute)
	c.reports[1].Instance.ID, c.reports[1].Load, c.reports[1].RunTimes = "next", 0, nil
	c.report()
	// The servers of the own domain are preferred, so that it is compared with the 20 of its domain.
	others := c.share(class.NoBulk, func(host int) bool { return !isLocal(host) }) / 20
	joined := c.share(class.NoBulk, func(host int) bool { return host == 1 })
	g.Expect(joined).To(gomega.BeNumerically(">", others/3))
	g.Expect(joined).To(gomega.BeNumerically("<", 3*others), "no more than the number of compared candidates")
}

// TestLocalServersArePreferred guards against bytes between failure domains for calls that gain nothing from them, and
// against a preference that keeps calls at busy or slow servers.
func TestLocalServersArePreferred(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newChoiceTest(10)
	c.report()
	g.Expect(c.share(class.NoBulk, isLocal)).To(gomega.BeNumerically(">", 0.8))
	for i := range c.reports {
		if !isLocal(i) {
			c.reports[i].RunTimes = capacity.RunTimes{"write": 34 * time.Millisecond}
		}
	}
	c.report()
	g.Expect(c.share(class.NoBulk, isLocal)).To(gomega.BeNumerically("<", 0.3), "a hop costs less than it saves")
	g.Expect(c.share(class.Download, isLocal)).To(gomega.BeNumerically(">", 0.8))
	for i := range c.reports {
		c.reports[i].Load = 2
		if isLocal(i) {
			c.reports[i].Load = 5
		}
	}
	for range 20 {
		c.clock.Advance(time.Second)
		c.report()
	}
	g.Expect(c.share(class.Download, isLocal)).To(gomega.BeNumerically("<", 0.3), "the local servers are busier")
}

// TestSlowServerIsAvoidedForAMoment guards against calls to a server that has just said that it is slow, and against
// avoiding it for longer than slow moments last.
func TestSlowServerIsAvoidedForAMoment(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newChoiceTest(2)
	c.report()
	slow := call.Result{Outcome: class.Answered, Status: 200, Load: &call.Load{Running: 3, Concurrency: 6, Slowdown: 3}}
	first := func(host int) bool { return hostName(host) == hostName(0) }
	c.sender.results = []call.Result{slow}
	c.share(class.NoBulk, first) // the local server is chosen
	g.Expect(c.share(class.NoBulk, first)).To(gomega.BeNumerically("<", 0.01))
	c.clock.Advance(400 * time.Millisecond)
	g.Expect(c.share(class.NoBulk, first)).To(gomega.BeNumerically(">", 0.99))
}

// TestChoiceIsUnchangedIfNotLoadAware guards against other decisions for configurations that are not load-aware. The hosts
// are those that the code before the choice by capacity chose.
func TestChoiceIsUnchangedIfNotLoadAware(t *testing.T) {
	g := gomega.NewWithT(t)
	const before = "h10 h10 h0 h8 h4 h6 h2 h4 h0 h5 h9 h2 h10 h0 h3 h11 h0 h7 h1 h6 h4 h8 h11 h0 h7 h6 h8 h10 h0 h0 h9 h2 h3 h8 h1 h9 h6 h6 h0 h3"
	for _, hasReports := range []bool{false, true} {
		c := newChoiceTest(12)
		c.relay.SetLoadAware(false)
		var chosen []string
		for i := range 40 {
			load := &call.Load{Running: i % 9, Waiting: i % 4, Concurrency: 6}
			if hasReports {
				c.reports[i%12].Capacity, c.reports[i%12].Load = 0.5, 6
				c.report()
				load.Slowdown = 3
			}
			c.sender.hosts = nil
			c.sender.results = []call.Result{{Outcome: class.Answered, Status: 200, Load: load}}
			c.sender.onSend = func(host ownership.HostID) {
				c.clock.Advance(time.Duration(len(host)+i*7%13) * 5 * time.Millisecond)
			}
			c.relay.Do(context.Background(),
				call.Call{Service: "free", Class: &classes[1], Deadline: c.clock.Now().Add(500 * time.Millisecond)})
			chosen = append(chosen, string(c.sender.hosts[0]))
		}
		g.Expect(strings.Join(chosen, " ")).To(gomega.Equal(before))
	}
}

// BenchmarkChoice measures a call with the choice among 34 servers.
func BenchmarkChoice(b *testing.B) {
	for name, isLoadAware := range map[string]bool{"by latency": false, "by capacity": true} {
		b.Run(name, func(b *testing.B) {
			c := newChoiceTest(34)
			c.relay.SetLoadAware(isLoadAware)
			c.report()
			b.ReportAllocs()
			for b.Loop() {
				c.sender.hosts, c.sender.calls = nil, nil
				c.relay.Do(context.Background(),
					call.Call{Service: "free", Class: &classes[1], Deadline: c.clock.Now().Add(500 * time.Millisecond)})
			}
		})
	}
}
