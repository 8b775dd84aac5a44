// Package admission decides which call runs next on a backend server, and which calls do not run at all.
//
// Policies are pure: calls and the time go in, decisions come out.
package admission

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// Job is a call that waits for a place on the backend server.
type Job struct {
	ID       uint64
	Class    class.Name
	Arrived  time.Time
	Deadline time.Time
	// RetryAfter is set by a policy that refuses or drops the job: when there will be room.
	RetryAfter time.Duration
	// Data belongs to whoever offered the job.
	Data any
}

// Verdict is a decision about one job.
type Verdict struct {
	Job *Job
	// Run is false for a job that is dropped; it surely did not run.
	Run bool
}

// Policy orders the jobs of one backend server. It is not safe for concurrent use.
type Policy interface {
	// SetClasses takes in the classes in force. Queued jobs stay queued.
	SetClasses(now time.Time, classes []class.Class)
	// Know takes in a class that may be newer than the last SetClasses, or left out of it.
	Know(now time.Time, c *class.Class)
	// Offer queues a job, or returns false for one that should not wait.
	Offer(now time.Time, job *Job) bool
	// Next is asked while the server has a free place. It returns the jobs that it drops, and at most
	// one to run, as the last verdict.
	Next(now time.Time) []Verdict
	// Done tells how long a job ran.
	Done(now time.Time, job *Job, took time.Duration)
	// Remove takes out a job whose caller is gone. It returns false if the job is not queued.
	Remove(job *Job) bool
	// Waiting returns how many jobs are queued.
	Waiting() int
	// Backlog returns how long the queued jobs would take one after the other.
	Backlog() time.Duration
}
