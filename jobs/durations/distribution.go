package durations

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"
)

// Distribution is the distribution of the duration of a task. It does not change when
// samples are added later.
type Distribution struct {
	curve *curve
	// scale is the duration that a value of 1 of the curve stands for.
	scale time.Duration
}

// curve is an immutable distribution of positive numbers, with at least one point.
type curve struct {
	points []point // In ascending order of their values.
}

// point is a possible value, with sums over this point and all larger ones.
type point struct {
	value  float64
	weight float64
	// tailWeight is the probability of this value or a larger one.
	tailWeight float64
	// tailSum is the sum of weight times value over this point and all larger ones.
	tailSum float64
}

// newCurve sorts and normalizes the points, whose weights must be positive.
func newCurve(points []point) *curve {
	slices.SortFunc(points, func(a, b point) int { return cmp.Compare(a.value, b.value) })
	total := 0.0
	for _, p := range points {
		total += p.weight
	}
	weight, sum := 0.0, 0.0
	for i := len(points) - 1; i >= 0; i-- {
		p := &points[i]
		p.weight /= total
		weight += p.weight
		sum += p.weight * p.value
		p.tailWeight, p.tailSum = weight, sum
	}
	return &curve{points}
}

func (c *curve) quantile(q float64) float64 {
	i := sort.Search(len(c.points)-1, func(i int) bool { return 1-c.points[i+1].tailWeight >= q })
	return c.points[i].value
}

func (d Distribution) duration(value float64) time.Duration {
	return time.Duration(value * float64(d.scale))
}

// Quantile returns the shortest duration that at least the share q of the tasks does
// not exceed.
func (d Distribution) Quantile(q float64) time.Duration { return d.duration(d.curve.quantile(q)) }

// Mean returns the expected duration.
func (d Distribution) Mean() time.Duration { return d.duration(d.curve.points[0].tailSum) }

// LongestOf returns the median of the duration of the longest of count tasks.
func (d Distribution) LongestOf(count int) time.Duration {
	return d.Quantile(math.Pow(0.5, 1/float64(max(count, 1))))
}

// overrunShare is the expected remaining time of a run that is longer than all known
// durations, as a share of the time that it has lasted.
const overrunShare = 0.5

// Remaining returns the expected time until the end of a run that has lasted elapsed.
func (d Distribution) Remaining(elapsed time.Duration) time.Duration {
	p := d.after(elapsed)
	if p == nil {
		return time.Duration(float64(elapsed) * overrunShare)
	}
	return d.duration(p.tailSum/p.tailWeight) - elapsed
}

// MedianRemaining returns the time until half of the runs that have lasted elapsed have
// ended.
func (d Distribution) MedianRemaining(elapsed time.Duration) time.Duration {
	median, ok := d.quantileAfter(elapsed, 0.5)
	if !ok {
		return time.Duration(float64(elapsed) * overrunShare)
	}
	return median - elapsed
}

// Exceeds returns the probability that a task takes longer than elapsed.
func (d Distribution) Exceeds(elapsed time.Duration) float64 {
	if p := d.after(elapsed); p != nil {
		return p.tailWeight
	}
	return 0
}

// after returns the first point that is longer than elapsed, or nil.
func (d Distribution) after(elapsed time.Duration) *point {
	points := d.curve.points
	limit := float64(elapsed) / float64(d.scale)
	i := sort.Search(len(points), func(i int) bool { return points[i].value > limit })
	if i == len(points) {
		return nil
	}
	return &points[i]
}

// quantileAfter returns the quantile q of the durations longer than elapsed, or false if
// there are none.
func (d Distribution) quantileAfter(elapsed time.Duration, q float64) (time.Duration, bool) {
	p := d.after(elapsed)
	if p == nil {
		return 0, false
	}
	value := max(d.curve.quantile(1-(1-q)*p.tailWeight), p.value)
	return max(d.duration(value), elapsed), true
}
