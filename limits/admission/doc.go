// Package admission orders the requests of one pool that wait for a slot.
//
// Requests are served by urgency, then by fair rounds between customers, then
// by deadline. A request is refused early when it is not expected to end
// before its deadline, or when its service has too many requests waiting.
// Each operation takes O(log n) time for n waiting requests.
//
// Nothing in this package reads a clock, starts a goroutine or waits.
package admission
