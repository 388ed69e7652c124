package monotime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a clock that jumps or stops, which would end or prolong validity.
func TestClockRunsWithTime(t *testing.T) {
	clock, err := New()
	assert.NilError(t, err)
	first, started := clock.Now(), time.Now()
	time.Sleep(time.Millisecond)
	minElapsed := time.Since(started)
	elapsed := clock.Now() - first
	assert.Check(t, elapsed >= minElapsed && elapsed <= time.Since(started)+time.Second, "%v", elapsed)
}
