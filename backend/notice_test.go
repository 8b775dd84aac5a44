package backend_test

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// limitedServer answers all calls and states a rate limit in its responses, unless it is empty.
type limitedServer struct {
	limit   atomic.Value
	arrived atomic.Int64
}

func newLimitedServer(limit string) *limitedServer {
	s := &limitedServer{}
	s.limit.Store(limit)
	return s
}

func (s *limitedServer) serve(w http.ResponseWriter, r *http.Request) {
	s.arrived.Add(1)
	w.Header().Set(headerNames.RequestID, r.Header.Get(headerNames.RequestID))
	w.Header().Set(headerNames.Signature, "s")
	if limit := s.limit.Load().(string); limit != "" {
		w.Header().Set(headerNames.RateLimit, limit)
	}
}

// runCalls makes calls on several goroutines for the given time and returns how many arrived at the server meanwhile.
func (s *limitedServer) runCalls(r *backend.Runner, d time.Duration) int {
	before := s.arrived.Load()
	end := time.Now().Add(d)
	var callers sync.WaitGroup
	for n := range 4 {
		callers.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				c := newCall(500 * time.Millisecond)
				c.ID = class.RequestID("id-" + strconv.Itoa(n) + "-" + strconv.Itoa(i))
				c.Header.Set(headerNames.RequestID, string(c.ID))
				r.Run(context.Background(), c)
			}
		})
	}
	callers.Wait()
	return int(s.arrived.Load() - before)
}

func ignoreNotices() backend.NoticeObserver {
	return backend.NoticeObserver{
		RateLimitChanged: func(backend.RateLimitChange) {},
		Leaving:          func(string, class.RequestID) {},
		Invalid:          func(error) {},
	}
}

// TestServerGetsNoMoreThanItsRateLimit guards against a server getting many times the requests that it accepts.
func TestServerGetsNoMoreThanItsRateLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newLimitedServer("20")
	r, _ := newRunner(startServer(t, s.serve), unchanged)
	s.runCalls(r, 100*time.Millisecond)
	g.Expect(s.runCalls(r, time.Second)).To(gomega.BeNumerically("<=", 20*1.5+5))
	g.Expect(r.State().RatePerSecond).To(gomega.BeEquivalentTo(20))
}

// TestRateLimitEndsWithAResponseWithoutIt checks that a limit is in force for as long as the server states it.
func TestRateLimitEndsWithAResponseWithoutIt(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newLimitedServer("10")
	r, _ := newRunner(startServer(t, s.serve), unchanged)
	var changes []rate.Limit
	o := ignoreNotices()
	o.RateLimitChanged = func(c backend.RateLimitChange) { changes = append(changes, c.After) }
	r.ObserveNotices(o)
	s.runCalls(r, 200*time.Millisecond)
	s.limit.Store("")
	s.runCalls(r, time.Second)
	g.Expect(r.State().RatePerSecond).To(gomega.BeZero())
	g.Expect(changes).To(gomega.Equal([]rate.Limit{10, rate.Inf}))
}

// TestInvalidRateLimitChangesNothing checks that a limit that is not a number is reported, and the last one is kept.
func TestInvalidRateLimitChangesNothing(t *testing.T) {
	for _, invalid := range []string{"many", "-1", "NaN", "Inf"} {
		t.Run(invalid, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newLimitedServer("40")
			r, _ := newRunner(startServer(t, s.serve), unchanged)
			var reports atomic.Int64
			o := ignoreNotices()
			o.Invalid = func(error) { reports.Add(1) }
			r.ObserveNotices(o)
			s.runCalls(r, 50*time.Millisecond)
			s.limit.Store(invalid)
			s.runCalls(r, 100*time.Millisecond)
			g.Expect(r.State().RatePerSecond).To(gomega.BeEquivalentTo(40))
			g.Expect(reports.Load()).To(gomega.BeNumerically(">", 0))
		})
	}
}

// TestNewInstanceHasNoRateLimit checks that the limit of an instance ends with it.
func TestNewInstanceHasNoRateLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newLimitedServer("10")
	address := startServer(t, s.serve)
	r, _ := newRunner(address, unchanged)
	s.runCalls(r, 50*time.Millisecond)
	g.Expect(r.State().RatePerSecond).To(gomega.BeEquivalentTo(10))
	r.SetPermit(backend.Permit{IsUsable: true, Instance: "i-1", Concurrency: 2},
		backend.NewClient(address, 2, headerNames, func() {}, clockwork.NewRealClock()))
	g.Expect(r.State().RatePerSecond).To(gomega.BeZero())
}

// TestLeavingIsReportedOnce checks that a server that states in its responses that it is leaving is reported once.
func TestLeavingIsReportedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newLimitedServer("")
	r, _ := newRunner(startServer(t, func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set(headerNames.Leaving, call.LeavingValue)
		s.serve(w, request)
	}), unchanged)
	var instances []string
	o := ignoreNotices()
	o.Leaving = func(instance string, _ class.RequestID) { instances = append(instances, instance) }
	r.ObserveNotices(o)
	s.runCalls(r, 50*time.Millisecond)
	g.Expect(instances).To(gomega.Equal([]string{"i-1"}))
}
