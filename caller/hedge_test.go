package caller

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// hedgeCase is a relay with hedging whose sender is a function. It runs in a synctest bubble, so time is not real and
// goroutines that remain fail the test.
type hedgeCase struct {
	relay  *Relay
	class  class.Class
	call   call.Call
	send   func(ctx context.Context, to *Server, c call.Call) call.Result
	route  *ServiceRoute
	mu     sync.Mutex
	events map[HedgeEvent]int
	// attempts are those of the current call, and all those of the case are counted.
	attempts []call.Call
	hosts    []ownership.HostID
	all      int
}

var ok = call.Result{Outcome: class.Answered, Status: 200}

// Send implements Sender.
func (h *hedgeCase) Send(ctx context.Context, to *Server, c call.Call) call.Result {
	h.mu.Lock()
	h.attempts, h.hosts, h.all = append(h.attempts, c), append(h.hosts, to.Host), h.all+1
	h.mu.Unlock()
	return h.send(ctx, to, c)
}

// answerAfter answers after a time, unless the attempt is cancelled before.
func answerAfter(took time.Duration, result call.Result) func(context.Context, *Server, call.Call) call.Result {
	return func(ctx context.Context, _ *Server, _ call.Call) call.Result {
		select {
		case <-time.After(took):
			return result
		case <-ctx.Done():
			return call.Unknown(call.CallerGone)
		}
	}
}

// byAttempt sends the first attempt of a call to one function, and the others to another one.
func (h *hedgeCase) byAttempt(first, second func(context.Context, *Server, call.Call) call.Result) {
	h.send = func(ctx context.Context, to *Server, c call.Call) call.Result {
		if c.IsRetry {
			return second(ctx, to, c)
		}
		return first(ctx, to, c)
	}
}

// newHedgeCase returns a relay that knows that answers take 10 ms.
func newHedgeCase(share float64) *hedgeCase {
	clock := clockwork.NewRealClock()
	h := &hedgeCase{events: map[HedgeEvent]int{}, send: answerAfter(10*time.Millisecond, ok)}
	h.class = class.Class{Name: "read", Latency: 500 * time.Millisecond, Idempotent: true, Attempts: 2}
	var servers []Server
	for i := range 3 {
		servers = append(servers, Server{Host: ownership.HostID(fmt.Sprint("h", i)), IsUsable: true, Concurrency: 8})
	}
	h.route = NewServiceRoute(false, servers, nil)
	table := NewTable()
	table.Set(Routes{"free": h.route})
	budget := NewBudget(BudgetLimits{Ratio: 0.2, Slack: 200, Window: 10 * time.Second, Daemons: 1}, clock)
	h.relay = NewRelay("d", table, h, budget, func(Attempt) {}, clock, 1)
	h.relay.SetLoadAware(true)
	h.relay.Hedge(share, func(e Hedge) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.events[e.Event]++
	})
	h.call = call.Call{Class: &h.class, Service: "free"}
	for range 200 {
		h.run()
	}
	return h
}

// run runs the call with a deadline in two seconds.
func (h *hedgeCase) run() call.Result {
	h.mu.Lock()
	h.attempts, h.hosts = nil, nil
	h.mu.Unlock()
	c := h.call
	c.Deadline = time.Now().Add(2 * time.Second)
	return h.relay.Do(context.Background(), c)
}

