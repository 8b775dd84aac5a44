package quarantine

import "time"

const (
	// turnTime is how long one host's turn lasts. Reports of a trial reach the other hosts within it.
	turnTime = 500 * time.Millisecond
	// startTime is the first part of a turn, in which the host may begin its trial.
	startTime = turnTime / 2
)

// Turn is the place of a host among those that may try a request once more after it was held back. The hosts take turns,
// so that the first trial decides for all. The zero Turn, and that of a single host, sets no limit.
type Turn struct{ Index, Count int }

// startsAt returns the time of the host's next turn after a request was held back until a time, or the beginning of the
// present one. It may return a time before now.
func (t Turn) startsAt(now, heldUntil time.Time) time.Time {
	if t.Count < 2 {
		return heldUntil
	}
	cycle := time.Duration(t.Count) * turnTime
	offset := time.Duration(t.Index) * turnTime
	begun := now.Sub(heldUntil) / cycle * cycle
	start := heldUntil.Add(begun + offset)
	if now.Sub(start) >= startTime {
		start = start.Add(cycle)
	}
	return start
}
