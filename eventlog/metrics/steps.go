package metrics

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// latencyHistogram is a histogram with two labels. The label values are constants of
// the code, so that their number is bounded.
type latencyHistogram struct {
	histogram  metric.Float64Histogram
	labelNames [2]string
	options    cache[[2]string, []metric.RecordOption]
}

func newLatencyHistogram(meter metric.Meter, name, description, first, second string) (*latencyHistogram, error) {
	histogram, err := meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description),
		metric.WithExplicitBucketBoundaries(latencyBounds...))
	return &latencyHistogram{histogram: histogram, labelNames: [2]string{first, second}}, err
}

func (t *latencyHistogram) record(first, second string, d time.Duration) {
	options := t.options.get([2]string{first, second}, func() []metric.RecordOption {
		labels := attribute.NewSet(attribute.String(t.labelNames[0], first), attribute.String(t.labelNames[1], second))
		return []metric.RecordOption{metric.WithAttributeSet(labels)}
	})
	t.histogram.Record(context.Background(), d.Seconds(), options...)
}

// TimeJobCall records the latency of a caller's call about jobs, for example "submit" and "ok".
func (m *Metrics) TimeJobCall(op, result string, d time.Duration) { m.jobCalls.record(op, result, d) }

// TimeWorkerOrder records the latency of an order to a worker, for example "start" and "ok".
func (m *Metrics) TimeWorkerOrder(order, result string, d time.Duration) {
	m.workerOrders.record(order, result, d)
}

// TimeStoreCall records the latency of a call to the platform's table service, for example "commit" and "applied".
func (m *Metrics) TimeStoreCall(call, result string, d time.Duration) {
	m.storeCalls.record(call, result, d)
}

func (m *Metrics) createLatencyHistograms(meter metric.Meter) error {
	var err error
	if m.jobCalls, err = newLatencyHistogram(meter, "job.call.duration", "Latency of callers' calls about jobs.", "call", "result"); err != nil {
		return err
	}
	if m.workerOrders, err = newLatencyHistogram(meter, "worker.order.duration", "Latency of orders to workers.", "order", "result"); err != nil {
		return err
	}
	m.storeCalls, err = newLatencyHistogram(meter, "store.call.duration", "Latency of calls to the table service.", "call", "result")
	if err != nil {
		return err
	}
	return m.createDurationHistogram(meter)
}
