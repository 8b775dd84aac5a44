package caller_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// limitedSender answers all calls. One of the servers reports that it accepts no more calls for a while.
type limitedSender struct {
	limited       ownership.HostID
	sentToLimited int
}

func (s *limitedSender) Send(_ context.Context, to *caller.Server, _ call.Call) call.Result {
	result := answered(200)
	result.Load = &call.Load{Concurrency: 2}
	if to.Host == s.limited {
		s.sentToLimited++
		result.Load.RateDelay = 200 * time.Millisecond
	}
	return result
}

// TestCallsGoWhereTheRateLimitLeavesRoom checks that calls avoid a server that has free capacity and accepts no more calls
// for a while.
func TestCallsGoWhereTheRateLimitLeavesRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewRealClock()
	s := &limitedSender{limited: "a"}
	relay, _ := newRelay(s, newRoutes(), clock)
	for range 50 {
		relay.Do(context.Background(),
			call.Call{Service: "free", Class: &classes[0], Deadline: clock.Now().Add(time.Second)})
	}
	g.Expect(s.sentToLimited).To(gomega.BeNumerically("<=", 2), "of 50 calls")
}
