package eventlog

import (
	"sync/atomic"
	"time"
)

const (
	// counterBits is the width of the logical counter in a timestamp. The
	// other 48 bits hold milliseconds since the Unix epoch.
	counterBits = 16
	// MaxClockLead is how far an observed timestamp may be ahead of the
	// physical clock. A timestamp that is further ahead is not adopted, because
	// one member with a wrong clock would advance the clocks of the whole site.
	MaxClockLead = time.Minute
)

// Clock is a hybrid logical clock. Its timestamps increase strictly, stay
// close to physical time and are greater than every adopted timestamp. It is
// safe for concurrent use.
type Clock struct {
	physical func() time.Time
	last     atomic.Uint64
	rejected atomic.Uint64
}

// NewClock returns a clock based on physical, or on time.Now if physical is nil.
func NewClock(physical func() time.Time) *Clock {
	if physical == nil {
		physical = time.Now
	}
	return &Clock{physical: physical}
}

// Now returns the next timestamp: milliseconds since the Unix epoch in the
// upper 48 bits, a counter in the lower 16 bits.
func (c *Clock) Now() uint64 {
	physical := Pack(c.physical(), 0)
	for {
		last := c.last.Load()
		// An overflow of the counter carries into the milliseconds, which keeps the order.
		next := max(last+1, physical)
		if c.last.CompareAndSwap(last, next) {
			return next
		}
	}
}

// Observe adopts the timestamp of a received message, so that every later result
// of Now is greater. It counts and ignores a timestamp that is more than
// [MaxClockLead] ahead.
func (c *Clock) Observe(timestamp uint64) {
	if timestamp > Pack(c.physical().Add(MaxClockLead), 0) {
		c.rejected.Add(1)
		return
	}
	for {
		last := c.last.Load()
		if timestamp <= last || c.last.CompareAndSwap(last, timestamp) {
			return
		}
	}
}

// Rejected returns the number of timestamps that Observe ignored.
func (c *Clock) Rejected() uint64 { return c.rejected.Load() }

// Pack combines a physical time and a counter into a timestamp. A time before
// the Unix epoch is replaced by the epoch.
func Pack(physical time.Time, counter uint16) uint64 {
	return uint64(max(physical.UnixMilli(), 0))<<counterBits | uint64(counter)
}

// Unpack splits a timestamp into its physical time, in UTC with millisecond
// resolution, and its counter.
func Unpack(timestamp uint64) (time.Time, uint16) {
	return time.UnixMilli(int64(timestamp >> counterBits)).UTC(), uint16(timestamp)
}
