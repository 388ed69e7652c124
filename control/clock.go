package control

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since boot. Unlike the monotonic clock of package
// time it includes time in which the VM was suspended, so that a lease does
// not outlive a suspension.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists on every Linux kernel since 2.6.39.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
