package elect

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since boot. Unlike Go's monotonic clock, it also
// advances while the machine is suspended.
func BootTime() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		// Linux has this clock since 2.6.39. Without it a lease cannot be bounded.
		panic("elect: " + err.Error())
	}
	return time.Duration(reading.Nano())
}
