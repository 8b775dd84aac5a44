package ownership

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// Message is what daemons tell each other about ownership. Messages may be lost, doubled and reordered.
type Message interface{ message() }

// VouchRequest asks a witness to vouch for a member until a fixed time after receipt.
type VouchRequest struct {
	Service    class.Service `json:"s"`
	Member     Ref           `json:"m"`
	Witness    Ref           `json:"w"`
	Generation Generation    `json:"g"`
	Sequence   uint64        `json:"q"`
	// Probe asks only whether the witness can be heard. It is no claim, and keeps nobody from taking over.
	Probe bool `json:"p,omitempty"`
}

// VouchReply is a witness's answer to a VouchRequest.
type VouchReply struct {
	Member   Ref    `json:"m"`
	Witness  Ref    `json:"w"`
	Sequence uint64 `json:"q"`
	// Sealed is the generation up to which the witness refuses claims; the vouch is refused if it is not below the claim.
	Sealed  Generation `json:"e,omitempty"`
	Granted bool       `json:"o,omitempty"`
	// Probe answers a probe: nothing is promised.
	Probe bool `json:"p,omitempty"`
	// Restarted says that the addressed incarnation of the witness is gone.
	Restarted bool `json:"r,omitempty"`
}

// SealRequest asks a witness to refuse all claims of a member up to a generation, for good.
type SealRequest struct {
	Member     Ref        `json:"m"`
	Witness    Ref        `json:"w"`
	Generation Generation `json:"g"`
	Taker      Ref        `json:"t"`
}

// SealReply confirms a seal and tells how long the newest vouch still runs on the witness's clock.
type SealReply struct {
	Member     Ref           `json:"m"`
	Witness    Ref           `json:"w"`
	Generation Generation    `json:"g"`
	Remaining  time.Duration `json:"remaining_ns"`
}

// SilenceNotice tells a cell's members that a member's vouches at one witness have run out.
type SilenceNotice struct {
	Service class.Service `json:"s"`
	Member  Ref           `json:"m"`
	Witness Ref           `json:"w"`
}

func (VouchRequest) message()  {}
func (VouchReply) message()    {}
func (SealRequest) message()   {}
func (SealReply) message()     {}
func (SilenceNotice) message() {}

// Effect is something that the state machine wants done.
type Effect interface{ effect() }

// Send asks for a message to be sent to a daemon.
type Send struct {
	To      Ref
	Message Message
}

// Notify asks for a silence notice to be sent to all members of a cell.
type Notify struct {
	Notice SilenceNotice
}

// Read asks for the cell's record to be read from the store.
type Read struct{}

// Write asks for a record to be written by compare-and-swap against a revision.
type Write struct {
	Base   Revision
	Record *Record
}

// Adopted says that a newer record is known. It should be spread to other daemons.
type Adopted struct {
	Known Versioned
}

// Quiesce asks the traffic side to report, through Machine.Idle, when slots have no running work left.
type Quiesce struct {
	Slots []class.Slot
	// Token identifies this request; Machine.Idle repeats it.
	Token uint64
}

// Event reports something for the time line.
type Event struct {
	Kind   EventKind
	Member Ref
	Detail string
}

//go:generate go tool stringer -type=EventKind -linecomment

// EventKind says what happened to a cell.
type EventKind int

const (
	// EventJoined says that this daemon became a member.
	EventJoined EventKind = iota // joined
	// EventLeft says that this daemon gave everything away and is no longer a member.
	EventLeft // left
	// EventRemoved says that another member took this daemon's slots.
	EventRemoved // removed
	// EventSuspected says that a majority of a member's witnesses called it silent.
	EventSuspected // suspected
	// EventTookOver says that this daemon removed a silent member.
	EventTookOver // took_over
	// EventMoved says that this daemon gave slots away by consent.
	EventMoved // moved
	// EventWitnesses says that this daemon changed its witnesses.
	EventWitnesses // witnesses_changed
	// EventSealed says that this daemon was refused because of a seal and rises above it.
	EventSealed // sealed
)

func (Send) effect()    {}
func (Notify) effect()  {}
func (Read) effect()    {}
func (Write) effect()   {}
func (Adopted) effect() {}
func (Quiesce) effect() {}
func (Event) effect()   {}
