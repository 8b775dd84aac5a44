package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/link"
	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/transfer"
)

// TestHopRejectsBulkCallsWithoutMemory guards against a daemon whose memory is filled by calls of other daemons. Calls that
// do not fit have not run, and the others run.
func TestHopRejectsBulkCallsWithoutMemory(t *testing.T) {
	const budget = 1 << 20
	g := gomega.NewWithT(t)
	runner := &recordingRunner{result: call.Result{Outcome: class.Answered, Status: http.StatusOK, Body: make([]byte, 90_000)}}
	handler := receiver(runner, func(err error) { t.Error(err) })
	handler.Memory = link.NewMemory(32 << 20)
	handler.Memory.SetBudget(budget)
	server := httptest.NewServer(handler.Handler())
	defer server.Close()
	clock := clockwork.NewRealClock()
	client := peer.NewHopClient(func() {}, clock, bootClock{})
	send := func(bulk class.Bulk, bytes int) call.Result {
		return client.Send(context.Background(), "h", server.Listener.Addr().String(), call.Call{
			ID: "1", Class: &class.Class{Bulk: bulk}, Service: "s", Header: http.Header{}, Method: http.MethodPost, URI: "/",
			Deadline: clock.Now().Add(time.Second), Body: make([]byte, bytes),
		})
	}
	others := handler.Memory.Hold()
	others.Raise(budget * 3 / 4)
	for bulk, bytes := range map[class.Bulk]int{class.Download: 0, class.Upload: 10_000} {
		result := send(bulk, bytes)
		g.Expect(result.Outcome).To(gomega.Equal(class.NotRun))
		g.Expect(result.Reason).To(gomega.Equal(call.Overload))
		g.Expect(result.RetryAfter).To(gomega.BeNumerically(">", 0))
	}
	g.Expect(runner.calls).To(gomega.BeEmpty())
	g.Expect(send(class.NoBulk, 100).Outcome).To(gomega.Equal(class.Answered))
	others.Release()
	g.Expect(send(class.Download, 0).Body).To(gomega.HaveLen(90_000))
	g.Eventually(func() int64 { return handler.Memory.Usage().Held }).Should(gomega.BeZero())
}

// TestReservationNeedsMemory guards against uploads whose bodies are sent in vain, because the daemon that reserved the place
// of the body has no memory for it.
func TestReservationNeedsMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	runner := &recordingRunner{result: call.Result{Outcome: class.Answered, Status: http.StatusOK}}
	handler := receiver(runner, func(err error) { t.Error(err) })
	clock := clockwork.NewRealClock()
	handler.Transfers = &peer.Transfers{
		Gate:     transfer.NewGate(100, func(transfer.Decision) {}, clock, 1),
		CanStart: func(call.Call, int) *call.Result { return nil },
	}
	handler.Memory = link.NewMemory(32 << 20)
	handler.Memory.SetBudget(1 << 20)
	var received atomic.Int64
	inner := handler.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Add(r.ContentLength)
		inner.ServeHTTP(w, r)
	}))
	defer server.Close()
	send := func() call.Result {
		return peer.NewHopClient(func() {}, clock, bootClock{}).Send(
			context.Background(), "h", server.Listener.Addr().String(), call.Call{
				ID: "1", Class: &class.Class{Bulk: class.Upload}, Service: "s", Header: http.Header{}, Method: http.MethodPost,
				URI: "/", Deadline: clock.Now().Add(time.Second), Body: make([]byte, 60_000),
			})
	}
	others := handler.Memory.Hold()
	others.Raise(3<<18 - 50_000)
	result := send()
	g.Expect(result.Outcome).To(gomega.Equal(class.NotRun))
	g.Expect(result.Reason).To(gomega.Equal(call.Overload))
	g.Expect(received.Load()).To(gomega.BeZero(), "the body is not sent")
	others.Release()
	g.Expect(send().Outcome).To(gomega.Equal(class.Answered))
	g.Eventually(func() int64 { return handler.Memory.Usage().Held }).Should(gomega.BeZero())
}
