// Package evacuation decides what the servers of a failure domain may do while operators have it evacuated.
//
// Operators put a key into the platform's store to evacuate a domain, and delete it to take the domain back. From a fixed
// time after the store has acknowledged the key, no server of the domain may receive requests. A daemon does not know when
// that was. It knows when it was last certain that the domain was not evacuated, and counts from there.
//
// The package performs no I/O. Its types are not safe for concurrent use: the control goroutine calls them.
package evacuation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// sendMargin is how long before the end of the permitted time the last request is sent to a server of an evacuated domain.
// It covers the interval at which the daemon updates the permit of its server (25 ms) and the way of a request of up to
// 90 KB over a link of 10 Mbit/s (72 ms), with room for a processor that is shared.
const sendMargin = 300 * time.Millisecond

// state is one evacuation.
type state struct {
	knownAt ownership.Instant
	// keysUntil is the time until which the servers of the domain serve the keys that they still own.
	keysUntil ownership.Instant
	// haveKeysEnded is whether Expire has reported the end of that time.
	haveKeysEnded bool
	// isReported is whether Unknown has returned the domain.
	isReported bool
}

// Tracker holds the evacuations that a daemon knows.
type Tracker struct {
	bound time.Duration
	// confirmedAt is the newest time at which the known evacuations were certainly those in the store, or zero if they
	// never were.
	confirmedAt ownership.Instant
	isComplete  bool
	domains     map[ownership.FailureDomain]*state
}

// NewTracker returns a tracker without evacuations. The servers of an evacuated domain get no requests from the bound on,
// counted from the store's acknowledgement.
func NewTracker(bound time.Duration) *Tracker {
	return &Tracker{bound: bound, domains: map[ownership.FailureDomain]*state{}}
}

// Complete records that the evacuations in the store have been read, by this daemon or by one that sent all that it knows.
func (t *Tracker) Complete() { t.isComplete = true }

// IsComplete reports whether the evacuations in the store have been read. Until then, no server may be used.
func (t *Tracker) IsComplete() bool { return t.isComplete }

// Confirm records that the known evacuations were those in the store at a time.
func (t *Tracker) Confirm(at ownership.Instant) { t.confirmedAt = max(t.confirmedAt, at) }

// ConfirmedAt returns the newest time at which the known evacuations were certainly those in the store.
func (t *Tracker) ConfirmedAt() ownership.Instant { return t.confirmedAt }

// Start records that a domain is evacuated, and reports whether that is new. The servers of a domain that this daemon
// already knew to be evacuated get no more time.
func (t *Tracker) Start(now ownership.Instant, domain ownership.FailureDomain) bool {
	if t.domains[domain] != nil {
		return false
	}
	s := &state{knownAt: now}
	if t.confirmedAt > 0 { // otherwise it may have been evacuated long ago
		s.keysUntil = t.confirmedAt.Add(t.bound - sendMargin)
	}
	t.domains[domain] = s
	return true
}

// End records that a domain is not evacuated, and reports whether that is new.
func (t *Tracker) End(domain ownership.FailureDomain) bool {
	isKnown := t.domains[domain] != nil
	delete(t.domains, domain)
	return isKnown
}

// IsEvacuated reports whether a domain is evacuated. Its servers get no new work, except for the keys that they still own
// while MayServeKeys.
func (t *Tracker) IsEvacuated(domain ownership.FailureDomain) bool { return t.domains[domain] != nil }

// KeysUntil returns the time until which the servers of an evacuated domain serve the keys that they still own.
func (t *Tracker) KeysUntil(domain ownership.FailureDomain) ownership.Instant {
	if s := t.domains[domain]; s != nil {
		return s.keysUntil
	}
	return 0
}

// MayServeKeys reports whether the servers of a domain may get requests for the keys that they own.
func (t *Tracker) MayServeKeys(now ownership.Instant, domain ownership.FailureDomain) bool {
	s := t.domains[domain]
	return s == nil || now < s.keysUntil
}

// Domains returns the evacuated domains in alphabetical order.
func (t *Tracker) Domains() []ownership.FailureDomain { return slices.Sorted(maps.Keys(t.domains)) }

// Expire returns the domains whose servers may no longer serve keys, each of them once.
func (t *Tracker) Expire(now ownership.Instant) []ownership.FailureDomain {
	var ended []ownership.FailureDomain
	for _, domain := range t.Domains() {
		if s := t.domains[domain]; !s.haveKeysEnded && now >= s.keysUntil {
			s.haveKeysEnded = true
			ended = append(ended, domain)
		}
	}
	return ended
}

// unknownDelay is how long a domain has to be evacuated before it is reported as unknown. A daemon that starts learns the
// evacuations before the hosts.
const unknownDelay = 3 * time.Second

// Unknown returns the evacuated domains of which no host is known, each of them once.
func (t *Tracker) Unknown(now ownership.Instant, hasHost func(ownership.FailureDomain) bool) []ownership.FailureDomain {
	var unknown []ownership.FailureDomain
	for _, domain := range t.Domains() {
		if s := t.domains[domain]; !s.isReported && now.Sub(s.knownAt) > unknownDelay && !hasHost(domain) {
			s.isReported = true
			unknown = append(unknown, domain)
		}
	}
	return unknown
}

const (
	// handoverGap is the time between the starts of the handovers of two servers. Writing the ownership record takes about
	// as long over links with a few milliseconds of latency, and two writers at a time conflict.
	handoverGap = 75 * time.Millisecond
	// maxHandoverDelay bounds the time until the last server starts. A handover takes one heartbeat and some 300 ms, and all
	// have to end within the about 3 s that remain after the evacuation has become known.
	maxHandoverDelay = 1400 * time.Millisecond
)

// HandoverDelay returns how long a server waits before it hands over its keys: those of a service in the evacuated domains
// start one after the other. Rank is the server's index among count servers.
func HandoverDelay(rank, count int) time.Duration {
	if count < 2 || rank < 0 {
		return 0
	}
	return time.Duration(rank) * min(handoverGap, maxHandoverDelay/time.Duration(count-1))
}

// UnknownDomainError reports an evacuation of a domain of which no host is known. It takes effect once there are any.
type UnknownDomainError struct{ Domain ownership.FailureDomain }

func (e *UnknownDomainError) Error() string {
	return "evacuation of failure domain " + string(e.Domain) + ": no host of it is known"
}

// KeyError reports a key that names no failure domain.
type KeyError struct{ Key string }

func (e *KeyError) Error() string {
	return fmt.Sprintf("evacuation key %q names no failure domain", e.Key)
}

// ValueError reports the value of an evacuation that is no JSON object. The domain is evacuated nevertheless, because that
// depends on the key alone.
type ValueError struct {
	Domain ownership.FailureDomain
	Cause  error
}

func (e *ValueError) Error() string {
	return "evacuation of failure domain " + string(e.Domain) + ": value is no JSON object: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ValueError) Unwrap() error { return e.Cause }
