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
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/store"
)

const (
	// tickInterval is the interval at which the control goroutine checks for work that is due.
	tickInterval = 25 * time.Millisecond
	// minRouteInterval is the shortest interval between two updates of the routes. The first change after a pause takes
	// effect at once.
	minRouteInterval = tickInterval
	// inboxCapacity bounds the number of work items queued for the control goroutine.
	inboxCapacity = 1024
)

// control owns all control-plane state. Its methods run on the control goroutine, unless their comment says otherwise.
type control struct {
	daemon    *Daemon
	log       hclog.Logger
	observer  *observer
	clock     clockwork.Clock
	bootClock BootClock
	random    *rand.Rand
	layout    ownership.StoreLayout
	self      ownership.HostID
	service   class.Service

	store store.Store
	// directStore accesses the store without the fallback through other daemons. isStoreUnreachable reports whether that
	// direct access has failed for a while.
	directStore        store.EraStore
	isStoreUnreachable func() bool
	// storeEra is the newest known era of the store. isReadDue is set while the store has to be read as a whole because
	// it was restored.
	storeEra  store.Era
	isReadDue bool
	replica   *membership.Replica
	roster    *membership.Roster
	// peerAddresses holds the control addresses of the other hosts. Any goroutine may read it.
	peerAddresses atomic.Pointer[[]string]
	// peerHosts holds the other hosts by their control addresses. Any goroutine may read it.
	peerHosts atomic.Pointer[map[string]peerHost]
	notifier  *peer.Notifier
	table     *caller.Table
	relay     *caller.Relay
	budget    *caller.Budget
	runner    *backend.Runner

	inbox      chan func(now ownership.Instant)
	ctx        context.Context
	asyncCalls sync.WaitGroup

	registrar *membership.Registrar
	// registered is closed at the first registration.
	registered     chan struct{}
	registeredOnce sync.Once
	machine        *ownership.StateMachine
	epoch          ownership.Epoch
	server         serverState
	// leavingNotice is set by the goroutines of calls.
	leavingNotice atomic.Pointer[leavingNotice]
	// brokenCall is set by the goroutines of calls.
	brokenCall        atomic.Pointer[brokenCall]
	departure         departureState
	evacuation        evacuationState
	beacon            beaconState
	pendingHeartbeat  pendingHeartbeat
	expectedHandovers map[ownership.HostID]ownership.Instant
	gossip            gossipState
	records           map[class.Service]*ownership.Record
	seenRecords       map[class.Service]seenRecord
	config            *class.Config
	// configRevision is the revision of the configuration that was last read from the store.
	configRevision store.Revision
	loadMeter      loadMeter
	capacities     capacityState
	usageMeter     usageMeter
	permit         permitInputs
	warmup         warmupState
	// isRecordReadDue is set while the ownership machine waits for a read of the record that has not been started. A
	// service without keys has no record, so the read waits for the configuration.
	isRecordReadDue bool
	// isDirty is set when the routes have to be recomputed.
	isDirty bool
	// routesUpdatedAt is when the routes were last recomputed.
	routesUpdatedAt ownership.Instant
	isShuttingDown  bool
	isPulling       bool
	// reportedRequests contains the requests with reports that have not been sent to other daemons. isPullingReports and
	// nextReportExpiryAt concern the reports of all daemons.
	reportedRequests   map[call.Fingerprint]bool
	isPullingReports   bool
	nextReportExpiryAt ownership.Instant
	peersUpdatedAt     ownership.Instant
}

func newControl(
	d *Daemon, o Options, table *caller.Table, relay *caller.Relay, budget *caller.Budget, seed uint64,
) *control {
	layout := ownership.StoreLayout{Prefix: platform.KeyPrefix}
	random := rand.New(rand.NewPCG(seed, 3))
	c := &control{
		daemon:     d,
		log:        o.Log,
		observer:   d.observer,
		clock:      o.Clock,
		bootClock:  o.BootClock,
		random:     random,
		layout:     layout,
		self:       d.settings.Host,
		service:    d.settings.Service,
		replica:    membership.NewReplica(),
		roster:     membership.NewRoster(time.Duration(missedAnnouncements * float64(minAnnounceInterval))),
		table:      table,
		relay:      relay,
		budget:     budget,
		runner:     d.runner,
		inbox:      make(chan func(ownership.Instant), inboxCapacity),
		registered: make(chan struct{}),
		registrar:  membership.NewRegistrar(d.presence(), layout, membership.DefaultTiming()),
		machine: ownership.NewStateMachine(o.BootClock.Now(), d.settings.Host, d.settings.Service, layout,
			d.ownershipTiming(), random),
		records:           map[class.Service]*ownership.Record{},
		seenRecords:       map[class.Service]seenRecord{},
		expectedHandovers: map[ownership.HostID]ownership.Instant{},
		reportedRequests:  map[call.Fingerprint]bool{},
		loadMeter:         newLoadMeter(o.Clock.Now()),
		capacities:        newCapacityState(),
		departure:         departureState{isKnown: make(chan struct{})},
		evacuation:        newEvacuationState(d.settings.EvacuationTime),
	}
	c.gossip = newGossipState(o.BootClock.Now())
	c.server = newServerState(d.settings, o.BootClock.Now())
	fallback := d.newStore(c.knownPeerAddresses, c.postEra)
	c.store, c.directStore, c.isStoreUnreachable = fallback, fallback.direct, fallback.isUnreachable
	return c
}

