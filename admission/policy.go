// Package admission implements admission control for a backend server: it queues calls, limits how many run at a time,
// decides which call runs next, and rejects calls that would miss their deadline or exceed the capacity.
//
// Policies perform no I/O and read no clock: their decisions depend only on the calls and times passed to them.
package admission

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// Job is a call that is queued for the backend server.
type Job struct {
	ID       uint64
	Class    class.Name
	Arrived  time.Time
	Deadline time.Time
	// IsReturn reports whether the call returned after the Retry-After of an earlier rejection.
	IsReturn bool
	// RetryAfter may be set by a policy that rejects or drops the job. It is the time until capacity is expected to be
	// free.
	RetryAfter time.Duration
	// Data is for use by the caller of Policy.Offer. Policies ignore it.
	Data any
}

// Decision is the result of a policy for one job.
type Decision struct {
	Job *Job
	// Run is true for a job to start now, and false for a dropped job, which has not run.
	Run bool
}

// Policy orders the jobs of one backend server. It is not safe for concurrent use.
type Policy interface {
	// SetClasses replaces the classes in force. Queued jobs stay queued.
	SetClasses(now time.Time, classes []class.Class)
	// UpdateClass adds or updates one class. The class may be newer than the last SetClasses or missing from it.
	UpdateClass(now time.Time, c *class.Class)
	// Offer queues a job, or returns false if the job is rejected.
	Offer(now time.Time, job *Job) bool
	// Next is called while fewer jobs run than the concurrency limit allows. It returns the jobs that it drops,
	// followed by at most one to run.
	Next(now time.Time) []Decision
	// Done records how long a job ran.
	Done(now time.Time, job *Job, runTime time.Duration)
	// Remove removes a job from its queue, for example because its caller disconnected. It returns false if the job is
	// not queued.
	Remove(job *Job) bool
	// Waiting returns the number of queued jobs.
	Waiting() int
	// Backlog returns the expected total run time of the queued jobs.
	Backlog() time.Duration
	// ServiceTime returns the expected run time of a job of a class.
	ServiceTime(name class.Name) time.Duration
}
