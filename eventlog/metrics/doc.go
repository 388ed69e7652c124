// Package metrics holds the OpenTelemetry instruments of a process and
// serves them in Prometheus format.
//
// The request path looks up the [Service] of a request by name and records the
// request with it, which neither allocates nor builds label sets. Gauges are
// atomic values that are read when metrics are collected.
package metrics
