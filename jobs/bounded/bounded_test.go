package bounded

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against numbers that change their sign or size when they become durations, sums or products.
func TestOutOfRangeNumbersBecomeBounds(t *testing.T) {
	for _, n := range []int64{math.MaxInt64, 18_446_744_073_710, 1 << 60} {
		assert.Equal(t, Milliseconds(n), MaxDuration)
		assert.Equal(t, Milliseconds(-n), -MaxDuration)
	}
	assert.Equal(t, Milliseconds(1500), 1500*time.Millisecond)
	assert.Equal(t, Milliseconds(math.MinInt64), -MaxDuration)
	assert.Equal(t, Float(1e300, time.Millisecond), MaxDuration)
	assert.Equal(t, Float(-1e300, time.Second), -MaxDuration)
	assert.Equal(t, Float(math.NaN(), time.Second), time.Duration(0))
	assert.Equal(t, Float(1.5, time.Second), 1500*time.Millisecond)
	assert.Equal(t, Duration(math.MaxInt64), MaxDuration)
	assert.Equal(t, Int32(1<<32+1), int32(math.MaxInt32))
	assert.Equal(t, Int32(-1<<40), int32(math.MinInt32))
	assert.Equal(t, Sum(math.MaxInt64, 1), int64(math.MaxInt64))
	assert.Equal(t, Sum(math.MinInt64, -1), int64(math.MinInt64))
	assert.Equal(t, Sum(-5, 3), int64(-2))
	assert.Equal(t, Product(1<<60, 16), int64(math.MaxInt64))
	assert.Equal(t, Product(-1<<60, 16), int64(math.MinInt64))
	assert.Equal(t, Product(7, 6), int64(42))
}
