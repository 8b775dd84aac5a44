package call

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// Headers that callers see.
const (
	OutcomeHeader = "Skylark-Outcome"
	RequestHeader = "Skylark-Request"
	HostHeader    = "Skylark-Host"
	// IdempotencyHeader carries the caller's own key for a request.
	IdempotencyHeader = "Idempotency-Key"
	// RepeatHeader marks a request that the caller sends again.
	RepeatHeader = "Skylark-Repeat"
	// TimeoutHeader lets a caller shorten the class's timeout; its value is a duration such as "300ms".
	TimeoutHeader = "Skylark-Timeout"
)

// retryAfter is the pause that callers are asked for, in seconds.
const retryAfter = "1"

// Apology is the body of a call that was not answered. It may be screenshotted: plain words and no internals.
type Apology struct {
	Outcome string          `json:"outcome"`
	Message string          `json:"message"`
	Request class.RequestID `json:"request"`
}

// Write sends an answer to the caller: the backend server's whole answer, or an apology.
func Write(w http.ResponseWriter, id class.RequestID, a Answer) {
	header := w.Header()
	header.Set(OutcomeHeader, a.Outcome.String())
	header.Set(RequestHeader, string(id))
	if a.Outcome == class.Answered {
		for name, values := range a.Header {
			header[name] = values
		}
		header.Set(HostHeader, a.Host)
		header.Set("Content-Length", strconv.Itoa(len(a.Body)))
		w.WriteHeader(a.Status)
		_, _ = w.Write(a.Body) // a caller that is gone cannot be told
		return
	}
	status, message := apologise(a)
	body, err := json.Marshal(Apology{Outcome: a.Outcome.String(), Message: message, Request: id})
	if err != nil {
		panic(err) // an Apology holds nothing that JSON refuses
	}
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", retryAfter)
	}
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that is gone cannot be told
}

// apologise chooses status and words.
func apologise(a Answer) (int, string) {
	switch {
	case a.Outcome == class.Unknown:
		return http.StatusGatewayTimeout, "We could not confirm your request. Please check before you send it again."
	case a.Reason == UnknownClass:
		return http.StatusNotFound, "There is nothing at this address."
	case a.Reason == MissingKey || a.Reason == BadRequest:
		return http.StatusBadRequest, "The request is incomplete. Nothing was done."
	case a.Reason == TooLarge:
		return http.StatusRequestEntityTooLarge, "The request is too large. Nothing was done."
	default:
		return http.StatusServiceUnavailable, "We are busy. Nothing was done; please try again in a moment."
	}
}