// TestHedgeResults guards against wrong results of two attempts, attempts that are not cancelled at once, more attempts than
// the class permits, and calls in flight that are never counted down.
func TestHedgeResults(t *testing.T) {
	slow := answerAfter(200*time.Millisecond, ok)
	failure := call.Result{Outcome: class.Answered, Status: 500}
	rejected := call.NotRun(call.WaitExceeded)
	lost := call.Unknown(call.AnswerLost)
	for name, c := range map[string]struct {
		first, second func(context.Context, *Server, call.Call) call.Result
		want          call.Result
		maxTook       time.Duration
		events        map[HedgeEvent]int
	}{
		"slow server": {
			slow, answerAfter(10*time.Millisecond, ok), ok, 30 * time.Millisecond,
			map[HedgeEvent]int{HedgeSent: 1, HedgeWon: 1, HedgeCancelled: 1},
		},
		"first answers": {
			answerAfter(40*time.Millisecond, ok), slow, ok, 40 * time.Millisecond,
			map[HedgeEvent]int{HedgeSent: 1, HedgeCancelled: 1},
		},
		"hedge fails": {
			slow, answerAfter(time.Millisecond, failure), ok, 200 * time.Millisecond,
			map[HedgeEvent]int{HedgeSent: 1},
		},
		"hedge rejected": {
			slow, answerAfter(time.Millisecond, rejected), ok, 200 * time.Millisecond,
			map[HedgeEvent]int{HedgeSent: 1},
		},
		"hedge lost": {
			slow, answerAfter(time.Millisecond, lost), ok, 200 * time.Millisecond,
			map[HedgeEvent]int{HedgeSent: 1},
		},
		"first not run": {
			answerAfter(20*time.Millisecond, call.NotRun(call.Shed)), slow, ok, 300 * time.Millisecond,
			map[HedgeEvent]int{HedgeSent: 1, HedgeWon: 1},
		},
		"first not run, hedge lost": {
			answerAfter(20*time.Millisecond, call.NotRun(call.Shed)), answerAfter(50*time.Millisecond, lost), lost,
			300 * time.Millisecond,
			map[HedgeEvent]int{HedgeSent: 1},
		},
		"both not run": {
			answerAfter(20*time.Millisecond, call.NotRun(call.Shed)), answerAfter(50*time.Millisecond, call.NotRun(call.Shed)),
			call.NotRun(call.Shed), 300 * time.Millisecond,
			map[HedgeEvent]int{HedgeSent: 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				h := newHedgeCase(0.5)
				h.byAttempt(c.first, c.second)
				start := time.Now()
				result := h.run()
				took := time.Since(start)
				synctest.Wait()
				g.Expect(result.Outcome).To(gomega.Equal(c.want.Outcome))
				g.Expect(result.Reason).To(gomega.Equal(c.want.Reason))
				g.Expect(result.Status).To(gomega.Equal(c.want.Status))
				g.Expect(took).To(gomega.BeNumerically("<=", c.maxTook))
				g.Expect(h.events).To(gomega.Equal(c.events))
				g.Expect(h.attempts).To(gomega.HaveLen(2))
				g.Expect(h.hosts[0]).NotTo(gomega.Equal(h.hosts[1]))
				g.Expect(h.attempts[1].MaxWait).To(gomega.BeNumerically("<=", 50*time.Millisecond))
				for host, stats := range h.relay.balancer.stats {
					g.Expect(stats.inFlight).To(gomega.BeZero(), string(host))
				}
			})
		})
	}
}

// TestHedgesWithheld guards against hedges of calls that may not be repeated, and against hedges that help nobody.
func TestHedgesWithheld(t *testing.T) {
	const none = HedgeEvent(-1)
	eachServer := func(change func(*Server)) func(*hedgeCase) {
		return func(h *hedgeCase) {
			for i := range h.route.Servers {
				change(&h.route.Servers[i])
			}
		}
	}
	eachLoad := func(load call.Load) func(*hedgeCase) {
		return func(h *hedgeCase) {
			for _, s := range h.relay.balancer.stats {
				s.load, s.loadTime = load, time.Now()
			}
		}
	}
	for name, c := range map[string]struct {
		change func(*hedgeCase)
		event  HedgeEvent
	}{
		"off":            {func(h *hedgeCase) { h.relay.hedges.share = 0 }, none},
		"not idempotent": {func(h *hedgeCase) { h.class.Idempotent = false }, none},
		"keyed":          {func(h *hedgeCase) { h.call.HasKey = true }, none},
		"one attempt":    {func(h *hedgeCase) { h.class.Attempts = 1 }, HedgeWithheldAttempts},
		"share":          {func(h *hedgeCase) { h.relay.hedges.services["free"].saved = 0 }, HedgeWithheldShare},
		"nested first": {func(h *hedgeCase) {
			*h.relay.hedges.services["free"] = hedgeState{saved: 2, nestedAt: time.Now()}
		}, HedgeWithheldShare},
		"budget": {func(h *hedgeCase) {
			h.relay.budget.limits = BudgetLimits{Window: time.Second}
			h.relay.budget.services["free"].tokens = 0
		}, HedgeWithheldBudget},
		"cold":    {eachServer(func(s *Server) { s.WarmupUntil = time.Now().Add(time.Hour) }), HedgeWithheldServer},
		"leaving": {eachServer(func(s *Server) { h := s.Host; s.IsShuttingDown = h != "h0" }), HedgeWithheldServer},
		"stated leaving": {func(h *hedgeCase) {
			for _, host := range []ownership.HostID{"h1", "h2"} {
				h.relay.leaving.since[host] = leavingServer{since: time.Now().Add(-time.Hour)}
			}
		}, HedgeWithheldServer},
		"evacuated":    {eachServer(func(s *Server) { h := s.Host; s.IsEvacuated = h != "h0" }), HedgeWithheldServer},
		"full":         {eachLoad(call.Load{Running: 8}), HedgeWithheldServer},
		"limited":      {eachLoad(call.Load{RateDelay: time.Millisecond}), HedgeWithheldServer},
		"loaded":       {eachLoad(call.Load{QueueDelay: time.Second}), none},
		"rejecting":    {func(h *hedgeCase) { h.relay.hedges.services["free"].rejectedShare = 0.2 }, HedgeWithheldRejecting},
		"full class":   {func(h *hedgeCase) { h.relay.bounded.stateOf(h.call).rejectedInRow = 1 }, HedgeWithheldRejecting},
		"suspected":    {func(h *hedgeCase) { h.call.IsSuspected = true }, HedgeWithheldSuspected},
		"not measured": {func(h *hedgeCase) { h.relay.answerTimes = newAnswerTimes() }, none},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				h := newHedgeCase(0.5)
				c.change(h)
				h.byAttempt(answerAfter(200*time.Millisecond, ok), answerAfter(time.Millisecond, ok))
				if h.call.HasKey {
					record := &ownership.Record{Service: "free", Members: []ownership.Member{{Host: "h0"}}}
					record.Keys.Set(keyspace.All(), ownership.Assignment{Owner: 0, Fence: 1})
					h.relay.table.Set(Routes{"free": NewServiceRoute(true, h.route.Servers, record)})
				}
				h.run()
				g.Expect(h.events[HedgeSent]).To(gomega.BeZero())
				g.Expect(h.attempts).To(gomega.HaveLen(1))
				if c.event == none {
					g.Expect(h.events).To(gomega.BeEmpty())
				} else {
					g.Expect(h.events).To(gomega.Equal(map[HedgeEvent]int{c.event: 1}))
				}
			})
		})
	}
}

