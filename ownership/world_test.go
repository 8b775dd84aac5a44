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

// flaw is a wrong variant of the rules. Each is made at the edge of the machine, so that the machine has no switches.
type flaw int

const (
	none flaw = iota
	noWait
	leaseNotEnded
	noLostEpoch
	noFreshRead
	noOwnEpoch
	authorityFromAnswer
	restartGivesAtOnce
	undecidedForgotten
	steadyClock
	holdBeyondAuthority
	fenceNotRaised
	flaws
)

var flawNames = [flaws]string{
	"none", "no wait", "lease not ended", "lost epoch not in the condition", "registered without reading",
	"own epoch not in the condition", "authority from the answer", "restarted daemon gives at once",
	"undecided write forgotten", "steady clock", "hold beyond authority", "fence not raised",
}

// Times of the world, a tenth of the real ones.
const (
	beatInterval = 100 * time.Millisecond
	worldTick    = 10 * time.Millisecond
	worldLength  = 12 * time.Second
	hostCount    = 3
	clockSkew    = 0.02
	// noticeTicks is how many ticks pass on average until a host hears that the store has lost its presence.
	noticeTicks = 60
)

func worldTiming() ownership.Timing {
	return ownership.Timing{
		Authority:     800 * time.Millisecond,
		Hold:          300 * time.Millisecond,
		Settle:        70 * time.Millisecond,
		AbsenceGrace:  220 * time.Millisecond,
		Stagger:       60 * time.Millisecond,
		LevelInterval: 40 * time.Millisecond,
		MoveTime:      600 * time.Millisecond,
		Retry:         6 * time.Millisecond,
	}
}

// happening is something at a moment of virtual time.
type happening struct {
	at    time.Duration
	order int
	do    func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	if a[i].at == a[j].at {
		return a[i].order < a[j].order
	}
	return a[i].at < a[j].at
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }

func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// grip is what a server holds of a key.
type grip struct {
	until time.Duration
	fence ownership.Fence
	// isOver marks keys that were released and are still worked on.
	isOver bool
}

// worldServer is a backend server that obeys its orders.
type worldServer struct {
	instance ownership.Instance
	isUp     bool
	sequence uint64
	holds    keyspace.Map[grip]
	seen     keyspace.Map[ownership.Fence]
	released []ownership.Release
	rate     float64
}

// worldHost is one host with its daemon.
type worldHost struct {
	id       ownership.HostID
	isUp     bool
	life     int
	wakeAt   time.Duration
	skipped  time.Duration
	cutUntil time.Duration
	rate     float64

	machine   *ownership.Machine
	registrar *membership.Registrar
	epoch     ownership.Epoch
	server    worldServer
}

// world is three hosts, a store and everything that can go wrong between them.
type world struct {
	random *rand.Rand
	flaw   flaw
	now    time.Duration
	clock  *clockwork.FakeClock
	store  *store.Memory
	layout ownership.Layout
	hosts  [hostCount]*worldHost
	agenda agenda
	order  int

	storeDownUntil time.Duration
	lives          int64
	// lastHolder and lastFence are who held each key last, and under which fence.
	lastHolder keyspace.Map[ownership.Instance]
	lastFence  keyspace.Map[ownership.Fence]
	failure    string
	takeovers  int
	moves      int
	faultsOff  bool
	isTraced   bool
	trace      []string
	watched    class.Key
}

func newWorld(seed uint64, f flaw) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 11)),
		flaw:   f,
		clock:  clockwork.NewFakeClock(),
		layout: ownership.Layout{Prefix: "w/"},
	}
	w.store = store.NewMemory(w.clock)
	if w.random.IntN(8) > 0 {
		w.deal() // else the hosts have to do it
	}
	for i := range w.hosts {
		h := &worldHost{id: ownership.HostID(fmt.Sprintf("h%d", i)), rate: w.skew()}
		h.server.rate = w.skew()
		w.hosts[i] = h
		w.startServer(h)
		w.startDaemon(h)
		w.every(h, worldTick, func() { w.tick(h) })
		w.beatLoop(h)
	}
	w.faultLoop()
	return w
}

