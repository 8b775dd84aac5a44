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
	// minRetryAfter is the shortest delay that the Retry-After header asks for: one round trip of a distant caller.
	minRetryAfter = 20 * time.Millisecond
	// defaultRetryAfter is the delay if it is not known when there will be capacity.
	defaultRetryAfter = 100 * time.Millisecond
)

// ErrorBody is the JSON body of the response to a call that was not answered. End users may see and publish it, for
// instance as a screenshot, so the message is in plain words and reveals no internals.
type ErrorBody struct {
	Outcome string          `json:"outcome"`
	Message string          `json:"message"`
	Request class.RequestID `json:"request"`
}

// Write sends a result to the caller: the complete response of the backend server, or else an ErrorBody. An error means
// that the caller has disconnected.
func Write(w http.ResponseWriter, id class.RequestID, requestHeader string, result Result) error {
	header := w.Header()
	if result.Outcome == class.Answered {
		for name, values := range result.Header {
			header[name] = values
		}
		header.Set("Content-Length", strconv.Itoa(len(result.Body)))
		if _, ok := header["Content-Type"]; !ok {
			header["Content-Type"] = nil // prevents net/http from detecting a content type
		}
		w.WriteHeader(result.Status)
		_, err := w.Write(result.Body)
		return err
	}
	status, message := errorResponse(result)
	body, err := json.Marshal(ErrorBody{Outcome: result.Outcome.String(), Message: message, Request: id})
	if err != nil {
		return err
	}
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if id != "" {
		header.Set(requestHeader, string(id))
	}
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", formatRetryAfter(result.RetryAfter))
	}
	w.WriteHeader(status)
	_, err = w.Write(body)
	return err
}

// HTTPStatus returns the status code of the response that a caller gets for a result.
func HTTPStatus(result Result) int {
	if result.Outcome == class.Answered {
		return result.Status
	}
	status, _ := errorResponse(result)
	return status
}

// formatRetryAfter formats a delay in seconds, rounded up to milliseconds, for the Retry-After header.
func formatRetryAfter(delay time.Duration) string {
	if delay <= 0 {
		delay = defaultRetryAfter
	}
	delay = max(delay, minRetryAfter)
	return strconv.FormatFloat(math.Ceil(delay.Seconds()*1000)/1000, 'f', -1, 64)
}

// errorResponse returns the status code and the message for a call that was not answered.
func errorResponse(result Result) (int, string) {
	switch {
	case result.Outcome == class.Unknown && result.Reason == TimedOut:
		return http.StatusGatewayTimeout,
			"We could not confirm your request in time. Please check before you send it again."
	case result.Outcome == class.Unknown:
		return http.StatusBadGateway, "We could not confirm your request. Please check before you send it again."
	case result.Reason == UnknownClass:
		return http.StatusNotFound, "There is nothing at this address."
	case result.Reason == BadRequest:
		return http.StatusBadRequest, "The request is incomplete. Nothing was done."
	case result.Reason == TooLarge:
		return http.StatusRequestEntityTooLarge, "The request is too large. Nothing was done."
	case result.Reason == Quarantined:
		return http.StatusServiceUnavailable,
			"This request has failed several times, and we hold it back for a while. Nothing was done."
	default:
		return http.StatusServiceUnavailable, "We are busy. Nothing was done; please try again in a moment."
	}
}
