package capacity

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// RunTimes maps classes to their mean run times on one backend server.
type RunTimes map[class.Name]time.Duration

const (
	// fieldSeparator separates the classes of an encoded text, and valueSeparator a class and its run time. A class whose
	// name contains one of them is not encoded.
	fieldSeparator = ","
	valueSeparator = "="
	// runTimeUnit is the resolution of an encoded run time.
	runTimeUnit = 100 * time.Microsecond
	// maxRunTime bounds an encoded run time. No call runs that long.
	maxRunTime = time.Hour
)

// Encode returns the run times as text for announcements: classes with their run time in tenths of a millisecond, for
// example "order=1503,lookup=1198".
func (r RunTimes) Encode() string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(r)) {
		units := int64((r[name] + runTimeUnit/2) / runTimeUnit)
		if units <= 0 || r[name] > maxRunTime || strings.ContainsAny(string(name), fieldSeparator+valueSeparator) {
			continue
		}
		if text.Len() > 0 {
			text.WriteString(fieldSeparator)
		}
		text.WriteString(string(name) + valueSeparator + strconv.FormatInt(units, 10))
	}
	return text.String()
}

// Mean returns the mean run time of the classes, or the given time if there are none.
func (r RunTimes) Mean(otherwise time.Duration) time.Duration {
	if len(r) == 0 {
		return otherwise
	}
	var sum time.Duration
	for _, runTime := range r {
		sum += runTime
	}
	return sum / time.Duration(len(r))
}

// DecodeRunTimes decodes the text that Encode returns. The error is a RunTimesError.
func DecodeRunTimes(text string) (RunTimes, error) {
	runTimes := RunTimes{}
	if text == "" {
		return runTimes, nil
	}
	for field := range strings.SplitSeq(text, fieldSeparator) {
		name, value, _ := strings.Cut(field, valueSeparator)
		units, err := strconv.ParseInt(value, 10, 64)
		if err != nil || name == "" || units <= 0 || units > int64(maxRunTime/runTimeUnit) {
			return nil, &RunTimesError{Text: text}
		}
		runTimes[class.Name(name)] = time.Duration(units) * runTimeUnit
	}
	return runTimes, nil
}

// RunTimesError reports announced run times that cannot be decoded.
type RunTimesError struct{ Text string }

// Error implements error.
func (e *RunTimesError) Error() string { return "invalid run times " + strconv.Quote(e.Text) }
