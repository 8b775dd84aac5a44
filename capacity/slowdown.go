package capacity

import "time"

// maxSlowdownAge is the age at which a stated slowdown no longer counts. Slow moments last about that long.
const maxSlowdownAge = 400 * time.Millisecond

// Slowdown is how many times as long as usual a backend server said that its requests take, and when. The zero value is a
// server that has stated nothing.
type Slowdown struct {
	factor   float64
	statedAt time.Time
}

// NewSlowdown returns a slowdown that was stated at the given time. A factor below 1 counts as 1.
func NewSlowdown(factor float64, statedAt time.Time) Slowdown {
	return Slowdown{factor: min(maxSlowdown, max(1, factor)), statedAt: statedAt}
}

// maxSlowdown bounds the factor. A higher one says no more than that the server is to be avoided.
const maxSlowdown = 16

// At returns the expected factor at a time. It decreases to 1 linearly, because the statement was made at an unknown moment
// of the slow period.
func (s Slowdown) At(now time.Time) float64 {
	age := now.Sub(s.statedAt)
	if s.factor <= 1 || age >= maxSlowdownAge {
		return 1
	}
	return 1 + (s.factor-1)*(1-max(0, age.Seconds())/maxSlowdownAge.Seconds())
}
