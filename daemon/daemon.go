// Package daemon assembles and runs the components of a skylarkrelay process.
package daemon

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/dependency"
	"github.com/skylarkrelay/skylarkrelay/link"
	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/quarantine"
	"github.com/skylarkrelay/skylarkrelay/settings"
	"github.com/skylarkrelay/skylarkrelay/store"
	"github.com/skylarkrelay/skylarkrelay/timeline"
	"github.com/skylarkrelay/skylarkrelay/transfer"
)

// defaultConcurrency is the concurrency limit of the backend server until its first heartbeat, which reports its own.
const defaultConcurrency = 4

// Options holds the dependencies of a daemon other than its settings.
type Options struct {
	Log   hclog.Logger
	Clock clockwork.Clock
	// BootClock is the clock of leases and holds. Nil means the operating system's.
	BootClock BootClock
	// Reload loads the settings again after they have changed.
	Reload func() (settings.Settings, error)
}

// Daemon is one relay process.
type Daemon struct {
	settings      settings.Settings
	log           hclog.Logger
	clock         clockwork.Clock
	observer      *observer
	registry      metrics.Registry
	events        *timeline.Recorder
	control       *control
	callerHandler *caller.Handler
	runner        *backend.Runner
	quarantine    *quarantine.List
	nesting       *dependency.Tracker
	transfers     *transfer.Gate
	hops          *peer.HopClient
	callerServer  *limitedServer
	lingerer      *lingerer
	bodyMemory    *link.Memory
	options       Options
	isStopping    atomic.Bool
}

// New returns a daemon that is ready to run.
func New(s settings.Settings, o Options) *Daemon {
	if o.BootClock == nil {
		o.BootClock = systemBootClock{}
	}
	d := &Daemon{
		settings:   s,
		log:        o.Log,
		clock:      o.Clock,
		registry:   metrics.NewRegistry(),
		options:    o,
		lingerer:   newLingerer(),
		bodyMemory: link.NewMemory(maxBodyMemory),
		events:     timeline.NewRecorder(string(s.Host), s.Timeline.Events, o.Clock),
	}
	d.quarantine = quarantine.NewList(o.Clock)
	d.observer = newObserver(o.Log, d.registry, d.events, o.Clock, s.Log.LinesPerSecond)
	seed := rand.Uint64()
	policy := admission.NewTargetPolicy(defaultConcurrency)
	policy.SeedReturns(seed)
	admissionController := admission.NewController(policy, defaultConcurrency, o.Clock)
	admissionController.AwaitRateLimit()
	d.runner = backend.NewRunner(admissionController, func() { d.control.probeServerSoon() }, o.Clock)
	d.runner.ObserveNotices(backend.NoticeObserver{
		RateLimitChanged: d.observer.rateLimitChanged,
		Leaving: func(instance string, request class.RequestID) {
			d.control.leavingNotice.Store(&leavingNotice{instance: instance, request: request})
		},
		Invalid: func(err error) { d.observer.inputRejected("backend server", err) },
	})
	d.runner.ObserveBrokenCalls(func(instance ownership.Instance) {
		d.control.brokenCall.Store(&brokenCall{instance: instance, at: o.BootClock.Now()})
	})
	d.runner.ObserveAbandoned(d.observer.callAbandoned)
	d.runner.ObserveUnanswered(d.observer.callUnanswered)
	d.runner.ObserveWarmup(backend.WarmupObserver{
		Rejected:  d.observer.rejectedWhileCold,
		Suspected: d.observer.restartSuspected,
		CheckDue:  func() { d.control.requestCheck() },
	})
	d.runner.Quarantine(d.quarantine, s.Host, d.crashReported)
	d.nesting = dependency.NewTracker(s.Service, d.observer.nestingObserver(), o.Clock, seed)
	d.runner.FollowNesting(d.nesting)
	d.runner.FollowReturns(call.NewReturns(o.Clock), newReturnObserver(d.observer).returned)
	d.hops = peer.NewHopClient(d.observer.counter("hop.connections").inc, o.Clock, o.BootClock)
	d.hops.LimitMemory(d.bodyMemory)
	d.transfers = transfer.NewGate(s.Limits.LinkMbps, newTransferObserver(d.observer).decided, o.Clock, seed)
	d.hops.ObserveUnsupported(d.observer.reservationsUnsupported)
	table := caller.NewTable()
	d.runner.WaitForKeys(func(key class.Key) (bool, <-chan struct{}) {
		route, changed := table.Lookup(s.Service)
		return route != nil && route.Record != nil && route.Record.Owner(key) == s.Host, changed
	})
	budget := caller.NewBudget(caller.BudgetLimits{
		Ratio:   s.Retries.Ratio,
		Slack:   s.Retries.Slack,
		Window:  s.Retries.Window,
		Daemons: 1,
	}, o.Clock)
	relay := caller.NewRelay(s.FailureDomain, table, sender{self: s.Host, runner: d.runner, hops: d.hops, onRelayed: d.observer.callRelayed}, budget,
		d.observer.attemptFailed, o.Clock, seed)
	relay.HoldBack(d.quarantine)
	relay.ObserveOffers(newOfferObserver(d.observer).offered)
	relay.ObserveResends(d.observer.callResent)
	relay.Hedge(s.HedgingShare, newHedgeObserver(d.observer).hedged)
	relay.ObserveCold(d.observer.counter("warmup.passed_over").inc)
	relay.UseReach(caller.NewReach(s.FailureDomain, d.observer.reachChanged))
	relay.AvoidLeavingServers(platform.Headers().Leaving, usableDrainTime(s.Backend.DrainTime))
	d.callerHandler = caller.NewHandler(relay, s.Service, platform.Headers(), d.observer.callFinished, o.Clock)
	d.callerHandler.LimitMemory(d.bodyMemory)
	d.callerHandler.FollowNesting(d.nesting)
	d.callerHandler.ObserveBodies(d.observer.bodies("caller"))
	d.runner.LimitRequestBytes(int64(s.Backend.MaxRequestsMB)<<20, d.observer.callCrowded)
	d.callerServer = newLimitedServer(d.callerHandler, d.observer.httpErrorLog("caller"))
	d.control = newControl(d, o, table, relay, budget, seed)
	return d
}

