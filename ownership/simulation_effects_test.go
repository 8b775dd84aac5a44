package ownership_test

import (
	"context"
	"time"

	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/store"
)

func (sim *simulation) applyRegistrarEffects(h *simHost, effects []membership.Effect) {
	ctx := context.Background()
	for _, e := range effects {
		switch effect := e.(type) {
		case membership.GrantLease:
			var lease store.LeaseID
			sim.callStore(h, func() (err error) {
				lease, err = sim.store.Grant(ctx, 350*time.Millisecond)
				return err
			}, func(err error) {
				sim.applyRegistrarEffects(h, h.registrar.LeaseGranted(sim.bootTime(h), lease, err))
			})
		case membership.Register:
			var revision store.Revision
			sim.callStore(h, func() (err error) {
				revision, err = sim.commit(effect.Txn)
				return err
			}, func(err error) {
				sim.applyRegistrarEffects(
					h,
					h.registrar.RegisterDone(sim.bootTime(h), sim.sentAt(h, effect.SentAt), revision, err),
				)
			})
		case membership.RenewLease:
			sim.callStore(h, func() error { return sim.store.Renew(ctx, effect.Lease) }, func(err error) {
				sim.applyRegistrarEffects(
					h,
					h.registrar.RenewDone(sim.bootTime(h), sim.sentAt(h, effect.SentAt), effect.Lease, err),
				)
			})
		case membership.Registered:
			h.epoch = effect.Epoch
			sim.applyEffects(h, h.machine.Registered(sim.bootTime(h), effect.SentAt, effect.Epoch, effect.Revision))
		case membership.Renewed:
			sim.applyEffects(h, h.machine.Renewed(sim.bootTime(h), effect.SentAt))
		case membership.Unregistered:
			h.machine.Unregistered()
		}
	}
}

// sentAt returns when a call was sent, or the present time under the mutation authorityFromAnswer.
func (sim *simulation) sentAt(h *simHost, at ownership.Instant) ownership.Instant {
	if sim.mutation == authorityFromAnswer {
		return sim.bootTime(h)
	}
	return at
}

func (sim *simulation) applyEffects(h *simHost, effects []ownership.Effect) {
	for _, e := range effects {
		switch effect := e.(type) {
		case ownership.ReadRecord:
			sim.readRecord(h)
		case ownership.WriteRecord:
			sim.writeRecord(h, effect.Token, effect.Txn)
		case ownership.EndLease:
			sim.endLease(h, effect.Host)
		case ownership.Reregister:
			sim.applyRegistrarEffects(h, h.registrar.Reregister(sim.bootTime(h)))
		case ownership.RecordUpdated:
			h.published = effect
		case ownership.Event:
			sim.tracef("%s %s %s %d %s", h.id, effect.Kind, effect.Host, effect.Keys, effect.Detail)
			switch effect.Kind {
			case ownership.EventTakeoverDone:
				sim.takeovers++
			case ownership.EventKeysMoved:
				sim.moves++
			case ownership.EventRecordRestored:
				sim.recoveries++
			default:
			}
		}
	}
}

func (sim *simulation) readRecord(h *simHost) {
	epoch := h.epoch
	if sim.mutation == noFreshRead {
		record, revision := h.machine.KnownRecord()
		sim.applyEffects(h, h.machine.ReadDone(sim.bootTime(h), epoch, record, revision, true))
		return
	}
	var item store.Item
	sim.callStore(h, func() (err error) {
		item, err = sim.store.Get(context.Background(), sim.layout.Record("s"))
		return err
	}, func(err error) {
		sim.applyEffects(h, h.machine.ReadDone(sim.bootTime(h), epoch, mustDecode(item), item.Revision, err == nil))
	})
}

// commit commits a transaction as the client of the platform's store does: the store compares change counters only, and
// a success in a later era than that of the conditions is not reported as one.
func (sim *simulation) commit(txn store.Txn) (store.Revision, error) {
	revision, err := sim.store.Commit(context.Background(), txn)
	if sent := txn.Era(); err == nil && sent != 0 && revision.Era() > sent {
		return 0, &store.RestoredError{Sent: sent, Current: revision.Era()}
	}
	return revision, err
}

func mustDecode(item store.Item) *ownership.Record {
	if item.Revision == 0 {
		return nil
	}
	record, err := ownership.Decode(item.Value)
	if err != nil {
		panic(err)
	}
	return record
}

