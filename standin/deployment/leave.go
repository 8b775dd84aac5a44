package deployment

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

const (
	// leaveInterval is the mean pause between two requests of a caller that leaves.
	leaveInterval = 60 * time.Millisecond
	// maxPatience is the longest time that such a caller waits.
	maxPatience = 125 * time.Millisecond
	// leaveDialTimeout bounds the connecting of such a caller.
	leaveDialTimeout = time.Second
)

// leaveLoop sends idempotent requests through one daemon until ctx ends, each on a connection of its own that it closes
// without reading the response. A busy daemon may read the request only after that.
func (l *Load) leaveLoop(ctx context.Context, h *Host, c *class.Class) {
	for Sleep(ctx, rand.N(2*leaveInterval)) {
		id := strconv.FormatUint(rand.Uint64(), 36)
		// Errors are those of a daemon that was stopped or killed.
		_ = l.sendAndLeave(ctx, h, c, id, rand.N(maxPatience))
	}
}

func (l *Load) sendAndLeave(ctx context.Context, h *Host, c *class.Class, id string, patience time.Duration) error {
	conn, err := net.DialTimeout("tcp", h.CallerAddress(), leaveDialTimeout)
	if err != nil {
		return err
	}
	defer func() {
		_ = conn.Close() // it may have been reset
		l.deployment.Checker.recordDeparture(id)
	}()
	if err := writeGet(conn, c, "item", id, maxPatience); err != nil {
		return err
	}
	Sleep(ctx, patience)
	return nil
}

// Sleep waits for a duration and reports whether it elapsed before the context ended.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
