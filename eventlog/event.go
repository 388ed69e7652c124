package eventlog

// Code is the number of an event in docs/EVENTS.md.
type Code uint16

// Fields holds the details of an event by name.
type Fields map[string]any

// Recorder records the events of a process. It is safe for concurrent use and
// never waits for a peer.
type Recorder interface {
	Record(code Code, fields Fields)
}
