package daemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// healthServer answers health checks as an instance, with a status that can be changed.
type healthServer struct {
	instance string
	status   atomic.Int64
}

func (s *healthServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(platform.Headers().Instance, s.instance)
	w.WriteHeader(int(s.status.Load()))
}

// recoveringStore fails its first read.
type recoveringStore struct {
	store.Store
	reads atomic.Int64
}

// Get implements store.Store.
func (s *recoveringStore) Get(ctx context.Context, key string) (store.Item, error) {
	if s.reads.Add(1) == 1 {
		return store.Item{}, &store.RejectedError{Call: "get", Cause: "down"}
	}
	return s.Store.Get(ctx, key)
}

// startedDaemon returns a daemon that has just started, with a backend server that answers health checks, and a function
// that sends a heartbeat of this server.
func startedDaemon(t *testing.T, s store.Store, era store.Era, server *healthServer) (*Daemon, func(sequence uint64)) {
	t.Helper()
	g := gomega.NewWithT(t)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	with := testSettings()
	with.Backend.Address = strings.TrimPrefix(listener.URL, "http://")
	with.Backend.HeartbeatInterval = 50 * time.Millisecond
	d := New(with, Options{Log: hclog.NewNullLogger(), Clock: clockwork.NewRealClock()})
	d.control.storeEra = era
	d.control.config = &class.Config{Version: 1, Services: map[class.Service]class.ServiceSettings{
		"s": {Name: "s", HealthPath: "/health"},
	}}
	runControl(t, d, s)
	return d, func(sequence uint64) {
		_, err := heartbeatHandler{d.control}.Heartbeat(context.Background(), ownership.Heartbeat{
			Instance: ownership.Instance{ID: "i", Born: 5}, Address: with.Backend.Address, Service: "s", Concurrency: 2,
			Sequence: sequence,
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
}

// TestLateHeartbeatPutsNoServerInUse guards against work for a server whose end was acknowledged while the store was down,
// or was lost when the store was restored: all daemons restart, and a heartbeat that the server sent before reaches one.
func TestLateHeartbeatPutsNoServerInUse(t *testing.T) {
	for _, c := range []struct {
		name   string
		store  func(store.Store) store.Store
		era    store.Era
		health *healthServer
		status int
	}{
		{name: "store was down", store: afterOutage, era: 1, health: &healthServer{instance: "i"}, status: 200},
		{name: "store was down, server says so", store: afterOutage, era: 1, health: &healthServer{instance: "i"}, status: 503},
		{name: "store is back already, server says so", store: always, era: 1, health: &healthServer{instance: "i"}, status: 503},
		{name: "store was restored", store: always, era: 2, health: &healthServer{instance: "i"}, status: 200},
		{name: "another server at the address", store: always, era: 1, health: &healthServer{instance: "j"}, status: 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c.health.status.Store(int64(c.status))
			d, sendHeartbeat := startedDaemon(t, c.store(store.NewMemory(clockwork.NewRealClock())), c.era, c.health)
			sendHeartbeat(1)
			// Beyond the time after which the server is silent.
			g.Consistently(func() bool { return mayGetWork(d) }, 300*time.Millisecond).Should(gomega.BeFalse())
		})
	}
}

func always(s store.Store) store.Store { return s }

func afterOutage(s store.Store) store.Store { return &recoveringStore{Store: s} }

// TestLivingServerIsConfirmed guards against servers that stay out of use after a restart of their daemon.
func TestLivingServerIsConfirmed(t *testing.T) {
	g := gomega.NewWithT(t)
	server := &healthServer{instance: "i"}
	server.status.Store(http.StatusServiceUnavailable)
	d, sendHeartbeat := startedDaemon(t, store.NewMemory(clockwork.NewRealClock()), 1, server)
	sendHeartbeat(1)
	g.Expect(mayGetWork(d)).To(gomega.BeFalse(), "it is full and rejects health checks")
	server.status.Store(http.StatusOK)
	g.Eventually(func() bool { return mayGetWork(d) }, time.Second).Should(gomega.BeTrue(), "departures are known")

	d, sendHeartbeat = startedDaemon(t, &recoveringStore{Store: store.NewMemory(clockwork.NewRealClock())}, 1, server)
	sendHeartbeat(1)
	g.Expect(mayGetWork(d)).To(gomega.BeFalse())
	d.control.post(context.Background(), func(ownership.Instant) { d.control.server.confirmation.firstHeartbeatAt = 0 })
	sendHeartbeat(2)
	g.Eventually(func() bool { return mayGetWork(d) }, time.Second).Should(gomega.BeTrue(), "it goes on")
}

// slowStore answers no read until it is released.
type slowStore struct {
	store.Store
	released chan struct{}
}

// Get implements store.Store.
func (s *slowStore) Get(ctx context.Context, key string) (store.Item, error) {
	select {
	case <-s.released:
		return s.Store.Get(ctx, key)
	case <-ctx.Done():
		return store.Item{}, ctx.Err()
	}
}

// TestServerIsConfirmedBetweenHeartbeats guards against a server that waits for its next heartbeat although the store has
// answered meanwhile.
func TestServerIsConfirmedBetweenHeartbeats(t *testing.T) {
	g := gomega.NewWithT(t)
	server := &healthServer{instance: "i"}
	server.status.Store(http.StatusOK)
	s := &slowStore{Store: store.NewMemory(clockwork.NewRealClock()), released: make(chan struct{})}
	d, sendHeartbeat := startedDaemon(t, s, 1, server)
	d.control.post(context.Background(), func(ownership.Instant) { d.control.server.heartbeatInterval = time.Minute })
	sendHeartbeat(1)
	g.Eventually(func() bool {
		healthy := make(chan bool, 1)
		d.control.post(context.Background(), func(ownership.Instant) { healthy <- d.control.server.confirmation.isHealthy })
		return <-healthy
	}).Should(gomega.BeTrue())
	g.Expect(mayGetWork(d)).To(gomega.BeFalse(), "the departures are not known")
	close(s.released)
	g.Eventually(func() bool { return mayGetWork(d) }, time.Second).Should(gomega.BeTrue())
}

// TestUnhealthyServerIsConfirmedByLaterHeartbeats guards against a server that never gets work again because it does not
// answer health checks.
func TestUnhealthyServerIsConfirmedByLaterHeartbeats(t *testing.T) {
	g := gomega.NewWithT(t)
	server := &healthServer{instance: "i"}
	server.status.Store(http.StatusServiceUnavailable)
	d, sendHeartbeat := startedDaemon(t, store.NewMemory(clockwork.NewRealClock()), 1, server)
	sendHeartbeat(1)
	g.Expect(mayGetWork(d)).To(gomega.BeFalse())
	d.control.post(context.Background(), func(now ownership.Instant) { d.control.server.lateHeartbeatsUntil = now })
	sendHeartbeat(2)
	g.Expect(mayGetWork(d)).To(gomega.BeTrue())
}

// TestDepartingUnconfirmedServerGetsNoWork guards against the drain time of a server that may have begun to drain before its
// daemon started.
func TestDepartingUnconfirmedServerGetsNoWork(t *testing.T) {
	g := gomega.NewWithT(t)
	server := &healthServer{instance: "i"}
	server.status.Store(http.StatusServiceUnavailable)
	d, sendHeartbeat := startedDaemon(t, store.NewMemory(clockwork.NewRealClock()), 1, server)
	sendHeartbeat(1)
	g.Expect(heartbeatHandler{d.control}.Deregister(context.Background(), "i", 5)).To(gomega.Succeed())
	g.Expect(mayGetWork(d)).To(gomega.BeFalse())
}
