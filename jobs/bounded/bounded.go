// Package bounded converts numbers of callers, of rows and of the platform to durations and to smaller types. A number
// that is out of range becomes the nearest bound, so that sums and products of the results do not overflow.
package bounded

import (
	"math"
	"time"
)

// MaxDuration bounds the magnitude of all durations: sums of a dozen of them fit into a [time.Duration].
const MaxDuration = 20 * 365 * 24 * time.Hour

// Duration returns d within the bounds.
func Duration(d time.Duration) time.Duration { return max(-MaxDuration, min(d, MaxDuration)) }

// Milliseconds returns n milliseconds.
func Milliseconds(n int64) time.Duration {
	const limit = int64(MaxDuration / time.Millisecond)
	return time.Duration(max(-limit, min(n, limit))) * time.Millisecond
}

// Float returns n units. It returns 0 if n is not a number.
func Float(n float64, unit time.Duration) time.Duration {
	d := n * float64(unit)
	switch {
	case math.IsNaN(d):
		return 0
	case d >= float64(MaxDuration):
		return MaxDuration
	case d <= -float64(MaxDuration):
		return -MaxDuration
	}
	return time.Duration(d)
}

// Int32 returns n as an int32.
func Int32(n int) int32 { return int32(max(math.MinInt32, min(n, math.MaxInt32))) }

// Sum returns a+b, or the nearest value that fits.
func Sum(a, b int64) int64 {
	sum := a + b
	switch {
	case a > 0 && b > 0 && sum < 0:
		return math.MaxInt64
	case a < 0 && b < 0 && sum >= 0:
		return math.MinInt64
	}
	return sum
}

// Product returns a*n for n of at least 0, or the nearest value that fits.
func Product(a int64, n int) int64 {
	product := a * int64(n)
	switch {
	case n == 0 || product/int64(n) == a:
		return product
	case a > 0:
		return math.MaxInt64
	}
	return math.MinInt64
}
