// Package daemon puts the parts of a skylarkrelay process together.
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
	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/settings"
	"github.com/skylarkrelay/skylarkrelay/store"
	"github.com/skylarkrelay/skylarkrelay/timeline"
)

// defaultPlaces is how many calls a backend server is given at a time before its first heartbeat.
const defaultPlaces = 4

// Options are what a daemon needs besides its settings.
type Options struct {
	Log   hclog.Logger
	Clock clockwork.Clock
	Boot  BootClock
	// Reload returns the settings again after they have changed.
	Reload func() (settings.Settings, error)
}

// Daemon is one process of the relay.
type Daemon struct {
	settings settings.Settings
	log      hclog.Logger
	clock    clockwork.Clock
	observer *observer
	registry metrics.Registry
	ring     *timeline.Recorder
	control  *control
	entry    *caller.Entry
	runner   *backend.Runner
	hops     *peer.HopClient
	limits   *limitedServer
	options  Options
	stopping atomic.Bool
}

// New puts a daemon together.
func New(s settings.Settings, o Options) *Daemon {
	if o.Boot == nil {
		o.Boot = systemBootClock{}
	}
	d := &Daemon{
		settings: s,
		log:      o.Log,
		clock:    o.Clock,
		registry: metrics.NewRegistry(),
		options:  o,
		ring:     timeline.NewRecorder(string(s.Host), s.Timeline.Events, o.Clock),
	}
	d.observer = newObserver(o.Log, d.registry, d.ring, o.Clock, s.Log.LinesPerSecond)
	seed := rand.Uint64()
	gate := admission.NewController(admission.NewTargetPolicy(defaultPlaces), defaultPlaces, o.Clock)
	d.runner = backend.NewRunner(gate, func() { d.control.suspectServer() }, o.Clock)
	d.hops = peer.NewHopClient(d.observer.counter("hop.connections").inc, o.Clock)
	table := caller.NewTable()
	budget := caller.NewBudget(caller.BudgetLimits{
		Ratio:   s.Retries.Ratio,
		Slack:   s.Retries.Slack,
		Window:  s.Retries.Window,
		Daemons: 1,
	}, o.Clock)
	relay := caller.NewRelay(s.FailureDomain, table, sender{self: s.Host, runner: d.runner, hops: d.hops}, budget,
		d.observer.attempt, o.Clock, seed)
	d.entry = caller.NewEntry(relay, s.Service, platform.Headers(), d.observer.finished, o.Clock)
	d.limits = newLimitedServer(d.entry, d.observer.httpErrors("caller"))
	d.control = newControl(d, o, table, relay, budget, seed)
	return d
}

// sender brings calls to the server beside this daemon without a hop.
type sender struct {
	self   ownership.HostID
	runner *backend.Runner
	hops   *peer.HopClient
}

// Send implements caller.Sender.
func (s sender) Send(ctx context.Context, to *caller.Server, c call.Call) call.Answer {
	if to.Host == s.self {
		a := s.runner.Run(ctx, c)
		a.Host = string(s.self)
		return a
	}
	return s.hops.Send(ctx, to.Host, to.Hop, c)
}

// part is one thing that runs as long as the daemon does.
type part func(ctx context.Context, group *run.Group) error

// Run serves until it is told to stop. A second stop ends it at once; reload reads the settings again.
func (d *Daemon) Run(stop, reload <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	for _, add := range []part{
		d.addControl,
		d.addStore,
		d.addGossip,
		d.addHop,
		d.addWarmer,
		d.addHeartbeats,
		d.addReady,
		d.addOperator,
		d.addCallers,
		d.addReload(reload),
		d.addStop(stop),
	} {
		if err := add(ctx, &group); err != nil {
			return err
		}
	}
	d.log.Info("daemon started", "host", d.settings.Host, "service", d.settings.Service,
		"failure_domain", d.settings.FailureDomain, "backend_server", d.settings.Backend.Address)
	err := group.Run()
	cancel()
	d.control.wait()
	d.log.Info("daemon stopped", "reason", reasonOf(err))
	if _, isWanted := err.(*stoppedError); isWanted {
		return nil
	}
	return err
}

func reasonOf(err error) string {
	if err == nil {
		return "none"
	}
	return err.Error()
}

// loop adds something that runs until its context ends.
func loop(ctx context.Context, group *run.Group, run func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return run(ctx) }, func(error) { cancel() })
}

func (d *Daemon) addControl(ctx context.Context, group *run.Group) error {
	loop(ctx, group, d.control.run)
	return nil
}

func (d *Daemon) addStore(ctx context.Context, group *run.Group) error {
	loop(ctx, group, d.control.runStore)
	return nil
}

// newStore returns the client of the platform's store, and of the same store through other daemons.
func (d *Daemon) newStore(peers func() []string) *fallbackStore {
	client := platform.NewClient(d.settings.Platform.Address, platform.ClientOptions{
		Timeout:       d.settings.Platform.Timeout,
		OnItemSkipped: func(key string, err error) { d.observer.refused("store item "+key, err) },
		OnCall:        d.observer.storeCalled,
	})
	through := func(address string) store.Store { return peer.RelayedStore{Address: address} }
	return newFallbackStore(client, through, peers, d.observer.dependency("store"), d.clock)
}

// presence is what this host tells of itself in the store.
func (d *Daemon) presence() membership.Presence {
	return membership.Presence{
		Host:     d.settings.Host,
		Domain:   d.settings.FailureDomain,
		Service:  d.settings.Service,
		Hop:      d.settings.AdvertisedForwardAddress(),
		Control:  d.settings.AdvertisedControlAddress(),
		Operator: d.settings.OperatorAddress(),
	}
}

// heartbeatGrace is how many heartbeats may be missed before a hold runs out.
const heartbeatGrace = 3

// ownershipTiming fits the protocol's times to the backend server's heartbeats.
func (d *Daemon) ownershipTiming() ownership.Timing {
	timing := ownership.DefaultTiming()
	timing.Beat = d.settings.Backend.HeartbeatInterval
	timing.Hold = min(heartbeatGrace*d.settings.Backend.HeartbeatInterval, d.settings.Backend.MaxHold, timing.Authority/2)
	return timing
}

// instantTime turns an instant of the boot clock into the traffic's time.
func instantTime(clock clockwork.Clock, now, at ownership.Instant) time.Time {
	return clock.Now().Add(at.Sub(now))
}
