package daemon

import (
	"strings"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// usageInterval is the interval at which the usage of the daemon is logged.
const usageInterval = 5 * time.Second

// Prefixes of the counters of calls by outcome, and of attempts that were not answered by reason.
const (
	callsPrefix    = "calls."
	attemptsPrefix = "attempts."
	// abandonedPrefix precedes the names of the counters of callers that left before their call was sent.
	abandonedPrefix = "abandoned."
)

// usage is what the daemon has used and done since its start.
type usage struct {
	processorTime time.Duration
	calls         int64
	// unanswered is the number of attempts that were not answered, and rejected the number of those that the admission
	// control of a server rejected. Both exceed the calls if calls are offered to several servers.
	unanswered int64
	rejected   int64
}

// usageMeter reports the usage of the daemon in intervals.
type usageMeter struct {
	reportedAt ownership.Instant
	reported   usage
}

// reportUsage logs the usage since the last report when it is due.
func (c *control) reportUsage(now ownership.Instant) {
	m := &c.usageMeter
	elapsed := now.Sub(m.reportedAt)
	if elapsed < usageInterval {
		return
	}
	current, err := c.observer.usage()
	if err != nil {
		c.log.Warn("processor time of the daemon unknown", "error", err)
	}
	previous := m.reported
	m.reportedAt, m.reported = now, current
	metrics.GetOrRegisterGauge("process.cpu_ms", c.observer.registry).Update(current.processorTime.Milliseconds())
	c.daemon.reportBodies()
	c.log.Info("usage", "interval_ms", elapsed.Milliseconds(),
		"cpu_ms", (current.processorTime - previous.processorTime).Milliseconds(),
		"calls", current.calls-previous.calls,
		"attempts_unanswered", current.unanswered-previous.unanswered,
		"attempts_rejected", current.rejected-previous.rejected)
}

// usage returns what the daemon has used and done. If the processor time is unknown, it is zero.
func (o *observer) usage() (usage, error) {
	var u usage
	o.registry.Each(func(name string, metric any) {
		counter, ok := metric.(metrics.Counter)
		if !ok {
			return
		}
		if strings.HasPrefix(name, callsPrefix) {
			u.calls += counter.Count()
		}
		if reason, isAttempt := strings.CutPrefix(name, attemptsPrefix); isAttempt {
			u.unanswered += counter.Count()
			if call.ParseReason(reason).IsAdmissionRejection() {
				u.rejected += counter.Count()
			}
		}
	})
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return u, err
	}
	u.processorTime = time.Duration(used.Utime.Nano() + used.Stime.Nano())
	return u, nil
}
