package ownership_test

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// mutation is a deliberate fault in the protocol that the exploration must detect. Mutations change inputs and outputs
// of the state machine, so that the state machine itself needs no test switches.
type mutation int

const (
	noMutation mutation = iota

	noAuthorityWait           // a takeover does not wait until the authority of the lost host has expired
	leaseNotEnded             // a takeover does not end the lease of the lost host
	noLostEpochCondition      // the write of a takeover is not conditional on the epoch of the lost host
	noFreshRead               // the record is not read after a registration
	noOwnEpochCondition       // writes are not conditional on the epoch of the writer
	authorityFromAnswer       // authority counts from when a registration or renewal is answered, not sent
	restartGrantsImmediately  // a restarted daemon does not wait for holds that the earlier process granted
	unconfirmedWriteForgotten // a write without an answer is treated as a conflict
	monotonicClock            // a host's clock stops while the host is suspended
	holdBeyondAuthority       // holds are granted for the full HoldTime, whatever is left of the authority
	fenceNotRaised            // keys get new owners without higher fences
	restoreUnnoticed          // hosts do not observe the era of the store
	noSettlementWait          // hosts do not wait for the authority of those that do not know of a restore
	closedTakenForEnded       // a server that refuses connections is taken for ended while its holds last
	eraGapMissing             // the first record of an era does not skip the generations that may have been lost

	mutationCount
)

var mutationNames = [mutationCount]string{
	"none", "no wait for the authority", "lease not ended", "lost epoch not in the conditions", "no fresh read",
	"own epoch not in the conditions", "authority from the answer", "restarted daemon grants immediately",
	"unconfirmed write forgotten", "monotonic clock", "hold beyond authority", "fence not raised",
	"restore unnoticed", "no wait after a restore", "closed listener taken for the end", "no gap between eras",
}

// Durations of the simulation, a tenth of the default ones.
const (
	heartbeatInterval = 100 * time.Millisecond
	tickInterval      = 10 * time.Millisecond
	simDuration       = 12 * time.Second
	hostCount         = 3
	// clockSkew is the largest difference of a clock's rate from 1.
	clockSkew = 0.02
	// presenceNoticeTicks is how many ticks pass on average until a host learns that the store has lost its presence.
	presenceNoticeTicks = 60
	// maxCopyAge is how many copies back the store is restored at most.
	maxCopyAge = 5
)

func simTiming() ownership.Timing {
	return ownership.Timing{
		AuthorityTime:     800 * time.Millisecond,
		HoldTime:          300 * time.Millisecond,
		SettleTime:        70 * time.Millisecond,
		AbsenceGrace:      220 * time.Millisecond,
		Stagger:           60 * time.Millisecond,
		RebalanceInterval: 40 * time.Millisecond,
		MoveTimeout:       600 * time.Millisecond,
		RetryDelay:        6 * time.Millisecond,
	}
}

