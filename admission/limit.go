package admission

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

const (
	// slowRatio is how far latency must rise above its usual level for the limit to shrink.
	slowRatio = 2.0
	// calmRatio is the level below which the limit grows again.
	calmRatio = 1.4
	// shrink is the factor by which the limit falls.
	shrink = 0.9
	// riseWeight and fallWeight let the usual latency rise slowly and fall fast.
	riseWeight = 0.005
	fallWeight = 0.1
	// ratioWeight smooths the ratio.
	ratioWeight = 0.1
)

// Limit learns how many jobs a backend server runs well at a time. It starts at what the server announced, never
// goes above it, and by latency alone never below half of it.
type Limit struct {
	told    float64
	current float64
	usual   map[class.Name]float64
	ratio   float64
}

// NewLimit returns the limit of a server that announced a number of places.
func NewLimit(told int) *Limit {
	return &Limit{told: float64(told), current: float64(told), usual: map[class.Name]float64{}, ratio: 1}
}

// Current returns the limit.
func (l *Limit) Current() int { return max(1, int(l.current+0.5)) }

// Done takes in how long a job ran.
func (l *Limit) Done(name class.Name, took time.Duration) {
	usual, known := l.usual[name]
	if !known {
		l.usual[name] = took.Seconds()
		return
	}
	if usual > 0 {
		l.ratio += ratioWeight * (took.Seconds()/usual - l.ratio)
	}
	weight := riseWeight
	if took.Seconds() < usual {
		weight = fallWeight
	}
	l.usual[name] = usual + weight*(took.Seconds()-usual)
	switch {
	case l.ratio > slowRatio:
		l.current = max(l.told/2, l.current*shrink)
		l.ratio = calmRatio
	case l.ratio < calmRatio:
		l.current = min(l.told, l.current+1/l.told)
	}
}

// Shed takes note that the server refused a job for lack of room.
func (l *Limit) Shed() { l.current = max(1, l.current-1) }
