package daemon

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// BootClock tells the time since boot. It counts the time that a suspended machine misses.
type BootClock interface{ Now() ownership.Instant }

// systemBootClock is the operating system's.
type systemBootClock struct{}

// Now implements BootClock. The system call cannot fail on a clock that every supported kernel has.
func (systemBootClock) Now() ownership.Instant {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return ownership.Instant(time.Since(processStart))
	}
	return ownership.Instant(now.Nano())
}

// processStart is the origin of the steady clock, for kernels without a clock since boot.
var processStart = time.Now()
