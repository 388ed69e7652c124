// Package admission queues the requests of one pool that wait for a slot.
//
// Requests are ordered by urgency, then by the round that fair queueing between
// customers assigns to them, then by deadline. A request is refused on arrival
// when it is not expected to complete before its deadline, or when too many
// requests of its service are waiting. Each operation takes O(log n) time for n
// waiting requests.
//
// The package reads no clock, starts no goroutine and never blocks; the caller
// passes the time.
package admission
