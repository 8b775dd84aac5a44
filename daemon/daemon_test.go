package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/settings"
	"github.com/skylarkrelay/skylarkrelay/store"
)

func testSettings() settings.Settings {
	return settings.Settings{
		Host:          "h",
		FailureDomain: "d",
		Service:       "s",
		Address:       "127.0.0.1",
		FirstPort:     1,
		Platform:      settings.Platform{Address: "127.0.0.1:1", Timeout: time.Second},
		Backend: settings.Backend{
			Address:           "127.0.0.1:2",
			HeartbeatInterval: time.Second,
			DrainTime:         2 * time.Second,
			MaxHold:           10 * time.Second,
		},
		EvacuationTime: time.Millisecond, // so that the servers of an evacuated domain serve no keys
		Log:            settings.Log{LinesPerSecond: 10},
		Timeline:       settings.Timeline{Events: 10},
	}
}

// newDaemon returns a daemon that uses the given store and whose control goroutine is running.
func newDaemon(t *testing.T, s store.Store) *Daemon {
	t.Helper()
	return newDaemonWith(t, testSettings(), s)
}

// newDaemonWith is newDaemon with the given settings.
func newDaemonWith(t *testing.T, with settings.Settings, s store.Store) *Daemon {
	t.Helper()
	d := New(with, Options{Log: hclog.NewNullLogger(), Clock: clockwork.NewRealClock()})
	d.control.server.lateHeartbeatsUntil = 0 // no heartbeat of before its start is on its way any more
	runControl(t, d, s)
	return d
}

// runControl runs the control goroutine of a daemon until the end of the test.
func runControl(t *testing.T, d *Daemon, s store.Store) {
	t.Helper()
	d.control.store = s
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.control.run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
		d.control.wait()
	})
	// The control goroutine sets its context before it processes the first work item.
	done := make(chan struct{})
	d.control.inbox <- func(ownership.Instant) { close(done) }
	<-done
}

// TestReloadAppliesEachLogLevel changes the log level and then sets it back to that of the start.
func TestReloadAppliesEachLogLevel(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	next := testSettings()
	next.Log.Level = "info"
	log := hclog.New(&hclog.LoggerOptions{Output: &out, Level: hclog.Info})
	started := next
	d := New(started, Options{
		Log: log, Clock: clockwork.NewRealClock(), Reload: func() (settings.Settings, error) { return next, nil },
	})
	for _, level := range []string{"debug", "info"} {
		next.Log.Level = level
		d.reload()
		g.Expect(log.GetLevel()).To(gomega.Equal(hclog.LevelFromString(level)))
	}
	g.Expect(out.String()).NotTo(gomega.ContainSubstring("needs_restart=true"))
	next.Retries.Ratio = 0.5
	d.reload()
	g.Expect(out.String()).To(gomega.ContainSubstring("needs_restart=true"))
}

// eventLossStore answers its first watch without items, although changes were made up to the revision that it returns.
type eventLossStore struct {
	*store.Memory
	change     func()
	watches    int
	reread     sync.Once
	rereadDone chan struct{}
}

func (s *eventLossStore) Watch(ctx context.Context, prefix string, after store.Revision) (store.Snapshot, error) {
	s.watches++
	if s.watches == 1 {
		s.change()
		return store.Snapshot{Revision: after + 1}, nil
	}
	return s.Memory.Watch(ctx, prefix, after)
}

func (s *eventLossStore) Get(ctx context.Context, key string) (store.Item, error) {
	item, err := s.Memory.Get(ctx, key)
	if key == platform.ConfigKey && s.watches > 0 {
		s.reread.Do(func() { close(s.rereadDone) })
	}
	return item, err
}

func putConfig(t *testing.T, m *store.Memory, version class.Version) {
	t.Helper()
	data, err := platform.EncodeConfig(&class.Config{Version: version})
	if err != nil {
		t.Fatal(err)
	}
	put := store.Txn{Puts: []store.Put{{Key: platform.ConfigKey, Value: data}}}
	if _, err := m.Commit(context.Background(), put); err != nil {
		t.Fatal(err)
	}
}

