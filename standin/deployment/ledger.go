package deployment

import (
	"fmt"
	"sync"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// Ledger sees what all stand-in servers hold and run, and keeps each broken promise.
type Ledger struct {
	mu     sync.Mutex
	held   map[ownership.Instance]*keyspace.Map[grip]
	fences keyspace.Map[lastGrant]
	runs   map[string]int
	broken []string
}

// lastGrant is who got a key last, and under which fence.
type lastGrant struct {
	instance ownership.Instance
	fence    ownership.Fence
}

func newLedger() *Ledger {
	return &Ledger{held: map[ownership.Instance]*keyspace.Map[grip]{}, runs: map[string]int{}}
}

// granted checks that nobody else holds the keys, and that the fence is above those of others. The lock is held by the
// caller, for all rows of one answer.
func (l *Ledger) granted(to ownership.Instance, g ownership.Grant, until, now time.Time) {
	for other, holds := range l.held {
		if other == to {
			continue
		}
		for span, h := range holds.Within(g.Span) {
			if h.until.After(now) {
				l.fail("%s and %s hold %d to %d", to, other, span.From, span.To)
			}
		}
	}
	for span, last := range l.fences.Within(g.Span) {
		isOther := last.instance != to && last.instance != (ownership.Instance{})
		if isOther && last.fence >= g.Fence {
			l.fail("%s got %d to %d under fence %d, not above %d of %s", to, span.From, span.To, g.Fence, last.fence, last.instance)
		}
	}
	l.fences.Set(g.Span, lastGrant{instance: to, fence: g.Fence})
	if l.held[to] == nil {
		l.held[to] = &keyspace.Map[grip]{}
	}
	l.held[to].Set(g.Span, grip{until: until, fence: g.Fence})
}

// released takes note of keys that a server gave up. The lock is held by the caller.
func (l *Ledger) released(by ownership.Instance, span keyspace.Span) {
	if l.held[by] != nil {
		l.held[by].Set(span, grip{})
	}
}

// ended takes note of a server that is gone, with all that it held.
func (l *Ledger) ended(instance ownership.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.held, instance)
}

// ran counts a run of a request.
func (l *Ledger) ran(id string, _ class.Service, origin string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	if origin == "" {
		l.fail("request %s has no origin", id)
	}
}

func (l *Ledger) runsOf(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// ReportViolation keeps a broken promise that was seen elsewhere.
func (l *Ledger) ReportViolation(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fail(format, values...)
}

// maxBroken bounds the broken promises that are kept.
const maxBroken = 20

func (l *Ledger) fail(format string, values ...any) {
	if len(l.broken) < maxBroken {
		l.broken = append(l.broken, fmt.Sprintf(format, values...))
	}
}

// Violations returns the promises that were broken.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.broken...)
}
