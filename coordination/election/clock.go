package election

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine started; unlike Go's monotonic
// clock it includes the time during which the machine was suspended.
func BootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has this clock since 2.6.39. The largest duration makes a lease
		// that was renewed before this failure invalid.
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(now.Nano())
}
