package caller

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

const (
	// throttleMemory is the time in which counts fall to 1/e.
	throttleMemory = 2 * time.Second
	// throttleFactor is how many calls are sent for each one accepted. What is above 1 are the probes by which an
	// entry learns that there is room again.
	throttleFactor = 1.5
	// throttleSlack lets a few calls through before anything is refused.
	throttleSlack = 10
	// budgetShare is how many retries each success allows.
	budgetShare = 0.1
	// budgetMost is how many retries may be saved up.
	budgetMost = 20
)

// flow names the calls of one class to one daemon.
type flow struct {
	to    ownership.Ref
	class class.Name
}

// counts is how many calls of a flow were made and accepted lately.
type counts struct {
	calls    float64
	accepted float64
	at       time.Time
}

// throttle refuses the calls of a flow in proportion to what the owner refuses, so that refusals cost no hop.
type throttle struct {
	clock clockwork.Clock

	mu     sync.Mutex
	flows  map[flow]*counts
	random *rand.Rand
}

func newThrottle(clock clockwork.Clock, random *rand.Rand) *throttle {
	return &throttle{clock: clock, flows: map[flow]*counts{}, random: random}
}

// allow tells whether a call should be sent. Every call counts, sent or not.
func (t *throttle) allow(f flow) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.decayed(f)
	c.calls++
	excess := c.calls - throttleFactor*c.accepted - throttleSlack
	if excess <= 0 {
		return true
	}
	return t.random.Float64() >= excess/(c.calls+1)
}

// ended takes in the outcome of a call that was sent.
func (t *throttle) ended(f flow, a call.Answer) {
	isRefused := a.Reason == call.Overload || a.Reason == call.Shed || a.Reason == call.Late && a.Outcome == class.NotRun
	if isRefused {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decayed(f).accepted++
}

func (t *throttle) decayed(f flow) *counts {
	now := t.clock.Now()
	c := t.flows[f]
	if c == nil {
		c = &counts{at: now}
		t.flows[f] = c
	}
	keep := math.Exp(-now.Sub(c.at).Seconds() / throttleMemory.Seconds())
	c.calls *= keep
	c.accepted *= keep
	c.at = now
	return c
}

// forget drops the flows to daemons that are in no cell any more.
func (t *throttle) forget(routes Routes) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f := range t.flows {
		if !routes.knows(f.to) {
			delete(t.flows, f)
		}
	}
}

// budget bounds the retries of work that may have reached a server to a share of the successes.
type budget struct {
	mu   sync.Mutex
	left float64
}

func newBudget() *budget { return &budget{left: budgetMost} }

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(budgetMost, b.left+budgetShare)
}

func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
