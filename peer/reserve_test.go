package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/transfer"
)

// bulkHost is a host whose daemon limits bulk transfers, with a record of the requests that reached it.
type bulkHost struct {
	runner   recordingRunner
	rejected *call.Result

	mu       sync.Mutex
	requests []http.Header
	invalid  []error
	events   []transfer.Event
	address  string
	client   *peer.HopClient
}

// slowLink is the speed in Mbit/s of a link that a body takes seconds to pass, so that the time that a test takes makes no
// difference.
const slowLink = 0.1

// newBulkHost starts the daemon of a host with a link of the given speed. An older daemon knows no transfers.
func newBulkHost(t *testing.T, mbps float64, isOlder bool) *bulkHost {
	clock := clockwork.NewRealClock()
	h := &bulkHost{client: peer.NewHopClient(func() {}, clock, bootClock{})}
	h.runner.result = call.Result{Outcome: class.Answered, Status: http.StatusOK, Body: make([]byte, 90_000)}
	r := receiver(&h.runner, func(err error) { h.invalid = append(h.invalid, err) })
	if !isOlder {
		r.Transfers = &peer.Transfers{
			Gate: transfer.NewGate(mbps, func(d transfer.Decision) { h.events = append(h.events, d.Event) }, clock, 1),
			CanStart: func(call.Call, int) *call.Result {
				return h.rejected
			},
		}
	}
	handler := r.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		h.requests = append(h.requests, r.Header.Clone())
		h.mu.Unlock()
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	h.address = server.Listener.Addr().String()
	return h
}

// send forwards a call with a body of 60 kB.
func (h *bulkHost) send(bulk class.Bulk) call.Result {
	c := call.Call{
		ID: "id-1", Class: &class.Class{Name: "c", Latency: time.Second, Bulk: bulk}, Service: "s", Origin: "front",
		Method: http.MethodPost, URI: "/x", Header: http.Header{}, Body: make([]byte, 60_000),
		Deadline: time.Now().Add(2 * time.Second), MaxWait: 50 * time.Millisecond,
	}
	return h.client.Send(context.Background(), "h", h.address, c)
}

// TestUploadReservesItsPlace guards against bodies that are sent before their place is sure, and against a call whose
// body was sent that is given up after the short bound of its offer.
func TestUploadReservesItsPlace(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newBulkHost(t, slowLink, false)
	g.Expect(h.send(class.Upload).Outcome).To(gomega.Equal(class.Answered))
	g.Expect(h.requests).To(gomega.HaveLen(2))
	g.Expect(h.runner.calls).To(gomega.HaveLen(1))
	g.Expect(h.runner.calls[0].Body).To(gomega.HaveLen(60_000))
	g.Expect(h.runner.calls[0].Class.Bulk).To(gomega.Equal(class.Upload))
	g.Expect(h.runner.calls[0].MaxWait).To(gomega.BeNumerically(">", 800*time.Millisecond))
	g.Expect(h.events).To(gomega.Equal([]transfer.Event{transfer.Reserved}))

	h.send(class.Upload)
	result := h.send(class.Upload)
	g.Expect(result.Outcome).To(gomega.Equal(class.NotRun))
	g.Expect(result.Reason).To(gomega.Equal(call.LinkFull))
	g.Expect(result.RetryAfter).To(gomega.BeNumerically(">", 0))
	g.Expect(h.runner.calls).To(gomega.HaveLen(2))
	g.Expect(h.invalid).To(gomega.BeEmpty())
}

// TestUploadIsRejectedBeforeItsBody guards against bodies that are sent to a server that is not expected to run the call.
func TestUploadIsRejectedBeforeItsBody(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newBulkHost(t, 10, false)
	rejected := call.NotRun(call.WaitExceeded)
	rejected.Load = &call.Load{Running: 6, Waiting: 1, Concurrency: 6, QueueDelay: 40 * time.Millisecond}
	h.rejected = &rejected
	result := h.send(class.Upload)
	g.Expect(result.Reason).To(gomega.Equal(call.WaitExceeded))
	g.Expect(result.Load).To(gomega.Equal(rejected.Load))
	g.Expect(h.runner.calls).To(gomega.BeEmpty())
	g.Expect(h.requests).To(gomega.HaveLen(1))
	g.Expect(h.events).To(gomega.BeEmpty(), "the link is not reserved for it")
}

// TestOlderDaemonsGetTheWholeCall guards against a request for a reservation that an older daemon runs as a call without
// its body, and against one for each upload.
func TestOlderDaemonsGetTheWholeCall(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newBulkHost(t, 10, true)
	unsupported := 0
	h.client.ObserveUnsupported(func(ownership.HostID) { unsupported++ })
	for range 2 {
		g.Expect(h.send(class.Upload).Outcome).To(gomega.Equal(class.Answered))
	}
	g.Expect(h.requests).To(gomega.HaveLen(3))
	g.Expect(h.invalid).To(gomega.HaveLen(1))
	g.Expect(unsupported).To(gomega.Equal(1))
	g.Expect(h.runner.calls).To(gomega.HaveLen(2))
	for _, c := range h.runner.calls {
		g.Expect(c.Body).To(gomega.HaveLen(60_000))
	}
}

// TestReservationAtDaemonThatHangs guards against an outcome that is stated as unknown although nothing was sent that could
// run, and against the loss of all time for another server.
func TestReservationAtDaemonThatHangs(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newBulkHost(t, 10, false)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	h.address = server.Listener.Addr().String()
	start := time.Now()
	result := h.send(class.Upload)
	g.Expect(result.Outcome).To(gomega.Equal(class.NotRun))
	g.Expect(result.Reason).To(gomega.Equal(call.Unreachable))
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Second))
}

// TestDownloadsNeedRoom guards against large responses that fill the link of the host that sends them.
func TestDownloadsNeedRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newBulkHost(t, slowLink, false)
	for range 2 { // they use up the burst of 256 kB
		g.Expect(h.send(class.Download).Outcome).To(gomega.Equal(class.Answered))
	}
	for range 10 {
		result := h.send(class.Download)
		g.Expect(result.Outcome).To(gomega.Equal(class.NotRun))
		g.Expect(result.Reason).To(gomega.Equal(call.LinkFull))
		g.Expect(result.RetryAfter).To(gomega.BeNumerically(">", 0))
	}
	g.Expect(h.runner.calls).To(gomega.HaveLen(2))
}

// TestOtherClassesAreNotLimited guards against any change for classes without bulk bodies, and so for configurations that
// are not load-aware.
func TestOtherClassesAreNotLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newBulkHost(t, 1, false)
	for range 20 {
		g.Expect(h.send(class.NoBulk).Outcome).To(gomega.Equal(class.Answered))
	}
	g.Expect(h.requests).To(gomega.HaveLen(20))
	g.Expect(h.events).To(gomega.BeEmpty())
	for _, header := range h.requests {
		for name := range header {
			g.Expect(strings.HasPrefix(name, "Skylark-Hop-Res") || name == "Skylark-Hop-Bulk").To(gomega.BeFalse(), name)
		}
	}
	g.Expect(h.runner.calls[0].MaxWait).To(gomega.Equal(50 * time.Millisecond))
}
