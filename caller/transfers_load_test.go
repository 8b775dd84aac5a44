package caller_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/transfer"
)

// linkedService is a loadedService whose hosts have links of a fixed speed towards them. Messages pass a link in order.
type linkedService struct {
	*loadedService
	bytesPerSecond float64
	gates          map[ownership.HostID]*transfer.Gate

	linkMu sync.Mutex
	freeAt map[ownership.HostID]time.Time
	// delays are the times that calls without bulk bodies took to pass the link.
	delays []time.Duration
}

const uploadSize, smallSize = 60_000, 1 << 10

func newLinkedService(mbps float64, servers int) *linkedService {
	s := &linkedService{
		loadedService: newLoadedService(servers, 6, []float64{0.7, 0.7, 1.6}, map[class.Name]time.Duration{
			"enrol-upload": 190 * time.Millisecond, "roster-fetch": 40 * time.Millisecond,
		}),
		bytesPerSecond: mbps * 1e6 / 8,
		gates:          map[ownership.HostID]*transfer.Gate{},
		freeAt:         map[ownership.HostID]time.Time{},
	}
	for host := range s.servers {
		s.gates[host] = transfer.NewGate(mbps, func(transfer.Decision) {}, s.clock, 1)
	}
	s.sender = s
	return s
}

// pass waits until a message has passed the link of a host, and returns how long that took.
func (s *linkedService) pass(host ownership.HostID, bytes float64) time.Duration {
	s.linkMu.Lock()
	now := s.clock.Now()
	freeAt := s.freeAt[host]
	if freeAt.Before(now) {
		freeAt = now
	}
	freeAt = freeAt.Add(time.Duration(bytes / s.bytesPerSecond * float64(time.Second)))
	s.freeAt[host] = freeAt
	s.linkMu.Unlock()
	s.clock.Sleep(freeAt.Sub(now))
	return freeAt.Sub(now)
}

// Send implements caller.Sender.
func (s *linkedService) Send(ctx context.Context, to *caller.Server, c call.Call) call.Result {
	if c.Class.Bulk != class.Upload {
		took := s.pass(to.Host, smallSize)
		s.linkMu.Lock()
		s.delays = append(s.delays, took)
		s.linkMu.Unlock()
		return s.loadedService.Send(ctx, to, c)
	}
	s.clock.Sleep(2 * oneWay)
	gate := s.gates[to.Host]
	rejected := s.servers[to.Host].controller.CheckWait(admission.Request{
		Class: c.Class, Deadline: c.Deadline, MaxWait: c.MaxWait, IsReturn: c.IsReturn,
	}, gate.Reservations())
	if rejected != nil {
		result := call.NotRun(call.WaitExceeded)
		result.RetryAfter = rejected.RetryAfter
		return result
	}
	token, retryAfter := gate.Reserve(c.Class.Name, c.ID, uploadSize)
	if token == 0 {
		result := call.NotRun(call.LinkFull)
		result.RetryAfter = retryAfter
		return result
	}
	arriving := gate.Begin(c.Class.Name, c.ID, token)
	s.pass(to.Host, uploadSize)
	arriving.End(uploadSize)
	c.MaxWait = max(c.MaxWait, c.Deadline.Sub(s.clock.Now())/2)
	return s.loadedService.Send(ctx, to, c)
}

var (
	enrolUpload = class.Class{
		Name: "enrol-upload", Rank: 2, Latency: 2 * time.Second, Timeout: 3 * time.Second, Attempts: 2, Bulk: class.Upload,
	}
	rosterFetch = class.Class{
		Name: "roster-fetch", Rank: 1, Latency: 150 * time.Millisecond, Timeout: 500 * time.Millisecond, Attempts: 2,
		Idempotent: true,
	}
)

// TestUploadsLeaveRoomForNestedCalls guards against uploads that take the links and slots of a service from the more urgent
// calls to it, and against offers that leave the links idle while uploads are rejected. On a customer's heaviest day
// roster-fetch arrived 1 s late at the hosts of this service, beside uploads.
func TestUploadsLeaveRoomForNestedCalls(t *testing.T) {
	for name, c := range map[string]struct {
		load, minUploaded float64
	}{
		"usual": {load: 1, minUploaded: 0.97},
		"peak":  {load: 2.4, minUploaded: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				s := newLinkedService(10, 9)
				counts := s.run(s.relays(89, true), 10*time.Second,
					callRate{class: enrolUpload, perSecond: 83 * c.load}, callRate{class: rosterFetch, perSecond: 220})
				slices.Sort(s.delays)
				median := s.delays[len(s.delays)/2]
				t.Logf("%+v, median delay %v, %d offers", counts, median, s.offers)
				uploads, fetches := counts["enrol-upload"], counts["roster-fetch"]
				g.Expect(median).To(gomega.BeNumerically("<", 50*time.Millisecond))
				g.Expect(float64(fetches.rejected)).To(gomega.BeNumerically("<", 0.02*float64(fetches.total())))
				g.Expect(float64(uploads.inTarget)).To(gomega.BeNumerically(">", c.minUploaded*float64(uploads.total())))
			})
		})
	}
}
