package call

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

const (
	// leastRetryAfter is the shortest pause that callers are asked for: one round trip of a distant caller.
	leastRetryAfter = 20 * time.Millisecond
	// defaultRetryAfter is the pause where nothing says when there will be room.
	defaultRetryAfter = 100 * time.Millisecond
)

// Apology is the body of a call that was not answered. It may be screenshotted: plain words and no internals.
type Apology struct {
	Outcome string          `json:"outcome"`
	Message string          `json:"message"`
	Request class.RequestID `json:"request"`
}

// Write sends an answer to the caller: the backend server's whole answer, or an apology. An error means that the
// caller was gone.
func Write(w http.ResponseWriter, id class.RequestID, requestHeader string, a Result) error {
	header := w.Header()
	if a.Outcome == class.Answered {
		for name, values := range a.Header {
			header[name] = values
		}
		header.Set("Content-Length", strconv.Itoa(len(a.Body)))
		if _, ok := header["Content-Type"]; !ok {
			header["Content-Type"] = nil // keeps net/http from guessing one
		}
		w.WriteHeader(a.Status)
		_, err := w.Write(a.Body)
		return err
	}
	status, message := apologise(a)
	body, err := json.Marshal(Apology{Outcome: a.Outcome.String(), Message: message, Request: id})
	if err != nil {
		return err
	}
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if id != "" {
		header.Set(requestHeader, string(id))
	}
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", retryAfter(a.RetryAfter))
	}
	w.WriteHeader(status)
	_, err = w.Write(body)
	return err
}

// HTTPStatus returns the status with which a caller is told an answer.
func HTTPStatus(a Result) int {
	if a.Outcome == class.Answered {
		return a.Status
	}
	status, _ := apologise(a)
	return status
}

// retryAfter formats a pause in seconds with a fraction.
func retryAfter(pause time.Duration) string {
	if pause <= 0 {
		pause = defaultRetryAfter
	}
	pause = max(pause, leastRetryAfter)
	return strconv.FormatFloat(math.Ceil(pause.Seconds()*1000)/1000, 'f', -1, 64)
}

// apologise chooses status and words.
func apologise(a Result) (int, string) {
	switch {
	case a.Outcome == class.Unknown && a.Reason == TimedOut:
		return http.StatusGatewayTimeout, "We could not confirm your request in time. Please check before you send it again."
	case a.Outcome == class.Unknown:
		return http.StatusBadGateway, "We could not confirm your request. Please check before you send it again."
	case a.Reason == UnknownClass:
		return http.StatusNotFound, "There is nothing at this address."
	case a.Reason == BadRequest:
		return http.StatusBadRequest, "The request is incomplete. Nothing was done."
	case a.Reason == TooLarge:
		return http.StatusRequestEntityTooLarge, "The request is too large. Nothing was done."
	default:
		return http.StatusServiceUnavailable, "We are busy. Nothing was done; please try again in a moment."
	}
}