// scheduledEvent is an action at a point in virtual time.
type scheduledEvent struct {
	at    time.Duration
	order int
	do    func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at == q[j].at {
		return q[i].order < q[j].order
	}
	return q[i].at < q[j].at
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// serverHold is a backend server's hold on a key.
type serverHold struct {
	until time.Duration
	fence ownership.Fence
	// isFinishing marks keys that are no longer granted while requests still run for them.
	isFinishing bool
}

// simServer is a backend server that complies with the heartbeat responses.
type simServer struct {
	instance ownership.Instance
	isUp     bool
	// isClosed marks a server that has stopped listening and sends no more heartbeats, but finishes its requests.
	isClosed   bool
	sequence   uint64
	holds      keyspace.Map[serverHold]
	seenFences keyspace.Map[ownership.Fence]
	released   []ownership.Release
	clockRate  float64
}

// simHost is one host with its daemon and its backend server.
type simHost struct {
	id ownership.HostID
	// isUp reports whether the daemon runs. daemonRun counts its starts.
	isUp             bool
	daemonRun        int
	pausedUntil      time.Duration
	suspendedFor     time.Duration
	partitionedUntil time.Duration
	clockRate        float64

	machine   *ownership.StateMachine
	registrar *membership.Registrar
	epoch     ownership.Epoch
	server    simServer
	// published is the newest record that the daemon has sent to others.
	published ownership.RecordUpdated
}

// simulation simulates three hosts and a store, with random delays and faults.
type simulation struct {
	random   *rand.Rand
	mutation mutation
	now      time.Duration
	clock    *clockwork.FakeClock
	store    *store.Memory
	layout   ownership.StoreLayout
	hosts    [hostCount]*simHost
	queue    eventQueue
	order    int

	storeDownUntil time.Duration
	// copies are the copies of the store, the newest last.
	copies        []*store.MemoryCopy
	instanceCount int64
	// lastHolder and lastFence are the last holder of each key and its fence.
	lastHolder keyspace.Map[ownership.Instance]
	lastFence  keyspace.Map[ownership.Fence]
	failure    string
	takeovers  int
	moves      int
	// recoveries counts the records that were put in force again after a restore of the store.
	recoveries int
	faultsOff  bool
	// isLoadAware reports whether the keys are levelled by capacity in this walk.
	isLoadAware bool
	// evacuated contains the hosts whose failure domain is evacuated.
	evacuated map[ownership.HostID]bool
	isTraced  bool
	trace     []string
	tracedKey class.Key
}

func newSimulation(seed uint64, m mutation) *simulation {
	sim := &simulation{
		random:   rand.New(rand.NewPCG(seed, 11)),
		mutation: m,
		clock:    clockwork.NewFakeClock(),
		layout:   ownership.StoreLayout{Prefix: "w/"},
	}
	sim.store = store.NewMemory(sim.clock)
	sim.isLoadAware = seed%4 == 3
	if sim.random.IntN(8) > 0 {
		sim.writeInitialRecord() // otherwise the hosts make the initial assignment
	}
	for i := range sim.hosts {
		h := &simHost{id: ownership.HostID(fmt.Sprintf("h%d", i)), clockRate: sim.randomClockRate()}
		h.server.clockRate = sim.randomClockRate()
		sim.hosts[i] = h
		sim.startServer(h)
		sim.startDaemon(h)
		sim.scheduleEvery(h, tickInterval, func() { sim.tick(h) })
		sim.heartbeatLoop(h)
	}
	sim.copyLoop()
	sim.faultLoop()
	return sim
}

// copyLoop copies the store from time to time.
func (sim *simulation) copyLoop() {
	sim.copies = append(sim.copies, sim.store.Copy())
	sim.schedule(time.Duration(sim.random.Int64N(int64(400*time.Millisecond))), sim.copyLoop)
}

// restoreStore restores the store from one of the newest copies. The daemons learn of it from the answers of the store.
func (sim *simulation) restoreStore() {
	age := min(len(sim.copies), 1+sim.random.IntN(maxCopyAge))
	sim.store.Restore(sim.copies[len(sim.copies)-age])
	sim.copies = sim.copies[:len(sim.copies)-age+1]
	sim.tracef("store restored: era %d", sim.store.Era())
}

// observeEra tells a daemon the era that an answer of the store stated.
func (sim *simulation) observeEra(h *simHost, era store.Era) {
	if sim.mutation == restoreUnnoticed {
		return
	}
	now := sim.bootTime(h)
	seen := now
	if sim.mutation == noSettlementWait {
		seen = now.Add(-time.Second)
	}
	sim.applyEffects(h, h.machine.EraObserved(seen, era))
	sim.applyRegistrarEffects(h, h.registrar.EraObserved(now, era))
}

// writeInitialRecord writes a first record with few runs of keys, which keeps walks short.
func (sim *simulation) writeInitialRecord() {
	record := &ownership.Record{Service: "s", Generation: 1}
	for i := range hostCount {
		record.Members = append(record.Members, ownership.Member{Host: ownership.HostID(fmt.Sprintf("h%d", i))})
	}
	for i := range 2 * hostCount {
		from := class.Key(i * 1000)
		record.Keys.Set(keyspace.Span{From: from, To: class.KeyCount - 1}, ownership.Assignment{
			Owner: i % hostCount,
			Fence: 1,
		})
	}
	put := store.Txn{Puts: []store.Put{{Key: sim.layout.Record("s"), Value: encodeRecord(record)}}}
	if _, err := sim.store.Commit(context.Background(), put); err != nil {
		panic(err)
	}
}

func (sim *simulation) randomClockRate() float64 {
	return 1 - clockSkew + 2*clockSkew*sim.random.Float64()
}

// run runs the simulation, with faults, until its end or the first violation of an invariant.
func (sim *simulation) run() { sim.runUntil(simDuration) }

func (sim *simulation) runUntil(end time.Duration) {
	for len(sim.queue) > 0 && sim.failure == "" && sim.queue[0].at <= end {
		next := heap.Pop(&sim.queue).(scheduledEvent)
		if next.at > sim.now {
			sim.clock.Advance(next.at - sim.now)
			sim.now = next.at
		}
		next.do()
	}
}

func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.order++
	heap.Push(&sim.queue, scheduledEvent{at: sim.now + d, order: sim.order, do: do})
}