// TestMissedChangesAreRead guards against lost configurations: a watch that returns a newer revision but no items has
// missed changes, so the daemon has to read the store again.
func TestMissedChangesAreRead(t *testing.T) {
	g := gomega.NewWithT(t)
	memory := store.NewMemory(clockwork.NewRealClock())
	putConfig(t, memory, 1)
	s := &eventLossStore{Memory: memory, change: func() { putConfig(t, memory, 5) }, rereadDone: make(chan struct{})}
	d := newDaemon(t, s)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.control.runStore(ctx) }()
	<-s.rereadDone
	g.Eventually(func() class.Version {
		if c := d.callerHandler.Config(); c != nil {
			return c.Version
		}
		return 0
	}).Should(gomega.Equal(class.Version(5)))
	cancel()
	g.Expect(<-ended).NotTo(gomega.HaveOccurred())
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	g := gomega.NewWithT(t)
	memory := store.NewMemory(clockwork.NewRealClock())
	d := newDaemon(t, memory)
	for _, version := range []class.Version{3, 2, 7, 1} {
		putConfig(t, memory, version)
		item, err := memory.Get(context.Background(), platform.ConfigKey)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		done := make(chan struct{})
		d.control.post(context.Background(), func(now ownership.Instant) {
			d.control.applyItems(now, []store.Item{item})
			close(done)
		})
		<-done
	}
	g.Expect(d.callerHandler.Config().Version).To(gomega.Equal(class.Version(7)))
}

func TestForeignAndStaleHeartbeatsAreRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDaemon(t, store.NewMemory(clockwork.NewRealClock()))
	send := func(change func(*ownership.Heartbeat)) error {
		heartbeat := ownership.Heartbeat{
			Instance:    ownership.Instance{ID: "i", Born: 5},
			Address:     "127.0.0.1:2",
			Service:     "s",
			Concurrency: 2,
			Sequence:    4,
		}
		change(&heartbeat)
		_, err := heartbeatHandler{d.control}.Heartbeat(context.Background(), heartbeat)
		return err
	}
	g.Expect(send(func(*ownership.Heartbeat) {})).To(gomega.Succeed())
	stale := gomega.BeAssignableToTypeOf(&ownership.StaleHeartbeatError{})
	foreign := gomega.BeAssignableToTypeOf(&foreignHeartbeatError{})
	g.Expect(send(func(*ownership.Heartbeat) {})).To(stale, "repeated heartbeat")
	g.Expect(send(func(h *ownership.Heartbeat) { h.Sequence = 3 })).To(stale, "late heartbeat")
	g.Expect(send(func(h *ownership.Heartbeat) { h.Sequence, h.Instance = 9, ownership.Instance{ID: "old", Born: 4} })).To(
		stale,
	)
	g.Expect(send(func(h *ownership.Heartbeat) { h.Sequence, h.Address = 9, "127.0.0.1:3" })).To(foreign)
	g.Expect(send(func(h *ownership.Heartbeat) { h.Sequence, h.Service = 9, "t" })).To(foreign)
	g.Expect(send(func(h *ownership.Heartbeat) { h.Sequence, h.Instance.Born = 1, 6 })).To(gomega.Succeed(),
		"same ID, later instance")
	g.Expect(heartbeatHandler{d.control}.Deregister(context.Background(), "i", 6)).To(gomega.Succeed())
	g.Expect(send(func(h *ownership.Heartbeat) { h.Sequence, h.Instance.Born = 2, 6 })).To(stale,
		"after deregistration")
}

// TestNewLimitsApplyToNewConnections checks that a connection keeps its limits when they change.
func TestNewLimitsApplyToNewConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	d := New(testSettings(), Options{Log: hclog.NewNullLogger(), Clock: clockwork.NewRealClock()})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	l := newLimitedServer(handler, d.observer.httpErrorLog("test"))
	ended := make(chan error, 1)
	go func() { ended <- l.serve(listener) }()
	openClient := &http.Client{}
	get := func(client *http.Client, headerBytes int) int {
		request, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String()+"/", http.NoBody)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for i := range headerBytes / 1000 {
			request.Header.Add("X-Long-"+string(rune('a'+i)), string(longHeaderValue()))
		}
		response, err := client.Do(request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return response.StatusCode
	}
	g.Expect(get(openClient, 12000)).To(gomega.Equal(http.StatusOK))
	l.setLimits(class.Limits{HeaderBytes: 1000})
	g.Expect(get(openClient, 12000)).To(gomega.Equal(http.StatusOK), "the open connection keeps its limits")
	g.Expect(get(&http.Client{Transport: &http.Transport{}}, 12000)).To(
		gomega.Equal(http.StatusRequestHeaderFieldsTooLarge),
	)
	_ = listener.Close() // it may be closed already
	l.close()
	g.Expect(<-ended).NotTo(gomega.HaveOccurred())
}

func longHeaderValue() []byte {
	b := make([]byte, 1000)
	for i := range b {
		b[i] = 'x'
	}
	return b
}

