package caller

import (
	"sync"

	"github.com/skylarkrelay/skylarkrelay/class"
)

const (
	// offersPerAcceptedCall is the number of further offers of rejected calls that each accepted call allows. When a
	// service rejects most calls, looking for a server with room costs the daemons more than it finds.
	offersPerAcceptedCall = 0.2
	// maxSavedOffers bounds the further offers that a service saves up while it rejects nothing.
	maxSavedOffers = 10
	// maxRejections is the number of servers that one call is offered to if their admission control rejects it. The least
	// loaded of the servers are asked first.
	maxRejections = 2
)

// offerBudget limits, for each service, how often rejected calls are offered to another server, in proportion to the calls
// that are accepted. It is safe for concurrent use.
type offerBudget struct {
	mu    sync.Mutex
	saved map[class.Service]float64
}

func newOfferBudget() *offerBudget { return &offerBudget{saved: map[class.Service]float64{}} }

// recordAccepted records a call that admission control did not reject.
func (b *offerBudget) recordAccepted(service class.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved[service] = min(maxSavedOffers, b.get(service)+offersPerAcceptedCall)
}

// spend takes one further offer and reports whether there was one.
func (b *offerBudget) spend(service class.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	saved := b.get(service)
	if saved < 1 {
		return false
	}
	b.saved[service] = saved - 1
	return true
}

// get returns the saved offers of a service. A service without calls has all of them.
func (b *offerBudget) get(service class.Service) float64 {
	if saved, ok := b.saved[service]; ok {
		return saved
	}
	return maxSavedOffers
}
