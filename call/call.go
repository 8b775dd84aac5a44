// Package call defines a caller's request and its result, and the HTTP headers and bodies that carry them.
package call

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// Call is one request of a caller, with its class, destination, key and deadline.
type Call struct {
	ID    class.RequestID
	Class *class.Class
	// Service is the destination that was selected from those of the class.
	Service class.Service
	// Origin is the service whose backend server runs on the host that accepted the call.
	Origin class.Service
	// Key is the key that the call refers to. It is valid only if HasKey is set.
	Key    class.Key
	HasKey bool
	Method string
	URI    string
	// Host is the value of the request's Host header.
	Host     string
	Header   http.Header
	Body     []byte
	Deadline time.Time
	// IsRetry reports whether an earlier attempt may have reached a backend server.
	IsRetry bool
	// IsSuspected reports whether a backend server ended during an earlier attempt.
	IsSuspected bool
	// IsNested reports whether a backend server makes the call while it runs another one.
	IsNested bool
	// IsReturn reports whether the call was rejected before and returned after its Retry-After.
	IsReturn bool
	// MaxWait is how long the call may be queued at the backend server before it is rejected, so that another one can
	// be asked. Zero means that only the deadline bounds the wait.
	MaxWait time.Duration
}

//go:generate go tool stringer -type=Reason -linecomment

// Reason is the cause for which a call was not answered by a backend server.
type Reason int

const (
	// None is the reason of answered calls.
	None Reason = iota // none
	// UnknownClass means that no class matches the host and path.
	UnknownClass // unknown_class
	// BadRequest means that the request could not be read.
	BadRequest // bad_request
	// TooLarge means that the body exceeds the limit.
	TooLarge // too_large
	// NotConfigured means that this daemon has no configuration yet.
	NotConfigured // not_configured
	// Closing means that this daemon is shutting down.
	Closing // closing
	// NoServer means that no usable backend server is known.
	NoServer // no_server
	// NotOwner means that the daemon that received the call may not send it to its backend server, for instance because
	// the server does not hold the key, or that the call was meant for another host or service.
	NotOwner // not_owner
	// Overload means that admission found no capacity to run the call before its deadline.
	Overload // overload
	// Late means that too little time remained before the deadline to start the call.
	Late // late
	// WaitExceeded means that the call could not start at this server within its maximum wait. Another server may have
	// capacity for it.
	WaitExceeded // wait_exceeded
	// LinkFull means that the link of the server's host has no room for the body of the call or of its response. Another
	// host may have room.
	LinkFull // link_full
	// Refused means that the backend server rejected the call before it started it.
	Refused // refused
	// Shed means that the backend server rejected the call before it started it, because it was overloaded.
	Shed // shed
	// Quarantined means that the call is held back, because backend servers ended while they ran the same request.
	Quarantined // quarantined
	// Dependency means that the call was not started because the calls that it would make fail for lack of capacity.
	Dependency // dependency
	// Unreachable means that no connection to the next hop could be made, so nothing was sent.
	Unreachable // unreachable
	// AnswerLost means that the call was sent, at least in part, and no complete response that is known to come from a
	// backend server was received.
	AnswerLost // answer_lost
	// ServerEnded means that the backend server's process ended while the call was running.
	ServerEnded // server_ended
	// TimedOut means that the call was sent and its deadline passed before the response.
	TimedOut // timed_out
	// CallerGone means that the caller disconnected.
	CallerGone // caller_gone
)

// IsAdmissionRejection reports whether the admission control of a server rejected the call.
func (r Reason) IsAdmissionRejection() bool {
	return r == Overload || r == Late || r == WaitExceeded || r == LinkFull
}

// ParseReason parses the text of a reason. It returns AnswerLost for an unknown text, because that does not claim that
// the call did not run.
func ParseReason(text string) Reason {
	for r := None; r <= CallerGone; r++ {
		if r.String() == text {
			return r
		}
	}
	return AnswerLost
}

// EndReason returns the reason for which a call whose context has ended did not run: Late if its deadline has passed,
// otherwise CallerGone.
func EndReason(ctx context.Context) Reason {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return Late
	}
	return CallerGone
}

// Result is the outcome of a call or of one attempt, with the response of the backend server if it was answered.
type Result struct {
	Outcome class.Outcome
	Reason  Reason
	Status  int
	Header  http.Header
	Body    []byte
	// Host is the host of the backend server that ran or rejected the call.
	Host string
	// RetryAfter is the time after which a rejected call is expected to find capacity.
	RetryAfter time.Duration
	// Load is the load of the backend server as its daemon reported it, or nil.
	Load *Load
	// Notice is what the backend server stated about itself, or nil if it sent no response.
	Notice *Notice
	// IsNested reports whether the daemon beside the backend server knows the call's class as nested.
	IsNested bool
	// IsDisconnected reports whether the backend server closed the connection without a complete response.
	IsDisconnected bool
	// IsUnacknowledged reports whether the other host stopped to acknowledge what it was sent.
	IsUnacknowledged bool
}

// Load is the load of a backend server and the admission queue before it.
type Load struct {
	// Running and Waiting are numbers of calls.
	Running int
	Waiting int
	// Concurrency is the limit for the number of calls that run at a time.
	Concurrency int
	// QueueDelay is the expected wait of a new call.
	QueueDelay time.Duration
	// RateDelay is the part of it that is due to the rate limit of the server. A server at its limit may have no calls
	// running or waiting.
	RateDelay time.Duration
	// Slowdown is how many times as long as usual the server says that its requests take at the moment. Zero or one is
	// normal operation.
	Slowdown float64
}

// NotRun returns the result of a call that is known not to have started.
func NotRun(reason Reason) Result {
	return Result{Outcome: class.NotRun, Reason: reason}
}

// Unknown returns the result of a call that may have run.
func Unknown(reason Reason) Result {
	return Result{Outcome: class.Unknown, Reason: reason}
}
