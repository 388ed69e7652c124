package scheduler

import (
	"math"
	"time"

	"peridotcrank.dev/jobs/bounded"
	"peridotcrank.dev/jobs/job"
)

// DurationPredictor predicts how long tasks of a queue run, from their declared
// estimates and the measured durations of earlier tasks. The weaker the correlation
// between estimates and durations, the closer a prediction is to the mean duration.
//
// It is a linear regression of the logarithm of the duration on the logarithm of the
// estimate. The weight of a sample halves every halfLifeSamples later samples.
type DurationPredictor struct {
	weight     float64
	sumX, sumY float64
	sumXX      float64
	sumXY      float64
}

const (
	halfLifeSamples = 200
	minSamples      = 12
	// defaultEstimate replaces the estimate of a task that declares none.
	defaultEstimate = time.Second
	// minDuration is the lower bound of durations before their logarithm is taken.
	minDuration = time.Millisecond
	// maxPrediction bounds predictions, which are added up along the steps of a job.
	maxPrediction = 2 * job.MaxEstimate
)

var decay = math.Exp2(-1.0 / halfLifeSamples)

func logSeconds(d time.Duration) float64 { return math.Log(max(d, minDuration).Seconds()) }

// Observe adds a sample: the estimate of a task and how long it ran. An estimate of 0
// stands for a task that declares none.
func (d *DurationPredictor) Observe(estimate, actual time.Duration) {
	if estimate <= 0 {
		estimate = defaultEstimate
	}
	x, y := logSeconds(estimate), logSeconds(actual)
	d.weight = d.weight*decay + 1
	d.sumX = d.sumX*decay + x
	d.sumY = d.sumY*decay + y
	d.sumXX = d.sumXX*decay + x*x
	d.sumXY = d.sumXY*decay + x*y
}

// Trained reports whether there are enough samples for the regression. Without them
// Predict returns the estimate.
func (d *DurationPredictor) Trained() bool { return d.weight >= minSamples }

// Predict returns the expected duration of a task with the given estimate; 0 stands
// for a task that declares none.
func (d *DurationPredictor) Predict(estimate time.Duration) time.Duration {
	if estimate <= 0 {
		estimate = defaultEstimate
	}
	if !d.Trained() {
		return estimate
	}
	meanX, meanY := d.sumX/d.weight, d.sumY/d.weight
	variance := d.sumXX/d.weight - meanX*meanX
	slope := 0.0
	if variance > 0 {
		slope = (d.sumXY/d.weight - meanX*meanY) / variance
	}
	slope = min(max(slope, 0), 1)
	return min(bounded.Float(math.Exp(meanY+slope*(logSeconds(estimate)-meanX)), time.Second), maxPrediction)
}
