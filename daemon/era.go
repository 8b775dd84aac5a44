package daemon

import (
	"context"

	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// postEra queues an era that a response of the store stated. The queue keeps its order, so the control goroutine learns
// the era before the result of that call.
func (c *control) postEra(era store.Era) {
	c.post(c.ctx, func(now ownership.Instant) { c.observeEra(now, era) })
}

// observeEra applies the era of the store, which is known from the store's responses and from the revisions that other
// daemons send. If it is newer than the known one, the store was restored from a copy: everything that it acknowledged
// since is lost, and all values have to be read again.
func (c *control) observeEra(now ownership.Instant, era store.Era) {
	if era <= c.storeEra {
		return
	}
	if c.storeEra != 0 {
		c.log.Warn("store was restored from a copy; reading all values again", "era", era, "previous", c.storeEra)
		c.isReadDue = true
		c.storeDepartureAgain("store restored")
	}
	c.storeEra = era
	c.runOwnershipEffects(now, c.machine.EraObserved(now, era))
	c.runRegistrarEffects(now, c.registrar.EraObserved(now, era))
}

// readAll reads the values of operators and all values of this system, and returns the revision from which to watch them.
// Those of operators are read first, because the other values may take seconds, and once more, because a change of them
// meanwhile precedes that revision.
func (c *control) readAll(ctx context.Context) (store.Revision, error) {
	if err := c.readOperatorValues(ctx); err != nil {
		return 0, err
	}
	revision, err := c.readValues(ctx, c.layout.Prefix)
	if err != nil {
		return 0, err
	}
	if err := c.readOperatorValues(ctx); err != nil {
		return 0, err
	}
	c.post(ctx, func(ownership.Instant) {
		if revision.Era() == c.storeEra {
			c.isReadDue = false
		}
	})
	return revision, nil
}

// isOfLostEra reports whether a revision belongs to an era of the store that was lost in a restore. Revisions without
// an era come from daemons that do not know of eras.
func (c *control) isOfLostEra(revision store.Revision) bool {
	return revision.Era() != 0 && revision.Era() < c.storeEra
}
