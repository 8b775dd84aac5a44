package peer

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// The headers of each call and response hold several numbers, separated by commas. Package fmt would take a notable share
// of the processor time of a call.

// formatFields encodes numbers.
func formatFields(values ...int64) string {
	var text []byte
	for i, value := range values {
		if i > 0 {
			text = append(text, ',')
		}
		text = strconv.AppendInt(text, value, 10)
	}
	return string(text)
}

// parseFields decodes numbers up to the first that is not valid, and returns how many there were.
func parseFields(text string, values []int64) int {
	for i := range values {
		field, rest, _ := strings.Cut(text, ",")
		value, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return i
		}
		values[i], text = value, rest
	}
	return len(values)
}

const (
	// requiredLoadFields are the running and the waiting calls, the concurrency limit, and the queue delay in microseconds.
	// The rate delay in microseconds and the slowdown in percent follow if there are any. Daemons of earlier versions
	// ignore fields that they don't know.
	requiredLoadFields = 4
	allLoadFields      = 6
	// normalSlowdown is the slowdown of normal operation in percent.
	normalSlowdown = 100
)

func formatLoad(load call.Load) string {
	delayUS := load.QueueDelay.Microseconds()
	running, waiting, concurrency := int64(load.Running), int64(load.Waiting), int64(load.Concurrency)
	if slowdown := int64(load.Slowdown*normalSlowdown + 0.5); slowdown > normalSlowdown {
		return formatFields(running, waiting, concurrency, delayUS, load.RateDelay.Microseconds(), slowdown)
	}
	if load.RateDelay > 0 {
		return formatFields(running, waiting, concurrency, delayUS, load.RateDelay.Microseconds())
	}
	return formatFields(running, waiting, concurrency, delayUS)
}

// parseLoad returns nil if the text is not a load.
func parseLoad(text string) *call.Load {
	if text == "" {
		return nil
	}
	var fields [allLoadFields]int64
	if parseFields(text, fields[:]) < requiredLoadFields {
		return nil
	}
	return &call.Load{
		Running:     int(fields[0]),
		Waiting:     int(fields[1]),
		Concurrency: int(fields[2]),
		QueueDelay:  time.Duration(fields[3]) * time.Microsecond,
		RateDelay:   time.Duration(fields[4]) * time.Microsecond,
		Slowdown:    float64(max(0, fields[5])) / normalSlowdown,
	}
}

// parseSpec decodes the settings of a class that admission needs: latency in microseconds, rank, and whether it is
// idempotent.
func parseSpec(text string, c *class.Class) error {
	latencyText, rest, _ := strings.Cut(text, ",")
	rankText, idempotentText, _ := strings.Cut(rest, ",")
	latencyUS, latencyErr := strconv.ParseInt(latencyText, 10, 64)
	rank, rankErr := strconv.Atoi(rankText)
	isIdempotent, idempotentErr := strconv.ParseBool(idempotentText)
	if err := errors.Join(latencyErr, rankErr, idempotentErr); err != nil {
		return &MessageError{Part: classSpecHeader, Cause: err.Error()}
	}
	c.Latency = time.Duration(latencyUS) * time.Microsecond
	c.Rank, c.Idempotent = class.Rank(rank), isIdempotent
	return nil
}
