package admission

import "time"

// comesTooLate tells whether a new job would surely miss its deadline behind what waits already or, on a server that is
// asked for more than it can do, its target. The first job of a class always waits, so that a wrong forecast is corrected.
func (t *Targets) comesTooLate(now time.Time, l *lane, job *Job) bool {
	if l.queue.len() == 0 {
		return false
	}
	left := job.Deadline.Sub(now)
	if t.saturated {
		// A part of the target is a queue long enough to keep the server busy, and leaves room for a wrong forecast.
		left = min(left, l.expected()+time.Duration(patience*float64(l.class.Latency)))
	}
	excess := t.forecast(l) + l.expected() - left
	if excess <= 0 {
		return false
	}
	job.RetryAfter = excess + t.turn(l)
	return true
}

// turn is how often a place becomes free for a class.
func (t *Targets) turn(l *lane) time.Duration {
	return time.Duration(float64(l.service) / max(1, t.places))
}

// forecast returns how long a new job of a class would wait. On a server that is asked for more than it can do, each class
// goes on getting the part that it got lately; else the work of more urgent classes goes first, and the floors of waiting
// classes behind them.
func (t *Targets) forecast(l *lane) time.Duration {
	work, rate := t.ahead(l)
	rate = max(rate, l.floor)
	if t.saturated {
		work, rate = float64(l.queue.len())*l.service.Seconds(), l.used
	}
	return time.Duration(work / max(rate, leastRate) * float64(time.Second))
}

// ahead returns the work that goes before a new job of a class, and the rate at which it is done.
func (t *Targets) ahead(l *lane) (work, rate float64) {
	rate = t.places
	isBehind := false
	for _, other := range t.order {
		waiting := float64(other.queue.len()) * other.service.Seconds()
		switch {
		case other == l:
			work += waiting
			isBehind = true
		case !isBehind:
			work += waiting
			rate -= other.demand * other.service.Seconds()
		case waiting > 0:
			rate -= other.floor
		}
	}
	return work, rate
}