// scheduleEvery repeats an action of a host's daemon at random intervals from d to 1.5 d. The action is skipped while
// the daemon is stopped or the host is suspended.
func (sim *simulation) scheduleEvery(h *simHost, d time.Duration, do func()) {
	sim.schedule(d+time.Duration(sim.random.Int64N(int64(d/2))), func() {
		if h.isUp && sim.now >= h.pausedUntil {
			do()
		}
		sim.scheduleEvery(h, d, do)
	})
}

// bootTime returns the time since boot on a host's clock.
func (sim *simulation) bootTime(h *simHost) ownership.Instant {
	elapsed := sim.now
	if sim.mutation == monotonicClock {
		elapsed -= h.suspendedFor
	}
	return ownership.Instant(time.Hour) + ownership.Instant(float64(elapsed)*h.clockRate)
}

func (sim *simulation) startDaemon(h *simHost) {
	h.daemonRun++
	h.isUp = true
	h.epoch = 0
	now := sim.bootTime(h)
	if sim.mutation == restartGrantsImmediately {
		now = now.Add(-time.Second)
	}
	h.machine = ownership.NewStateMachine(now, h.id, "s", sim.layout, simTiming(), sim.random)
	presence := membership.Presence{Host: h.id, Service: "s"}
	h.registrar = membership.NewRegistrar(presence, sim.layout, membership.Timing{
		LeaseTTL: 350 * time.Millisecond, RenewInterval: 100 * time.Millisecond, RetryDelay: 15 * time.Millisecond,
	})
}

// startServer starts a new instance of a host's backend server. Instance IDs repeat, so that some instances differ only
// in Born.
func (sim *simulation) startServer(h *simHost) {
	sim.instanceCount++
	h.server = simServer{
		instance:  ownership.Instance{ID: fmt.Sprintf("i%d", sim.random.IntN(2)), Born: sim.instanceCount},
		isUp:      true,
		clockRate: h.server.clockRate,
	}
}

// callStore calls the store. The call may never arrive or arrive late, and its answer may be lost. If there is no
// answer, the daemon gets an IndeterminateError after a timeout.
func (sim *simulation) callStore(h *simHost, do func() error, done func(err error)) {
	daemonRun := h.daemonRun
	isDone := false
	finish := func(err error, era store.Era) {
		sim.runOnDaemon(h, daemonRun, func() {
			if !isDone {
				isDone = true
				sim.observeEra(h, era)
				done(err)
			}
		})
	}
	timeout := &store.IndeterminateError{Call: "call", Cause: context.DeadlineExceeded}
	sim.schedule(70*time.Millisecond, func() { finish(timeout, 0) })
	sim.schedule(sim.delay(), func() {
		if sim.now < sim.storeDownUntil || sim.now < h.partitionedUntil {
			if sim.random.IntN(2) == 0 {
				sim.schedule(sim.delay(), func() { finish(&store.RejectedError{Call: "call", Cause: "down"}, 0) })
			}
			return
		}
		err := do()
		era := sim.store.Era()
		if sim.random.IntN(12) == 0 && !sim.faultsOff {
			return // the answer is lost
		}
		sim.schedule(sim.delay(), func() { finish(err, era) })
	})
}

