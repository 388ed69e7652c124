// Package load sends requests to entry processes and records the outcomes that callers receive.
//
// The load is open-loop: requests start at times drawn in advance, and latency
// counts from the intended start, so that the time for which a stalled system
// keeps callers waiting is part of the measured latency.
package load
