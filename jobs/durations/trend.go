package durations

import "math"

const (
	// trendHalfLife is shorter than halfLifeSamples, because fewer samples determine a
	// line than a tail.
	trendHalfLife = 50
	// levelWeight and slopeWeight are the weights, in samples, of the coarser line.
	levelWeight = 4
	slopeWeight = 4
	// minVariance keeps the slope close to that of the coarser line while nearly all
	// estimates are equal.
	minVariance = 0.01
)

var trendDecay = math.Exp2(-1.0 / trendHalfLife)

// trend is a linear regression of the logarithm of the ratio of durations to declared
// estimates on the logarithm of the estimates. The weight of a sample halves every
// trendHalfLife later samples.
type trend struct {
	weight     float64
	sumX, sumY float64
	sumXX      float64
	sumXY      float64
}

// correction is the logarithm of the expected ratio of the duration to the estimate, and
// its slope over the logarithm of the estimate. The zero value follows the estimate.
type correction struct {
	value, slope float64
}

// observe adds a sample: the logarithms of the estimate and of the ratio.
func (t *trend) observe(x, y float64) {
	t.weight = t.weight*trendDecay + 1
	t.sumX = t.sumX*trendDecay + x
	t.sumY = t.sumY*trendDecay + y
	t.sumXX = t.sumXX*trendDecay + x*x
	t.sumXY = t.sumXY*trendDecay + x*y
}

// correct returns the correction for an estimate. With few samples it is close to that of
// the coarser group, unless several samples agree on a large deviation.
func (t *trend) correct(x float64, coarse correction) correction {
	if t.weight <= 0 {
		return coarse
	}
	meanX, meanY := t.sumX/t.weight, t.sumY/t.weight
	variance := max(t.sumXX/t.weight-meanX*meanX, 0)
	covariance := t.sumXY/t.weight - meanX*meanY
	prior := slopeWeight * max(variance, minVariance)
	slope := (t.weight*covariance + prior*coarse.slope) / (t.weight*variance + prior)
	slope = min(max(slope, -1), 0)
	own := meanY + slope*(x-meanX)
	deviation := own - coarse.value
	shrinkage := levelWeight / (1 + max(t.weight-1, 0)/levelWeight*deviation*deviation)
	return correction{(t.weight*own + shrinkage*coarse.value) / (t.weight + shrinkage), slope}
}

// confidence is the share of the weight that the error of the next prediction has as a
// sample. Errors of a trend with few samples say little about the spread of durations.
func (t *trend) confidence() float64 { return t.weight / (t.weight + levelWeight) }

func (t *trend) values() []float32 {
	return []float32{float32(t.weight), float32(t.sumX), float32(t.sumY), float32(t.sumXX), float32(t.sumXY)}
}

// merge adds the sums of another trend, as returned by values.
func (t *trend) merge(values []float32) {
	t.weight += float64(values[0])
	t.sumX += float64(values[1])
	t.sumY += float64(values[2])
	t.sumXX += float64(values[3])
	t.sumXY += float64(values[4])
}

// trendValues is the number of sums of a trend.
const trendValues = 5

func validTrend(values []float32) bool {
	if len(values) != trendValues {
		return false
	}
	for _, v := range values {
		if math.IsNaN(float64(v)) || math.IsInf(float64(v), 0) {
			return false
		}
	}
	return values[0] >= 0
}
