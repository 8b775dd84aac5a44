package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/gossip"
	"github.com/skylarkrelay/skylarkrelay/operator"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/settings"
	"github.com/skylarkrelay/skylarkrelay/timeline"
)

const (
	// firstPlaces is how many calls run at a time until the server has announced itself.
	firstPlaces = 1
	// linger is how long a daemon that has left still answers: calls are on their way to it, and callers learn to
	// use another one.
	linger = time.Second
	// readHeaderTimeout bounds how long a caller may take to send its headers.
	readHeaderTimeout = 10 * time.Second
)

// Daemon is one skylarkrelay process.
type Daemon struct {
	settings settings.Settings
	log      hclog.Logger
	clock    clockwork.Clock
	control  *control
	entry    *caller.Entry
	hop      *http.Server
	cancel   context.CancelFunc
	ctx      context.Context
}

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	Field string
	Cause error
}

func (e *ListenError) Error() string { return e.Field + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// New puts a daemon together. Nothing listens before Run.
func New(s settings.Settings, log hclog.Logger, clock clockwork.Clock) *Daemon {
	ctx, cancel := context.WithCancel(context.Background())
	registry := metrics.NewRegistry()
	ring := timeline.NewRing(string(s.Host), s.Timeline.Events, clock)
	gate := admission.NewGate(admission.NewTargets(firstPlaces), firstPlaces, clock)
	runner := backend.NewRunner(string(s.Host), s.Ownership.Slots, gate, clock)
	table := caller.NewTable()
	hop := peer.NewHopClient(s.Limits.BodyBytes, clock)
	seed := rand.Uint64()
	sender := &sender{host: s.Host, runner: runner, hop: hop}
	relay := caller.NewRelay(s.FailureDomain, table, sender, clock, seed)
	entry := caller.NewEntry(relay, s.Ownership.Slots, s.Limits.BodyBytes, registry, ring, clock)
	control := &control{
		settings:  s,
		clock:     clock,
		log:       log,
		ring:      ring,
		registry:  registry,
		store:     platform.NewClient(s.Platform.Address, s.Platform.Timeout),
		pool:      peer.NewPool(ctx, s.Peer.Advertise, registry),
		board:     gossip.NewBoard(),
		runner:    runner,
		gate:      gate,
		table:     table,
		entry:     entry,
		relay:     relay,
		random:    rand.New(rand.NewPCG(seed, 3)),
		ctx:       ctx,
		inbox:     make(chan func(time.Time), inboxLength),
		records:   map[class.Service]ownership.Versioned{},
		addresses: map[ownership.HostID]string{},
		left:      make(chan struct{}),
	}
	classes := func() peer.Classes { return entry.Classes() }
	report := func(err error) { control.refused("forwarded call", err) }
	handler := peer.HopHandler(runner, classes, s.Limits.BodyBytes, clock, report)
	return &Daemon{
		settings: s,
		log:      log,
		clock:    clock,
		control:  control,
		entry:    entry,
		hop:      peer.NewHopServer(handler),
		ctx:      ctx,
		cancel:   cancel,
	}
}

// sender gives a call to the runner of this daemon, or to another daemon.
type sender struct {
	host   ownership.HostID
	runner *backend.Runner
	hop    *peer.HopClient
}

// Send implements caller.Sender.
func (s *sender) Send(ctx context.Context, to *ownership.Member, c call.Call) call.Answer {
	if to.Host == s.host {
		return s.runner.Run(ctx, c)
	}
	return s.hop.Send(ctx, to.Hop, c)
}

// listeners are the addresses of a daemon. All are opened before anything runs, so that no half of it starts.
type listeners struct {
	caller, hop, peer, backend, operator net.Listener
}

func (d *Daemon) listen() (listeners, error) {
	var l listeners
	var opened []net.Listener
	targets := []struct {
		field   string
		address string
		into    *net.Listener
	}{
		{"caller.listen", d.settings.Caller.Listen, &l.caller},
		{"hop.listen", d.settings.Hop.Listen, &l.hop},
		{"peer.listen", d.settings.Peer.Listen, &l.peer},
		{"backend.listen", d.settings.Backend.Listen, &l.backend},
		{"operator.listen", d.settings.Operator.Listen, &l.operator},
	}
	for _, t := range targets {
		listener, err := net.Listen("tcp", t.address)
		if err != nil {
			for _, o := range opened {
				_ = o.Close() // the first error is the one to report
			}
			return listeners{}, &ListenError{Field: t.field, Cause: err}
		}
		opened = append(opened, listener)
		*t.into = listener
	}
	return l, nil
}

// Run serves until the stop channel receives a value: the first stops gracefully, a second at once.
func (d *Daemon) Run(stop <-chan struct{}) error {
	defer d.cancel()
	l, err := d.listen()
	if err != nil {
		return errors.Wrap(err, "start")
	}
	callers := &http.Server{
		Handler:           d.entry,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    int(d.settings.Limits.HeaderBytes),
	}
	backends := &http.Server{Handler: d.control.announceHandler(), ReadHeaderTimeout: readHeaderTimeout}
	operators := &http.Server{Handler: operator.Handler(d.control), ReadHeaderTimeout: readHeaderTimeout}
	peers := peer.NewServer(l.peer, d.control, d.control.registry)

	var group run.Group
	d.addTask(&group, d.control.run)
	d.addTask(&group, d.control.runStore)
	d.addTask(&group, d.control.runRepair)
	d.addTask(&group, peers.Serve)
	addServer(&group, callers, l.caller)
	addServer(&group, d.hop, l.hop)
	addServer(&group, backends, l.backend)
	addServer(&group, operators, l.operator)
	group.Add(func() error { return d.awaitStop(stop, callers) }, func(error) { d.cancel() })
	err = group.Run()
	d.control.pool.Wait()
	return err
}

// addTask adds a goroutine that ends with the daemon's context.
func (d *Daemon) addTask(group *run.Group, task func(context.Context) error) {
	group.Add(func() error { return task(d.ctx) }, func(error) { d.cancel() })
}

func addServer(group *run.Group, server *http.Server, listener net.Listener) {
	serve := func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return &ListenError{Field: listener.Addr().String(), Cause: err}
	}
	done := make(chan struct{})
	group.Add(func() error {
		err := serve()
		if err == nil {
			<-done // a graceful stop closes the listener before the daemon ends
		}
		return err
	}, func(error) {
		close(done)
		_ = server.Close() // what still runs was waited for
	})
}

// awaitStop waits for the signal to stop, gives the slots away and lets running calls end.
func (d *Daemon) awaitStop(stop <-chan struct{}, callers *http.Server) error {
	select {
	case <-stop:
	case <-d.ctx.Done():
		return nil
	}
	d.log.Info("stopping")
	ctx, cancel := clockwork.WithTimeout(d.ctx, d.clock, d.settings.Limits.DrainTime)
	defer cancel()
	go func() {
		select {
		case <-stop: // a second signal ends the wait
			cancel()
		case <-ctx.Done():
		}
	}()
	d.control.post(d.control.leave)
	select {
	case <-d.control.left:
	case <-ctx.Done():
	}
	d.entry.Close()
	d.control.sleep(ctx, linger)
	_ = callers.Shutdown(ctx) // calls that outlast the drain time are cut off
	_ = d.hop.Shutdown(ctx)   // likewise
	d.log.Info("stopped")
	return nil
}
