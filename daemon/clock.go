package daemon

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// BootClock returns the time since boot, including the time during which the machine was suspended.
type BootClock = ownership.Clock

// systemBootClock is the operating system's boot clock.
type systemBootClock struct{}

// Now implements BootClock. The system call cannot fail on supported kernels, because all of them have this clock.
func (systemBootClock) Now() ownership.Instant {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return ownership.Instant(time.Since(processStart))
	}
	return ownership.Instant(now.Nano())
}

// processStart is the origin of the monotonic clock that is used on kernels without a boot clock.
var processStart = time.Now()