// deal writes a first record of few ranges, which keeps walks short.
func (w *world) deal() {
	record := &ownership.Record{Service: "s", Generation: 1}
	for i := range hostCount {
		record.Members = append(record.Members, ownership.Member{Host: ownership.HostID(fmt.Sprintf("h%d", i))})
	}
	for i := range 2 * hostCount {
		from := class.Key(i * 1000)
		record.Keys.Set(keyspace.Span{From: from, To: class.KeyCount - 1}, ownership.Assignment{Owner: i % hostCount, Fence: 1})
	}
	data, err := record.Encode()
	if err != nil {
		panic(err)
	}
	put := store.Txn{Puts: []store.Put{{Key: w.layout.Record("s"), Value: data}}}
	if _, err := w.store.Commit(context.Background(), put); err != nil {
		panic(err)
	}
}

func (w *world) skew() float64 { return 1 - clockSkew + 2*clockSkew*w.random.Float64() }

// run plays until the end or the first broken promise.
func (w *world) run() {
	for len(w.agenda) > 0 && w.failure == "" {
		next := heap.Pop(&w.agenda).(happening)
		if next.at > worldLength {
			return
		}
		if next.at > w.now {
			w.clock.Advance(next.at - w.now)
			w.now = next.at
		}
		next.do()
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.agenda, happening{at: w.now + d, order: w.order, do: do})
}

func (w *world) every(h *worldHost, d time.Duration, do func()) {
	w.after(d+time.Duration(w.random.Int64N(int64(d/2))), func() {
		if h.isUp && w.now >= h.wakeAt {
			do()
		}
		w.every(h, d, do)
	})
}

// instant is what a host's clock since boot shows.
func (w *world) instant(h *worldHost) ownership.Instant {
	elapsed := w.now
	if w.flaw == steadyClock {
		elapsed -= h.skipped
	}
	return ownership.Instant(time.Hour) + ownership.Instant(float64(elapsed)*h.rate)
}

func (w *world) startDaemon(h *worldHost) {
	h.life++
	h.isUp = true
	h.epoch = 0
	now := w.instant(h)
	if w.flaw == restartGivesAtOnce {
		now = now.Add(-time.Second)
	}
	h.machine = ownership.NewMachine(now, h.id, "s", w.layout, worldTiming(), w.random)
	presence := membership.Presence{Host: h.id, Service: "s"}
	h.registrar = membership.NewRegistrar(presence, w.layout, membership.Timing{
		LeaseTTL: 350 * time.Millisecond, RenewInterval: 100 * time.Millisecond, RetryDelay: 15 * time.Millisecond,
	})
}

func (w *world) startServer(h *worldHost) {
	w.lives++
	h.server = worldServer{
		instance: ownership.Instance{ID: fmt.Sprintf("i%d", w.random.IntN(2)), Born: w.lives},
		isUp:     true,
		rate:     h.server.rate,
	}
}

// call makes a call to the store: it may never arrive, arrive late, and its answer may be lost. The calls of one
// daemon that are lost are answered as lost, after a time-out.
func (w *world) call(h *worldHost, do func() error, done func(err error)) {
	life := h.life
	settled := false
	settle := func(err error) {
		w.onDaemon(h, life, func() {
			if !settled {
				settled = true
				done(err)
			}
		})
	}
	lost := &store.IndeterminateError{Call: "call", Cause: context.DeadlineExceeded}
	w.after(70*time.Millisecond, func() { settle(lost) })
	w.after(w.delay(), func() {
		if w.now < w.storeDownUntil || w.now < h.cutUntil {
			if w.random.IntN(2) == 0 {
				w.after(w.delay(), func() { settle(&store.RejectedError{Call: "call", Cause: "down"}) })
			}
			return
		}
		err := do()
		if w.random.IntN(12) == 0 && !w.faultsOff {
			return // the answer is lost
		}
		w.after(w.delay(), func() { settle(err) })
	})
}

func (w *world) delay() time.Duration {
	if w.faultsOff {
		return time.Millisecond
	}
	switch n := w.random.IntN(20); {
	case n == 0:
		return 10*time.Millisecond + time.Duration(w.random.Int64N(int64(400*time.Millisecond)))
	case n < 4:
		return time.Duration(w.random.Int64N(int64(60 * time.Millisecond)))
	default:
		return time.Duration(w.random.Int64N(int64(2 * time.Millisecond)))
	}
}

