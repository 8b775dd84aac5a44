package daemon

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// Explain implements operator.Daemon.
func (d *Daemon) Explain(r caller.Request) (caller.Explanation, error) {
	e, err := d.callerHandler.Explain(r)
	if err != nil {
		return e, err
	}
	e.AssessLocal(d.settings.Host, func(c call.Call) (*admission.Assessment, call.Reason, int64) {
		a, isAllowed := d.runner.Assess(c)
		switch {
		case !isAllowed:
			return &a, call.NotOwner, 0
		case !a.IsAdmitted:
			return &a, call.Overload, a.RetryAfterMS
		default:
			return &a, call.None, 0
		}
	})
	return e, nil
}

// seenRecord is an ownership record with the time at which this daemon first routed by it.
type seenRecord struct {
	record *ownership.Record
	at     time.Time
}

// recordSeenAt returns when this daemon first routed by the current record of a service.
func (c *control) recordSeenAt(service class.Service) time.Time {
	record := c.records[service]
	if record == nil {
		delete(c.seenRecords, service)
		return time.Time{}
	}
	if seen := c.seenRecords[service]; seen.record != record {
		c.seenRecords[service] = seenRecord{record: record, at: c.clock.Now()}
	}
	return c.seenRecords[service].at
}
