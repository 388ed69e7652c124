package scheduler

import (
	"cmp"
	"time"
)

// Class says what a job can still earn.
type Class uint8

// Classes, in the order of their turn.
const (
	InTime Class = iota // It can complete within its objective.
	Late                // It can complete within three times its objective.
	Overdue
)

// lateFactor times its objective is when a job's completion is worth nothing more.
const lateFactor = 3

// Work is what is left of a job, and the time that it may take.
type Work struct {
	Submitted time.Duration
	// Objective is the time after the submission at which the job should be complete.
	Objective time.Duration
	// Chain is the longest chain of work that is left.
	Chain time.Duration
	// Load is the work that is left, in core-seconds.
	Load float64
}

// ClassAt returns what the job can still earn at a time.
func (w Work) ClassAt(now time.Duration) Class {
	end := now + w.Chain - w.Submitted
	switch {
	case end <= w.Objective:
		return InTime
	case end <= lateFactor*w.Objective:
		return Late
	}
	return Overdue
}

// Turn orders jobs that wait for workers.
//
// In a surge more work is asked for than there is room. First come, first
// served makes all jobs late by the same time; so jobs that can still be in
// time come first, and among them those with little work left, since each
// completes sooner and for less room.
type Turn struct {
	Class    Class
	Priority int
	Load     float64
	Sequence uint64
}

// Compare orders turns.
func (t Turn) Compare(o Turn) int {
	return cmp.Or(
		cmp.Compare(t.Class, o.Class),
		cmp.Compare(t.Priority, o.Priority),
		cmp.Compare(t.Load, o.Load),
		cmp.Compare(t.Sequence, o.Sequence),
	)
}
