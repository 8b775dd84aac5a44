package admission

const (
	// limitDecrease is subtracted from the limit for each job that the server shed, in concurrent jobs. The limit does
	// not fall below minLimitShare of the announced concurrency.
	limitDecrease = 0.25
	minLimitShare = 0.67
	// limitIncrease is added to the limit for each job that ran, in concurrent jobs.
	limitIncrease = 0.05
)

// ConcurrencyLimit bounds how many jobs are sent to a backend server at a time: the concurrency that the server
// announced, and less for a while after it shed jobs. Latency does not lower the limit, because a job may be slow due
// to a service that it calls, and lower concurrency would not make it faster.
type ConcurrencyLimit struct {
	announced float64
	current   float64
}

// NewConcurrencyLimit returns the limit for a server that announced the given concurrency.
func NewConcurrencyLimit(announced int) *ConcurrencyLimit {
	return &ConcurrencyLimit{announced: float64(announced), current: float64(announced)}
}

// Current returns the number of jobs that may run at a time, at least one.
func (l *ConcurrencyLimit) Current() int { return max(1, int(l.current+0.5)) }

// Done records a job that ran.
func (l *ConcurrencyLimit) Done() { l.current = min(l.announced, l.current+limitIncrease) }

// Shed records a job that the server rejected for lack of capacity. A server is never sent more jobs than the
// concurrency that it announced, so one that sheds can still run most of that number.
func (l *ConcurrencyLimit) Shed() {
	l.current = max(l.announced*minLimitShare, l.current-limitDecrease)
}
