package deployment

import (
	"context"
	"time"

	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// evacuationTime is the time after which the servers of an evacuated domain may receive no requests. It equals the default
// of the daemon's settings.
const evacuationTime = 5 * time.Second

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
	c.evacuatedAt[domain] = since
}

func (c *InvariantChecker) isEvacuated(domain ownership.FailureDomain) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.evacuatedAt[domain].IsZero()
}

// checkEvacuation reports a violation if a request reached a server too long after its failure domain was evacuated.
func (c *InvariantChecker) checkEvacuation(id string, host ownership.HostID, domain ownership.FailureDomain) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.evacuatedAt[domain]
	if age := time.Since(since); !since.IsZero() && age > evacuationTime {
		c.addViolation("request %s reached %s %s after its failure domain was evacuated", id, host, age)
	}
}
