package caller_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
)

// traceWithoutHedging is the hash of the trace of TestHedgingOffChangesNothing on the code before hedging.
const traceWithoutHedging uint64 = 9102746680911802541

// TestHedgingOffChangesNothing guards against decisions that change although hedging is off: the results, servers and
// bounds of random scripts are the same as before hedging was added.
func TestHedgingOffChangesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	trace := fnv.New64a()
	random := rand.New(rand.NewPCG(1, 2))
	reasons := []call.Reason{call.Unreachable, call.Overload, call.WaitExceeded, call.Refused, call.Shed, call.LinkFull}
	for _, isLoadAware := range []bool{false, true} {
		clock := clockwork.NewFakeClock()
		sender := &scriptedSender{}
		relay, _ := newRelay(sender, newRoutes(), clock)
		relay.SetLoadAware(isLoadAware)
		for range 3000 {
			sender.results, sender.calls, sender.hosts = nil, nil, nil
			for range random.IntN(4) {
				switch random.IntN(4) {
				case 0:
					sender.results = append(sender.results, call.NotRun(reasons[random.IntN(len(reasons))]))
				case 1:
					sender.results = append(sender.results, call.Unknown(call.AnswerLost))
				default:
					sender.results = append(sender.results, answered(200+300*random.IntN(2)))
				}
			}
			c := call.Call{Class: &classes[random.IntN(2)], Service: "free", Deadline: clock.Now().Add(time.Second)}
			result := relay.Do(t.Context(), c)
			_, _ = fmt.Fprintln(trace, result.Outcome, result.Reason, result.Status, result.RetryAfter, sender.hosts)
			for _, sent := range sender.calls {
				_, _ = fmt.Fprintln(trace, sent.MaxWait, sent.IsRetry)
			}
			clock.Advance(time.Duration(random.IntN(100)) * time.Millisecond)
		}
	}
	g.Expect(trace.Sum64()).To(gomega.Equal(traceWithoutHedging))
}
