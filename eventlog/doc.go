// Package eventlog writes numbered log events and keeps the timeline of a
// process.
//
// Each event has a [Code] from the catalogue in codes.go, which
// docs/EVENTS.md mirrors. A [Log] stamps an event with the hybrid logical time
// of its [Clock], keeps it in a bounded ring buffer and writes it through
// logrus. [Merge] joins the timelines of several processes in causal order.
package eventlog
