// Package wire counts the bytes of network connections for metrics.
package wire
