package eventlog

import (
	"cmp"
	"slices"
)

// Event is one recorded event.
type Event struct {
	// Time is the hybrid logical time; see [Unpack]. JSON carries it as text,
	// since it needs more than the 53 bits of a floating-point number.
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

// Merge joins the timelines of several processes in causal order: an event
// that a process recorded after it received a message follows the events that
// the sender recorded before. Events that appear in several timelines are kept once.
func Merge(timelines ...[]Event) []Event {
	merged := slices.Concat(timelines...)
	slices.SortFunc(merged, compareEvents)
	return slices.CompactFunc(merged, func(a, b Event) bool { return compareEvents(a, b) == 0 })
}

// compareEvents orders by logical time. Timestamps of one process are unique;
// equal ones of different processes are concurrent, and the process breaks the tie.
func compareEvents(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Time, b.Time),
		cmp.Compare(a.Process, b.Process),
		cmp.Compare(a.Sequence, b.Sequence),
	)
}

// ring keeps the newest events. The caller provides locking.
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

// since returns the events after a timestamp, oldest first, at most limit of them.
func (r *ring) since(after uint64, limit int) []Event {
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
