// Package metrics holds the OpenTelemetry instruments of an entry process and
// serves them in Prometheus format.
//
// The traffic side obtains a [Service] once per configuration and reports each
// request through it, which neither allocates nor builds label sets. Gauges
// are plain atomic values that are read when metrics are collected.
package metrics
