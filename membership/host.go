package membership

import (
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// Presence is the registration of a host in the store. It changes only with a new registration.
type Presence struct {
	Host    ownership.HostID        `json:"host"`
	Domain  ownership.FailureDomain `json:"failure_domain"`
	Service class.Service           `json:"service"`
	// HopAddress, ControlAddress and OperatorAddress are where the host's daemon accepts forwarded calls, control
	// messages and operator requests.
	HopAddress      string `json:"hop"`
	ControlAddress  string `json:"control"`
	OperatorAddress string `json:"operator"`
	// Epoch counts the host's registrations.
	Epoch ownership.Epoch `json:"epoch"`
	// PackedFormat is the version of packed announcements that the host reads, or zero if it reads JSON only.
	PackedFormat int `json:"packed_format,omitempty"`
}

// Validate checks the addresses. The error is an AddressError.
func (p Presence) Validate() error {
	for _, address := range []string{p.HopAddress, p.ControlAddress, p.OperatorAddress} {
		if address == "" {
			continue // the host does not offer this
		}
		_, port, err := net.SplitHostPort(address)
		if err != nil {
			return &AddressError{Address: address, Reason: "want HOST:PORT"}
		}
		if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
			return &AddressError{Address: address, Reason: "the port must be from 1 to 65535"}
		}
	}
	return nil
}

// AddressError reports an address at which no daemon can be reached.
type AddressError struct{ Address, Reason string }

func (e *AddressError) Error() string { return "invalid address " + e.Address + ": " + e.Reason }

// Announcement is the state of a backend server that its daemon sends to the other daemons. It does not go through the
// store.
type Announcement struct {
	Host ownership.HostID `json:"host"`
	// Epoch is the host's registration epoch. Sequence numbers the announcements of one epoch.
	Epoch    ownership.Epoch    `json:"epoch"`
	Sequence uint32             `json:"count"`
	Service  class.Service      `json:"service"`
	Instance ownership.Instance `json:"instance"`
	// IsUsable reports that the backend server may get new work, and IsReady that it may also get keys.
	IsUsable bool `json:"usable"`
	IsReady  bool `json:"ready"`
	// Concurrency is how many requests the backend server runs at a time. Load is how many are running on average, or
	// would be if none were rejected.
	Concurrency int     `json:"places"`
	Load        float64 `json:"load"`
	// WarmupMS is for how much longer the backend server is slow after its start.
	WarmupMS int64 `json:"warmup_ms,omitempty"`
	// RunTimes holds the mean run times of classes on the backend server, as encoded by capacity.RunTimes. It is empty
	// unless the configuration is load-aware.
	RunTimes string `json:"run_times,omitempty"`
	// IsShuttingDown reports that the daemon is shutting down. It continues to serve the keys that it still owns.
	IsShuttingDown bool `json:"leaving,omitempty"`
	// IsStoreUnreachable reports that the store does not serve the host, so that the daemon cannot watch the store on
	// behalf of other daemons.
	IsStoreUnreachable bool `json:"cut_off,omitempty"`
}

// isNewer reports whether an announcement of a host is newer than another one, across registrations.
func (a Announcement) isNewer(than Announcement) bool {
	if a.Epoch != than.Epoch {
		return a.Epoch > than.Epoch
	}
	return a.Sequence > than.Sequence
}

// isSameRouting reports whether two announcements of a host lead to the same routes: they differ at most in their load,
// their run times, their epoch and sequence, and the remaining warm-up.
func (a Announcement) isSameRouting(other Announcement) bool {
	// The remaining warm-up decreases without a change of the backend server.
	a.Epoch, a.Sequence, a.Load, a.WarmupMS = other.Epoch, other.Sequence, other.Load, other.WarmupMS
	a.RunTimes = other.RunTimes
	return a == other
}

// EntryError reports an entry that cannot be decoded or encoded.
type EntryError struct {
	Key   string
	Cause error
}

func (e *EntryError) Error() string { return "entry " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *EntryError) Unwrap() error { return e.Cause }

// DecodeEntry decodes the data of an entry from JSON.
func DecodeEntry[T any](e Entry) (T, error) {
	var value T
	if err := json.Unmarshal(e.Data, &value); err != nil {
		return value, &EntryError{Key: e.Key, Cause: err}
	}
	return value, nil
}

// Timing holds the timing of the registration.
type Timing struct {
	// LeaseTTL is how long the presence remains in the store after the last renewal of the lease.
	LeaseTTL time.Duration
	// RenewInterval is the interval of lease renewals. A renewal costs a tenth of a read.
	RenewInterval time.Duration
	// RetryDelay is the delay after a failed call.
	RetryDelay time.Duration
}

// DefaultTiming returns the timing for a store that responds within milliseconds.
func DefaultTiming() Timing {
	return Timing{
		LeaseTTL:      3500 * time.Millisecond,
		RenewInterval: 1500 * time.Millisecond,
		RetryDelay:    150 * time.Millisecond,
	}
}
