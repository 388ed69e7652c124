// Package control runs the control loop of an entry process.
//
// One goroutine owns the control state: the rows read from the table service,
// the member view, the configuration and what peers report. It consumes typed
// events and publishes immutable states. Readers of the store, heartbeats and
// writes run in goroutines of their own and report back as events.
package control
