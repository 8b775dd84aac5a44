package backend

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/semaphore"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// requestBound bounds the bytes of the request bodies that are outstanding at the server. A server crashes if the requests
// that it holds exceed its memory. It is safe for concurrent use.
type requestBound struct {
	// limit is zero if there is no bound.
	limit int64
	// isEnforced is whether calls that do not fit wait.
	isEnforced  atomic.Bool
	available   *semaphore.Weighted
	outstanding atomic.Int64
}

func newRequestBound(limit int64) *requestBound {
	return &requestBound{limit: limit, available: semaphore.NewWeighted(limit)}
}

// requestRoom is the room of the body of one call at the server. It is not safe for concurrent use.
type requestRoom struct {
	bound *requestBound
	bytes int64
	// isTaken reports whether the call has the room that it needs, and taken how much that is.
	isTaken bool
	taken   int64
}

// room returns the room that a call with a body of the given size needs. A body that exceeds the bound is sent alone.
func (b *requestBound) room(bytes int) requestRoom {
	return requestRoom{bound: b, bytes: int64(bytes)}
}

// tryTake takes the room and reports whether there is enough.
func (r *requestRoom) tryTake() bool {
	if r.isTaken {
		return true
	}
	size := min(r.bytes, r.bound.limit)
	if size == 0 || !r.bound.isEnforced.Load() {
		r.isTaken = true
	} else if r.bound.available.TryAcquire(size) {
		r.isTaken, r.taken = true, size
	}
	if r.isTaken {
		r.bound.outstanding.Add(r.bytes)
	}
	return r.isTaken
}

// wait waits in the order of arrival until there is room, and takes it. It returns the error of the context if that ends
// first.
func (r *requestRoom) wait(ctx context.Context) error {
	size := min(r.bytes, r.bound.limit)
	if err := r.bound.available.Acquire(ctx, size); err != nil {
		return err
	}
	r.isTaken, r.taken = true, size
	r.bound.outstanding.Add(r.bytes)
	return nil
}

// release gives the room back.
func (r *requestRoom) release() {
	if !r.isTaken {
		return
	}
	r.bound.outstanding.Add(-r.bytes)
	if r.taken > 0 {
		r.bound.available.Release(r.taken)
	}
	r.isTaken, r.taken = false, 0
}

// handOver returns the function that gives the room back, and leaves none to be released here.
func (r *requestRoom) handOver() (release func()) {
	taken := *r
	r.isTaken, r.taken = false, 0
	return taken.release
}

// CrowdedCall describes a call that waited because the bodies at the server left no room for its own, for logs and
// metrics.
type CrowdedCall struct {
	Request class.RequestID
	Bytes   int
	Waited  time.Duration
	// IsRejected reports whether there was no room in time.
	IsRejected bool
}

// LimitRequestBytes sets how many bytes of request bodies may be outstanding at the server while the bound is enforced, and
// the observer of calls that waited for it, which must not block. It must be called before the first call.
func (r *Runner) LimitRequestBytes(limit int64, onCrowded func(CrowdedCall)) {
	r.requests, r.onCrowded = newRequestBound(limit), onCrowded
}

// EnforceRequestBytes sets whether the bound of LimitRequestBytes is enforced.
func (r *Runner) EnforceRequestBytes(isEnforced bool) { r.requests.isEnforced.Store(isEnforced) }

// RequestBytes returns the bytes of the request bodies that are outstanding at the server.
func (r *Runner) RequestBytes() int64 { return r.requests.outstanding.Load() }

// roomWaitShare is the share of its remaining time that a call waits for room for its body.
const roomWaitShare = 0.3

// waitForRoom waits until there is room for the body of a call, and returns false if there is none in time.
func (r *Runner) waitForRoom(ctx context.Context, c call.Call, room *requestRoom) bool {
	start := r.clock.Now()
	wait := time.Duration(roomWaitShare * float64(c.Deadline.Sub(start)))
	if c.MaxWait > 0 {
		wait = min(wait, c.MaxWait)
	}
	waitCtx, cancel := clockwork.WithDeadline(ctx, r.clock, start.Add(wait))
	defer cancel()
	err := room.wait(waitCtx)
	r.onCrowded(CrowdedCall{
		Request: c.ID, Bytes: int(room.bytes), Waited: r.clock.Since(start), IsRejected: err != nil,
	})
	return err == nil
}

// noRoomResult returns the result of a call for whose body there was no room in time.
func noRoomResult(ctx context.Context, c call.Call) call.Result {
	switch {
	case ctx.Err() != nil:
		return call.NotRun(call.EndReason(ctx))
	case c.MaxWait > 0:
		return call.NotRun(call.WaitExceeded)
	default:
		return call.NotRun(call.Overload)
	}
}
