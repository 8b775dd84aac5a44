package caller

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// budgetShare is the part of a retry budget that all daemons together may use. The rest covers calls that are counted
// in another window than their retries.
const budgetShare = 0.6

const (
	// failureWeight is the weight of one answer in a service's rate of failures.
	failureWeight = 0.02
	// failureLimit is the rate from which on failed answers are no longer retried: a service that fails as a whole, for
	// instance because one that it calls does, is not helped by running its work twice.
	failureLimit = 0.15
)

// BudgetLimits are the figures of the retry budget of one service, over all daemons.
type BudgetLimits struct {
	// Ratio is how many retries each call allows.
	Ratio float64
	// Slack is how many retries are allowed on top in each window.
	Slack  float64
	Window time.Duration
	// Daemons share the slack.
	Daemons int
}

// Budget bounds the sendings beyond the first of each call, service by service. It is safe for concurrent use.
type Budget struct {
	clock clockwork.Clock

	mu     sync.Mutex
	limits BudgetLimits
	saved  map[class.Service]*savings
}

// savings is what one service may still spend.
type savings struct {
	tokens float64
	at     time.Time
	// failureRate is the part of the service's answers that were failures, lately.
	failureRate float64
}

// NewBudget returns a full budget.
func NewBudget(limits BudgetLimits, clock clockwork.Clock) *Budget {
	return &Budget{clock: clock, limits: limits, saved: map[class.Service]*savings{}}
}

// SetDaemons tells how many daemons share the budget.
func (b *Budget) SetDaemons(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.Daemons = max(1, count)
}

// Earn takes note of a new call.
func (b *Budget) Earn(service class.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.refilled(service)
	s.tokens = min(b.most(), s.tokens+budgetShare*b.limits.Ratio)
}

// Answered takes note of an answer of the service.
func (b *Budget) Answered(service class.Service, isFailure bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.refilled(service)
	s.failureRate *= 1 - failureWeight
	if isFailure {
		s.failureRate += failureWeight
	}
}

// IsFailing tells whether the service fails as a whole.
func (b *Budget) IsFailing(service class.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refilled(service).failureRate > failureLimit
}

// Spend takes the right to send a call once more, if there is any left.
func (b *Budget) Spend(service class.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.refilled(service)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// most bounds what may be saved up: a daemon's part of the slack, and at least one retry.
func (b *Budget) most() float64 {
	return max(1, budgetShare*b.limits.Slack/float64(max(1, b.limits.Daemons)))
}

func (b *Budget) refilled(service class.Service) *savings {
	now := b.clock.Now()
	s := b.saved[service]
	if s == nil {
		s = &savings{tokens: b.most() / 2, at: now}
		b.saved[service] = s
		return s
	}
	// Half of the slack comes back over a window; the other half is the savings that a window may begin with.
	s.tokens = min(b.most(), s.tokens+b.most()/2*now.Sub(s.at).Seconds()/b.limits.Window.Seconds())
	s.at = now
	return s
}
