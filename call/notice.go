package call

import "golang.org/x/time/rate"

// Notice is what a backend server states about itself in a response.
type Notice struct {
	// RateLimit is how many requests per second the server accepts from all hosts together. It is rate.Inf if the
	// response states no limit. It is valid only if Err is nil.
	RateLimit rate.Limit
	// Err is a NoticeError if the response states a limit that cannot be parsed.
	Err error
	// IsLeaving reports that the server is about to end. It does not return to service as the same instance.
	IsLeaving bool
}

// NoticeError reports a header in which a backend server states something about itself and that cannot be parsed.
type NoticeError struct {
	Header string
	Value  string
}

// Error implements error.
func (e *NoticeError) Error() string {
	return "header " + e.Header + " of a response: invalid value " + e.Value
}
