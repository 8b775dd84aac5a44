package daemon

import (
	"context"
	"errors"

	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// readRecord reads the record of this host's service.
func (c *control) readRecord() {
	epoch := c.epoch
	c.async(func(ctx context.Context) func(ownership.Instant) {
		item, err := c.store.Get(ctx, c.layout.Record(c.service))
		record, err := decodeRecord(item, err)
		if err != nil {
			c.log.Warn("record not read", "error", err)
		}
		return func(now ownership.Instant) {
			c.ownership(now, c.machine.ReadDone(now, epoch, record, item.Revision, err == nil))
		}
	})
}

func decodeRecord(item store.Item, err error) (*ownership.Record, error) {
	if err != nil || item.Revision == 0 {
		return nil, err
	}
	return ownership.Decode(item.Value)
}

// writeRecord writes a change of the record.
func (c *control) writeRecord(w ownership.WriteRecord) {
	c.async(func(ctx context.Context) func(ownership.Instant) {
		revision, err := c.store.Commit(ctx, w.Txn)
		result := c.fateOf(w.Txn, revision, err)
		result.Token = w.Token
		return func(now ownership.Instant) { c.ownership(now, c.machine.WriteDone(now, result)) }
	})
}

// fateOf tells what became of a write.
func (c *control) fateOf(txn store.Txn, revision store.Revision, err error) ownership.WriteResult {
	if err == nil {
		return ownership.WriteResult{Fate: ownership.WriteLanded, Revision: revision}
	}
	var conflict *store.ConflictError
	var rejected *store.RejectedError
	switch {
	case errors.As(err, &conflict):
		return c.conflictOf(txn, conflict)
	case errors.As(err, &rejected):
		c.log.Warn("record not written", "error", err)
		return ownership.WriteResult{Fate: ownership.WriteRejected}
	default:
		c.log.Warn("record not known to be written", "error", err)
		return ownership.WriteResult{Fate: ownership.WriteLost}
	}
}

func (c *control) conflictOf(txn store.Txn, conflict *store.ConflictError) ownership.WriteResult {
	result := ownership.WriteResult{Fate: ownership.WriteConflict}
	for _, item := range conflict.Current {
		for _, condition := range txn.Conditions {
			if condition.Key == item.Key && condition.Revision != item.Revision {
				result.Changed = append(result.Changed, item.Key)
			}
		}
		if item.Key != c.layout.Record(c.service) {
			continue
		}
		record, err := decodeRecord(item, nil)
		if err != nil {
			c.log.Warn("record of another writer cannot be read", "revision", item.Revision, "error", err)
			continue
		}
		result.Record, result.RecordRevision = record, item.Revision
	}
	return result
}

// endLease makes sure that a lost host can no longer act under its present epoch: it finds the epoch, ends the lease
// that the epoch names, and looks that the presence is gone.
func (c *control) endLease(host ownership.HostID) {
	c.async(func(ctx context.Context) func(ownership.Instant) {
		revision, err := c.endLeaseNow(ctx, host)
		if err != nil {
			c.log.Warn("lease of a lost host not ended", "lost", host, "error", err)
		}
		return func(now ownership.Instant) {
			c.ownership(now, c.machine.LeaseEnded(now, host, revision, err == nil))
		}
	})
}

// presentError says that a host that was believed lost is registered.
type presentError struct{ host ownership.HostID }

func (e *presentError) Error() string { return "host " + string(e.host) + " is present" }

func (c *control) endLeaseNow(ctx context.Context, host ownership.HostID) (store.Revision, error) {
	// The epoch is read first: a host that registers meanwhile raises it, and the take-over's write fails.
	item, err := c.store.Get(ctx, c.layout.Epoch(host))
	if err != nil {
		return 0, err
	}
	presence, err := c.store.Get(ctx, c.layout.Presence(host))
	if err != nil {
		return 0, err
	}
	if presence.Revision != 0 {
		return 0, &presentError{host: host}
	}
	if item.Revision == 0 {
		return 0, nil // never registered
	}
	_, lease, err := membership.DecodeEpoch(item.Value)
	if err != nil {
		return 0, err
	}
	return item.Revision, c.store.Revoke(ctx, lease)
}
