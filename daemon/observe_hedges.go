package daemon

import "github.com/skylarkrelay/skylarkrelay/caller"

// hedgeObserver records hedged calls. The counters are looked up once.
type hedgeObserver struct {
	*observer
	counters map[caller.HedgeEvent]counter
}

func newHedgeObserver(o *observer) *hedgeObserver {
	h := &hedgeObserver{observer: o, counters: map[caller.HedgeEvent]counter{}}
	for e := caller.HedgeSent; e <= caller.HedgeWithheldSuspected; e++ {
		h.counters[e] = o.counter("hedges." + e.String())
	}
	return h
}

// hedged records one event of a hedge. A cancellation is only counted, because a line about the hedge precedes it.
func (h *hedgeObserver) hedged(e caller.Hedge) {
	h.counters[e.Event].inc()
	if e.Event == caller.HedgeCancelled || !h.allowLine() {
		return
	}
	message := "call hedged"
	if e.Event > caller.HedgeCancelled {
		message = "hedge withheld"
	}
	h.log.Info(message, "event", e.Event.String(), "request", e.Call.ID, "class", e.Call.Class.Name,
		"service", e.Call.Service, "host", e.Host, "after_ms", e.Duration.Milliseconds(),
		"left_ms", e.Call.Deadline.Sub(h.clock.Now()).Milliseconds())
}
