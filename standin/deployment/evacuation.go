package deployment

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// EvacuationTime is the time after which the servers of an evacuated domain may receive no requests. It is
// of the daemon's settings.
const EvacuationTime = 5 * time.Second

// SetEvacuated writes the key that evacuates a failure domain, or deletes it.
func (d *Deployment) SetEvacuated(domain ownership.FailureDomain, isEvacuated bool) error {
	if !isEvacuated {
		// The domain may get requests from when the deletion is sent.
		d.Checker.setEvacuated(domain, time.Time{})
	}
	if err := d.writeEvacuation(domain, isEvacuated); err != nil {
		return err
	}
	if isEvacuated {
		d.Checker.setEvacuated(domain, time.Now())
	}
	return nil
}

func (d *Deployment) writeEvacuation(domain ownership.FailureDomain, isEvacuated bool) error {
	key := platform.EvacuationPrefix + string(domain)
	txn := store.Txn{Removes: []string{key}}
	if isEvacuated {
		txn = store.Txn{Puts: []store.Put{{Key: key, Value: []byte("{}")}}}
	}
	_, err := d.memory.Commit(context.Background(), txn)
	return err
}

// rewriteEvacuations writes the evacuations again that are in force.
func (d *Deployment) rewriteEvacuations() error {
	for _, group := range d.plan.Groups {
		if err := d.writeEvacuation(group.FailureDomain, d.Checker.isEvacuated(group.FailureDomain)); err != nil {
			return err
		}
	}
	return nil
}

// setEvacuated records since when a domain is evacuated, or that it is not.
func (c *InvariantChecker) setEvacuated(domain ownership.FailureDomain, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if since.IsZero() || c.evacuatedAt[domain].IsZero() {
		c.evacuatedAt[domain] = since
	}
}

func (c *InvariantChecker) isEvacuated(domain ownership.FailureDomain) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.evacuatedAt[domain].IsZero()
}

// EvacuatedArrival is the arrival of a request at a server too long after its failure domain was evacuated.
type EvacuatedArrival struct {
	Request string
	// Host is the host of the server.
	Host ownership.HostID
	// EvacuatedAt is when the store acknowledged the evacuation.
	EvacuatedAt time.Time
	At          time.Time
}

func (a EvacuatedArrival) String() string {
	return fmt.Sprintf("request %s reached host %s %s after its failure domain was evacuated",
		a.Request, a.Host, a.At.Sub(a.EvacuatedAt))
}

// recordArrival records a request that reached a server too long after its failure domain was evacuated.
func (c *InvariantChecker) recordArrival(id string, host ownership.HostID, domain ownership.FailureDomain) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, now := c.evacuatedAt[domain], time.Now()
	if !since.IsZero() && now.Sub(since) > EvacuationTime && len(c.evacuatedArrivals) < maxViolations {
		c.evacuatedArrivals = append(c.evacuatedArrivals,
			EvacuatedArrival{Request: id, Host: host, EvacuatedAt: since, At: now})
	}
}

// EvacuatedArrivals returns the requests that reached servers of evacuated failure domains too late.
func (c *InvariantChecker) EvacuatedArrivals() []EvacuatedArrival {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.evacuatedArrivals)
}
