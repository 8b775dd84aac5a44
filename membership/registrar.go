package membership

import (
	"encoding/json"
	"strconv"

	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// Effect is an action that the registrar requests, or a change that it reports.
type Effect interface{ isEffect() }

// GrantLease requests a lease. The result is passed to LeaseGranted.
type GrantLease struct{}

// Register requests a registration. The result is passed to RegisterDone.
type Register struct {
	Txn    store.Txn
	SentAt ownership.Instant
}

// RenewLease requests a renewal. The result is passed to RenewDone.
type RenewLease struct {
	Lease  store.LeaseID
	SentAt ownership.Instant
}

// Registered reports that this host is registered under a new epoch.
type Registered struct {
	Epoch    ownership.Epoch
	Revision store.Revision
	// SentAt is when the registration was sent to the store, or zero if that is not known.
	SentAt   ownership.Instant
	Presence Presence
}

// Renewed reports that the lease was renewed.
type Renewed struct{ SentAt ownership.Instant }

// Unregistered reports that the registration is lost, for example because the lease has ended.
type Unregistered struct{ Reason string }

func (GrantLease) isEffect()   {}
func (Register) isEffect()     {}
func (RenewLease) isEffect()   {}
func (Registered) isEffect()   {}
func (Renewed) isEffect()      {}
func (Unregistered) isEffect() {}

// EpochItem is the stored value of a host's epoch.
type EpochItem struct {
	Epoch ownership.Epoch `json:"epoch"`
	// Lease is the lease that another host has to revoke before a takeover.
	Lease store.LeaseID `json:"lease"`
	// Era is the era of the store in which the host registered. A lease of an earlier era may be another host's now.
	Era store.Era `json:"era,omitempty"`
}

// DecodeEpoch decodes the epoch of a host.
func DecodeEpoch(data []byte) (EpochItem, error) {
	var item EpochItem
	if err := json.Unmarshal(data, &item); err != nil {
		return EpochItem{}, &EntryError{Key: "epoch", Cause: err}
	}
	return item, nil
}

// epochEraGap is the number of epochs of an era. Those of a later era are all above those of an earlier one, because any of
// them may have been lost.
const epochEraGap = 1 << 20

// epochsBefore returns the highest epoch of the eras before an era.
func epochsBefore(era store.Era) ownership.Epoch {
	if era <= store.FirstEra {
		return 0
	}
	return epochEraGap * ownership.Epoch(era)
}

// Registrar keeps this host registered. It makes no calls itself: a single control goroutine carries out its effects
// and passes it the results.
//
// All attempts of a registration use one lease, and a new lease is requested only after the store has reported that the
// old one has ended. Otherwise an attempt that is applied late would make the epoch name a lease other than the one
// that is renewed.
type Registrar struct {
	presence Presence
	layout   ownership.StoreLayout
	timing   Timing

	// epoch and epochRevision are zero until the first attempt to register. If the host has registered before, the
	// store refuses that attempt and answers with the current epoch, which saves a read of it otherwise.
	epoch         ownership.Epoch
	epochRevision store.Revision

	// era is the newest known era of the store.
	era           store.Era
	lease         store.LeaseID
	isRegistered  bool
	isCallPending bool
	// isCallOutdated is whether the pending call was made before the store was restored, so that its result is void.
	isCallOutdated bool
	nextCallAt     ownership.Instant
}

// NewRegistrar returns the registrar of a host that has just started.
func NewRegistrar(presence Presence, layout ownership.StoreLayout, timing Timing) *Registrar {
	return &Registrar{presence: presence, layout: layout, timing: timing}
}

// IsRegistered reports whether the host is registered, as far as is known.
func (r *Registrar) IsRegistered() bool { return r.isRegistered }

// Lease returns the lease of this host, or zero.
func (r *Registrar) Lease() store.LeaseID { return r.lease }

// Tick returns the effects that are due.
func (r *Registrar) Tick(now ownership.Instant) []Effect {
	if r.isCallPending || now < r.nextCallAt {
		return nil
	}
	r.isCallPending = true
	switch {
	case r.lease == 0:
		return []Effect{GrantLease{}}
	case !r.isRegistered:
		return r.register(now)
	default:
		return []Effect{RenewLease{Lease: r.lease, SentAt: now}}
	}
}

func (r *Registrar) register(now ownership.Instant) []Effect {
	presence := r.presence
	presence.Epoch = r.epoch + 1
	data, err := json.Marshal(presence)
	if err != nil {
		return []Effect{Unregistered{Reason: err.Error()}}
	}
	item, err := json.Marshal(EpochItem{Epoch: r.epoch + 1, Lease: r.lease, Era: r.era})
	if err != nil {
		return []Effect{Unregistered{Reason: err.Error()}}
	}
	key := r.layout.Epoch(r.presence.Host)
	return []Effect{Register{SentAt: now, Txn: store.Txn{
		Conditions: []store.Condition{{Key: key, Revision: r.epochRevision}},
		Puts: []store.Put{
			{Key: key, Value: item},
			{Key: r.layout.Presence(r.presence.Host), Value: data, Lease: r.lease},
		},
	}}}
}

// retryLater schedules the next attempt after a short delay.
func (r *Registrar) retryLater(now ownership.Instant) []Effect {
	r.isCallPending = false
	r.nextCallAt = now.Add(r.timing.RetryDelay)
	return nil
}

// applyEpochItem applies the current item of the epoch.
func (r *Registrar) applyEpochItem(item store.Item) {
	r.epochRevision = item.Revision
	stored, err := DecodeEpoch(item.Value)
	if item.Revision == 0 || err != nil {
		return // an item that cannot be decoded is replaced; the write is still conditional on its revision
	}
	r.epoch = max(r.epoch, stored.Epoch)
}

// EraObserved records the era of the store. If it is not the first one that this daemon observes, the store was
// restored: the lease, the registration and a call in progress belong to an earlier era.
func (r *Registrar) EraObserved(now ownership.Instant, era store.Era) []Effect {
	if era <= r.era {
		return nil
	}
	isFirst := r.era == 0
	r.era = era
	r.epoch = max(r.epoch, epochsBefore(era))
	if isFirst {
		return nil
	}
	r.isCallOutdated = r.isCallPending
	r.lease, r.epochRevision = 0, 0
	if !r.isRegistered {
		r.nextCallAt = now
		return r.Tick(now)
	}
	return r.registerAgain(now, "the store was restored")
}

// registerAgain reports the end of the registration and starts a new one.
func (r *Registrar) registerAgain(now ownership.Instant, reason string) []Effect {
	r.isRegistered = false
	r.nextCallAt = now
	return append([]Effect{Unregistered{Reason: reason}}, r.Tick(now)...)
}

// discardOutdated reports whether the result of the pending call is void, and then ends the call.
func (r *Registrar) discardOutdated() bool {
	if !r.isCallOutdated {
		return false
	}
	r.isCallOutdated, r.isCallPending = false, false
	return true
}

// LeaseGranted processes the result of GrantLease.
func (r *Registrar) LeaseGranted(now ownership.Instant, lease store.LeaseID, err error) []Effect {
	if r.discardOutdated() {
		return r.Tick(now)
	}
	if err != nil {
		return r.retryLater(now)
	}
	r.isCallPending = false
	r.lease = lease
	return r.Tick(now)
}

// RegisterDone processes the result of Register.
func (r *Registrar) RegisterDone(now, sentAt ownership.Instant, revision store.Revision, err error) []Effect {
	if r.discardOutdated() {
		return r.Tick(now)
	}
	switch failure := err.(type) {
	case nil:
		return r.completeRegistration(now, sentAt, r.epoch+1, revision)
	case *store.ConflictError:
		return r.handleConflict(now, failure)
	case *store.LeaseEndedError:
		r.lease = 0
		r.isCallPending = false
		return r.Tick(now)
	default:
		return r.retryLater(now)
	}
}

// handleConflict determines who has raised the epoch: an earlier attempt of this daemon, or another daemon.
func (r *Registrar) handleConflict(now ownership.Instant, conflict *store.ConflictError) []Effect {
	r.isCallPending = false
	for _, item := range conflict.Current {
		if item.Key != r.layout.Epoch(r.presence.Host) {
			continue
		}
		stored, err := DecodeEpoch(item.Value)
		isOwn := err == nil && stored.Lease == r.lease && stored.Era == r.era
		if isOwn && item.Revision != r.epochRevision {
			// An earlier attempt whose answer was lost has been applied. The time at which it was sent does not tell
			// when it was applied; the next renewal does.
			return r.completeRegistration(now, 0, stored.Epoch, item.Revision)
		}
		r.applyEpochItem(item)
		return r.Tick(now)
	}
	return r.retryLater(now)
}

func (r *Registrar) completeRegistration(
	now, sentAt ownership.Instant, epoch ownership.Epoch, revision store.Revision,
) []Effect {
	r.isCallPending = false
	r.isRegistered = true
	r.epoch = epoch
	r.epochRevision = revision
	r.nextCallAt = now.Add(r.timing.RenewInterval)
	if sentAt == 0 {
		r.nextCallAt = now // a renewal is needed to know from when the lease counts
	}
	presence := r.presence
	presence.Epoch = epoch
	return []Effect{Registered{Epoch: epoch, Revision: revision, SentAt: sentAt, Presence: presence}}
}

// RenewDone processes the result of RenewLease.
func (r *Registrar) RenewDone(now, sentAt ownership.Instant, lease store.LeaseID, err error) []Effect {
	if r.discardOutdated() {
		return r.Tick(now)
	}
	if lease != r.lease {
		r.isCallPending = false
		return nil
	}
	switch failure := err.(type) {
	case nil:
		r.isCallPending = false
		r.nextCallAt = sentAt.Add(r.timing.RenewInterval)
		return []Effect{Renewed{SentAt: sentAt}}
	case *store.LeaseEndedError:
		r.isCallPending = false
		r.lease = 0
		return r.registerAgain(now, "lease "+strconv.FormatUint(uint64(failure.Lease), 10)+" has ended")
	default:
		return r.retryLater(now)
	}
}

// Reregister starts a new registration, because the store has another epoch of this host than the known one.
func (r *Registrar) Reregister(now ownership.Instant) []Effect {
	if !r.isRegistered {
		return nil
	}
	return r.registerAgain(now, "epoch in the store is another one")
}

// PresenceDeleted records that the store no longer has this host's presence as of a revision, although the lease may
// still be valid.
func (r *Registrar) PresenceDeleted(now ownership.Instant, revision store.Revision) []Effect {
	if !r.isRegistered || revision < r.epochRevision {
		return nil
	}
	return r.registerAgain(now, "presence was deleted from the store")
}
