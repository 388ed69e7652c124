// Package control runs the control loop of an entry process.
//
// One goroutine owns the control state: the rows read from the table service,
// the member view, the configuration and the reports of peers. It consumes typed
// events and publishes immutable states. Reads and writes of the table service
// and calls to peers run in other goroutines, which send their results back as
// events.
package control