func (sim *simulation) delay() time.Duration {
	if sim.faultsOff {
		return time.Millisecond
	}
	switch n := sim.random.IntN(20); {
	case n == 0:
		return 10*time.Millisecond + time.Duration(sim.random.Int64N(int64(400*time.Millisecond)))
	case n < 4:
		return time.Duration(sim.random.Int64N(int64(60 * time.Millisecond)))
	default:
		return time.Duration(sim.random.Int64N(int64(2 * time.Millisecond)))
	}
}

// runOnDaemon runs an action on a daemon, after the end of a pause, if the daemon has not restarted since.
func (sim *simulation) runOnDaemon(h *simHost, daemonRun int, do func()) {
	if !h.isUp || h.daemonRun != daemonRun {
		return
	}
	if sim.now < h.pausedUntil {
		sim.schedule(h.pausedUntil-sim.now, func() { sim.runOnDaemon(h, daemonRun, do) })
		return
	}
	do()
}

func (sim *simulation) tick(h *simHost) {
	now := sim.bootTime(h)
	sim.applyRegistrarEffects(h, h.registrar.Tick(now))
	sim.applyEffects(h, h.machine.SetPeers(now, sim.peerView()))
	sim.applyEffects(h, h.machine.SetEvacuated(now, sim.evacuated[h.id], now))
	sim.applyEffects(h, h.machine.Tick(now))
	// Updates of the record spread late, or not at all.
	other := sim.hosts[sim.random.IntN(hostCount)]
	if sent := other.published; sent.Record != nil && sim.random.IntN(3) > 0 {
		sim.applyEffects(h, h.machine.RecordReceived(now, sent.Record, sent.Revision))
	}
	if item, err := sim.store.Get(context.Background(), sim.layout.Presence(h.id)); err == nil && item.Revision == 0 &&
		sim.random.IntN(presenceNoticeTicks) == 0 {
		sim.applyRegistrarEffects(h, h.registrar.PresenceDeleted(now, 1<<62))
	}
}

// peerView returns the peers as a host sees them: sometimes a running host is reported as absent.
func (sim *simulation) peerView() []ownership.Peer {
	var peers []ownership.Peer
	for _, h := range sim.hosts {
		item, err := sim.store.Get(context.Background(), sim.layout.Presence(h.id))
		peers = append(peers, ownership.Peer{
			Host:        h.id,
			IsPresent:   err == nil && item.Revision != 0 && (sim.faultsOff || sim.random.IntN(50) > 0),
			IsEligible:  h.server.isUp && !h.server.isClosed && !sim.evacuated[h.id],
			Instance:    h.server.instance,
			Concurrency: 4,
			Load:        4 * sim.random.Float64(),
			Capacity:    sim.capacityOf(h),
		})
	}
	return peers
}

// capacityOf returns the relative capacity of a host's backend server, or zero in a walk that is not load-aware.
func (sim *simulation) capacityOf(h *simHost) float64 {
	if !sim.isLoadAware {
		return 0
	}
	return 0.5 + float64(h.id[1]-'0')
}

// tracef adds a line to the trace, if the walk is traced.
func (sim *simulation) tracef(format string, values ...any) {
	if sim.isTraced {
		sim.trace = append(sim.trace, fmt.Sprintf("%12s ", sim.now)+fmt.Sprintf(format, values...))
	}
}

func (sim *simulation) failf(format string, values ...any) {
	if sim.failure == "" {
		sim.failure = fmt.Sprintf("at %s: ", sim.now) + fmt.Sprintf(format, values...)
	}
}

