package admission

import (
	"cmp"
	"time"

	"peridotcrank.dev/fleet"
)

// Ticket describes a request that waits for a slot.
type Ticket struct {
	Service  fleet.ServiceName
	Customer fleet.CustomerID
	// Urgency orders requests; a higher one is served first.
	Urgency int
	// Deadline is the time by which the answer must have arrived. Zero means none.
	Deadline time.Time
	// MaxQueue bounds the waiting requests of the service. 0 selects the default.
	MaxQueue int
}

// Entry is a waiting request.
type Entry[V any] struct {
	Ticket
	// Value is the caller's own.
	Value V

	key    key
	queued bool
}

// key is the place of an entry in the order of service.
type key struct {
	urgency  int
	round    int64
	deadline time.Time
	sequence uint64
}

// compare orders keys by urgency, round, deadline and arrival.
func (k key) compare(other key) int {
	if c := cmp.Compare(other.urgency, k.urgency); c != 0 {
		return c
	}
	if c := cmp.Compare(k.round, other.round); c != 0 {
		return c
	}
	if c := compareDeadlines(k.deadline, other.deadline); c != 0 {
		return c
	}
	return cmp.Compare(k.sequence, other.sequence)
}

// compareDeadlines orders a missing deadline last.
func compareDeadlines(a, b time.Time) int {
	switch {
	case a.IsZero() && b.IsZero():
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	}
	return a.Compare(b)
}