// sender sends calls to the local backend server without a hop, and to other hosts through their daemons.
type sender struct {
	self   ownership.HostID
	runner *backend.Runner
	hops   *peer.HopClient
	// onRelayed is called for each attempt by way of another daemon.
	onRelayed func(to *caller.Server, c call.Call)
}

// Send implements caller.Sender.
func (s sender) Send(ctx context.Context, to *caller.Server, c call.Call) call.Result {
	if to.Host == s.self {
		result := s.runner.Run(ctx, c)
		result.Host = string(s.self)
		return result
	}
	if to.Via != nil {
		s.onRelayed(to, c)
		return s.hops.SendVia(ctx, to.Host, to.Via.Host, to.Via.HopAddress, c)
	}
	return s.hops.Send(ctx, to.Host, to.HopAddress, c)
}

// component adds one long-running part of the daemon to the run group.
type component func(ctx context.Context, group *run.Group) error

// Run serves until a value on stop starts the graceful shutdown. A second value on stop ends the daemon at once; a
// value on reload reloads the settings.
func (d *Daemon) Run(stop, reload <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	for _, add := range []component{
		d.addControl,
		d.addStore,
		d.addGossip,
		d.addHop,
		d.addHopConnections,
		d.addHeartbeats,
		d.addReady,
		d.addOperator,
		d.addCallers,
		d.addReload(reload),
		d.addShutdown(stop),
	} {
		if err := add(ctx, &group); err != nil {
			return err
		}
	}
	d.log.Info("daemon started", "host", d.settings.Host, "service", d.settings.Service,
		"failure_domain", d.settings.FailureDomain, "backend_server", d.settings.Backend.Address)
	err := group.Run()
	cancel()
	d.lingerer.finish()
	d.control.wait()
	d.log.Info("daemon stopped", "reason", errorText(err))
	if _, isRequested := err.(*shutdownError); isRequested {
		return nil
	}
	return err
}

func errorText(err error) string {
	if err == nil {
		return "none"
	}
	return err.Error()
}

// addLoop adds a function to the run group. It runs until its context ends, which is when the group stops.
func addLoop(ctx context.Context, group *run.Group, loop func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

func (d *Daemon) addControl(ctx context.Context, group *run.Group) error {
	addLoop(ctx, group, d.control.run)
	return nil
}

func (d *Daemon) addStore(ctx context.Context, group *run.Group) error {
	addLoop(ctx, group, d.control.runStore)
	return nil
}

// newStore returns a client of the platform's store that falls back to calls through other daemons. onEra is called with
// the eras that the responses state.
func (d *Daemon) newStore(peers func() []string, onEra func(store.Era)) *fallbackStore {
	client := platform.NewClient(d.settings.Platform.Address, platform.ClientOptions{
		Timeout:       d.settings.Platform.Timeout,
		OnItemSkipped: func(key string, err error) { d.observer.inputRejected("store item "+key, err) },
		OnCall:        d.observer.storeCalled,
		OnEra:         onEra,
	})
	viaPeer := func(address string) store.Store { return peer.RelayedStore{Address: address, OnEra: onEra} }
	return newFallbackStore(client, viaPeer, peers, d.observer.dependency("store"), d.clock)
}

// presence returns the registration that this host publishes in the store.
func (d *Daemon) presence() membership.Presence {
	return membership.Presence{
		Host:            d.settings.Host,
		Domain:          d.settings.FailureDomain,
		Service:         d.settings.Service,
		HopAddress:      d.settings.AdvertisedForwardAddress(),
		ControlAddress:  d.settings.AdvertisedControlAddress(),
		OperatorAddress: d.settings.OperatorAddress(),
		PackedFormat:    membership.PackedFormat,
	}
}

// heartbeatsPerHold is how many heartbeats in a row are missed when a hold, the backend server's lease on its keys,
// expires.
const heartbeatsPerHold = 3

// ownershipTiming returns the timing of the ownership protocol, adapted to the backend server's heartbeat interval.
func (d *Daemon) ownershipTiming() ownership.Timing {
	timing := ownership.DefaultTiming()
	timing.HeartbeatInterval = d.settings.Backend.HeartbeatInterval
	timing.HoldTime = min(heartbeatsPerHold*d.settings.Backend.HeartbeatInterval, d.settings.Backend.MaxHold,
		timing.AuthorityTime/2)
	return timing
}

// clockTime converts an instant of the boot clock to the time of the clock that calls use.
func clockTime(clock clockwork.Clock, now, at ownership.Instant) time.Time {
	return clock.Now().Add(at.Sub(now))
}
