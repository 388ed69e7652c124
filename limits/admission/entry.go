package admission

import (
	"cmp"
	"time"

	"peridotcrank.dev/fleet"
)

// Request describes a request that waits for a slot.
type Request struct {
	Service  fleet.ServiceName
	Customer fleet.CustomerID
	// Urgency is the priority: a request with a higher value is served first.
	Urgency int
	// Deadline is the time by which the response must have arrived. Zero means none.
	Deadline time.Time
	// MaxQueue bounds the waiting requests of the service. 0 selects
	// Options.MaxQueue.
	MaxQueue int
}

// Entry is a request in a Queue with a value of the caller.
type Entry[V any] struct {
	Request
	// Value is set by the caller of Enqueue; the queue doesn't use it.
	Value V

	sortKey sortKey
	queued  bool
}

// sortKey determines the position of an entry in the order of service.
type sortKey struct {
	urgency  int
	round    int64
	deadline time.Time
	sequence uint64
}

// compare orders keys by urgency (highest first), round, deadline and arrival.
func (k sortKey) compare(other sortKey) int {
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

// compareDeadlines orders the earliest deadline first and a zero one last.
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
