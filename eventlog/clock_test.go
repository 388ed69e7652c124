package eventlog

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against timestamps that repeat or decrease when the physical clock goes
// back, and against timestamps that are not greater than observed ones.
func TestClockOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		physical := time.UnixMilli(1_000_000)
		c := NewClock(func() time.Time { return physical })
		last := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			physical = physical.Add(time.Duration(rapid.IntRange(-30, 30).Draw(t, "ms")) * time.Millisecond)
			lead := time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "lead")) * time.Millisecond
			observed := Pack(physical.Add(lead), rapid.Uint16().Draw(t, "counter"))
			c.Observe(observed)
			now := c.Now()
			assert.Assert(t, now > last && now > observed && now >= Pack(physical, 0))
			last = now
		}
	})
}

// Guards against a member with a wrong clock that advances the clocks of others.
func TestClockIgnoresLargeLead(t *testing.T) {
	physical := time.UnixMilli(1_000_000)
	c := NewClock(func() time.Time { return physical })
	c.Observe(Pack(physical.Add(MaxClockLead), 0))
	assert.Equal(t, c.Rejected(), uint64(0))
	c.Observe(Pack(physical.Add(MaxClockLead), 1))
	assert.Equal(t, c.Rejected(), uint64(1))
	now, counter := Unpack(c.Now())
	assert.Assert(t, now.Equal(physical.Add(MaxClockLead)))
	assert.Equal(t, counter, uint16(1))
}

// Guards against a counter overflow that repeats timestamps within a millisecond.
func TestClockCounterCarries(t *testing.T) {
	physical := time.UnixMilli(5)
	c := NewClock(func() time.Time { return physical })
	c.Observe(Pack(physical, 1<<counterBits-1))
	assert.Equal(t, c.Now(), Pack(physical.Add(time.Millisecond), 0))
}

// Guards against equal timestamps returned to concurrent callers.
func TestClockConcurrentNow(t *testing.T) {
	c := NewClock(nil)
	var seen sync.Map
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 1000 {
				_, repeated := seen.LoadOrStore(c.Now(), true)
				assert.Check(t, !repeated)
			}
		})
	}
	group.Wait()
}
