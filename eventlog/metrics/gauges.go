package metrics

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"go.opentelemetry.io/otel/metric"
)

// Gauge is a number that is read when metrics are collected.
type Gauge struct {
	value  atomic.Int64
	labels metric.MeasurementOption
}

// Set sets the value.
func (g *Gauge) Set(value int64) { g.value.Store(value) }

// Add changes the value by delta.
func (g *Gauge) Add(delta int64) { g.value.Add(delta) }

type gauges struct {
	queue, inFlight, configVersion, fleetRevision, viewValid metric.Int64ObservableGauge
}

func (m *Metrics) createGauges(meter metric.Meter) error {
	var g gauges
	var errs [5]error
	create := func(name, description string) (metric.Int64ObservableGauge, error) {
		return meter.Int64ObservableGauge(name, metric.WithDescription(description))
	}
	g.queue, errs[0] = create("queue.length", "Requests that wait for a slot, by pool.")
	g.inFlight, errs[1] = create("requests.in_flight", "Requests that have arrived and are not answered, by service.")
	g.configVersion, errs[2] = create("config.version", "Version of the configuration in force at this process.")
	g.fleetRevision, errs[3] = create("fleet.revision", "Revision of the table service that the fleet view reflects.")
	g.viewValid, errs[4] = create("view.valid", "1 while the view of the fleet is valid, else 0.")
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	observe := func(_ context.Context, o metric.Observer) error {
		m.observeGauges(o, g)
		return nil
	}
	if _, err := meter.RegisterCallback(observe, g.queue, g.inFlight, g.configVersion, g.fleetRevision, g.viewValid); err != nil {
		return fmt.Errorf("register gauges: %w", err)
	}
	return nil
}

func (m *Metrics) observeGauges(o metric.Observer, g gauges) {
	m.queues.forEach(func(q *Gauge) { o.ObserveInt64(g.queue, q.value.Load(), q.labels) })
	m.services.forEach(func(s *Service) { o.ObserveInt64(g.inFlight, s.inFlight.Load(), s.labels) })
	o.ObserveInt64(g.configVersion, int64(m.configVersion.Load()))
	o.ObserveInt64(g.fleetRevision, int64(m.fleetRevision.Load()))
	valid := int64(0)
	if m.viewValid.Load() {
		valid = 1
	}
	o.ObserveInt64(g.viewValid, valid)
}
