// Package scheduler assigns tasks to workers from a snapshot of the workers' free
// resources, orders waiting jobs and predicts task durations. It performs no I/O,
// reads no clock and does not modify the snapshot.
package scheduler
