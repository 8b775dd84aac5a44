package caller

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// budgetShare is the fraction of the retry budget that all daemons together may use. The rest is a margin for calls
// that are counted in a different window than their retries.
const budgetShare = 0.6

const (
	// failureWeight is the weight of one response in the moving average of a service's failure rate.
	failureWeight = 0.02
	// maxFailureRate is the failure rate above which failed responses are not retried. If a whole service fails, for
	// instance because a service that it calls fails, retries only add load.
	maxFailureRate = 0.15
)

// BudgetLimits configures the retry budget of each service, summed over all daemons.
type BudgetLimits struct {
	// Ratio is the number of retries that each call adds to the budget.
	Ratio float64
	// Slack is the number of retries allowed in each window in addition to Ratio.
	Slack  float64
	Window time.Duration
	// Daemons is the number of daemons that share the slack.
	Daemons int
}

// Budget is a token bucket for each service that limits the attempts after the first attempt of a call. It is safe for
// concurrent use.
type Budget struct {
	clock clockwork.Clock

	mu       sync.Mutex
	limits   BudgetLimits
	services map[class.Service]*serviceBudget
}

// serviceBudget is the token bucket of one service.
type serviceBudget struct {
	tokens     float64
	refilledAt time.Time
	// failureRate is a moving average: the fraction of the service's recent responses that were failures.
	failureRate float64
}

// NewBudget returns a budget with the given limits. Each service starts with half of its maximum tokens.
func NewBudget(limits BudgetLimits, clock clockwork.Clock) *Budget {
	return &Budget{clock: clock, limits: limits, services: map[class.Service]*serviceBudget{}}
}

// SetDaemons sets the number of daemons that share the slack. It is at least one.
func (b *Budget) SetDaemons(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.Daemons = max(1, count)
}

// RecordCall adds the retries that a new call allows.
func (b *Budget) RecordCall(service class.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.refill(service)
	s.tokens = min(b.maxTokens(), s.tokens+budgetShare*b.limits.Ratio)
}

// RecordResponse updates the failure rate of a service with one response.
func (b *Budget) RecordResponse(service class.Service, isFailure bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.refill(service)
	s.failureRate *= 1 - failureWeight
	if isFailure {
		s.failureRate += failureWeight
	}
}

// IsFailing reports whether a service's failure rate is above the limit for retries.
func (b *Budget) IsFailing(service class.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refill(service).failureRate > maxFailureRate
}

// Spend takes one token and reports whether there was one, which permits one retry.
func (b *Budget) Spend(service class.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.refill(service)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// maxTokens returns the size of a service's bucket: this daemon's share of the slack, but at least one retry.
func (b *Budget) maxTokens() float64 {
	return max(1, budgetShare*b.limits.Slack/float64(max(1, b.limits.Daemons)))
}

// refill adds the tokens for the time since the last refill and returns the service's bucket. It creates the bucket if
// there is none. The caller holds b.mu.
func (b *Budget) refill(service class.Service) *serviceBudget {
	level := b.level(service)
	s := b.services[service]
	if s == nil {
		s = &serviceBudget{}
		b.services[service] = s
	}
	*s = level
	return s
}

// level returns the bucket of a service with the tokens up to now, without storing it. The caller holds b.mu.
func (b *Budget) level(service class.Service) serviceBudget {
	now := b.clock.Now()
	known := b.services[service]
	if known == nil {
		return serviceBudget{tokens: b.maxTokens() / 2, refilledAt: now}
	}
	s := *known
	// Only half of the slack is refilled per window, because a window can start with the other half unspent.
	s.tokens = min(b.maxTokens(), s.tokens+b.maxTokens()/2*now.Sub(s.refilledAt).Seconds()/b.limits.Window.Seconds())
	s.refilledAt = now
	return s
}

// Left returns the retries that a service has left, and whether its failed responses are not retried.
func (b *Budget) Left(service class.Service) (tokens float64, isFailing bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.level(service)
	return s.tokens, s.failureRate > maxFailureRate
}
