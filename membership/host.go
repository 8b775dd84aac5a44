package membership

import (
	"encoding/json"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// Presence is what a registered host tells of itself in the store. It changes only with a registration.
type Presence struct {
	Host    ownership.HostID `json:"host"`
	Domain  ownership.Domain `json:"failure_domain"`
	Service class.Service    `json:"service"`
	// Hop, Control and Operator are where its daemon takes forwarded calls, control messages and operators.
	Hop      string `json:"hop"`
	Control  string `json:"control"`
	Operator string `json:"operator"`
	// Epoch counts the host's registrations.
	Epoch ownership.Epoch `json:"epoch"`
}

// Announcement is what a daemon tells the others of the backend server beside it. It does not go through the store.
type Announcement struct {
	Host ownership.HostID `json:"host"`
	// Epoch is the host's registration under which Count counts its announcements.
	Epoch    ownership.Epoch    `json:"epoch"`
	Count    uint32             `json:"count"`
	Service  class.Service      `json:"service"`
	Instance ownership.Instance `json:"instance"`
	// IsUsable says that it may get new work, and IsReady that it may get keys too.
	IsUsable bool `json:"usable"`
	IsReady  bool `json:"ready"`
	// Places is how many requests it runs at a time, and Load how many of them are busy on average.
	Places int     `json:"places"`
	Load   float64 `json:"load"`
	// WarmupMS is how much longer it is slow after its start.
	WarmupMS int64 `json:"warmup_ms,omitempty"`
	// IsLeaving says that its daemon is stopping. It goes on serving the keys that it still has.
	IsLeaving bool `json:"leaving,omitempty"`
	// IsCutOff says that the store turns its host away: it cannot watch for others.
	IsCutOff bool `json:"cut_off,omitempty"`
}

// isNewer orders a host's announcements over its registrations.
func (a Announcement) isNewer(than Announcement) bool {
	if a.Epoch != than.Epoch {
		return a.Epoch > than.Epoch
	}
	return a.Count > than.Count
}

// isSameForRoutes tells whether two announcements of a host differ only in their load and their number.
func (a Announcement) isSameForRoutes(other Announcement) bool {
	a.Epoch, a.Count, a.Load = other.Epoch, other.Count, other.Load
	// The time left of a slow start runs down by itself.
	a.WarmupMS = min(a.WarmupMS, other.WarmupMS)
	other.WarmupMS = a.WarmupMS
	return a == other
}

// EntryError reports an entry that cannot be read.
type EntryError struct {
	Key   string
	Cause error
}

func (e *EntryError) Error() string { return "entry " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *EntryError) Unwrap() error { return e.Cause }

// DecodeEntry reads the value of an entry.
func DecodeEntry[T any](e Entry) (T, error) {
	var value T
	if err := json.Unmarshal(e.Data, &value); err != nil {
		return value, &EntryError{Key: e.Key, Cause: err}
	}
	return value, nil
}

// Timing holds the times of the registration.
type Timing struct {
	// LeaseTTL is how long the presence outlives the last renewal.
	LeaseTTL time.Duration
	// RenewInterval is how often the lease is renewed. A renewal costs a tenth of a read.
	RenewInterval time.Duration
	// RetryDelay is the pause after a call that failed.
	RetryDelay time.Duration
}

// DefaultTiming returns the times for a store that answers in milliseconds.
func DefaultTiming() Timing {
	return Timing{
		LeaseTTL:      3500 * time.Millisecond,
		RenewInterval: time.Second,
		RetryDelay:         150 * time.Millisecond,
	}
}
