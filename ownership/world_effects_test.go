package ownership_test

import (
	"context"
	"time"

	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/store"
)

func (w *world) registration(h *worldHost, effects []membership.Effect) {
	ctx := context.Background()
	for _, e := range effects {
		switch effect := e.(type) {
		case membership.ReadEpoch:
			var item store.Item
			w.call(h, func() (err error) { item, err = w.store.Get(ctx, effect.Key); return err }, func(err error) {
				w.registration(h, h.registrar.EpochRead(w.instant(h), item, err))
			})
		case membership.GrantLease:
			var lease store.LeaseID
			w.call(h, func() (err error) { lease, err = w.store.Grant(ctx, 350*time.Millisecond); return err }, func(err error) {
				w.registration(h, h.registrar.LeaseGranted(w.instant(h), lease, err))
			})
		case membership.Register:
			var revision store.Revision
			w.call(h, func() (err error) { revision, err = w.store.Commit(ctx, effect.Txn); return err }, func(err error) {
				w.registration(h, h.registrar.RegisterDone(w.instant(h), w.sentAt(h, effect.SentAt), revision, err))
			})
		case membership.RenewLease:
			w.call(h, func() error { return w.store.Renew(ctx, effect.Lease) }, func(err error) {
				w.registration(h, h.registrar.RenewDone(w.instant(h), w.sentAt(h, effect.SentAt), effect.Lease, err))
			})
		case membership.Registered:
			h.epoch = effect.Epoch
			w.effects(h, h.machine.Registered(w.instant(h), effect.SentAt, effect.Epoch, effect.Revision))
		case membership.Renewed:
			w.effects(h, h.machine.Renewed(w.instant(h), effect.SentAt))
		case membership.Unregistered:
			h.machine.Unregistered()
		}
	}
}

func (w *world) sentAt(h *worldHost, at ownership.Instant) ownership.Instant {
	if w.flaw == authorityFromAnswer {
		return w.instant(h)
	}
	return at
}

func (w *world) effects(h *worldHost, effects []ownership.Effect) {
	for _, e := range effects {
		switch effect := e.(type) {
		case ownership.ReadRecord:
			w.read(h)
		case ownership.WriteRecord:
			w.write(h, effect.Token, effect.Txn)
		case ownership.EndLease:
			w.endLease(h, effect.Host)
		case ownership.Event:
			w.note("%s %s %s %d %s", h.id, effect.Kind, effect.Host, effect.Keys, effect.Detail)
			switch effect.Kind {
			case ownership.EventTookOver:
				w.takeovers++
			case ownership.EventMoved:
				w.moves++
			default:
			}
		}
	}
}

func (w *world) read(h *worldHost) {
	epoch := h.epoch
	if w.flaw == noFreshRead {
		record, revision := h.machine.Known()
		w.effects(h, h.machine.ReadDone(w.instant(h), epoch, record, revision, true))
		return
	}
	var item store.Item
	w.call(h, func() (err error) { item, err = w.store.Get(context.Background(), w.layout.Record("s")); return err }, func(err error) {
		w.effects(h, h.machine.ReadDone(w.instant(h), epoch, decode(item), item.Revision, err == nil))
	})
}

func decode(item store.Item) *ownership.Record {
	if item.Revision == 0 {
		return nil
	}
	record, err := ownership.Decode(item.Value)
	if err != nil {
		panic(err)
	}
	return record
}

func (w *world) write(h *worldHost, token ownership.WriteToken, txn store.Txn) {
	txn = w.spoil(h, txn)
	var revision store.Revision
	do := func() (err error) { revision, err = w.store.Commit(context.Background(), txn); return err }
	w.call(h, do, func(err error) {
		result := ownership.WriteResult{Token: token, Fate: ownership.WriteLanded, Revision: revision}
		switch failure := err.(type) {
		case nil:
		case *store.ConflictError:
			result.Fate = ownership.WriteConflict
			result.Record, result.RecordRevision = decode(failure.Current[0]), failure.Current[0].Revision
		case *store.RejectedError:
			result.Fate = ownership.WriteRejected
		default:
			result.Fate = ownership.WriteLost
			if w.flaw == undecidedForgotten {
				result.Fate = ownership.WriteConflict
			}
		}
		w.note("%s write %s: revision %d, owner of the watched key %s", h.id, result.Fate, result.Revision, w.ownerOfWatched())
		w.effects(h, h.machine.WriteDone(w.instant(h), result))
	})
}

func (w *world) ownerOfWatched() ownership.HostID {
	item, err := w.store.Get(context.Background(), w.layout.Record("s"))
	if err != nil || item.Revision == 0 {
		return ""
	}
	return decode(item).Owner(w.watched)
}

// spoil leaves out conditions, or raised fences.
func (w *world) spoil(h *worldHost, txn store.Txn) store.Txn {
	switch w.flaw {
	case noLostEpoch:
		kept := txn.Conditions[:2:2]
		for _, c := range txn.Conditions[2:] {
			if c.Revision == 0 {
				kept = append(kept, c)
			}
		}
		txn.Conditions = kept
	case noOwnEpoch:
		kept := txn.Conditions[:1:1]
		txn.Conditions = append(kept, txn.Conditions[2:]...)
	case fenceNotRaised:
		before, _ := h.machine.Known()
		record := decode(store.Item{Revision: 1, Value: txn.Puts[0].Value})
		if before == nil {
			return txn
		}
		raised := record.Keys.Clone()
		for span, a := range raised.Runs() {
			a.Fence = before.Keys.At(span.From).Fence
			record.Keys.Set(span, a)
		}
		data, err := record.Encode()
		if err != nil {
			panic(err)
		}
		txn.Puts = []store.Put{{Key: txn.Puts[0].Key, Value: data}}
	default:
	}
	return txn
}

// hostIndex returns the number of a host.
func hostIndex(id ownership.HostID) int { return int(id[1] - '0') }

func (w *world) endLease(h *worldHost, lost ownership.HostID) {
	ctx := context.Background()
	var item store.Item
	fail := func() { w.effects(h, h.machine.LeaseEnded(w.instant(h), lost, 0, false)) }
	w.call(h, func() (err error) { item, err = w.store.Get(ctx, w.layout.Epoch(lost)); return err }, func(err error) {
		if err != nil {
			fail()
			return
		}
		isSuspicion := w.random.IntN(5) == 0 // somebody who lives is taken over from
		w.call(h, func() error {
			presence, err := w.store.Get(ctx, w.layout.Presence(lost))
			if err == nil && presence.Revision != 0 && !isSuspicion {
				return &store.ConflictError{}
			}
			_, lease, err := membership.DecodeEpoch(item.Value)
			if err != nil || w.flaw == leaseNotEnded {
				return err
			}
			if w.random.IntN(3) == 0 { // the lost host is cut off just then and does not hear of it
				w.hosts[hostIndex(lost)].cutUntil = w.now + worldTiming().Authority
			}
			return w.store.Revoke(ctx, lease)
		}, func(err error) {
			if err != nil {
				fail()
				return
			}
			now := w.instant(h)
			if w.flaw == noWait {
				now = now.Add(-time.Second)
			}
			w.effects(h, h.machine.LeaseEnded(now, lost, item.Revision, true))
		})
	})
}
