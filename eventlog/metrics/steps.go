package metrics

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// timed is a latency histogram with two labels whose values come from the code.
type timed struct {
	histogram metric.Float64Histogram
	names     [2]string
	options   cache[[2]string, []metric.RecordOption]
}

func newTimed(meter metric.Meter, name, description, first, second string) (*timed, error) {
	histogram, err := meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description),
		metric.WithExplicitBucketBoundaries(latencyBounds...))
	return &timed{histogram: histogram, names: [2]string{first, second}}, err
}

func (t *timed) record(first, second string, d time.Duration) {
	options := t.options.get([2]string{first, second}, func() []metric.RecordOption {
		labels := attribute.NewSet(attribute.String(t.names[0], first), attribute.String(t.names[1], second))
		return []metric.RecordOption{metric.WithAttributeSet(labels)}
	})
	t.histogram.Record(context.Background(), d.Seconds(), options...)
}

// JobCall measures a caller's call about jobs, for example "submit" and "ok".
func (m *Metrics) JobCall(call, result string, d time.Duration) { m.jobCalls.record(call, result, d) }

// WorkerOrder measures an order to a worker, for example "start" and "ok".
func (m *Metrics) WorkerOrder(order, result string, d time.Duration) {
	m.workerOrders.record(order, result, d)
}

// StoreCall measures a call to the platform's table service, for example "commit" and "applied".
func (m *Metrics) StoreCall(call, result string, d time.Duration) {
	m.storeCalls.record(call, result, d)
}

func (m *Metrics) createTimed(meter metric.Meter) error {
	var err error
	if m.jobCalls, err = newTimed(meter, "job.call.duration", "Latency of callers' calls about jobs.", "call", "result"); err != nil {
		return err
	}
	if m.workerOrders, err = newTimed(meter, "worker.order.duration", "Latency of orders to workers.", "order", "result"); err != nil {
		return err
	}
	m.storeCalls, err = newTimed(meter, "store.call.duration", "Latency of calls to the table service.", "call", "result")
	return err
}
