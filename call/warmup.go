package call

import (
	"math"
	"strconv"
	"time"
)

// maxWarmup is the longest remaining warm-up that is believed. A server that states more is mistaken.
const maxWarmup = 10 * time.Minute

// WarmupError reports a remaining warm-up of a backend server that is no number of milliseconds from zero to ten minutes.
type WarmupError struct{ Value string }

// Error implements error.
func (e *WarmupError) Error() string {
	return "remaining warm-up of the backend server: invalid value " + e.Value
}

// ParseWarmup parses the remaining warm-up of a backend server in milliseconds. The error is a WarmupError.
func ParseWarmup(text string) (time.Duration, error) {
	ms, err := strconv.ParseFloat(text, 64)
	isValid := err == nil && ms >= 0 && ms <= float64(maxWarmup.Milliseconds()) && !math.IsNaN(ms)
	if !isValid {
		return 0, &WarmupError{Value: strconv.Quote(text)}
	}
	return time.Duration(ms * float64(time.Millisecond)), nil
}
