package eventlog

import (
	"cmp"
	"slices"
)

// Event is one recorded event.
type Event struct {
	// Time is the hybrid logical time; see [Unpack]. JSON encodes it as text,
	// because it needs more than the 53 bits of a floating-point number.
	Time uint64 `json:"time,string"`
	// Process is the member id of the process that recorded the event.
	Process string `json:"process"`
	// Sequence numbers the events of a process from 1; a gap in a timeline
	// means that the ring buffer dropped events.
	Sequence uint64 `json:"sequence"`
	Code     Code   `json:"code"`
	Name     string `json:"name"`
	Level    Level  `json:"level"`
	Fields   Fields `json:"fields,omitempty"`
}

// Merge merges the timelines of several processes in causal order: an event
// that a process recorded after it received a message follows the events that
// the sender recorded before it sent the message. Events that occur in several
// timelines are included once.
func Merge(timelines ...[]Event) []Event {
	merged := slices.Concat(timelines...)
	slices.SortFunc(merged, compareEvents)
	return slices.CompactFunc(merged, func(a, b Event) bool { return compareEvents(a, b) == 0 })
}

// compareEvents orders events by logical time. Timestamps of one process are
// unique; events of different processes with equal timestamps are concurrent and
// are ordered by process id.
func compareEvents(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Time, b.Time),
		cmp.Compare(a.Process, b.Process),
		cmp.Compare(a.Sequence, b.Sequence),
	)
}

// ring is a ring buffer of the newest events. The caller provides locking.
type ring struct {
	events []Event
	next   int
	full   bool
}

func newRing(capacity int) *ring { return &ring{events: make([]Event, capacity)} }

func (r *ring) add(e Event) {
	r.events[r.next] = e
	r.next++
	if r.next == len(r.events) {
		r.next, r.full = 0, true
	}
}

// eventsAfter returns at most limit events after a timestamp, oldest first.
func (r *ring) eventsAfter(after uint64, limit int) []Event {
	ordered := r.events[:r.next]
	if r.full {
		ordered = slices.Concat(r.events[r.next:], r.events[:r.next])
	}
	start, found := slices.BinarySearchFunc(ordered, after, func(e Event, t uint64) int { return cmp.Compare(e.Time, t) })
	if found {
		start++
	}
	ordered = ordered[start:]
	return slices.Clone(ordered[:min(limit, len(ordered))])
}
