package call

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/link"
)

const (
	// smallBodyBytes is the size of the longest request body for which a call without bulk bodies needs no room. Such
	// bodies are counted, but do not fill the memory.
	smallBodyBytes = 4 << 10
	// downloadReserve is the memory that is held for the response of a download until its size is known. It exceeds the
	// usual responses, of 90 KB.
	downloadReserve = 128 << 10
	// minRoomRetryAfter and maxRoomRetryAfter are the ends of the interval over which the Retry-After times of calls
	// without room are spread. Bodies are held for the time of a call, which is some 100 ms.
	minRoomRetryAfter = 200 * time.Millisecond
	maxRoomRetryAfter = 600 * time.Millisecond
	// defaultReadTimeout is how long the reading of a response may take if the configuration has no idle timeout.
	defaultReadTimeout = 10 * time.Second
)

// NoRoomError reports a call that was rejected because the bodies of other calls take the memory for bodies.
type NoRoomError struct {
	Bytes int64
	Usage link.MemoryUsage
}

// Error implements error.
func (e *NoRoomError) Error() string {
	return fmt.Sprintf("no room for bodies of %d bytes: %d held, %d incomplete, budget %d",
		e.Bytes, e.Usage.Held, e.Usage.Incomplete, e.Usage.Budget)
}

// ReserveBodies adds the bodies of a new call to its hold: that of the request, whose length is negative if it is not
// known, and a reserve for the response of a download. A NoRoomError means that the call has to be rejected.
func ReserveBodies(hold *link.Hold, memory *link.Memory, bulk class.Bulk, length int64) error {
	length = max(0, length)
	if bulk == class.NoBulk && length <= smallBodyBytes {
		hold.Raise(length)
		return nil
	}
	if bulk == class.Download {
		length += downloadReserve
	}
	if hold.TryGrow(length) {
		return nil
	}
	return &NoRoomError{Bytes: length, Usage: memory.Usage()}
}

// ReadTimeout returns how long the reading of a response may take under a configuration, or zero if that is not bounded. A
// connection on which a response waits for longer than the idle timeout is as good as idle.
func ReadTimeout(c *class.Config) time.Duration {
	switch {
	case c == nil || !c.IsLoadAware():
		return 0
	case c.Limits.IdleTimeout > 0:
		return c.Limits.IdleTimeout
	default:
		return defaultReadTimeout
	}
}

// BodyObserver is told of bodies that were rejected or not read. Its functions must not block.
type BodyObserver struct {
	// Rejected is called for each call that was rejected because there was no room for its bodies.
	Rejected func(request class.RequestID, err error)
	// Unread is called for each response that the other side did not read within the given time.
	Unread func(request class.RequestID, bytes int, timeout time.Duration)
}

// IgnoreBodies returns an observer that does nothing.
func IgnoreBodies() BodyObserver {
	return BodyObserver{
		Rejected: func(class.RequestID, error) {},
		Unread:   func(class.RequestID, int, time.Duration) {},
	}
}

// Reject reports a call for whose bodies there is no room, and returns its result.
func (o BodyObserver) Reject(request class.RequestID, err error) Result {
	o.Rejected(request, err)
	result := NotRun(Overload)
	result.RetryAfter = minRoomRetryAfter + rand.N(maxRoomRetryAfter-minRoomRetryAfter)
	return result
}

// WriteWithin calls write, which sends a response with a body of the given size, and gives the response up if the other
// side does not read it within the timeout. Zero means that there is none.
func (o BodyObserver) WriteWithin(
	w http.ResponseWriter, timeout time.Duration, request class.RequestID, bytes int, write func() error,
) error {
	if timeout <= 0 {
		return write()
	}
	// Connections measure deadlines by the operating system's clock. It fails only in tests that have no connection. The
	// server removes the deadline when it has sent all of the response.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
	err := write()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		o.Unread(request, bytes, timeout)
	}
	return err
}