// TestStoppingDaemonGivesNoWorkThatItWouldCut checks the shutdown of a daemon that cannot hand its keys over before its
// grace time ends. Calls for the keys are served, but none is started that would still be running when the process
// exits.
func TestStoppingDaemonGivesNoWorkThatItWouldCut(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	s := testSettings()
	s.Stop.GraceTime = 6 * time.Second
	d := New(s, Options{Log: hclog.NewNullLogger(), Clock: clock})
	d.control.store = store.NewMemory(clock)
	record := &ownership.Record{Service: "s", Generation: 1, Members: []ownership.Member{{Host: "h"}}}
	record.Keys.Set(keyspace.All(), ownership.Assignment{Owner: 0, Fence: 1})
	d.control.config = &class.Config{Version: 1, Services: map[class.Service]class.ServiceSettings{"s": {IsKeyed: true}}}
	d.control.machine.RecordReceived(0, record, 1)
	ctx, cancel := context.WithCancel(context.Background())
	controlEnded, stopEnded := make(chan error, 1), make(chan error, 1)
	go func() { controlEnded <- d.control.run(ctx) }()
	go func() { stopEnded <- d.drain(ctx, nil) }()
	defer func() {
		cancel()
		<-controlEnded
		d.control.wait()
	}()
	const waiters = 2 // the tickers of the control goroutine and of the drain
	g.Expect(clock.BlockUntilContext(ctx, waiters)).To(gomega.Succeed())
	schedule := newShutdownSchedule(s.Stop.GraceTime)
	g.Expect(schedule.rejectServerCalls + serverDrainTime).To(gomega.BeNumerically("<=", schedule.exit))
	g.Expect(schedule.exit).To(gomega.BeNumerically("<", s.Stop.GraceTime))
	clock.Advance(schedule.rejectServerCalls - drainPollInterval)
	g.Expect(d.runner.IsRejecting()).To(gomega.BeFalse(), "the runner serves keys until the scheduled time")
	clock.Advance(2 * drainPollInterval)
	g.Eventually(d.runner.IsRejecting).Should(gomega.BeTrue())
	g.Expect(stopEnded).NotTo(gomega.Receive(), "running calls end before the process exits")
	clock.Advance(serverDrainTime)
	g.Eventually(stopEnded, 5*time.Second).Should(gomega.Receive())
}

// TestConfigurationsDoNotWaitForOtherNews checks that a daemon pulls a configuration that it has missed although
// records change all the time.
func TestConfigurationsDoNotWaitForOtherNews(t *testing.T) {
	g := gomega.NewWithT(t)
	d := New(testSettings(), Options{Log: hclog.NewNullLogger(), Clock: clockwork.NewFakeClock()})
	c, now := d.control, ownership.Instant(time.Minute)
	c.replica.Merge(membership.Entry{Key: platform.ConfigKey, Version: 5, Data: []byte("{}")})
	c.gossip.changedAt = now
	g.Expect(c.isPullNeeded(now, peer.Digest{Digest: c.replica.Digest(), Config: 5})).To(gomega.BeFalse())
	g.Expect(c.isPullNeeded(now, peer.Digest{Digest: 1, Config: 5})).To(gomega.BeFalse(), "an update may be in transit")
	g.Expect(c.isPullNeeded(now, peer.Digest{Digest: 1, Config: 6})).To(gomega.BeTrue())
	g.Expect(c.isPullNeeded(now.Add(propagationTime+1), peer.Digest{Digest: 1, Config: 5})).To(gomega.BeTrue(),
		"no update is in transit")
}

// TestDigestWithAnOlderConfigurationIsAnswered guards against a daemon that keeps an old configuration because it was left
// out when the newer one was spread.
func TestDigestWithAnOlderConfigurationIsAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ended := make(chan error, 1)
	t.Cleanup(func() { // runs after the daemons have closed their connections
		_ = listener.Close()
		<-ended
	})
	memory := store.NewMemory(clockwork.NewRealClock())
	newer, older := newDaemon(t, memory), newDaemon(t, memory)
	go func() { ended <- peer.Serve(context.Background(), listener, gossipHandler{older.control}) }()
	data, err := platform.EncodeConfig(&class.Config{Version: 5})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	newer.control.post(context.Background(), func(now ownership.Instant) {
		newer.control.applyEntry(now, membership.Entry{Key: platform.ConfigKey, Version: 5, Data: data})
	})
	gossipHandler{newer.control}.Digest(peer.Digest{From: listener.Addr().String(), Digest: 1, Config: 4})
	g.Eventually(func() *class.Config { return older.callerHandler.Config() }).Should(gomega.HaveField("Version",
		class.Version(5)))
}