func (sim *simulation) writeRecord(h *simHost, token ownership.WriteToken, txn store.Txn) {
	txn = sim.mutateTxn(h, txn)
	var revision store.Revision
	do := func() (err error) { revision, err = sim.commit(txn); return err }
	sim.callStore(h, do, func(err error) {
		result := ownership.WriteResult{Token: token, Status: ownership.WriteCommitted, Revision: revision}
		switch failure := err.(type) {
		case nil:
		case *store.ConflictError:
			result.Status = ownership.WriteConflict
			result.Record, result.RecordRevision = mustDecode(failure.Current[0]), failure.Current[0].Revision
			for i, item := range failure.Current {
				if item.Revision != txn.Conditions[i].Revision {
					result.Changed = append(result.Changed, item.Key)
				}
			}
		case *store.RejectedError:
			result.Status = ownership.WriteRejected
		default:
			result.Status = ownership.WriteUnanswered
			if sim.mutation == unconfirmedWriteForgotten {
				result.Status = ownership.WriteConflict
			}
		}
		sim.tracef("%s write %s: revision %d, owner of the traced key %s",
			h.id, result.Status, result.Revision, sim.tracedKeyOwner())
		sim.applyEffects(h, h.machine.WriteDone(sim.bootTime(h), result))
	})
}

func (sim *simulation) tracedKeyOwner() ownership.HostID {
	item, err := sim.store.Get(context.Background(), sim.layout.Record("s"))
	if err != nil || item.Revision == 0 {
		return ""
	}
	return mustDecode(item).Owner(sim.tracedKey)
}

// mutateTxn applies the mutations that concern writes: it removes conditions, or resets raised fences.
func (sim *simulation) mutateTxn(h *simHost, txn store.Txn) store.Txn {
	switch sim.mutation {
	case noLostEpochCondition:
		kept := txn.Conditions[:2:2]
		for _, c := range txn.Conditions[2:] {
			if c.Revision == 0 {
				kept = append(kept, c)
			}
		}
		txn.Conditions = kept
	case noOwnEpochCondition:
		kept := txn.Conditions[:1:1]
		txn.Conditions = append(kept, txn.Conditions[2:]...)
	case eraGapMissing:
		before, _ := h.machine.KnownRecord()
		record := mustDecode(store.Item{Revision: 1, Value: txn.Puts[0].Value})
		switch {
		case before != nil && before.Era < record.Era:
			record.Generation = before.Generation + 1
			record.EraGeneration = record.Generation
		case before == nil && record.Era > 1:
			record.Generation = 1
		default:
			return txn
		}
		lowered := record.Keys.Clone()
		for span, a := range lowered.Runs() {
			a.Fence = min(a.Fence, record.Generation)
			record.Keys.Set(span, a)
		}
		txn.Puts = []store.Put{{Key: txn.Puts[0].Key, Value: encodeRecord(record)}}
	case fenceNotRaised:
		before, _ := h.machine.KnownRecord()
		record := mustDecode(store.Item{Revision: 1, Value: txn.Puts[0].Value})
		if before == nil {
			return txn
		}
		raised := record.Keys.Clone()
		for span, a := range raised.Runs() {
			a.Fence = before.Keys.At(span.From).Fence
			record.Keys.Set(span, a)
		}
		txn.Puts = []store.Put{{Key: txn.Puts[0].Key, Value: encodeRecord(record)}}
	default:
	}
	return txn
}

func encodeRecord(record *ownership.Record) []byte {
	data, err := record.Encode()
	if err != nil {
		panic(err)
	}
	return data
}

// hostIndex returns the index of a host in the simulation.
func hostIndex(id ownership.HostID) int { return int(id[1] - '0') }

func (sim *simulation) endLease(h *simHost, lost ownership.HostID) {
	ctx := context.Background()
	var item store.Item
	fail := func() { sim.applyEffects(h, h.machine.LeaseEnded(sim.bootTime(h), lost, 0, false)) }
	sim.callStore(h, func() (err error) {
		item, err = sim.store.Get(ctx, sim.layout.Epoch(lost))
		return err
	}, func(err error) {
		if err != nil {
			fail()
			return
		}
		isFalseSuspicion := sim.random.IntN(5) == 0 // a running host is taken over
		sim.callStore(h, func() error {
			presence, err := sim.store.Get(ctx, sim.layout.Presence(lost))
			if err == nil && presence.Revision != 0 && !isFalseSuspicion {
				return &store.ConflictError{}
			}
			stored, err := membership.DecodeEpoch(item.Value)
			if err != nil || sim.mutation == leaseNotEnded || stored.Era < sim.store.Era() {
				return err
			}
			if sim.random.IntN(3) == 0 { // the lost host is partitioned at this moment and does not learn that its lease ended
				sim.partition(sim.hosts[hostIndex(lost)], simTiming().AuthorityTime)
			}
			return sim.store.Revoke(ctx, stored.Lease)
		}, func(err error) {
			if err != nil {
				fail()
				return
			}
			now := sim.bootTime(h)
			if sim.mutation == noAuthorityWait {
				now = now.Add(-time.Second)
			}
			sim.applyEffects(h, h.machine.LeaseEnded(now, lost, item.Revision, true))
		})
	})
}
