package backend

import "time"

// WarmupStatement is what a backend server stated about how long it remains cold.
type WarmupStatement struct {
	// SentAfter is a time before which the server did not make the statement, and ArrivedAt when it arrived.
	SentAfter, ArrivedAt time.Time
	// Left is how long the server remains cold, or zero if it is warm.
	Left time.Duration
}

// coldness is what is known of whether one instance of the backend server is cold.
type coldness struct {
	// until is when the server is no longer cold, as it stated last, and statedAt when that arrived.
	until    time.Time
	statedAt time.Time
	// suspectedAt is when the server may have restarted without a statement since, or zero.
	suspectedAt time.Time
}

// apply applies a statement. Statements may overtake one another: of two whose order is not certain, the one that keeps
// the server cold for longer counts.
func (c *coldness) apply(s WarmupStatement) {
	until := s.ArrivedAt.Add(s.Left)
	isNewest := !s.SentAfter.Before(c.statedAt)
	if isNewest || until.After(c.until) {
		c.until = until
	}
	if s.ArrivedAt.After(c.statedAt) {
		c.statedAt = s.ArrivedAt
	}
	if s.SentAfter.After(c.suspectedAt) {
		c.suspectedAt = time.Time{}
	}
}

// suspect records that the server may have restarted: it counts as cold until a later statement.
func (c *coldness) suspect(now time.Time) { c.suspectedAt = now }

// isSuspected reports whether the server may have restarted since its last statement.
func (c *coldness) isSuspected() bool { return !c.suspectedAt.IsZero() }

// maxSuspicion is for how long a server that may have restarted counts as cold at a time. A silent server gets a new
// suspicion with each broken connection.
const maxSuspicion = time.Hour

// limitedUntil returns the time until which the server is limited as cold.
func (c *coldness) limitedUntil() time.Time {
	if c.isSuspected() {
		if end := c.suspectedAt.Add(maxSuspicion); end.After(c.until) {
			return end
		}
	}
	return c.until
}
