// Package dependency infers which calls backend servers make while they run other calls (nested calls), and decides
// whether the calls that make them should start.
//
// The package performs no I/O and reads no clock: its decisions depend only on the events and times passed to it.
package dependency

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

const (
	// minOriginCalls is the number of calls of a class, all from hosts of one other service, from which on the class may
	// count as nested.
	minOriginCalls = 60
	// originMemory is how long an origin is remembered after its last call. One call of a caller at another service's
	// host shows for this long that not only the servers of one service call the class.
	originMemory = time.Minute
	// declaredTime is how long a class counts as nested after a call that another daemon declared as nested.
	declaredTime = 5 * time.Second
)

// Origins infers which classes of a service are nested from the origins of the calls that arrive at one of its backend
// servers. Callers enter the mesh at hosts of all services, but the calls of servers enter at hosts of their own
// service. It is not safe for concurrent use.
type Origins struct {
	service class.Service
	classes map[class.Name]*originStats
}

// originStats is what is known of the origins of one class.
type originStats struct {
	// seen is the time of the last call from each origin within originMemory.
	seen map[class.Service]time.Time
	// calls is the number of calls since the class was last known to have several origins.
	calls int
	// declaredAt is the time of the last call that was declared as nested.
	declaredAt time.Time
}

// NewOrigins returns an inference without knowledge for a backend server of a service.
func NewOrigins(service class.Service) *Origins {
	return &Origins{service: service, classes: map[class.Name]*originStats{}}
}

// Observe records the arrival of a call. It reports whether the origins show that the class is nested, and whether it
// counts as nested, which it also does if the daemons at which its calls entered declare them as nested and the origins do
// not contradict.
func (o *Origins) Observe(
	now time.Time, name class.Name, origin class.Service, isDeclared bool,
) (isInferred, isNested bool) {
	s := o.classes[name]
	if s == nil {
		s = &originStats{seen: map[class.Service]time.Time{}}
		o.classes[name] = s
	}
	s.seen[origin] = now
	if isDeclared {
		s.declaredAt = now
	}
	s.forget(now)
	if len(s.seen) > 1 {
		s.calls = 0
	} else {
		s.calls++
	}
	if !s.hasOneOtherOrigin(o.service) {
		return false, false
	}
	isInferred = s.calls >= minOriginCalls && o.othersHaveSeveralOrigins(now, name)
	return isInferred, isInferred || !s.declaredAt.IsZero() && now.Sub(s.declaredAt) < declaredTime
}

// hasOneOtherOrigin reports whether all calls came from hosts of one service other than the given one.
func (s *originStats) hasOneOtherOrigin(own class.Service) bool {
	_, isOwn := s.seen[own]
	return len(s.seen) == 1 && !isOwn
}

// othersHaveSeveralOrigins reports whether the calls of another class come from hosts of several services. Otherwise all
// callers may be at hosts of one service.
func (o *Origins) othersHaveSeveralOrigins(now time.Time, name class.Name) bool {
	for other, s := range o.classes {
		if other == name {
			continue
		}
		s.forget(now)
		if len(s.seen) > 1 {
			return true
		}
	}
	return false
}

// forget removes the origins whose last call is older than originMemory.
func (s *originStats) forget(now time.Time) {
	for origin, at := range s.seen {
		if now.Sub(at) > originMemory {
			delete(s.seen, origin)
		}
	}
	if len(s.seen) == 0 {
		s.calls = 0
	}
}
