package caller_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// oneWay is the latency between two hosts of a loadedService.
const oneWay = 900 * time.Microsecond

// loadedServer is a backend server with the admission control beside it.
type loadedServer struct {
	controller *admission.Controller
	speed      float64
	pace       serverPace
}

// loadedService is a service without a network. Its daemons run their calls on servers whose run times are random.
type loadedService struct {
	clock    clockwork.Clock
	servers  map[ownership.HostID]*loadedServer
	runTimes map[class.Name]time.Duration
	// ignoresMaxWait makes the daemons beside the servers behave like those of a version without bounded offers.
	ignoresMaxWait bool
	// sender gets the offers in place of the service, if it is set.
	sender caller.Sender

	mu       sync.Mutex
	random   *rand.Rand
	offers   int
	underWay map[ownership.HostID]int
	calls    int
	// choose replaces the server that a relay chose, if set.
	choose func() ownership.HostID
}

func newLoadedService(servers, slots int, speeds []float64, runTimes map[class.Name]time.Duration) *loadedService {
	s := &loadedService{
		clock:    clockwork.NewRealClock(), // the virtual time of synctest
		servers:  map[ownership.HostID]*loadedServer{},
		runTimes: runTimes,
		underWay: map[ownership.HostID]int{},
		random:   rand.New(rand.NewPCG(3, 5)),
	}
	for i := range servers {
		controller := admission.NewController(admission.NewTargetPolicy(slots), slots, s.clock)
		s.servers[hostName(i)] = &loadedServer{controller: controller, speed: speeds[i%len(speeds)]}
	}
	return s
}

func hostName(i int) ownership.HostID { return ownership.HostID("h" + strconv.Itoa(i)) }

// relays returns the relays of entry daemons.
func (s *loadedService) relays(count int, isLoadAware bool) []*caller.Relay {
	var servers []caller.Server
	for i := range len(s.servers) {
		host := hostName(i)
		s.servers[host].controller.SetLoadAware(isLoadAware)
		servers = append(servers, caller.Server{
			Host: host, Domain: "d", IsUsable: true, Concurrency: s.servers[host].controller.State().Limit,
		})
	}
	var sender caller.Sender = s
	if s.sender != nil {
		sender = s.sender
	}
	var relays []*caller.Relay
	for i := range count {
		table := caller.NewTable()
		table.Set(caller.Routes{"free": caller.NewServiceRoute(false, servers, nil)})
		budget := caller.NewBudget(caller.BudgetLimits{Ratio: 0.2, Slack: 60, Window: 10 * time.Second, Daemons: 1}, s.clock)
		relay := caller.NewRelay("d", table, sender, budget, func(caller.Attempt) {}, s.clock, uint64(i))
		relay.SetLoadAware(isLoadAware)
		relays = append(relays, relay)
	}
	return relays
}

// Send implements caller.Sender.
func (s *loadedService) Send(ctx context.Context, to *caller.Server, c call.Call) call.Result {
	s.mu.Lock()
	s.offers++
	runTime := s.runTimes[c.Class.Name].Seconds() * (0.5 + 0.5*s.random.ExpFloat64())
	s.mu.Unlock()
	host := to.Host
	s.mu.Lock()
	if s.choose != nil {
		host = s.choose()
	}
	s.underWay[host]++
	s.mu.Unlock()
	s.clock.Sleep(oneWay)
	s.mu.Lock()
	s.underWay[host]--
	s.mu.Unlock()
	defer s.clock.Sleep(oneWay)
	if s.ignoresMaxWait {
		c.MaxWait = 0
	}
	server := s.servers[host]
	ticket, err := server.controller.AcquireFor(ctx, admission.Request{
		Class: c.Class, Deadline: c.Deadline, MaxWait: c.MaxWait, IsReturn: c.IsReturn,
	}, nil)
	result := call.Result{Outcome: class.Answered, Status: 200}
	var rejected *admission.RejectedError
	if errors.As(err, &rejected) {
		result = call.NotRun(map[admission.RejectReason]call.Reason{
			admission.NoCapacity: call.Overload, admission.Expired: call.Late, admission.WaitExceeded: call.WaitExceeded,
			admission.Canceled: call.CallerGone,
		}[rejected.Reason])
		result.RetryAfter = rejected.RetryAfter
	} else {
		start := s.clock.Now()
		runs := server.pace.stretch(start, time.Duration(runTime/server.speed*float64(time.Second)))
		s.clock.Sleep(runs)
		ticket.Done()
		server.pace.ended(server.controller, c.Class.Name, start, s.clock.Now())
	}
	state := server.controller.State()
	result.Load = &call.Load{
		Running: state.Running, Waiting: state.Waiting, Concurrency: state.Limit, QueueDelay: state.Wait,
		Slowdown: server.pace.stated(s.clock.Now()),
	}
	return result
}

// callRate is the rate at which calls of a class arrive.
type callRate struct {
	class     class.Class
	perSecond float64
}

