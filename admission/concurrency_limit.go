package admission

const (
	// limitDecrease is subtracted from the limit for each job that the server shed, in concurrent jobs. The limit does
	// not fall below minLimitShare of the announced concurrency.
	limitDecrease = 0.25
	minLimitShare = 0.67
	// limitIncrease is added to the limit for each job that ran, in concurrent jobs.
	limitIncrease = 0.05
	// toleratedTimeouts is the number of consecutive jobs that the server may leave unanswered without a lower limit. Each
	// further one multiplies the limit by timeoutFactor. A hanging server with 8 slots is down to one after 8 jobs.
	toleratedTimeouts = 2
	timeoutFactor     = 0.75
	// limitRecovery is added to a limit below minLimitShare of the concurrency for each job that ran, in concurrent jobs.
	// With limitIncrease, a server of 8 slots whose jobs take 120 ms would take several seconds to recover.
	limitRecovery = 0.5
)

// ConcurrencyLimit bounds how many jobs are sent to a backend server at a time: the concurrency that the server
// announced, and less for a while after it shed jobs or left several in a row unanswered. Latency does not lower the limit, because a job may be slow due
// to a service that it calls, and lower concurrency would not make it faster.
type ConcurrencyLimit struct {
	announced float64
	current   float64
	// timeouts counts the consecutive jobs that the server left unanswered.
	timeouts int
}

// NewConcurrencyLimit returns the limit for a server that announced the given concurrency.
func NewConcurrencyLimit(announced int) *ConcurrencyLimit {
	return &ConcurrencyLimit{announced: float64(announced), current: float64(announced)}
}

// Current returns the number of jobs that may run at a time, at least one.
func (l *ConcurrencyLimit) Current() int { return max(1, int(l.current+0.5)) }

// Done records a job that ran.
func (l *ConcurrencyLimit) Done() {
	l.timeouts = 0
	increase := limitIncrease
	if l.current < l.announced*minLimitShare {
		increase = limitRecovery
	}
	l.current = min(l.announced, l.current+increase)
}

// TimedOut records a job that the server did not answer.
func (l *ConcurrencyLimit) TimedOut() {
	l.timeouts++
	if l.timeouts > toleratedTimeouts {
		l.current = max(1, l.current*timeoutFactor)
	}
}

// Shed records a job that the server rejected for lack of capacity. A server is never sent more jobs than the
// concurrency that it announced, so one that sheds can still run most of that number.
func (l *ConcurrencyLimit) Shed() {
	l.timeouts = 0
	lowest := min(l.current, l.announced*minLimitShare)
	l.current = max(lowest, l.current-limitDecrease)
}
