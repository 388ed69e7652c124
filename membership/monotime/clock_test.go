package monotime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A clock that jumps or stands still would end or prolong validity.
func TestClockRunsWithTime(t *testing.T) {
	clock, err := New()
	assert.NilError(t, err)
	first, started := clock.Now(), time.Now()
	time.Sleep(time.Millisecond)
	least := time.Since(started)
	passed := clock.Now() - first
	assert.Check(t, passed >= least && passed <= time.Since(started)+time.Second, "%v", passed)
}
