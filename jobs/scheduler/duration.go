package scheduler

import (
	"math"
	"time"
)

// Durations predicts how long tasks of a queue run, from their declared
// estimates and from how long earlier tasks ran. The less the estimates of a
// queue are worth, the more a prediction leans on the mean.
//
// It regresses the logarithm of the duration on that of the estimate, with
// weights that halve every memory samples.
type Durations struct {
	weight     float64
	sumX, sumY float64
	sumXX      float64
	sumXY      float64
}

const (
	memory     = 200
	minSamples = 12
	// fallback is the prediction for a task without estimate before there are samples.
	fallback = time.Second
	// leastDuration bounds logarithms.
	leastDuration = time.Millisecond
)

var decay = math.Exp2(-1.0 / memory)

func logOf(d time.Duration) float64 { return math.Log(max(d, leastDuration).Seconds()) }

// Observe notes how long a task with an estimate ran.
func (d *Durations) Observe(estimate, actual time.Duration) {
	if estimate <= 0 {
		estimate = fallback
	}
	x, y := logOf(estimate), logOf(actual)
	d.weight = d.weight*decay + 1
	d.sumX = d.sumX*decay + x
	d.sumY = d.sumY*decay + y
	d.sumXX = d.sumXX*decay + x*x
	d.sumXY = d.sumXY*decay + x*y
}

// Learned reports whether predictions rest on tasks that ran, and not on estimates alone.
func (d *Durations) Learned() bool { return d.weight >= minSamples }

// Predict returns how long a task with an estimate is likely to run.
func (d *Durations) Predict(estimate time.Duration) time.Duration {
	if estimate <= 0 {
		estimate = fallback
	}
	if !d.Learned() {
		return estimate
	}
	meanX, meanY := d.sumX/d.weight, d.sumY/d.weight
	variance := d.sumXX/d.weight - meanX*meanX
	slope := 0.0
	if variance > 0 {
		slope = (d.sumXY/d.weight - meanX*meanY) / variance
	}
	slope = min(max(slope, 0), 1)
	return time.Duration(math.Exp(meanY+slope*(logOf(estimate)-meanX)) * float64(time.Second))
}
