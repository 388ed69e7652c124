package metrics

import (
	"context"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"peridotcrank.dev/fleet"
)

// Outcome is the outcome of a request as reported to the caller.
type Outcome uint8

// Outcomes, with the values of the header Peridotcrank-Outcome.
const (
	OutcomeNotRun Outcome = iota
	OutcomeUnknown
	OutcomeBackendAnswered
	outcomes int = iota
)

// String returns the value of the outcome in the header Peridotcrank-Outcome.
func (o Outcome) String() string {
	return [...]string{"not-run", "unknown", "backend-answered"}[o]
}

// ServiceNone is the label of requests that match no service.
const ServiceNone fleet.ServiceName = "none"

// Service holds the instruments of a service.
type Service struct {
	metrics  *Metrics
	service  attribute.KeyValue
	requests [outcomes][]metric.AddOption
	latency  []metric.RecordOption
	retries  []metric.AddOption
	labels   metric.MeasurementOption
	sheds    cache[string, []metric.AddOption]
	inFlight atomic.Int64
}

// Service returns the instruments of a service, and creates them on first use.
// The name must come from the configuration, never from a caller, so that the
// number of label sets is bounded.
func (m *Metrics) Service(name fleet.ServiceName) *Service {
	return m.services.get(name, func() *Service { return newService(m, name) })
}

func newService(m *Metrics, name fleet.ServiceName) *Service {
	service := attribute.String("service", string(name))
	labels := metric.WithAttributeSet(attribute.NewSet(service))
	s := &Service{
		metrics: m,
		service: service,
		latency: []metric.RecordOption{labels},
		retries: []metric.AddOption{labels},
		labels:  labels,
	}
	for o := range s.requests {
		s.requests[o] = addOptions(service, attribute.String("outcome", Outcome(o).String()))
	}
	return s
}

// Begin adds a request to those in flight. Call End when it ends.
func (s *Service) Begin() { s.inFlight.Add(1) }

// End removes a request from those in flight and records its outcome and latency.
func (s *Service) End(outcome Outcome, latency time.Duration) {
	s.inFlight.Add(-1)
	s.metrics.requests.Add(context.Background(), 1, s.requests[outcome]...)
	s.metrics.latency.Record(context.Background(), latency.Seconds(), s.latency...)
}

// Retry counts a request that was sent again.
func (s *Service) Retry() { s.metrics.retries.Add(context.Background(), 1, s.retries...) }

// Shed counts a request that was shed. End must be called for it as well.
func (s *Service) Shed(reason string) {
	options := s.sheds.get(reason, func() []metric.AddOption {
		return addOptions(s.service, attribute.String("reason", reason))
	})
	s.metrics.sheds.Add(context.Background(), 1, options...)
}
