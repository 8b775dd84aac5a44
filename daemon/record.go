package daemon

import (
	"context"
	"errors"

	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// readRecordIfDue starts the read of the record that the ownership machine has requested, once it is known that the
// service has keys.
func (c *control) readRecordIfDue() {
	if c.isRecordReadDue && c.isKeyed() {
		c.isRecordReadDue = false
		c.readRecord()
	}
}

// readRecord reads the ownership record of this host's service from the store.
func (c *control) readRecord() {
	epoch := c.epoch
	c.async(func(ctx context.Context) func(ownership.Instant) {
		item, err := c.store.Get(ctx, c.layout.Record(c.service))
		record, err := decodeRecord(item, err)
		if err != nil {
			c.log.Warn("reading the ownership record failed", "error", err)
		}
		return func(now ownership.Instant) {
			c.runOwnershipEffects(now, c.machine.ReadDone(now, epoch, record, item.Revision, err == nil))
		}
	})
}

func decodeRecord(item store.Item, err error) (*ownership.Record, error) {
	if err != nil || item.Revision == 0 {
		return nil, err
	}
	return ownership.Decode(item.Value)
}

// writeRecord commits a change of the ownership record to the store.
func (c *control) writeRecord(write ownership.WriteRecord) {
	c.async(func(ctx context.Context) func(ownership.Instant) {
		revision, err := c.store.Commit(ctx, write.Txn)
		result := c.writeResult(write.Txn, revision, err)
		result.Token = write.Token
		return func(now ownership.Instant) { c.runOwnershipEffects(now, c.machine.WriteDone(now, result)) }
	})
}

// writeResult returns the result of a commit for the ownership machine.
func (c *control) writeResult(txn store.Txn, revision store.Revision, err error) ownership.WriteResult {
	if err == nil {
		return ownership.WriteResult{Status: ownership.WriteCommitted, Revision: revision}
	}
	var conflict *store.ConflictError
	var rejected *store.RejectedError
	switch {
	case errors.As(err, &conflict):
		return c.conflictResult(txn, conflict)
	case errors.As(err, &rejected):
		c.log.Warn("ownership record not written: the store rejected the call or was not reached", "error", err)
		return ownership.WriteResult{Status: ownership.WriteRejected}
	default:
		c.log.Warn("record not known to be written", "error", err)
		return ownership.WriteResult{Status: ownership.WriteUnanswered}
	}
}

func (c *control) conflictResult(txn store.Txn, conflict *store.ConflictError) ownership.WriteResult {
	result := ownership.WriteResult{Status: ownership.WriteConflict}
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
			c.log.Warn("decoding the ownership record of another writer failed",
				"revision", item.Revision.String(), "error", err)
			continue
		}
		result.Record, result.RecordRevision = record, item.Revision
	}
	return result
}

// endLease ensures that a lost host can no longer act under its current epoch: it reads the epoch, checks that the
// host's presence is gone, and revokes the lease that the epoch names.
func (c *control) endLease(host ownership.HostID) {
	c.async(func(ctx context.Context) func(ownership.Instant) {
		revision, err := c.revokeLease(ctx, host)
		if err != nil {
			c.log.Warn("revoking the lease of a host considered lost failed or was not confirmed", "lost", host, "error", err)
		}
		return func(now ownership.Instant) {
			c.runOwnershipEffects(now, c.machine.LeaseEnded(now, host, revision, err == nil))
		}
	})
}

// hostPresentError reports that a host that was considered lost is registered.
type hostPresentError struct{ host ownership.HostID }

func (e *hostPresentError) Error() string {
	return "host " + string(e.host) + " is still registered, so its lease is not revoked"
}

func (c *control) revokeLease(ctx context.Context, host ownership.HostID) (store.Revision, error) {
	// The epoch is read first: a host that registers in the meantime raises it, and the write of the takeover fails.
	item, err := c.store.Get(ctx, c.layout.Epoch(host))
	if err != nil {
		return 0, err
	}
	presence, err := c.store.Get(ctx, c.layout.Presence(host))
	if err != nil {
		return 0, err
	}
	if presence.Revision != 0 {
		return 0, &hostPresentError{host: host}
	}
	if item.Revision == 0 {
		return 0, nil // the host has never registered
	}
	stored, err := membership.DecodeEpoch(item.Value)
	if err != nil {
		return 0, err
	}
	if stored.Era != 0 && stored.Era < item.Revision.Era() {
		return item.Revision, nil // no host acts under a lease from before a restore, and its ID may be given out again
	}
	return item.Revision, c.store.Revoke(ctx, stored.Lease)
}
