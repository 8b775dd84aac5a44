package caller_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// TestReturningCallIsOffered guards against calls that return as they were told and are rejected without an offer, and
// against callers that gain by returning sooner.
func TestReturningCallIsOffered(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	full := call.NotRun(call.Overload)
	full.RetryAfter = 100 * time.Millisecond
	s := &scriptedSender{}
	for range 400 {
		s.results = append(s.results, full)
	}
	relay := loadAwareRelay(s, 8, clock)
	send := func(uri string) call.Result {
		return relay.Do(context.Background(), call.Call{
			Service: "free", Class: &classes[1], URI: uri, Deadline: clock.Now().Add(time.Second),
		})
	}
	send("/w/1")
	for i := range 4 {
		send("/w/first/" + strconv.Itoa(i))
	}
	asked := len(s.calls)
	send("/w/1")
	g.Expect(s.calls).To(gomega.HaveLen(asked), "it returned too early, during the rest")
	result := send("/w/2")
	clock.Advance(result.RetryAfter)
	for i := range 4 {
		send("/w/second/" + strconv.Itoa(i))
	}
	asked = len(s.calls)
	send("/w/2")
	g.Expect(len(s.calls)).To(gomega.BeNumerically(">", asked))
	g.Expect(s.calls[asked].IsReturn).To(gomega.BeTrue())
	g.Expect(s.calls[asked-1].IsReturn).To(gomega.BeFalse())
}

// TestReturnsFindRoom guards against calls that are rejected again although they returned as they were told, while the
// callers ask for one and a half times what the service can do.
func TestReturnsFindRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newLoadedService(8, 6, []float64{0.7, 0.7, 1.6}, rRunTimes)
		relays := s.relays(20, true)
		var mu sync.Mutex
		var calls sync.WaitGroup
		served, returned, again := 0, 0, 0
		random := rand.New(rand.NewPCG(1, 2))
		const length, perSecond = 10 * time.Second, 1.5 * 8 * 6 / 0.21
		for id, start := 0, s.clock.Now(); s.clock.Since(start) < length; id++ {
			s.clock.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			relay := relays[random.IntN(len(relays))]
			calls.Go(func() {
				c := call.Call{
					Service: "free", Class: &roomConfirm, URI: strconv.Itoa(id),
					Deadline: s.clock.Now().Add(roomConfirm.Timeout),
				}
				ctx, cancel := clockwork.WithDeadline(context.Background(), s.clock, c.Deadline)
				defer cancel()
				result := relay.Do(ctx, c)
				isReturn := result.Outcome == class.NotRun && result.RetryAfter <= c.Deadline.Sub(s.clock.Now())/3
				if isReturn {
					s.clock.Sleep(result.RetryAfter)
					result = relay.Do(ctx, c)
				}
				mu.Lock()
				defer mu.Unlock()
				if result.Outcome == class.Answered {
					served++
				}
				if isReturn {
					returned++
					if result.Outcome == class.NotRun {
						again++
					}
				}
			})
		}
		calls.Wait()
		t.Logf("served %d, returned %d, rejected again %d", served, returned, again)
		g.Expect(served).To(gomega.BeNumerically(">", 9*10*228/10))
		g.Expect(returned).To(gomega.BeNumerically(">", 100))
		g.Expect(float64(again)).To(gomega.BeNumerically("<", 0.1*float64(returned)))
	})
}
