// Package call holds one caller's request on its way and the answer to it.
package call

import (
	"net/http"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// Call is one request of a caller, with what the entry found out about it.
type Call struct {
	ID    class.RequestID
	Class *class.Class
	// Service is the destination that was chosen among those of the class.
	Service class.Service
	// Origin is the service whose backend server runs on the host that took the call in.
	Origin class.Service
	// Key is the key that the call is about, where HasKey says that it has one.
	Key    class.Key
	HasKey bool
	Method string
	URI    string
	// Host is the name under which the caller asked.
	Host     string
	Header   http.Header
	Body     []byte
	Deadline time.Time
	// IsRetry says that an earlier attempt may have reached a backend server.
	IsRetry bool
}

//go:generate go tool stringer -type=Reason -linecomment

// Reason says why a call was not answered by a backend server.
type Reason int

const (
	// None belongs to answered calls.
	None Reason = iota // none
	// UnknownClass means that no class matches the host and path.
	UnknownClass // unknown_class
	// BadRequest means that the request could not be read.
	BadRequest // bad_request
	// TooLarge means that the body is over the limit.
	TooLarge // too_large
	// NotConfigured means that this daemon has no configuration yet.
	NotConfigured // not_configured
	// Closing means that this daemon is about to end.
	Closing // closing
	// NoServer means that no usable backend server is known.
	NoServer // no_server
	// NotOwner means that the asked daemon's backend server does not hold the key.
	NotOwner // not_owner
	// Overload means that there is no room for the call inside its deadline.
	Overload // overload
	// Late means that the call could not have met its deadline any more.
	Late // late
	// Refused means that the backend server refused the call before it began.
	Refused // refused
	// Shed means that the backend server refused the call before it began, because it had too much to do.
	Shed // shed
	// Unreachable means that the next hop could not be reached; nothing was sent.
	Unreachable // unreachable
	// AnswerLost means that the call was handed over and no whole answer came back.
	AnswerLost // answer_lost
	// TimedOut means that the call was handed over and its time ended before its answer.
	TimedOut // timed_out
	// CallerGone means that the caller went away.
	CallerGone // caller_gone
)

// ParseReason reads a reason from its text. Anything unreadable is AnswerLost, the cautious answer.
func ParseReason(text string) Reason {
	for r := None; r <= CallerGone; r++ {
		if r.String() == text {
			return r
		}
	}
	return AnswerLost
}

// Result is how a call ended.
type Result struct {
	Outcome class.Outcome
	Reason  Reason
	Status  int
	Header  http.Header
	Body    []byte
	// Host names the daemon beside the backend server that ran or refused the call.
	Host string
	// RetryAfter is when there will be room, for a call that was refused.
	RetryAfter time.Duration
	// Load is what the daemon said of its backend server, if it said anything.
	Load *Load
}

// Load is how much a backend server has to do.
type Load struct {
	// Running and Waiting are numbers of calls.
	Running int
	Waiting int
	// Places is how many calls run at a time.
	Places int
	// Wait is how long a new call would wait.
	Wait time.Duration
}

// NotRun returns the answer to a call that surely did not begin.
func NotRun(reason Reason) Result {
	return Result{Outcome: class.NotRun, Reason: reason}
}

// Unknown returns the answer to a call that may have run.
func Unknown(reason Reason) Result {
	return Result{Outcome: class.Unknown, Reason: reason}
}
