// Package call holds one caller's request on its way and the answer to it.
package call

import (
	"net/http"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// Unkeyed is the slot of a call that belongs to no key.
const Unkeyed = -1

// Call is one request of a caller, with what the entry found out about it.
type Call struct {
	ID       class.RequestID
	Class    class.Class
	Key      class.Key
	Slot     int
	Method   string
	URI      string
	Header   http.Header
	Body     []byte
	Deadline time.Time
	// Idempotency is the caller's own key for the request, if it gave one.
	Idempotency string
	// IsRepeat says that the caller has sent the request before and lost the answer.
	IsRepeat bool
}

//go:generate go tool stringer -type=Reason -linecomment

// Reason says why a call was not answered.
type Reason int

const (
	// None belongs to answered calls.
	None Reason = iota // none
	// UnknownClass means that no class matches the method and path.
	UnknownClass // unknown_class
	// MissingKey means that a keyed call has an empty key.
	MissingKey // missing_key
	// TooLarge means that the body is over the limit.
	TooLarge // too_large
	// BadRequest means that the request could not be read.
	BadRequest // bad_request
	// NoServer means that no backend server could take the call in time.
	NoServer // no_server
	// NotOwner means that the asked daemon does not own the key's slot.
	NotOwner // not_owner
	// Overload means that the classes' targets leave no room for the call.
	Overload // overload
	// Late means that the call could not have met its deadline any more.
	Late // late
	// Refused means that the backend server refused the call before it began: its grant or fence was old, or it drains.
	Refused // refused
	// Shed means that the backend server refused the call before it began, because it had too much to do.
	Shed // shed
	// Unreachable means that the next hop could not be reached; nothing was sent.
	Unreachable // unreachable
	// AnswerLost means that the call was handed over and no whole answer came back.
	AnswerLost // answer_lost
	// Interrupted means that the lease or grant ended while the call ran.
	Interrupted // interrupted
	// MemoryLost means that a repeated call may have run at a former owner.
	MemoryLost // memory_lost
	// CallerGone means that the caller went away.
	CallerGone // caller_gone
)

// ParseReason reads a reason from its text.
func ParseReason(text string) Reason {
	for r := None; r <= CallerGone; r++ {
		if r.String() == text {
			return r
		}
	}
	return AnswerLost
}

// Answer is how a call ended.
type Answer struct {
	Outcome class.Outcome
	Reason  Reason
	Status  int
	Header  http.Header
	Body    []byte
	// Host ran the call.
	Host string
}

// NotRun returns the answer to a call that surely did not begin.
func NotRun(reason Reason) Answer {
	return Answer{Outcome: class.NotRun, Reason: reason}
}

// Unknown returns the answer to a call that may have run.
func Unknown(reason Reason) Answer {
	return Answer{Outcome: class.Unknown, Reason: reason}
}
