package call

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxAnnounced bounds the announcements of a table. At 20 rejections a second that are announced for a second each, a
	// server has 20; a daemon with 184 MB can hold all of them.
	maxAnnounced = 4096
	// returnGrace is how long after its announced time a call still counts as returned. It covers the way to the caller
	// and back, and a caller on a busy host.
	returnGrace = 500 * time.Millisecond
	// earlyTolerance is how long before its announced time a call counts as returned, for callers whose timers are coarse.
	earlyTolerance = 5 * time.Millisecond
	// maxAnnouncedTime bounds the announced times. No caller of a class whose deadline is a few seconds waits longer.
	maxAnnouncedTime = 10 * time.Second
)

// Returns holds the times at which rejected calls were told to return. It is safe for concurrent use.
//
// A call is known by its ReturnKey, and each announcement counts once: one that is repeated before its time uses its
// announcement up, so that it gains nothing by repeating.
type Returns struct {
	clock clockwork.Clock
	// size is the number of announcements. It spares the ReturnKey of calls while there are none.
	size atomic.Int64

	mu sync.Mutex
	// times holds the announced times by call, in the order of the announcements.
	times map[ReturnKey][]time.Time
	// order holds the announcements in the order in which they were made. Some may have been used up.
	order []announcement
}

// announcement is the time at which one rejected call is to return.
type announcement struct {
	key ReturnKey
	at  time.Time
}

// NewReturns returns an empty table.
func NewReturns(clock clockwork.Clock) *Returns {
	return &Returns{clock: clock, times: map[ReturnKey][]time.Time{}}
}

// Announce records that a rejected call was told to return after the given time.
func (r *Returns) Announce(c Call, after time.Duration) {
	if after > maxAnnouncedTime {
		return
	}
	key, now := c.ReturnKey(), r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prune(now)
	at := now.Add(after)
	r.times[key] = append(r.times[key], at)
	r.order = append(r.order, announcement{key: key, at: at})
	r.size.Add(1)
}

// Claim reports whether a call returned as it was told, and uses up its announcement.
func (r *Returns) Claim(c Call) bool {
	if r.size.Load() == 0 {
		return false
	}
	key, now := c.ReturnKey(), r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prune(now)
	for {
		times := r.times[key]
		if len(times) == 0 {
			return false
		}
		first := times[0]
		r.forget(key, first)
		if now.Sub(first) <= returnGrace {
			return first.Sub(now) <= earlyTolerance
		}
	}
}

// Len returns the number of announcements.
func (r *Returns) Len() int { return int(r.size.Load()) }

// prune removes the announcements that expired, and the oldest ones if there are too many.
func (r *Returns) prune(now time.Time) {
	for len(r.order) > 0 {
		first := r.order[0]
		if now.Sub(first.at) <= returnGrace && len(r.order) < maxAnnounced {
			return
		}
		r.order[0] = announcement{}
		r.order = r.order[1:]
		r.forget(first.key, first.at)
	}
}

// forget removes an announcement of a call if it has not been used up.
func (r *Returns) forget(key ReturnKey, at time.Time) {
	times := r.times[key]
	for i := range times {
		if !times[i].Equal(at) {
			continue
		}
		r.size.Add(-1)
		if len(times) == 1 {
			delete(r.times, key)
			return
		}
		r.times[key] = append(times[:i], times[i+1:]...)
		return
	}
}
