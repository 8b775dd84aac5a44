package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/store"
)

const (
	// tickInterval is how often the control goroutine looks at the time.
	tickInterval = 25 * time.Millisecond
	// inboxLength bounds the work that waits for the control goroutine.
	inboxLength = 1024
)

// control owns all control state. Its methods run on one goroutine, unless their comment says otherwise.
type control struct {
	daemon   *Daemon
	log      hclog.Logger
	observer *observer
	clock    clockwork.Clock
	boot     BootClock
	random   *rand.Rand
	layout   ownership.Layout
	self     ownership.HostID
	service  class.Service

	store store.Store
	// direct is the store without the way through other daemons, and isCutOff tells whether it is lost.
	direct   store.Store
	isCutOff func() bool
	board    *membership.Board
	roster   *membership.Roster
	// peers holds the control addresses of the other hosts, for any goroutine.
	peers  atomic.Pointer[[]string]
	pool   *peer.Pool
	table  *caller.Table
	relay  *caller.Relay
	budget *caller.Budget
	runner *backend.Runner

	inbox chan func(now ownership.Instant)
	ctx   context.Context
	calls sync.WaitGroup

	registrar *membership.Registrar
	machine   *ownership.Machine
	epoch     ownership.Epoch
	server    serverState
	waiting   waitingBeat
	promised  map[ownership.HostID]ownership.Instant
	spread    spreadState
	records   map[class.Service]*ownership.Record
	config    *class.Config
	loads     loadMeter
	permitted permitState
	// isDirty says that routes have to be computed again.
	isDirty     bool
	isLeaving   bool
	isRepairing bool
	peersAt     ownership.Instant
}

func newControl(d *Daemon, o Options, table *caller.Table, relay *caller.Relay, budget *caller.Budget, seed uint64) *control {
	layout := ownership.Layout{Prefix: platform.KeyPrefix}
	random := rand.New(rand.NewPCG(seed, 3))
	c := &control{
		daemon:    d,
		log:       o.Log,
		observer:  d.observer,
		clock:     o.Clock,
		boot:      o.Boot,
		random:    random,
		layout:    layout,
		self:      d.settings.Host,
		service:   d.settings.Service,
		board:     membership.NewBoard(),
		roster:    membership.NewRoster(time.Duration(announcesMissed * float64(leastAnnounceInterval))),
		table:     table,
		relay:     relay,
		budget:    budget,
		runner:    d.runner,
		inbox:     make(chan func(ownership.Instant), inboxLength),
		registrar: membership.NewRegistrar(d.presence(), layout, membership.DefaultTiming()),
		machine: ownership.NewMachine(o.Boot.Now(), d.settings.Host, d.settings.Service, layout, d.ownershipTiming(),
			random),
		records:  map[class.Service]*ownership.Record{},
		promised: map[ownership.HostID]ownership.Instant{},
		loads:    newLoadMeter(o.Clock.Now()),
	}
	c.spread = newSpreadState(o.Boot.Now())
	c.server = newServerState(d.settings, o.Boot.Now())
	reached := d.newStore(c.peerControls)
	c.store, c.direct, c.isCutOff = reached, reached.direct, reached.isCutOff
	return c
}

// run is the control goroutine.
func (c *control) run(ctx context.Context) error {
	c.ctx = ctx
	c.pool = peer.NewPool(ctx, c.daemon.settings.AdvertisedControlAddress(), c.daemon.registry)
	ticker := c.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case work := <-c.inbox:
			work(c.boot.Now())
		case <-ticker.Chan():
			c.tick(c.boot.Now())
		}
	}
}

// wait returns when everything that the control goroutine started has ended.
func (c *control) wait() {
	c.calls.Wait()
	if c.pool != nil {
		c.pool.Wait()
	}
}

// post hands work to the control goroutine. It may be called from any goroutine.
func (c *control) post(ctx context.Context, work func(now ownership.Instant)) {
	select {
	case c.inbox <- work:
	case <-ctx.Done():
	}
}

// async makes a call on a goroutine of its own, and hands its result back to the control goroutine.
func (c *control) async(call func(ctx context.Context) func(now ownership.Instant)) {
	ctx := c.ctx
	c.calls.Go(func() {
		if done := call(ctx); done != nil {
			c.post(ctx, done)
		}
	})
}

// tick does what time asks for.
func (c *control) tick(now ownership.Instant) {
	c.registration(now, c.registrar.Tick(now))
	c.checkServer(now)
	c.measureLoad(now)
	c.ownership(now, c.machine.Tick(now))
	c.spreadTick(now)
	c.settle(now)
}

// settle brings traffic up to date with what control knows.
func (c *control) settle(now ownership.Instant) {
	if c.isDirty {
		c.isDirty = false
		c.updateRoutes(now)
	} else if now.Sub(c.peersAt) > loadWindow {
		c.updatePeers(now)
	}
	c.answerBeats(now)
	c.updatePermit(now)
}

// registration does what the registrar wants.
func (c *control) registration(now ownership.Instant, effects []membership.Effect) {
	for _, e := range effects {
		switch effect := e.(type) {
		case membership.ReadEpoch:
			c.async(func(ctx context.Context) func(ownership.Instant) {
				item, err := c.store.Get(ctx, effect.Key)
				return func(now ownership.Instant) { c.registration(now, c.registrar.EpochRead(now, item, err)) }
			})
		case membership.GrantLease:
			c.async(func(ctx context.Context) func(ownership.Instant) {
				lease, err := c.store.Grant(ctx, membership.DefaultTiming().LeaseTTL)
				return func(now ownership.Instant) { c.registration(now, c.registrar.Granted(now, lease, err)) }
			})
		case membership.Register:
			c.async(func(ctx context.Context) func(ownership.Instant) {
				revision, err := c.store.Commit(ctx, effect.Txn)
				return func(now ownership.Instant) {
					c.registration(now, c.registrar.RegisterDone(now, effect.SentAt, revision, err))
				}
			})
		case membership.RenewLease:
			c.async(func(ctx context.Context) func(ownership.Instant) {
				err := c.store.Renew(ctx, effect.Lease)
				return func(now ownership.Instant) {
					c.registration(now, c.registrar.RenewDone(now, effect.SentAt, effect.Lease, err))
				}
			})
		case membership.Registered:
			c.registered(now, effect)
		case membership.Renewed:
			c.ownership(now, c.machine.Renewed(now, effect.SentAt))
		case membership.Unregistered:
			c.log.Warn("registration lost", "epoch", c.epoch, "reason", effect.Reason)
			c.machine.Unregistered()
		}
	}
}

// registered takes up a new registration.
func (c *control) registered(now ownership.Instant, r membership.Registered) {
	c.epoch = r.Epoch
	c.log.Info("registered", "epoch", r.Epoch, "revision", r.Revision)
	c.spread.count = 0
	c.acceptOwnPresence(now, r)
	c.ownership(now, c.machine.Registered(now, r.SentAt, r.Epoch, r.Revision))
	c.announce(now)
}

// ownership does what the machine wants.
func (c *control) ownership(now ownership.Instant, effects []ownership.Effect) {
	for _, e := range effects {
		switch effect := e.(type) {
		case ownership.ReadRecord:
			c.readRecord()
		case ownership.WriteRecord:
			c.writeRecord(effect)
		case ownership.EndLease:
			c.endLease(effect.Host)
		case ownership.Adopted:
			c.adopted(now, effect)
		case ownership.Promise:
			c.promise(effect)
		case ownership.Event:
			c.observer.ownershipEvent(c.service, effect)
		}
	}
}