// partition makes the store reject a host's calls for a while, unless the faults have ended.
func (sim *simulation) partition(h *simHost, length time.Duration) {
	if !sim.faultsOff {
		h.partitionedUntil = sim.now + length
	}
}

func (sim *simulation) faultLoop() {
	sim.schedule(time.Duration(sim.random.Int64N(int64(500*time.Millisecond))), func() {
		if !sim.faultsOff {
			sim.injectFault(sim.hosts[sim.random.IntN(hostCount)])
		}
		sim.faultLoop()
	})
}

// closeServer makes a backend server refuse connections until it exits. Its daemon notices the refused connection.
func (sim *simulation) closeServer(h *simHost, length time.Duration) {
	s := &h.server
	if !s.isUp || s.isClosed {
		return
	}
	s.isClosed = true
	state := ownership.ServerClosed
	if sim.mutation == closedTakenForEnded {
		state = ownership.ServerEnded
	}
	sim.runOnDaemon(h, h.daemonRun, func() { sim.applyEffects(h, h.machine.SetServerState(sim.bootTime(h), state)) })
	instance := s.instance
	sim.schedule(length/4, func() {
		if h.server.instance != instance {
			return
		}
		h.server.isUp = false
		sim.schedule(length/4, func() {
			if h.server.instance == instance {
				sim.startServer(h)
			}
		})
	})
}

func (sim *simulation) injectFault(h *simHost) {
	length := time.Duration(sim.random.Int64N(int64(1500 * time.Millisecond)))
	kind := sim.random.IntN(11)
	sim.tracef("%s fault %d for %s", h.id, kind, length)
	switch kind {
	case 0: // the daemon restarts while the backend server keeps running
		h.isUp = false
		sim.schedule(length/10, func() { sim.startDaemon(h) })
	case 1: // the host is suspended
		if sim.now >= h.pausedUntil {
			h.pausedUntil = sim.now + length
			h.suspendedFor += length
		}
	case 2:
		if sim.random.IntN(3) == 0 {
			sim.storeDownUntil = sim.now + length
		}
	case 3: // the store removes the presence while the lease continues, and may reject the host's calls a little later
		sim.store.RemoveLeased(sim.layout.Presence(h.id))
		if sim.random.IntN(2) == 0 {
			sim.schedule(150*time.Millisecond+length/5, func() { sim.partition(h, length) })
		}
	case 4: // the store rejects the host's calls, and may remove its presence at once
		h.partitionedUntil = sim.now + length
		if sim.random.IntN(2) == 0 {
			sim.store.RemoveLeased(sim.layout.Presence(h.id))
		}
	case 5: // the backend server restarts, and the daemon notices the end of the process
		h.server.isUp = false
		daemonRun := h.daemonRun
		sim.runOnDaemon(h, daemonRun, func() {
			sim.applyEffects(h, h.machine.SetServerState(sim.bootTime(h), ownership.ServerEnded))
		})
		sim.schedule(length/4, func() { sim.startServer(h) })
	case 6: // the backend server restarts, and the daemon learns it from the first heartbeat
		sim.startServer(h)
	case 7: // the backend server drains or is silent for a while
		state := ownership.ServerDraining + ownership.ServerState(sim.random.IntN(2))
		sim.runOnDaemon(h, h.daemonRun, func() { sim.applyEffects(h, h.machine.SetServerState(sim.bootTime(h), state)) })
	case 10: // the backend server shuts down: it stops listening, finishes its requests and exits, and another starts
		sim.closeServer(h, length)
	case 8: // busy keys appear
		loads := map[class.Key]float64{}
		for range 20 {
			loads[class.Key(sim.random.IntN(1000))] = 0.3
		}
		h.machine.SetLoads(loads)
		h.machine.SetShape(loads, 0.01)
	case 9: // the store is away for a moment and restored from a copy
		if sim.random.IntN(2) == 0 {
			sim.storeDownUntil = max(sim.storeDownUntil, sim.now+length/5)
			sim.schedule(length/5, func() {
				if !sim.faultsOff {
					sim.restoreStore()
				}
			})
		}
	}
}
