package eventlog

// Code is the number of an event in docs/EVENTS.md.
type Code uint16

// Fields are the typed details of an event.
type Fields map[string]any

// Recorder records events of one process. It is safe for concurrent use and never blocks on I/O of peers.
type Recorder interface {
	Record(code Code, fields Fields)
}
