package monotime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the time since the machine started, including suspension.
type Clock struct{}

// New returns the clock, or an error when the system does not support it.
func New() (Clock, error) {
	_, err := readBootTime()
	return Clock{}, err
}

// Now returns the time since the machine started. It never decreases.
func (Clock) Now() time.Duration {
	now, err := readBootTime()
	if err != nil {
		// New has read the same clock, so the system supports it.
		panic(err)
	}
	return now
}

func readBootTime() (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, fmt.Errorf("monotime: read CLOCK_BOOTTIME: %w", err)
	}
	return time.Duration(now.Nano()), nil
}