// TestRoutesAreUpdatedOnceForManyChanges guards against a mesh that starts and spends the processor time of its daemons on
// routes that the next message changes again.
func TestRoutesAreUpdatedOnceForManyChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	d := New(testSettings(), Options{Log: hclog.NewNullLogger(), Clock: clockwork.NewFakeClock()})
	c, now := d.control, ownership.Instant(time.Minute)
	register := func(i int) {
		host := ownership.HostID(fmt.Sprintf("h-%d", i))
		c.roster.Register(membership.Presence{Host: host, HopAddress: string(host), Service: "s"}, membership.Version(i+1))
		c.isDirty = true
		c.updateDataPlane(now)
	}
	updates := func() int64 { return d.observer.counter("routes.updates").Count() }
	for i := range 100 {
		register(i)
	}
	g.Expect(updates()).To(gomega.BeEquivalentTo(1), "the first change takes effect at once")
	now = now.Add(minRouteInterval)
	c.updateDataPlane(now)
	g.Expect(updates()).To(gomega.BeEquivalentTo(2))
	route, _ := c.table.Lookup("s")
	g.Expect(route.Servers).To(gomega.HaveLen(100))
}

// TestOnlyTheFirstHostsOfALargeDomainWatch checks a mesh of hundreds of hosts, in which announcements are several
// seconds apart: only the first host of the failure domain watches the store, from the start on, and another one takes
// over when it falls silent.
func TestOnlyTheFirstHostsOfALargeDomainWatch(t *testing.T) {
	g := gomega.NewWithT(t)
	now := ownership.Instant(time.Minute)
	var controls []*control
	hosts := map[ownership.HostID]*control{}
	const domains, hostsPerDomain = 5, 60
	for i := range hostsPerDomain {
		s := testSettings()
		s.Host, s.FailureDomain = ownership.HostID(fmt.Sprint("h0-", i)), "d0"
		c := New(s, Options{Log: hclog.NewNullLogger(), Clock: clockwork.NewFakeClock()}).control
		c.gossip = newGossipState(now)
		controls, hosts[s.Host] = append(controls, c), c
		for j := range domains * hostsPerDomain {
			host := ownership.HostID(fmt.Sprint("h", j%domains, "-", j/domains))
			domain := ownership.FailureDomain(fmt.Sprint("d", j%domains))
			c.roster.Register(membership.Presence{Host: host, Domain: domain, HopAddress: string(host)}, membership.Version(j+1))
		}
		c.gossip.setAnnounceInterval(domains * hostsPerDomain * announceIntervalPerHost)
	}
	watchers := func(now ownership.Instant) (found []ownership.HostID) {
		for _, c := range controls {
			c.gossip.receivedAt = now
			if c.isWatcher(now) {
				found = append(found, c.self)
			}
		}
		return found
	}
	first := watchers(now)
	g.Expect(first).To(gomega.HaveLen(watchersPerDomain), "at the start, before any announcement")
	announce := func(sequence uint32, at ownership.Instant, except ownership.HostID) {
		for _, c := range controls {
			for host := range hosts {
				if host != except {
					c.roster.ApplyAnnouncement(at, membership.Announcement{Host: host, Epoch: 1, Sequence: sequence})
				}
			}
		}
	}
	announce(1, now, "")
	interval := controls[0].gossip.announceInterval
	g.Expect(watchers(now.Add(interval))).To(gomega.Equal(first), "just before the next announcements")
	announce(2, now.Add(interval), first[0])
	others := slices.DeleteFunc(watchers(now.Add(2*interval+interval/2+1)), func(h ownership.HostID) bool { return h == first[0] })
	g.Expect(others).To(gomega.HaveLen(watchersPerDomain), "another one takes over from a silent watcher")
}

// TestHostsThatTheStoreTurnsAwayDoNotWatchForOthers checks that another daemon becomes the watcher of a failure domain
// whose first watcher cannot reach the store.
func TestHostsThatTheStoreTurnsAwayDoNotWatchForOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	d := New(testSettings(), Options{Log: hclog.NewNullLogger(), Clock: clockwork.NewFakeClock()})
	c, now := d.control, ownership.Instant(time.Minute)
	c.config = &class.Config{}
	c.gossip.receivedAt = now
	announce := func(sequence uint32, isStoreUnreachable bool) {
		for i := range 30 {
			host := ownership.HostID(fmt.Sprint("near-", i))
			c.roster.Register(membership.Presence{Host: host, Domain: "d", HopAddress: string(host)}, membership.Version(i+1))
			c.roster.ApplyAnnouncement(now, membership.Announcement{
				Host: host, Epoch: 1, Sequence: sequence, IsStoreUnreachable: isStoreUnreachable,
			})
		}
	}
	c.roster.Register(membership.Presence{Host: "h", Domain: "d", HopAddress: "h"}, 99)
	announce(1, false)
	g.Expect(c.isWatcher(now)).To(gomega.BeFalse())
	announce(2, true)
	g.Expect(c.isWatcher(now)).To(gomega.BeTrue())
}
