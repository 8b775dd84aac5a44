package deployment

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
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
		_ = l.deployment.sendAndLeave(ctx, h, c, id, rand.N(maxPatience))
	}
}

// SendAndLeave makes a number of callers send idempotent requests through one daemon and leave at once.
func (d *Deployment) SendAndLeave(ctx context.Context, h *Host, callers int) {
	c := d.idempotentClass()
	if c == nil {
		return
	}
	for range callers {
		id := strconv.FormatUint(rand.Uint64(), 36)
		_ = d.sendAndLeave(ctx, h, c, id, 0) // as above
	}
}

// idempotentClass returns the first idempotent class, or nil if there is none.
func (d *Deployment) idempotentClass() *class.Class {
	classes := d.plan.Config.Classes
	if i := slices.IndexFunc(classes, func(c class.Class) bool { return c.Idempotent }); i >= 0 {
		return &classes[i]
	}
	return nil
}

func (d *Deployment) sendAndLeave(
	ctx context.Context, h *Host, c *class.Class, id string, patience time.Duration,
) error {
	conn, err := net.DialTimeout("tcp", h.CallerAddress(), leaveDialTimeout)
	if err != nil {
		return err
	}
	defer func() {
		_ = conn.Close() // it may have been reset
		d.Checker.recordDeparture(id)
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
