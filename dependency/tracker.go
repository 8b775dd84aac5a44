package dependency

import (
	"sync"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// Observer gets the decisions of a tracker, for logs and metrics. Its functions must not block.
type Observer struct {
	// NestedChanged is called when a class of this host's service starts or ceases to count as nested.
	NestedChanged func(name class.Name, origin class.Service, isNested bool)
}

// Tracker follows the nested calls that arrive at one host. Without a load-aware configuration it observes and decides
// nothing. It is safe for concurrent use.
type Tracker struct {
	clock    clockwork.Clock
	service  class.Service
	observer Observer

	mu          sync.Mutex
	isLoadAware bool
	origins     *Origins
	// nested contains the classes of this host's service that count as nested.
	nested map[class.Name]bool
}

// NewTracker returns a tracker without knowledge for a host whose backend server is of the given service.
func NewTracker(service class.Service, observer Observer, clock clockwork.Clock) *Tracker {
	t := &Tracker{clock: clock, service: service, observer: observer}
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
	t.origins = NewOrigins(t.service)
	t.nested = map[class.Name]bool{}
}

// CallArrived records a call that arrives at this host's backend server, and reports whether its class is nested and
// whether that has changed.
func (t *Tracker) CallArrived(name class.Name, origin class.Service, isDeclared bool) (isNested, isChanged bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isLoadAware {
		return false, false
	}
	isNested = t.origins.Observe(t.clock.Now(), name, origin, isDeclared)
	if t.nested[name] == isNested {
		return isNested, false
	}
	t.nested[name] = isNested
	t.observer.NestedChanged(name, origin, isNested)
	return isNested, true
}
