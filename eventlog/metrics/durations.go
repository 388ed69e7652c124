package metrics

import (
	"context"

	"go.opentelemetry.io/otel/metric"
)

// durationRatioBounds are the upper bounds of the buckets of the prediction error.
var durationRatioBounds = []float64{0.1, 0.25, 0.5, 0.7, 0.9, 1.1, 1.4, 2, 4, 10}

// ObserveDurationRatio records the ratio of the actual to the predicted duration of a task.
func (m *Metrics) ObserveDurationRatio(ratio float64) {
	m.durationRatios.Record(context.Background(), ratio)
}

func (m *Metrics) createDurationHistogram(meter metric.Meter) (err error) {
	m.durationRatios, err = meter.Float64Histogram("task.duration.ratio",
		metric.WithDescription("Ratio of the actual to the predicted duration of tasks."), metric.WithExplicitBucketBoundaries(durationRatioBounds...))
	return err
}
