// Package membership computes the view of live entry processes from heartbeats
// and store reads: which members are suspected, which one to evict, whether the
// view of this process is valid, and when the validity of an evicted member has
// lapsed.
//
// It performs no I/O and reads no clock. Times are durations on one monotonic
// clock that includes time during which the process was suspended. A Tracker must
// not be used concurrently.
package membership