// TestHedgesOfASlowService guards against extra work that grows while a whole service is slow. The share bounds it, and it
// ends once the quantile has followed.
func TestHedgesOfASlowService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		h := newHedgeCase(0.1)
		h.send = answerAfter(60*time.Millisecond, ok)
		sentIn := func(calls int) int {
			before := h.events[HedgeSent]
			for range calls {
				h.run()
			}
			synctest.Wait()
			return h.events[HedgeSent] - before
		}
		g.Expect(sentIn(100)).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", 20)))
		sentIn(200)
		g.Expect(sentIn(300)).To(gomega.BeZero())
		g.Expect(h.events[HedgeSent]).To(gomega.BeNumerically("<=", 80), "a tenth of 800 calls")
	})
}

// TestHedgesInAStormOfRejections guards against hedges that add to the load of a service that rejects calls.
func TestHedgesInAStormOfRejections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		h := newHedgeCase(1)
		rejection := call.NotRun(call.Overload)
		rejection.RetryAfter = 100 * time.Millisecond
		for i := range 400 {
			h.send = answerAfter(100*time.Millisecond, ok)
			if i%4 != 0 {
				h.send = answerAfter(time.Millisecond, rejection)
			}
			h.run()
		}
		synctest.Wait()
		g.Expect(h.events[HedgeSent]).To(gomega.BeNumerically("<=", 2))
		g.Expect(h.events[HedgeWithheldRejecting]).To(gomega.BeNumerically(">", 0))
	})
}

// TestHedgesAndHangingServers guards against more servers than the class has attempts, and against an attempt that is given
// up and sent elsewhere while a hedge is out. A hedge that did not run does not keep the call at a server that hangs.
func TestHedgesAndHangingServers(t *testing.T) {
	hang := answerAfter(time.Hour, ok)
	for name, c := range map[string]struct {
		attempts, sent int
		second         call.Result
		secondTook     time.Duration
	}{
		"both hang":                   {3, 2, ok, time.Hour},
		"hedge rejected":              {3, 3, call.NotRun(call.WaitExceeded), time.Millisecond},
		"hedge rejected, no attempts": {2, 2, call.NotRun(call.WaitExceeded), time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				h := newHedgeCase(0.5)
				h.class.Attempts = c.attempts
				h.byAttempt(hang, func(ctx context.Context, to *Server, sent call.Call) call.Result {
					if len(h.attempts) > 2 {
						return ok
					}
					return answerAfter(c.secondTook, c.second)(ctx, to, sent)
				})
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				sent := h.call
				sent.Deadline = time.Now().Add(2 * time.Second)
				h.attempts = nil
				result := h.relay.Do(ctx, sent)
				synctest.Wait()
				g.Expect(h.attempts).To(gomega.HaveLen(c.sent))
				g.Expect(result.Outcome == class.Answered).To(gomega.Equal(c.sent == 3))
			})
		})
	}
}

// TestCancelledAttemptsCount guards against quantiles that leave out the attempts that hedges cancelled: a fifth of the
// attempts is slow, so that is within the time of most answers, and is not hedged once it has been measured.
func TestCancelledAttemptsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		h := newHedgeCase(1)
		var sent [4]int
		for i := range 800 {
			h.send = answerAfter(10*time.Millisecond, ok)
			if i%5 == 0 {
				h.byAttempt(answerAfter(40*time.Millisecond, ok), h.send)
			}
			before := h.events[HedgeSent]
			h.run()
			sent[i/200] += h.events[HedgeSent] - before
		}
		synctest.Wait()
		g.Expect(sent[0]).To(gomega.BeNumerically(">", 0))
		g.Expect(sent[3]).To(gomega.BeZero())
	})
}