// callCounts counts the calls of a class by their end.
type callCounts struct {
	inTarget, late, rejected int
	// took holds the times to the answers.
	took []time.Duration
}

// String implements fmt.Stringer.
func (c callCounts) String() string {
	return fmt.Sprintf("in target %d, late %d, rejected %d", c.inTarget, c.late, c.rejected)
}

func (c callCounts) total() int { return c.inTarget + c.late + c.rejected }

// run sends Poisson arrivals to random relays, and returns the counts of the calls that arrived after the first second.
func (s *loadedService) run(relays []*caller.Relay, length time.Duration, rates ...callRate) map[class.Name]callCounts {
	start := s.clock.Now()
	var mu sync.Mutex
	counts := map[class.Name]callCounts{}
	var calls sync.WaitGroup
	for i, rate := range rates {
		calls.Go(func() {
			random := rand.New(rand.NewPCG(7, uint64(i)))
			for s.clock.Since(start) < length {
				s.clock.Sleep(time.Duration(random.ExpFloat64() / rate.perSecond * float64(time.Second)))
				relay, arrived := relays[random.IntN(len(relays))], s.clock.Now()
				calls.Go(func() {
					c := call.Call{Service: "free", Class: &rate.class, Deadline: arrived.Add(rate.class.Timeout)}
					ctx, cancel := clockwork.WithDeadline(context.Background(), s.clock, c.Deadline)
					defer cancel()
					result, took := relay.Do(ctx, c), s.clock.Since(arrived)
					if arrived.Sub(start) < time.Second {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					s.calls++
					n := counts[rate.class.Name]
					if result.Outcome == class.Answered {
						n.took = append(n.took, took)
					}
					switch {
					case result.Outcome != class.Answered:
						n.rejected++
					case took > rate.class.Latency:
						n.late++
					default:
						n.inTarget++
					}
					counts[rate.class.Name] = n
				})
			}
		})
	}
	calls.Wait()
	return counts
}

// roomConfirm and bookingCheck are the classes of service R of the customer with 34 such servers.
var (
	roomConfirm = class.Class{
		Name: "room-confirm", Rank: 1, Latency: 800 * time.Millisecond, Timeout: 1200 * time.Millisecond, Attempts: 2,
	}
	bookingCheck = class.Class{
		Name: "booking-check", Rank: 1, Latency: 150 * time.Millisecond, Timeout: 500 * time.Millisecond, Attempts: 2,
		Idempotent: true,
	}
	rRunTimes = map[class.Name]time.Duration{
		"room-confirm": 210 * time.Millisecond, "booking-check": 40 * time.Millisecond,
	}
)

// TestCallsDoNotWaitWhileServersAreIdle guards against calls that are held in the queue of one server until no time is
// left to try another one, while the service as a whole has capacity. Booking-checks failed that way.
func TestCallsDoNotWaitWhileServersAreIdle(t *testing.T) {
	for name, load := range map[string]float64{"usual load": 1, "peak": 1.6} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				s := newLoadedService(34, 6, []float64{0.7, 0.7, 1.6}, rRunTimes)
				counts := s.run(s.relays(89, true), 8*time.Second,
					callRate{class: roomConfirm, perSecond: 317 * load}, callRate{class: bookingCheck, perSecond: 1035 * load})
				t.Logf("%v, %d offers", counts, s.offers)
				checks, rooms := counts["booking-check"], counts["room-confirm"]
				g.Expect(float64(checks.inTarget)).To(gomega.BeNumerically(">", 0.97*float64(checks.total())))
				g.Expect(float64(checks.rejected)).To(gomega.BeNumerically("<", 0.005*float64(checks.total())))
				g.Expect(float64(rooms.inTarget)).To(gomega.BeNumerically(">", 0.95*float64(rooms.total())))
			})
		})
	}
}

// TestFullServiceIsAskedOnce guards against offers that take the processor time of the daemons when the service is full.
func TestFullServiceIsAskedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newLoadedService(8, 6, []float64{1}, rRunTimes)
		relays := s.relays(4, true)
		counts := s.run(relays, 8*time.Second, callRate{class: roomConfirm, perSecond: 3000})
		rooms := counts["room-confirm"]
		t.Logf("%v, %d offers", counts, s.offers)
		g.Expect(s.offers).To(gomega.BeNumerically("<", rooms.total()))
		// 48 slots run 228 calls a second.
		g.Expect(rooms.inTarget).To(gomega.BeNumerically(">", 7*228*8/10))
	})
}

// TestOlderDaemonsIgnoreTheBound checks that calls are served beside daemons that do not know the bound.
func TestOlderDaemonsIgnoreTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newLoadedService(6, 6, []float64{1}, rRunTimes)
		s.ignoresMaxWait = true
		counts := s.run(s.relays(4, true), 4*time.Second, callRate{class: bookingCheck, perSecond: 450})
		checks := counts["booking-check"]
		t.Logf("%v, %d offers", counts, s.offers)
		g.Expect(float64(checks.rejected)).To(gomega.BeNumerically("<", 0.02*float64(checks.total())))
	})
}
