package caller_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// TestFullLinksAreOffers guards against bulk calls that fail although another host has room, that use up the attempts or
// the retry budget of their class, or whose callers do not learn when there will be room.
func TestFullLinksAreOffers(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	full := call.NotRun(call.LinkFull)
	full.RetryAfter = 74 * time.Millisecond
	s := &scriptedSender{results: []call.Result{full, full, full}}
	g.Expect(offerCall(loadAwareRelay(s, 8, clock), clock).Outcome).To(gomega.Equal(class.Answered))
	g.Expect(s.calls).To(gomega.HaveLen(4), "the class has two attempts")
	hosts := map[any]bool{}
	for i, host := range s.hosts {
		hosts[host] = true
		g.Expect(s.calls[i].IsRetry).To(gomega.BeFalse())
	}
	g.Expect(hosts).To(gomega.HaveLen(4))

	s = &scriptedSender{results: []call.Result{full, full, full, full}}
	result := offerCall(loadAwareRelay(s, 8, clock), clock)
	g.Expect(s.calls).To(gomega.HaveLen(4))
	g.Expect(result.Outcome).To(gomega.Equal(class.NotRun))
	g.Expect(result.Reason).To(gomega.Equal(call.Overload))
	g.Expect(result.RetryAfter).To(gomega.Equal(full.RetryAfter))
}
