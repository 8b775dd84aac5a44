package link

import "fmt"

const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// StatusError reports a response whose status is not one of three digits from 200 to 599. Such a message is not a response,
// and nothing of it may be used.
type StatusError struct{ Status string }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("response has the invalid status %q", e.Status)
}

// CheckStatus returns a StatusError unless a final response may have the status. Package net/http reads any three
// characters that are a number, so that it takes "+20" as 20, and panics when it is told to write a status below 100. The
// text is the status line after the version, for the error.
func CheckStatus(status int, text string) error {
	if status >= minFinalStatus && status <= maxFinalStatus {
		return nil
	}
	return &StatusError{Status: text[:min(len(text), len("000"))]}
}
