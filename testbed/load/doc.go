// Package load sends requests to entry processes and records what callers saw.
//
// The load is open-loop: requests start at times drawn in advance, and latency
// counts from the intended start, so that a stalled system does not hide
// waiting callers.
package load
