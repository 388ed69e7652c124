package metrics

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/prometheus/otlptranslator"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"peridotcrank.dev/fleet"
)

const (
	meterName = "peridotcrank"
	// maxLabelSets is the maximum number of label sets of an instrument; the SDK
	// counts all others under one overflow label set.
	maxLabelSets = 4096

	headerTimeout  = 5 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 2 * time.Minute // Longer than the usual scrape intervals.
	maxHeaderBytes = 16 << 10
)

// latencyBounds are the bucket bounds of latency histograms, in seconds. They
// cover the range around the default service timeout of 2 s.
var latencyBounds = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 1.5, 2, 3, 5, 10, 30}

// Metrics holds the instruments of a process. It is safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry
	provider *sdk.MeterProvider

	requests     metric.Int64Counter
	latency      metric.Float64Histogram
	sheds        metric.Int64Counter
	retries      metric.Int64Counter
	claims       *labelledCounter
	store        *labelledCounter
	peerMessages *labelledCounter
	rejections   *labelledCounter
	// closedConnections are the connections that were closed because of a limit.
	closedConnections *labelledCounter
	excessJobs        *labelledCounter
	runs              runCounters
	jobCalls          *latencyHistogram
	workerOrders      *latencyHistogram
	storeCalls        *latencyHistogram
	// durationRatios are the prediction errors of learned durations.
	durationRatios metric.Float64Histogram

	services cache[fleet.ServiceName, *Service]
	queues   cache[fleet.PoolID, *Gauge]

	configVersion atomic.Uint64
	fleetRevision atomic.Uint64
	viewValid     atomic.Bool
}

// New creates the instruments in a new registry.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := exporter.New(
		exporter.WithRegisterer(registry),
		exporter.WithTranslationStrategy(otlptranslator.UnderscoreEscapingWithSuffixes),
		exporter.WithNamespace(meterName),
		exporter.WithoutScopeInfo(),
		exporter.WithoutTargetInfo(),
	)
	if err != nil {
		return nil, fmt.Errorf("metrics exporter: %w", err)
	}
	m := &Metrics{
		registry: registry,
		provider: sdk.NewMeterProvider(sdk.WithReader(reader), sdk.WithCardinalityLimit(maxLabelSets)),
	}
	if err := m.createInstruments(m.provider.Meter(meterName)); err != nil {
		return nil, fmt.Errorf("metrics instruments: %w", err)
	}
	return m, nil
}

// Handler returns a handler that serves the metrics in Prometheus format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// NewHTTPServer returns an HTTP server that serves the metrics at /metrics.
func (m *Metrics) NewHTTPServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.Handler())
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Shutdown stops the collection of metrics and releases its resources.
func (m *Metrics) Shutdown(ctx context.Context) error {
	if err := m.provider.Shutdown(ctx); err != nil {
		return fmt.Errorf("metrics shutdown: %w", err)
	}
	return nil
}

func (m *Metrics) createInstruments(meter metric.Meter) error {
	var errs [9]error
	m.requests, errs[0] = meter.Int64Counter("requests", metric.WithDescription("Callers' requests by service and outcome."))
	m.latency, errs[1] = meter.Float64Histogram("request.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from the arrival of a request to its answer."), metric.WithExplicitBucketBoundaries(latencyBounds...))
	m.sheds, errs[2] = meter.Int64Counter("sheds", metric.WithDescription("Requests shed before they were sent, by service and reason."))
	m.retries, errs[3] = meter.Int64Counter("retries", metric.WithDescription("Requests sent again, by service."))
	errs[4] = m.createLabelledCounters(meter)
	errs[5] = m.createGauges(meter)
	errs[6] = m.createLatencyHistograms(meter)
	errs[7] = m.createExcessCounter(meter)
	errs[8] = m.createRunCounters(meter)
	return errors.Join(errs[:]...)
}

func (m *Metrics) createLabelledCounters(meter metric.Meter) error {
	var errs [5]error
	m.claims, errs[0] = newLabelledCounter(meter, "claims", "Claims of idempotency keys by verdict.", "verdict")
	m.store, errs[1] = newLabelledCounter(meter, "store.requests", "Requests to the table service by operation and result.", "operation", "result")
	m.peerMessages, errs[2] = newLabelledCounter(meter, "peer.messages", "Messages between entry processes by kind and direction.", "kind", "direction")
	m.rejections, errs[3] = newLabelledCounter(meter, "job.call.rejections", "Callers' calls about jobs that were not forwarded, or whose success was not reported, by reason.", "reason")
	m.closedConnections, errs[4] = newLabelledCounter(meter, "connections.closed", "Connections that were closed or refused because of a limit, by listener and limit.", "listener", "limit")
	return errors.Join(errs[:]...)
}

// CountClosedConnection counts a connection that was closed or refused because of a limit, for
// example that of "callers" because of "memory".
func (m *Metrics) CountClosedConnection(listener, limit string) {
	m.closedConnections.add(listener, limit)
}

// CountClaim counts a claim of an idempotency key by its verdict.
func (m *Metrics) CountClaim(verdict string) { m.claims.add(verdict, "") }

// CountStoreRequest counts a request to the table service, for example "commit" and "applied".
func (m *Metrics) CountStoreRequest(operation, result string) { m.store.add(operation, result) }

// CountPeerMessage counts a message between entry processes, for example "heartbeat" and "received".
func (m *Metrics) CountPeerMessage(kind, direction string) { m.peerMessages.add(kind, direction) }

// CountCallRejection counts a call about jobs that is not served because of the
// configuration or its key, for example "key-refused".
func (m *Metrics) CountCallRejection(reason string) { m.rejections.add(reason, "") }

// ObserveConfirmation registers a function that returns the age of the confirmation of the
// configuration each time metrics are collected, and false if there is none. Call it only
// once.
func (m *Metrics) ObserveConfirmation(read func() (time.Duration, bool)) error {
	_, err := m.provider.Meter(meterName).Float64ObservableGauge("config.confirmation.age", metric.WithUnit("s"),
		metric.WithDescription("Time since the read that confirmed the configuration last."),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			if age, ok := read(); ok {
				o.Observe(age.Seconds())
			}
			return nil
		}))
	return err
}

// SetConfigVersion sets the version of the configuration in force at this process.
func (m *Metrics) SetConfigVersion(version uint64) { m.configVersion.Store(version) }

// SetFleetRevision sets the revision of the table service that the fleet view reflects.
func (m *Metrics) SetFleetRevision(revision uint64) { m.fleetRevision.Store(revision) }

// SetViewValid records whether the view of the fleet is valid.
func (m *Metrics) SetViewValid(valid bool) { m.viewValid.Store(valid) }

// Queue returns the gauge of the number of requests that wait for a slot in a pool.
func (m *Metrics) Queue(pool fleet.PoolID) *Gauge {
	return m.queues.get(pool, func() *Gauge {
		return &Gauge{labels: metric.WithAttributeSet(attribute.NewSet(attribute.String("pool", string(pool))))}
	})
}
