// Package backend talks to the backend server beside a daemon, and holds the part that backend servers embed.
package backend

import (
	"fmt"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// Paths of the protocol between a daemon and the backend server beside it.
const (
	// AnnouncePath at the daemon takes an Announcement.
	AnnouncePath = "/announce"
	// GrantPath at the backend server takes a Grant.
	GrantPath = "/skylarkrelay/grant"
)

// Headers of an order.
const (
	EpochHeader    = "Skylark-Epoch"
	SlotHeader     = "Skylark-Slot"
	FenceHeader    = "Skylark-Fence"
	DeadlineHeader = "Skylark-Deadline-Ms"
	GrantHeader    = "Skylark-Grant-Ms"
	RequestHeader  = "Skylark-Request"
	ClassHeader    = "Skylark-Class"
	// RefusedHeader is set by a backend server that refuses an order before it begins.
	RefusedHeader = "Skylark-Refused"
)

// Announcement is what a backend server says of itself, again every second.
type Announcement struct {
	Service class.Service `json:"service"`
	// Address takes orders and grants, host:port.
	Address string `json:"address"`
	// Slots is how many orders run at a time.
	Slots int `json:"slots"`
	// Connections is how many connections the server accepts.
	Connections int `json:"connections"`
	// ChecksFences says that the server refuses orders with an old epoch, fence or deadline.
	ChecksFences bool `json:"checks_fences"`
	// Draining says that the server wants no new work.
	Draining bool `json:"draining"`
}

// AnnouncementError reports an announcement that cannot be used.
type AnnouncementError struct {
	Field  string
	Reason string
}

func (e *AnnouncementError) Error() string {
	return fmt.Sprintf("announcement: %s %s", e.Field, e.Reason)
}

// Check returns the first thing wrong with an announcement.
func (a Announcement) Check() error {
	switch {
	case a.Service == "":
		return &AnnouncementError{Field: "service", Reason: "is empty"}
	case a.Address == "":
		return &AnnouncementError{Field: "address", Reason: "is empty"}
	case a.Slots < 1:
		return &AnnouncementError{Field: "slots", Reason: "is below 1"}
	case a.Connections < a.Slots:
		return &AnnouncementError{Field: "connections", Reason: "is below slots"}
	default:
		return nil
	}
}

// Epoch counts a daemon's grants to its backend server. A later grant has a higher epoch.
type Epoch uint64

// Fence is the generation in which a daemon got a slot.
type Fence uint64

// Stamp is a moment on a backend server's own clock.
type Stamp struct {
	// Life identifies the server's process.
	Life string `json:"life"`
	// Elapsed is the time since the process started.
	Elapsed time.Duration `json:"elapsed_ns"`
}

// Grant allows a backend server to begin orders of an epoch until some time after a stamp that it gave itself.
// A grant that lay in the buffers of a frozen server is therefore worth nothing when the server goes on.
type Grant struct {
	Epoch Epoch         `json:"epoch"`
	Since Stamp         `json:"since"`
	For   time.Duration `json:"for_ns"`
}

//go:generate go tool stringer -type=Refusal -linecomment

// Refusal says why a backend server did not begin an order.
type Refusal int

const (
	// StaleEpoch means that the order belongs to an older grant.
	StaleEpoch Refusal = iota // stale_epoch
	// StaleFence means that a newer owner has given orders for the slot.
	StaleFence // stale_fence
	// NoGrant means that the grant has run out.
	NoGrant // no_grant
	// TooLate means that the order's deadline has passed.
	TooLate // too_late
	// Shed means that the server has too much to do.
	Shed // shed
	// Leaving means that the server is draining.
	Leaving // draining
)

// RefusalError reports an order that the backend server did not begin.
type RefusalError struct {
	Refusal Refusal
}

func (e *RefusalError) Error() string { return "order refused: " + e.Refusal.String() }