// onDaemon does something at a daemon, once it is awake, if it is still the same life of it.
func (w *world) onDaemon(h *worldHost, life int, do func()) {
	if !h.isUp || h.life != life {
		return
	}
	if w.now < h.wakeAt {
		w.after(h.wakeAt-w.now, func() { w.onDaemon(h, life, do) })
		return
	}
	do()
}

func (w *world) tick(h *worldHost) {
	now := w.instant(h)
	w.registration(h, h.registrar.Tick(now))
	w.effects(h, h.machine.SetPeers(now, w.peers()))
	w.effects(h, h.machine.Tick(now))
	// News of the record spreads late, or not at all.
	other := w.hosts[w.random.IntN(hostCount)]
	if record, revision := other.machine.Known(); record != nil && w.random.IntN(3) > 0 {
		w.effects(h, h.machine.Learn(now, record, revision))
	}
	if item, err := w.store.Get(context.Background(), w.layout.Presence(h.id)); err == nil && item.Revision == 0 && w.random.IntN(noticeTicks) == 0 {
		w.registration(h, h.registrar.PresenceDeleted(now, 1<<62))
	}
}

// peers is what all hosts believe of each other: at times somebody who lives is missed.
func (w *world) peers() []ownership.Peer {
	var peers []ownership.Peer
	for _, h := range w.hosts {
		item, err := w.store.Get(context.Background(), w.layout.Presence(h.id))
		peers = append(peers, ownership.Peer{
			Host:       h.id,
			IsPresent:  err == nil && item.Revision != 0 && (w.faultsOff || w.random.IntN(50) > 0),
			IsEligible: h.server.isUp,
			Instance:   h.server.instance,
			Places:     4,
			Load:       4 * w.random.Float64(),
		})
	}
	return peers
}

// note keeps a line about what happened, for walks that are looked at.
func (w *world) note(format string, values ...any) {
	if w.isTraced {
		w.trace = append(w.trace, fmt.Sprintf("%12s ", w.now)+fmt.Sprintf(format, values...))
	}
}

func (w *world) fail(format string, values ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("at %s: ", w.now) + fmt.Sprintf(format, values...)
	}
}

func (w *world) faultLoop() {
	w.after(time.Duration(w.random.Int64N(int64(500*time.Millisecond))), func() {
		if !w.faultsOff {
			w.fault(w.hosts[w.random.IntN(hostCount)])
		}
		w.faultLoop()
	})
}

func (w *world) fault(h *worldHost) {
	length := time.Duration(w.random.Int64N(int64(1500 * time.Millisecond)))
	kind := w.random.IntN(9)
	w.note("%s fault %d for %s", h.id, kind, length)
	switch kind {
	case 0: // the daemon restarts beside a server that goes on
		h.isUp = false
		w.after(length/10, func() { w.startDaemon(h) })
	case 1: // the host stands still
		if w.now >= h.wakeAt {
			h.wakeAt = w.now + length
			h.skipped += length
		}
	case 2:
		if w.random.IntN(3) == 0 {
			w.storeDownUntil = w.now + length
		}
	case 3: // the store takes keys away while leases go on, and may turn the host away a little later
		w.store.RemoveLeased(w.layout.Presence(h.id))
		if w.random.IntN(2) == 0 {
			w.after(150*time.Millisecond+length/5, func() { h.cutUntil = w.now + length })
		}
	case 4: // the store turns the host away, and may take its keys away at once
		h.cutUntil = w.now + length
		if w.random.IntN(2) == 0 {
			w.store.RemoveLeased(w.layout.Presence(h.id))
		}
	case 5: // the server starts anew, and the daemon finds out
		h.server.isUp = false
		life := h.life
		w.onDaemon(h, life, func() { w.effects(h, h.machine.SetServer(w.instant(h), ownership.ServerEnded)) })
		w.after(length/4, func() { w.startServer(h) })
	case 6: // the server starts anew, and its first heartbeat tells
		w.startServer(h)
	case 7: // the server leaves or falls silent for a while
		state := ownership.ServerDraining + ownership.ServerState(w.random.IntN(2))
		w.onDaemon(h, h.life, func() { w.effects(h, h.machine.SetServer(w.instant(h), state)) })
	case 8: // busy keys appear
		loads := map[class.Key]float64{}
		for range 20 {
			loads[class.Key(w.random.IntN(1000))] = 0.3
		}
		h.machine.SetLoads(loads)
	}
}
