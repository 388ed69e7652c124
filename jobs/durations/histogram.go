package durations

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// halfLifeSamples is the number of later samples after which a sample has half of
	// its weight.
	halfLifeSamples = 200
	// unitWeight is the weight of the first sample of a histogram. Later samples have
	// more, which is equivalent to a decay of the earlier ones.
	unitWeight = 64
	// maxSampleWeight is the weight from which all counts are scaled down.
	maxSampleWeight = unitWeight << 10
	// histogramDigits is the number of significant digits of recorded values.
	histogramDigits = 1
)

// maxValue is the largest recorded value, a ratio of 1,000.
const maxValue = 1_000_000

var sampleGrowth = math.Exp2(1.0 / halfLifeSamples)

// histogram is a histogram of positive integers in which recent samples have more weight.
type histogram struct {
	counts *hdrhistogram.Histogram
	// sampleWeight is the weight of the next sample.
	sampleWeight float64
	// samples counts the recorded samples, without decay.
	samples uint64
	// sumLog is the sum of weight times the logarithm of the value.
	sumLog float64
}

func newHistogram() histogram {
	return histogram{counts: hdrhistogram.New(1, maxValue, histogramDigits), sampleWeight: unitWeight}
}

// add records a value with the given share of the weight of a whole one.
func (h *histogram) add(value int64, share float64) {
	value = min(max(value, 1), maxValue)
	weight := max(int64(h.sampleWeight*share), 1)
	// The value is in the range of the histogram, so no error is possible.
	_ = h.counts.RecordValues(value, weight)
	h.sumLog += float64(weight) * math.Log(float64(value))
}

// endSample makes the next samples weigh more than the ones recorded so far.
func (h *histogram) endSample() {
	h.samples++
	h.sampleWeight *= sampleGrowth
	if h.sampleWeight < maxSampleWeight {
		return
	}
	snapshot := h.counts.Export()
	factor := h.sampleWeight / unitWeight
	for i, count := range snapshot.Counts {
		snapshot.Counts[i] = int64(math.Round(float64(count) / factor))
	}
	h.counts, h.sampleWeight, h.sumLog = hdrhistogram.Import(snapshot), unitWeight, h.sumLog/factor
}

// weight returns the total weight of the samples, relative to that of a new sample.
func (h *histogram) weight() float64 { return float64(h.counts.TotalCount()) / h.sampleWeight }

// forEach calls f with each recorded value and its weight relative to a new sample.
func (h *histogram) forEach(f func(value int64, weight float64)) {
	for _, bar := range h.counts.Distribution() {
		if bar.Count > 0 {
			f((bar.From+bar.To)/2, float64(bar.Count)/h.sampleWeight)
		}
	}
}

// appendPoints appends the recorded values, relative to their geometric mean, with their
// weights times factor.
func (h *histogram) appendPoints(points []point, factor float64) []point {
	total := h.counts.TotalCount()
	if total == 0 {
		return points
	}
	mean := math.Exp(h.sumLog / float64(total))
	h.forEach(func(value int64, weight float64) {
		points = append(points, point{value: float64(value) / mean, weight: weight * factor})
	})
	return points
}
