package dependency

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// nestedMemory is how long a class that this host's server calls counts as nested after a daemon beside a server has
// last stated it. After that, one response without the statement ends it; without any response it stays known.
const nestedMemory = 10 * time.Second

// Observer gets the decisions of a tracker, for logs and metrics. Its functions must not block.
type Observer struct {
	// NestedChanged is called when a class of this host's service starts or ceases to count as nested.
	NestedChanged func(name class.Name, origin class.Service, isNested bool)
	// RejectionChanged is called when runs start or cease to be rejected because of the calls of a nested class.
	RejectionChanged func(Rejection)
	// RunRejected is called for each rejected run.
	RunRejected func(name class.Name)
}

// Rejection describes why runs are rejected, or were rejected until now.
type Rejection struct {
	// Nested is the class whose calls fail, and Runs are the classes that make them.
	Nested class.Name   `json:"nested"`
	Runs   []class.Name `json:"runs"`
	// IsRejecting is false if the rejection has ended.
	IsRejecting bool    `json:"rejecting"`
	FailedShare float64 `json:"failed_share"`
	CallsPerRun float64 `json:"calls_per_run"`
	// Admitted is the share of runs that is admitted.
	Admitted float64 `json:"admitted_share"`
	// Rejected is the number of runs rejected so far.
	Rejected int `json:"rejected"`
}

// Tracker follows the nested calls that arrive at one host and those that its backend server makes. Without a load-aware
// configuration it observes and decides nothing. It is safe for concurrent use.
type Tracker struct {
	clock    clockwork.Clock
	service  class.Service
	observer Observer
	random   *rand.Rand

	mu          sync.Mutex
	isLoadAware bool
	origins     *Origins
	// arriving contains the classes of this host's service that count as nested.
	arriving map[class.Name]bool
	parents  *Parents
	// made contains the nested classes that this host's server calls.
	made map[class.Name]*madeClass
}

// madeClass is a nested class that this host's server calls.
type madeClass struct {
	statedAt time.Time
	gate     *Gate
	// runs are the classes that make the calls, and callsPerRun how many of them a run makes.
	runs        []class.Name
	callsPerRun float64
}

// NewTracker returns a tracker without knowledge for a host whose backend server is of the given service.
func NewTracker(service class.Service, observer Observer, clock clockwork.Clock, seed uint64) *Tracker {
	t := &Tracker{clock: clock, service: service, observer: observer, random: rand.New(rand.NewPCG(seed, 7))}
	t.reset()
	return t
}

// SetLoadAware sets whether the configuration is load-aware. What is known is forgotten when that changes.
func (t *Tracker) SetLoadAware(isLoadAware bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isLoadAware == isLoadAware {
		return
	}
	t.isLoadAware = isLoadAware
	t.reset()
}

func (t *Tracker) reset() {
	t.origins, t.arriving = NewOrigins(t.service), map[class.Name]bool{}
	t.parents, t.made = NewParents(), map[class.Name]*madeClass{}
}

// Arrival is what is known of the class of a call that arrives at this host's backend server.
type Arrival struct {
	// IsNested reports whether the class counts as nested, and IsChanged whether it did not before, or the reverse.
	IsNested  bool
	IsChanged bool
	// IsInferred reports whether this host has inferred it itself. Only that is stated to other hosts. Otherwise they
	// would confirm each other what has ceased to be true.
	IsInferred bool
}

// CallArrived records a call that arrives at this host's backend server. The call is declared as nested if the daemon at
// which it entered says so.
func (t *Tracker) CallArrived(name class.Name, origin class.Service, isDeclared bool) Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isLoadAware {
		return Arrival{}
	}
	isInferred, isNested := t.origins.Observe(t.clock.Now(), name, origin, isDeclared)
	a := Arrival{IsNested: isNested, IsInferred: isInferred, IsChanged: t.arriving[name] != isNested}
	if a.IsChanged {
		t.arriving[name] = isNested
		t.observer.NestedChanged(name, origin, isNested)
	}
	return a
}

// RunBegan records that a call begins to run on this host's backend server.
func (t *Tracker) RunBegan(name class.Name) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.parents.RunBegan(t.clock.Now(), name)
}

// RunEnded records that a call no longer runs on this host's backend server.
func (t *Tracker) RunEnded(name class.Name) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.parents.RunEnded(name)
}

// CallEntered records a call that enters at this host, and reports whether it is a nested call of this host's server.
func (t *Tracker) CallEntered(name class.Name) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.made[name]
	if m == nil {
		return false
	}
	now := t.clock.Now()
	t.parents.NestedEntered(now, name)
	m.runs = t.parents.Of(now, name)
	m.callsPerRun = t.parents.CallsPerRun(now, name, m.runs)
	return len(m.runs) > 0
}

// CallEnded records the end of a call that entered at this host. hasAnswer reports whether a daemon beside a server has
// taken part in the result, and isStated whether that daemon stated that the class is nested.
func (t *Tracker) CallEnded(name class.Name, hasAnswer, isStated bool, outcome Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isLoadAware {
		return
	}
	now := t.clock.Now()
	m := t.made[name]
	switch {
	case isStated && m == nil:
		m = &madeClass{gate: NewGate(t.random)}
		t.made[name] = m
	case m == nil:
		return
	case hasAnswer && !isStated && now.Sub(m.statedAt) > nestedMemory:
		delete(t.made, name)
		t.reportChange(now, name, m, m.gate.IsClosed(), false)
		return
	}
	if isStated {
		m.statedAt = now
	}
	wasClosed := m.gate.IsClosed()
	if len(m.runs) == 0 {
		m.gate = NewGate(t.random)
		t.reportChange(now, name, m, wasClosed, false)
		return
	}
	m.gate.Observe(now, outcome, m.callsPerRun)
	t.reportChange(now, name, m, wasClosed, m.gate.IsClosed())
}

func (t *Tracker) reportChange(now time.Time, name class.Name, m *madeClass, wasClosed, isClosed bool) {
	if wasClosed != isClosed {
		r := m.rejection(now, name)
		r.IsRejecting = isClosed
		t.observer.RejectionChanged(r)
	}
}

func (m *madeClass) rejection(now time.Time, name class.Name) Rejection {
	return Rejection{
		Nested: name, Runs: m.runs, IsRejecting: m.gate.IsClosed(), FailedShare: m.gate.FailedShare(now),
		CallsPerRun: m.callsPerRun, Admitted: m.gate.Admitted(), Rejected: m.gate.Rejected,
	}
}

// AdmitRun decides whether a call may run on this host's backend server. It returns zero if it may, and otherwise the time
// after which its nested calls are expected to find capacity.
func (t *Tracker) AdmitRun(name class.Name) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for nested, m := range t.made {
		if !slices.Contains(m.runs, name) {
			continue
		}
		wasClosed := m.gate.IsClosed()
		retryAfter := m.gate.Admit(now)
		t.reportChange(now, nested, m, wasClosed, m.gate.IsClosed())
		if retryAfter > 0 {
			t.observer.RunRejected(name)
			return retryAfter
		}
	}
	return 0
}

// Rejections returns the rejections in force.
func (t *Tracker) Rejections() []Rejection {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rejections []Rejection
	for name, m := range t.made {
		if m.gate.IsClosed() {
			rejections = append(rejections, m.rejection(t.clock.Now(), name))
		}
	}
	return rejections
}
