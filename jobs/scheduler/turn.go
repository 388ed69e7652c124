package scheduler

import (
	"cmp"
	"time"
)

// Class groups jobs by whether they can still complete within their objective. The
// value of a completed job falls from class to class.
type Class uint8

// Classes, in the order in which their jobs are served.
const (
	InTime  Class = iota // It can complete within its objective.
	Late                 // It can complete within three times its objective.
	Overdue              // It completes too late to be worth anything.
)

// overdueFactor is the multiple of its objective after which the completion of a job
// is worth nothing.
const overdueFactor = 3

// RemainingWork is the work that a job still has to do, and its time objective.
type RemainingWork struct {
	Submitted time.Duration
	// Objective is the time after submission within which the job should complete.
	Objective time.Duration
	// CriticalPath is the duration of the longest remaining chain of dependent steps.
	CriticalPath time.Duration
	// CoreSeconds is the remaining work over all tasks, in core-seconds.
	CoreSeconds float64
}

// ClassAt returns the class of a job whose remaining work starts at now and takes as
// long as its critical path.
func (w RemainingWork) ClassAt(now time.Duration) Class {
	end := now + w.CriticalPath - w.Submitted
	switch {
	case end <= w.Objective:
		return InTime
	case end <= overdueFactor*w.Objective:
		return Late
	}
	return Overdue
}

// LatestStart returns the latest start of the remaining work with which the job is not
// overdue.
func (w RemainingWork) LatestStart() time.Duration {
	return w.Submitted + overdueFactor*w.Objective - w.CriticalPath
}

// RetriableAt reports whether the job completes in time if a run that starts now fails
// after the given duration.
func (w RemainingWork) RetriableAt(now, duration time.Duration) bool {
	return now+duration+w.CriticalPath <= w.Submitted+w.Objective
}

// SortKey orders jobs that wait for workers.
//
// In a surge, demand exceeds capacity, and serving jobs in order of arrival would
// make all of them equally late. Jobs that can still meet their objective therefore
// come first, and among jobs of one class and priority those with the least remaining
// work, since they complete sooner and take less capacity.
//
// Jobs in excess of the weight of their workspace come after all others. Among them the
// round comes before the priority, so that a workspace that exceeds its weight by a few
// jobs does not wait for all jobs of one that exceeds it by far.
type SortKey struct {
	// ExcessRound is 0 for a job within the weight of its workspace; see
	// [RateLimits.NextExcessRound].
	ExcessRound int
	// Held is set for a job with a last attempt that waits for a proven worker. Within its
	// weight it comes first, since all others can use any worker.
	Held        bool
	Class       Class
	Priority    int
	CoreSeconds float64
	Sequence    uint64
}

// Compare returns a negative number when k comes before o, 0 when they are equal and
// a positive number otherwise.
func (k SortKey) Compare(o SortKey) int {
	return cmp.Or(
		cmp.Compare(min(k.ExcessRound, 1), min(o.ExcessRound, 1)),
		compareHeld(k.Held, o.Held),
		cmp.Compare(k.Class, o.Class),
		cmp.Compare(k.ExcessRound, o.ExcessRound),
		cmp.Compare(k.Priority, o.Priority),
		cmp.Compare(k.CoreSeconds, o.CoreSeconds),
		cmp.Compare(k.Sequence, o.Sequence),
	)
}

func compareHeld(k, o bool) int {
	switch {
	case k == o:
		return 0
	case k:
		return -1
	}
	return 1
}
