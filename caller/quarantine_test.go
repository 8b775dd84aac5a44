package caller_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/quarantine"
)

func newReadCall(clock clockwork.Clock) call.Call {
	return call.Call{
		ID: "id-1", Class: &classes[0], Service: "free", Origin: "o", Method: http.MethodGet, Host: "h", URI: "/r/1",
		Deadline: clock.Now().Add(time.Second),
	}
}

// TestHeldRequestsAreRefusedAtOnce checks that a request that is held back is sent to no host.
func TestHeldRequestsAreRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	sender := &scriptedSender{}
	relay, _ := newRelay(sender, newRoutes(), clock)
	list := quarantine.NewList(clock)
	relay.HoldBack(list)
	c := newReadCall(clock)
	for i, host := range []ownership.HostID{"h3", "h2", "h1"} {
		at := clock.Now().Add(time.Duration(-i) * 30 * time.Second)
		list.Add(quarantine.Report{Request: c.Fingerprint(), Crash: quarantine.Crash{Host: host}, At: at})
	}
	result := relay.Do(context.Background(), c)
	g.Expect(result.Outcome).To(gomega.Equal(class.NotRun))
	g.Expect(result.Reason).To(gomega.Equal(call.Quarantined))
	g.Expect(result.RetryAfter).To(gomega.Equal(10 * time.Minute))
	g.Expect(sender.calls).To(gomega.BeEmpty())
	g.Expect(call.HTTPStatus(result)).To(gomega.Equal(http.StatusServiceUnavailable))
}

// TestRetryAfterACrashIsSuspected checks that the server of the retry learns of the crash from the call itself, and that
// the caller is not told that the call did not run when the retry is held back.
func TestRetryAfterACrashIsSuspected(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	ended := call.Unknown(call.ServerEnded)
	sender := &scriptedSender{results: []call.Result{ended, call.NotRun(call.Quarantined)}}
	relay, _ := newRelay(sender, newRoutes(), clock)
	result := relay.Do(context.Background(), newReadCall(clock))
	g.Expect(sender.calls).To(gomega.HaveLen(2))
	g.Expect(sender.calls[0].IsSuspected).To(gomega.BeFalse())
	g.Expect(sender.calls[1].IsSuspected).To(gomega.BeTrue())
	g.Expect(result.Outcome).To(gomega.Equal(class.Unknown))
}

// TestCallOnProbationIsSentOnce guards against a request that crashes a second server before the report of the first crash has
// arrived.
func TestCallOnProbationIsSentOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	sender := &scriptedSender{results: []call.Result{call.Unknown(call.ServerEnded), {Outcome: class.Answered, Status: 200}}}
	relay, _ := newRelay(sender, newRoutes(), clock)
	list := quarantine.NewList(clock)
	relay.HoldBack(list)
	request := newReadCall(clock)
	for _, host := range []ownership.HostID{"h3", "h2", "h1"} {
		list.Add(quarantine.Report{Request: request.Fingerprint(), Crash: quarantine.Crash{Host: host}, At: clock.Now()})
	}
	clock.Advance(31 * time.Second)
	result := relay.Do(context.Background(), newReadCall(clock))
	g.Expect(sender.calls).To(gomega.HaveLen(1))
	g.Expect(result.Outcome).To(gomega.Equal(class.Unknown))
}