// run is the control goroutine: it processes queued work and ticks until the context ends.
func (c *control) run(ctx context.Context) error {
	c.ctx = ctx
	c.notifier = peer.NewNotifier(ctx, c.daemon.settings.AdvertisedControlAddress(), c.daemon.registry)
	c.notifier.ObserveDials(c.gossipDialed)
	c.readDeparture()
	c.readEvacuations()
	ticker := c.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case work := <-c.inbox:
			work(c.bootClock.Now())
		case <-ticker.Chan():
			c.tick(c.bootClock.Now())
		}
	}
}

// wait returns when all calls and connections that the control goroutine started have ended.
func (c *control) wait() {
	c.asyncCalls.Wait()
	if c.notifier != nil {
		c.notifier.Wait()
	}
}

// post queues work for the control goroutine. It may be called from any goroutine.
func (c *control) post(ctx context.Context, work func(now ownership.Instant)) {
	select {
	case c.inbox <- work:
	case <-ctx.Done():
	}
}

// async runs a call on its own goroutine, and posts the function that it returns to the control goroutine.
func (c *control) async(call func(ctx context.Context) func(now ownership.Instant)) {
	ctx := c.ctx
	c.asyncCalls.Go(func() {
		if done := call(ctx); done != nil {
			c.post(ctx, done)
		}
	})
}

// tick runs the periodic work that is due.
func (c *control) tick(now ownership.Instant) {
	c.runRegistrarEffects(now, c.registrar.Tick(now))
	c.applyLeavingNotice(now)
	c.checkServer(now)
	c.confirmServer(now)
	c.checkEvacuations(now)
	c.measureLoad(now)
	c.runOwnershipEffects(now, c.machine.Tick(now))
	c.pushReports()
	c.gossipTick(now)
	c.probeUnreachable()
	c.updateDataPlane(now)
	c.checkWarmup(now)
	c.reportUsage(now)
	c.expireReports(now)
}

// updateDataPlane applies the control state to the data plane: routes, peers, the pending heartbeat and the permit. Routes
// are recomputed at most once in minRouteInterval, and otherwise by a later tick. When a whole mesh starts, each host changes
// them several times.
func (c *control) updateDataPlane(now ownership.Instant) {
	if c.isDirty && now.Sub(c.routesUpdatedAt) >= minRouteInterval {
		c.isDirty = false
		c.routesUpdatedAt = now
		c.observer.counter("routes.updates").inc()
		c.updateRoutes(now)
	} else if now.Sub(c.peersUpdatedAt) > loadInterval {
		c.updatePeers(now)
	}
	c.answerPendingHeartbeat(now)
	c.updatePermit(now)
}

// runRegistrarEffects carries out the effects that the registrar requests.
func (c *control) runRegistrarEffects(now ownership.Instant, effects []membership.Effect) {
	for _, e := range effects {
		switch effect := e.(type) {
		case membership.GrantLease:
			c.async(func(ctx context.Context) func(ownership.Instant) {
				lease, err := c.store.Grant(ctx, membership.DefaultTiming().LeaseTTL)
				return func(now ownership.Instant) { c.runRegistrarEffects(now, c.registrar.LeaseGranted(now, lease, err)) }
			})
		case membership.Register:
			c.async(func(ctx context.Context) func(ownership.Instant) {
				revision, err := c.store.Commit(ctx, effect.Txn)
				return func(now ownership.Instant) {
					c.runRegistrarEffects(now, c.registrar.RegisterDone(now, effect.SentAt, revision, err))
				}
			})
		case membership.RenewLease:
			c.async(func(ctx context.Context) func(ownership.Instant) {
				err := c.store.Renew(ctx, effect.Lease)
				return func(now ownership.Instant) {
					c.runRegistrarEffects(now, c.registrar.RenewDone(now, effect.SentAt, effect.Lease, err))
				}
			})
		case membership.Registered:
			c.handleRegistered(now, effect)
		case membership.Renewed:
			c.runOwnershipEffects(now, c.machine.Renewed(now, effect.SentAt))
		case membership.Unregistered:
			c.log.Warn("registration lost", "epoch", c.epoch, "reason", effect.Reason)
			c.machine.Unregistered()
		}
	}
}

// handleRegistered applies a new registration and announces it to other daemons.
func (c *control) handleRegistered(now ownership.Instant, registered membership.Registered) {
	c.epoch = registered.Epoch
	c.registeredOnce.Do(func() { close(c.registered) })
	c.log.Info("registered", "epoch", registered.Epoch, "revision", registered.Revision.String())
	c.gossip.announcementCount = 0
	c.publishPresence(now, registered)
	c.runOwnershipEffects(now, c.machine.Registered(now, registered.SentAt, registered.Epoch, registered.Revision))
	c.announce(now)
}

// runOwnershipEffects carries out the effects that the ownership machine requests.
func (c *control) runOwnershipEffects(now ownership.Instant, effects []ownership.Effect) {
	for _, e := range effects {
		switch effect := e.(type) {
		case ownership.ReadRecord:
			c.isRecordReadDue = true
			c.readRecordIfDue()
		case ownership.WriteRecord:
			c.writeRecord(effect)
		case ownership.EndLease:
			c.endLease(effect.Host)
		case ownership.Reregister:
			c.runRegistrarEffects(now, c.registrar.Reregister(now))
		case ownership.RecordUpdated:
			c.publishRecord(now, effect)
		case ownership.AnnounceHandover:
			c.announceHandover(effect)
		case ownership.Event:
			c.observer.ownershipEvent(c.service, effect)
		}
	}
}
