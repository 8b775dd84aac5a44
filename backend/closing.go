package backend

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/call"
)

// RejectCalls rejects all further calls, because this daemon would end before they finish.
func (r *Runner) RejectCalls() { r.isRejecting.Store(true) }

// RejectCallsPast rejects further calls whose deadline is after the time at which this daemon ends, which would cut them.
func (r *Runner) RejectCallsPast(end time.Time) { r.end.Store(&end) }

// isRejected reports whether this daemon would end before the call may.
func (r *Runner) isRejected(c call.Call) bool {
	end := r.end.Load()
	return r.IsRejecting() || end != nil && c.Deadline.After(*end)
}

// IsRejecting reports whether all further calls are rejected.
func (r *Runner) IsRejecting() bool { return r.isRejecting.Load() }
