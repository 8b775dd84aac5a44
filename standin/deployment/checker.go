package deployment

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// InvariantChecker records which keys all stand-in servers hold and which requests they execute, and collects the
// violations of the product's invariants: a key has one holder at a time, the fences of a key rise from holder to
// holder, a request is not executed twice unless it is idempotent, and no request reaches an evacuated failure domain.
type InvariantChecker struct {
	mu         sync.Mutex
	holds      map[ownership.Instance]*keyspace.Map[keyHold]
	lastGrants keyspace.Map[lastGrant]
	executions map[string]int
	// departedAt is when callers left whose requests had not been answered, by request.
	departedAt map[string]time.Time
	// evacuatedAt is since when failure domains are evacuated, or zero if they are not.
	evacuatedAt       map[ownership.FailureDomain]time.Time
	evacuatedArrivals []EvacuatedArrival
	abandoned         []AbandonedExecution
	violations        []string
}

// lastGrant is the instance to which a key was granted last, and the fence of that grant.
type lastGrant struct {
	instance ownership.Instance
	fence    ownership.Fence
}

func newInvariantChecker() *InvariantChecker {
	return &InvariantChecker{
		holds:      map[ownership.Instance]*keyspace.Map[keyHold]{},
		executions: map[string]int{},
		departedAt: map[string]time.Time{},

		evacuatedAt: map[ownership.FailureDomain]time.Time{},
	}
}

// checkGrant records a grant and checks that no other instance holds its keys and that its fence is above the fences
// under which other instances were granted them last. The caller holds c.mu for all grants of one heartbeat response.
func (c *InvariantChecker) checkGrant(to ownership.Instance, g ownership.Grant, until, now time.Time) {
	for other, holds := range c.holds {
		if other == to {
			continue
		}
		for span, h := range holds.Within(g.Span) {
			if h.until.After(now) {
				c.addViolation("%s and %s hold %d to %d", to, other, span.From, span.To)
			}
		}
	}
	for span, last := range c.lastGrants.Within(g.Span) {
		isOther := last.instance != to && last.instance != (ownership.Instance{})
		if isOther && last.fence >= g.Fence {
			c.addViolation("%s got %d to %d under fence %d, not above %d of %s",
				to, span.From, span.To, g.Fence, last.fence, last.instance)
		}
	}
	c.lastGrants.Set(g.Span, lastGrant{instance: to, fence: g.Fence})
	if c.holds[to] == nil {
		c.holds[to] = &keyspace.Map[keyHold]{}
	}
	c.holds[to].Set(g.Span, keyHold{until: until, fence: g.Fence})
}

// recordRelease records that an instance released keys. The caller holds c.mu.
func (c *InvariantChecker) recordRelease(by ownership.Instance, span keyspace.Span) {
	if c.holds[by] != nil {
		c.holds[by].Set(span, keyHold{})
	}
}

// removeInstance records that an instance has ended, and with it all its holds.
func (c *InvariantChecker) removeInstance(instance ownership.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.holds, instance)
}

// AbandonedExecution is the start of an execution whose caller had left.
type AbandonedExecution struct {
	Request string
	// Host is the host of the server that executed the request.
	Host       ownership.HostID
	DepartedAt time.Time
	At         time.Time
}

// departureTolerance is how long after its caller left a request may still begin to run.
const departureTolerance = 500 * time.Millisecond

// recordDeparture records that the caller of a request has left.
func (c *InvariantChecker) recordDeparture(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.departedAt[id] = time.Now()
}

// AbandonedExecutions returns the executions that began more than departureTolerance after their callers had left.
func (c *InvariantChecker) AbandonedExecutions() []AbandonedExecution {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.abandoned)
}

// recordExecution counts an execution of a request by the server on a host, and checks that the request names its origin.
func (c *InvariantChecker) recordExecution(id string, host ownership.HostID, origin string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions[id]++
	now := time.Now()
	if departedAt, ok := c.departedAt[id]; ok && now.Sub(departedAt) > departureTolerance {
		c.abandoned = append(c.abandoned, AbandonedExecution{Request: id, Host: host, DepartedAt: departedAt, At: now})
	}
	if origin == "" {
		c.addViolation("request %s has no origin", id)
	}
}

// executionCount returns how many times a request was executed.
func (c *InvariantChecker) executionCount(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.executions[id]
}

// checkDrainTime reports a violation if a request reached an instance too long after the event from which its drain time
// counts.
func (c *InvariantChecker) checkDrainTime(id string, instance ownership.Instance, since time.Time, event string) {
	if late := time.Since(since); late > drainTime+drainTolerance {
		c.ReportViolation("request %s reached %s %s after %s", id, instance, late, event)
	}
}

// ReportViolation records a violation that was detected outside of the checker.
func (c *InvariantChecker) ReportViolation(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, values...)
}

// maxViolations is the number of violations that are recorded; later ones are discarded.
const maxViolations = 20

// addViolation records a violation. The caller holds c.mu.
func (c *InvariantChecker) addViolation(format string, values ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, values...))
	}
}

// Violations returns the recorded violations.
func (c *InvariantChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}
