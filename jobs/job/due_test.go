package job

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against runs of a long schedule that are due in the past, since occurrence times interval exceeds the range of a duration.
func TestDueOfLongSchedules(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_123)
	for _, interval := range []time.Duration{30 * 24 * time.Hour, 365 * 24 * time.Hour, 1500 * time.Millisecond, 0} {
		j := &Job{ScheduledOccurrences: MaxOccurrences, Start: start, Interval: interval}
		assert.Assert(t, j.Due(0).Equal(start))
		for k := 1; k < MaxOccurrences; k++ {
			want := start.UnixMilli() + int64(k)*interval.Milliseconds()
			assert.Equal(t, j.Due(k).UnixMilli(), want, "occurrence %d of %v", k, interval)
		}
	}
}

// Guards against starts at the ends of the range, where a later occurrence would be due before an earlier one.
func TestDueAtEndsOfRange(t *testing.T) {
	for _, ms := range []int64{math.MinInt64, 0, math.MaxInt64} {
		j := FromRecord(ToRecord(&Job{ScheduledOccurrences: MaxOccurrences, Start: time.UnixMilli(ms), Interval: 365 * 24 * time.Hour}))
		assert.Equal(t, j.Start.UnixMilli(), ms)
		for k := 1; k < MaxOccurrences; k++ {
			assert.Assert(t, j.Due(k).After(j.Due(k-1)), "occurrence %d from %d", k, ms)
		}
	}
}

// Guards against limits of a step that become other ones in the row of its job.
func TestLimitsOfStepsSurviveRows(t *testing.T) {
	j := &Job{Steps: []Step{{Count: 1, MaxPerWorker: 1<<32 + 1, MaxDisrupted: 1<<32 + 1, Estimate: math.MaxInt64, Resources: Resources{CPU: 1 << 40}}}}
	step := FromRecord(ToRecord(j)).Steps[0]
	assert.Equal(t, step.MaxPerWorker, math.MaxInt32)
	assert.Equal(t, step.MaxDisrupted, math.MaxInt32)
	assert.Equal(t, step.Estimate, MaxEstimate)
	sum := Resources{}
	for range 2000 {
		sum = sum.Plus(step.Resources.Times(MaxTasks))
	}
	assert.Equal(t, sum.CPU, int64(math.MaxInt64))
}
