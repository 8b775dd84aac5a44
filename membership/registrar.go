package membership

import (
	"encoding/json"
	"strconv"

	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// Effect is something that the registrar wants done.
type Effect interface{ isEffect() }

// ReadEpoch asks for the item of the host's epoch. Its answer goes to EpochRead.
type ReadEpoch struct{ Key string }

// GrantLease asks for a lease. Its answer goes to Granted.
type GrantLease struct{}

// Register asks for a registration. Its answer goes to RegisterDone.
type Register struct {
	Txn    store.Txn
	SentAt ownership.Instant
}

// RenewLease asks for a renewal. Its answer goes to RenewDone.
type RenewLease struct {
	Lease  store.LeaseID
	SentAt ownership.Instant
}

// Registered says that this host is registered under a new epoch.
type Registered struct {
	Epoch    ownership.Epoch
	Revision store.Revision
	SentAt   ownership.Instant
	Presence Presence
}

// Renewed says that the lease was renewed.
type Renewed struct{ SentAt ownership.Instant }

// Unregistered says that the lease has ended.
type Unregistered struct{ Reason string }

func (ReadEpoch) isEffect()    {}
func (GrantLease) isEffect()   {}
func (Register) isEffect()     {}
func (RenewLease) isEffect()   {}
func (Registered) isEffect()   {}
func (Renewed) isEffect()      {}
func (Unregistered) isEffect() {}

// epochItem is the value of a host's epoch. Lease names the lease that a taker has to end.
type epochItem struct {
	Epoch ownership.Epoch `json:"epoch"`
	Lease store.LeaseID   `json:"lease"`
}

// DecodeEpoch reads the epoch of a host and the lease that it was registered under.
func DecodeEpoch(data []byte) (ownership.Epoch, store.LeaseID, error) {
	var item epochItem
	if err := json.Unmarshal(data, &item); err != nil {
		return 0, 0, &EntryError{Key: "epoch", Cause: err}
	}
	return item.Epoch, item.Lease, nil
}

// Registrar keeps this host registered. It is pure: one control goroutine feeds it.
//
// There is one lease for all attempts of a registration, and a new one only after the store has said that it ended:
// otherwise an attempt that lands late would make the epoch name a lease other than the one that is renewed.
type Registrar struct {
	presence Presence
	layout   ownership.Layout
	timing   Timing

	hasEpoch      bool
	epoch         ownership.Epoch
	epochRevision store.Revision

	lease        store.LeaseID
	isRegistered bool
	isBusy       bool
	nextAt       ownership.Instant
}

// NewRegistrar returns the registrar of a host that has just started.
func NewRegistrar(presence Presence, layout ownership.Layout, timing Timing) *Registrar {
	return &Registrar{presence: presence, layout: layout, timing: timing}
}

// IsRegistered tells whether the host is registered, as far as is known.
func (r *Registrar) IsRegistered() bool { return r.isRegistered }

// Lease returns the lease of this host, or zero.
func (r *Registrar) Lease() store.LeaseID { return r.lease }

// Tick does what time asks for.
func (r *Registrar) Tick(now ownership.Instant) []Effect {
	if r.isBusy || now < r.nextAt {
		return nil
	}
	r.isBusy = true
	switch {
	case !r.hasEpoch:
		return []Effect{ReadEpoch{Key: r.layout.Epoch(r.presence.Host)}}
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
	item, err := json.Marshal(epochItem{Epoch: r.epoch + 1, Lease: r.lease})
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

// failed waits a little before the next try.
func (r *Registrar) failed(now ownership.Instant) []Effect {
	r.isBusy = false
	r.nextAt = now.Add(r.timing.RetryDelay)
	return nil
}

// EpochRead takes in the answer to ReadEpoch.
func (r *Registrar) EpochRead(now ownership.Instant, item store.Item, err error) []Effect {
	if err != nil {
		return r.failed(now)
	}
	r.isBusy = false
	r.takeEpoch(item)
	return r.Tick(now)
}

// takeEpoch takes in the present item of the epoch.
func (r *Registrar) takeEpoch(item store.Item) {
	epoch, _, err := DecodeEpoch(item.Value)
	if item.Revision == 0 || err != nil {
		epoch = r.epoch // an unreadable item is replaced; its revision still guards the write
	}
	r.hasEpoch = true
	r.epoch = max(r.epoch, epoch)
	r.epochRevision = item.Revision
}

// LeaseGranted takes in the answer to GrantLease.
func (r *Registrar) LeaseGranted(now ownership.Instant, lease store.LeaseID, err error) []Effect {
	if err != nil {
		return r.failed(now)
	}
	r.isBusy = false
	r.lease = lease
	return r.Tick(now)
}

// RegisterDone takes in the answer to Register.
func (r *Registrar) RegisterDone(now, sentAt ownership.Instant, revision store.Revision, err error) []Effect {
	switch failure := err.(type) {
	case nil:
		return r.registered(now, sentAt, r.epoch+1, revision)
	case *store.ConflictError:
		return r.conflicted(now, failure)
	case *store.LeaseEndedError:
		r.lease = 0
		r.isBusy = false
		return r.Tick(now)
	default:
		return r.failed(now)
	}
}

// conflicted finds out who has raised the epoch: an earlier attempt of this daemon, or another one.
func (r *Registrar) conflicted(now ownership.Instant, conflict *store.ConflictError) []Effect {
	r.isBusy = false
	for _, item := range conflict.Current {
		if item.Key != r.layout.Epoch(r.presence.Host) {
			continue
		}
		epoch, lease, err := DecodeEpoch(item.Value)
		if err == nil && lease == r.lease && item.Revision != r.epochRevision {
			// An attempt that had no answer has landed. Its sending time says nothing of when; the next renewal does.
			return r.registered(now, 0, epoch, item.Revision)
		}
		r.takeEpoch(item)
		return r.Tick(now)
	}
	return r.failed(now)
}

func (r *Registrar) registered(now, sentAt ownership.Instant, epoch ownership.Epoch, revision store.Revision) []Effect {
	r.isBusy = false
	r.isRegistered = true
	r.epoch = epoch
	r.epochRevision = revision
	r.nextAt = now.Add(r.timing.RenewInterval)
	if sentAt == 0 {
		r.nextAt = now
	}
	presence := r.presence
	presence.Epoch = epoch
	return []Effect{Registered{Epoch: epoch, Revision: revision, SentAt: sentAt, Presence: presence}}
}

// RenewDone takes in the answer to RenewLease.
func (r *Registrar) RenewDone(now, sentAt ownership.Instant, lease store.LeaseID, err error) []Effect {
	if lease != r.lease {
		r.isBusy = false
		return nil
	}
	switch failure := err.(type) {
	case nil:
		r.isBusy = false
		r.nextAt = sentAt.Add(r.timing.RenewInterval)
		return []Effect{Renewed{SentAt: sentAt}}
	case *store.LeaseEndedError:
		r.isBusy = false
		r.lease = 0
		r.isRegistered = false
		r.nextAt = now
		effects := []Effect{Unregistered{Reason: "lease " + strconv.FormatUint(uint64(failure.Lease), 10) + " has ended"}}
		return append(effects, r.Tick(now)...)
	default:
		return r.failed(now)
	}
}

// PresenceDeleted takes note that the store no longer has this host's presence at an epoch, though the lease may go on.
func (r *Registrar) PresenceDeleted(now ownership.Instant, revision store.Revision) []Effect {
	if !r.isRegistered || revision < r.epochRevision {
		return nil
	}
	r.isRegistered = false
	r.nextAt = now
	effects := []Effect{Unregistered{Reason: "presence was taken away"}}
	return append(effects, r.Tick(now)...)
}
