package call

import (
	"strconv"
	"strings"

	"golang.org/x/time/rate"
)

// Notice is what a backend server states about itself in a response.
type Notice struct {
	// RateLimit is how many requests per second the server accepts from all hosts together. It is rate.Inf if the
	// response states no limit. It is valid only if Err is nil.
	RateLimit rate.Limit
	// Err is a NoticeError if the response states a limit that cannot be parsed.
	Err error
	// IsLeaving reports that the server is about to end. It does not return to service as the same instance.
	IsLeaving bool
	// Load is the load that the server states, or nil.
	Load *ServerLoad
	// LoadErr is a NoticeError if the response states a load that cannot be parsed.
	LoadErr error
}

// ServerLoad is the load that a backend server states in a response.
type ServerLoad struct {
	// Running, Waiting and Slots are the numbers of running and queued requests, and of those that may run at a time.
	Running, Waiting, Slots int
	// Slowdown is how many times as long as usual a request takes at the moment. It may change many times a second.
	Slowdown float64
}

const (
	// requiredServerLoadFields are the running and the queued requests, and the slots. The slowdown in percent may follow.
	requiredServerLoadFields = 3
	allServerLoadFields      = 4
	// maxServerLoadField bounds the fields. A greater number is no load of a single server.
	maxServerLoadField = 1 << 20
)

// ParseServerLoad parses the load header of a response: the running and the queued requests, the slots, and optionally
// the slowdown in percent, separated by commas. The header's name is used for errors only.
func ParseServerLoad(header, text string) (*ServerLoad, error) {
	fields := strings.Split(text, ",")
	if len(fields) < requiredServerLoadFields || len(fields) > allServerLoadFields {
		return nil, &NoticeError{Header: header, Value: text}
	}
	values := [allServerLoadFields]float64{3: 100}
	for i, field := range fields {
		value, err := strconv.ParseFloat(strings.TrimSpace(field), 64)
		isValid := err == nil && value >= 0 && value <= maxServerLoadField // false for NaN
		if !isValid {
			return nil, &NoticeError{Header: header, Value: text}
		}
		values[i] = value
	}
	if values[2] < 1 || values[3] == 0 {
		return nil, &NoticeError{Header: header, Value: text}
	}
	return &ServerLoad{
		Running:  int(values[0]),
		Waiting:  int(values[1]),
		Slots:    int(values[2]),
		Slowdown: values[3] / 100,
	}, nil
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
