package admission

const (
	// shedStep is by how much the limit falls for a job that the server refused, and shedFloor the part of the announced
	// places that it keeps.
	shedStep  = 0.25
	shedFloor = 0.67
	// growth is by how much the limit rises for each job that ran, as a part of one place.
	growth = 0.05
)

// Limit says how many jobs a backend server is given at a time: as many as it announced, and fewer for a while after it
// refused some. Latency says nothing here: a job may be slow because of what it calls, and fewer jobs would not help it.
type Limit struct {
	told    float64
	current float64
}

// NewLimit returns the limit of a server that announced a number of places.
func NewLimit(told int) *Limit { return &Limit{told: float64(told), current: float64(told)} }

// Current returns the limit.
func (l *Limit) Current() int { return max(1, int(l.current+0.5)) }

// Done takes note of a job that ran.
func (l *Limit) Done() { l.current = min(l.told, l.current+growth) }

// Shed takes note that the server refused a job for lack of room. It is never given more jobs than it has places, so one
// that refuses still has room for most of them.
func (l *Limit) Shed() { l.current = max(l.told*shedFloor, l.current-shedStep) }
