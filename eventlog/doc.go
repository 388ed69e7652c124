// Package eventlog records the numbered events of a process as log lines and
// keeps the latest ones as the timeline of the process.
//
// Each event has a [Code] from the catalogue in codes.go, which
// docs/EVENTS.md repeats. A [Log] assigns an event the hybrid logical time of its
// [Clock], adds it to a bounded ring buffer and writes it as a log line with
// logrus. [Merge] merges the timelines of several processes in causal order.
package eventlog
