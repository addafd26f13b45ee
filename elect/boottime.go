package elect

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns a steady time that also counts while the machine is suspended,
// which the language's monotonic clock does not.
func BootTime() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		// The kernel has the clock since 2.6.39; without it nothing bounds a lease.
		panic("elect: " + err.Error())
	}
	return time.Duration(reading.Nano())
}
