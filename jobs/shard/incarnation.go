package shard

import (
	"context"
	"errors"
	"time"

	"peridotcrank.dev/jobs/worker"
)

// A worker that starts again under its ID numbers the ends of its runs from 1 and knows
// nothing of before. What the owner knows about one incarnation must not be applied to the
// next one: an acknowledgement would make it forget ends that the owner has not seen, and
// orders sent before the restart was noticed may have been carried out by either.

// statusReply is a status that was requested at a time on the shard's clock.
type statusReply struct {
	worker.Status
	requestedAt time.Duration
}

func (s *Shard) request(ctx context.Context, to worker.Target, order worker.Hold) (statusReply, error) {
	requestedAt := s.opts.Clock()
	status, err := s.opts.Workers.Hold(ctx, to, order)
	return statusReply{status, requestedAt}, err
}

// noteStatusTime stores when a status was taken at the earliest, on the shard's clock. A
// status that was on its way for long is older than its arrival tells. A worker's clock may
// be slow and is never fast, so a time that follows from an earlier request is too early
// rather than too late.
func (w *workerState) noteStatusTime(reply statusReply) {
	offset := reply.requestedAt - reply.ClockTime
	if w.statusTakenAt == 0 || offset > w.clockOffset {
		w.clockOffset = offset
	}
	w.statusTakenAt = reply.ClockTime + w.clockOffset
	w.removeExpiredAcks()
}

// reportingIncarnation returns the state of the incarnation that started at born and has
// sent a status; 0 if the status does not tell.
func (s *Shard) reportingIncarnation(w *workerState, born int64) *workerState {
	if w.info.StartedUnixMs == 0 {
		w.info.StartedUnixMs = born
	}
	if born == 0 || born == w.info.StartedUnixMs {
		return w
	}
	return s.replaceRestartedWorker(w, born, seenInReply)
}

// replaceRestartedWorker replaces the state of a worker by that of its next incarnation.
// Calls and transactions in flight keep their reference to the former state.
func (s *Shard) replaceRestartedWorker(former *workerState, born int64, seenIn restartEvidence) *workerState {
	s.recordRestart(former, born, seenIn)
	w := s.addWorker(former.info)
	w.info.StartedUnixMs = born
	w.applyEntry(former.entry)
	w.trace = traceAfterRestart(former)
	w.registered, w.accountedFor, w.vacateUntil = former.registered, former.accountedFor, former.vacateUntil
	w.restarted, w.rowQueued = true, true
	w.fence, w.formerFence = former.fence, former.fence
	s.inheritAcks(w, former)
	s.raiseFence(w)
	s.journal.workerRows = append(s.journal.workerRows, w)
	s.moveUncertainRuns(former, w)
	s.stopUnansweredStarts(w, former)
	w.trace.removedAtRestart = former.trace.removedRuns
	return w
}

// Each incarnation of a worker gets orders with a fence of its own, so that it refuses the orders
// for the former one that are carried out late: an acknowledgement or a renewal of the lease
// names no incarnation.

// raiseFence gives the incarnation of a restarted worker the version of the last transaction as its
// fence, once that is higher than the fence of the former one. This process owned the
// shard when the transaction was applied, so the fence of the next owner is higher.
func (s *Shard) raiseFence(w *workerState) {
	if w.hasOwnFence() || !s.canAct() || s.journal.head <= w.formerFence {
		return
	}
	w.fence, w.fenceRaisedAt = s.journal.head, s.nextLogicalTime()
	if w.restarted {
		s.requestStatus(w) // So that it refuses late orders for the former incarnation from now on.
	}
}

// supersedeHolds gives the later orders to a worker a higher fence than the hold that was just
// sent. If the worker has restarted and nobody knows yet, an incarnation that executes a later
// start refuses the hold, which may be late and would acknowledge the end of the run. Fences
// stay below that of the next owner, as they do not exceed the version of the last transaction.
func (s *Shard) supersedeHolds(w *workerState) {
	if w.fence < s.journal.head {
		w.fence++
	}
}

// hasOwnFence reports whether the orders to this incarnation have a higher fence than those to
// the former one.
func (w *workerState) hasOwnFence() bool { return w.fence > w.formerFence }

// isSuperseded reports whether an order was refused because this owner has sent a higher fence to
// the worker since.
func (w *workerState) isSuperseded(fence uint64, err error) bool {
	return errors.Is(err, worker.ErrFenced) && fence < w.fence
}

// moveUncertainRuns moves the runs that no status of the former incarnation listed, since
// their orders may have reached the next one. The first status that it sends afterwards
// decides. The other runs have ended with the former incarnation.
func (s *Shard) moveUncertainRuns(former, next *workerState) {
	var ended []*attempt
	for key, a := range former.attempts {
		switch {
		case a.timing.listedClock > 0:
			ended = append(ended, a)
		case a.phase == stopping:
			s.removeAttempt(a)
			s.stopMovedRun(next, former, key)
		default:
			a.moveTo(next)
		}
	}
	s.removeRuns(former, ended, workerRestarted, nil)
}

// moveTo assigns the attempt to the next incarnation of its worker.
func (a *attempt) moveTo(next *workerState) {
	former, key := a.worker, a.key()
	delete(former.attempts, key)
	former.used = former.used.Minus(a.reserved)
	a.worker, a.movedFrom, a.probeUntil = next, former, 0
	next.trace.movedRuns++
	a.timing.noSample = true
	next.attempts[key] = a
	next.used = next.used.Plus(a.reserved)
}

// removeEndedRuns removes the runs of a worker that has restarted and not replied since, once
// they can no longer execute. A start that it has answered may have given it its longest
// lease, since the order named a time on the clock of the former incarnation.
func (s *Shard) removeEndedRuns(w *workerState, now time.Duration) {
	if !w.neverReplied() {
		return
	}
	answeredRunsEnd, unansweredRunsEnd := s.formerOrdersEnd(w)
	var ended []*attempt
	for _, a := range w.attempts {
		if now > unansweredRunsEnd || a.answeredAt > 0 && now > answeredRunsEnd {
			ended = append(ended, a)
		}
	}
	s.removeRuns(w, ended, neverAnswered, nil)
}

// neverReplied reports whether a worker with runs has left all calls without a reply.
func (w *workerState) neverReplied() bool {
	return w.failedHolds > 0 && w.clock == 0 && len(w.attempts) > 0
}

// formerOrdersEnd returns when the runs of starts for the former incarnation of a worker can
// no longer execute: those with an answer, and those without one.
func (s *Shard) formerOrdersEnd(w *workerState) (answered, unanswered time.Duration) {
	answered = w.knownSince + orderTimeout + time.Duration(float64(s.maxLease())/minClockRate) + leaseMargin
	return answered, answered + maxOrderDelay
}

// runsBeforeLeaseExpiry returns the runs of a worker that have ended because its lease has
// expired. After a restart, an unanswered start for the former incarnation may still begin:
// it names a time on the clock of that incarnation.
func (s *Shard) runsBeforeLeaseExpiry(w *workerState, now time.Duration) (ended []*attempt) {
	_, unansweredRunsEnd := s.formerOrdersEnd(w)
	for _, a := range w.attempts {
		if a.movedFrom == nil || a.answeredAt > 0 || now > unansweredRunsEnd {
			ended = append(ended, a)
		}
	}
	return ended
}

// maxLease returns the longest lease that a worker may have.
func (s *Shard) maxLease() time.Duration { return max(s.opts.MaxLease, s.opts.LeaseDuration) }

// inheritedLeaseOf returns the longest lease that a worker may have from former owners.
func (s *Shard) inheritedLeaseOf(w *workerState) time.Duration {
	if w.restarted {
		return max(s.inheritedLease, s.maxLease())
	}
	return s.inheritedLease
}

// stopUnansweredStarts stops the runs whose start order may still reach a new incarnation
// of a worker, unless the order is awaited. The new incarnation does not know about the
// stop orders that the former one received. former is nil if it is not known.
func (s *Shard) stopUnansweredStarts(w, former *workerState) {
	s.removeExpiredStarts(w.info.ID)
	for key := range s.unansweredStarts[w.info.ID] {
		if w.attempts[key] == nil {
			s.stopMovedRun(w, former, key)
		}
	}
}

// stopMovedRun stops a run that may execute on an incarnation of a worker, although its
// start was sent to the former one.
func (s *Shard) stopMovedRun(w, former *workerState, key runKey) {
	a := s.addDiscoveredRun(w, key)
	a.movedFrom = former
	w.trace.stoppedAgain++
	s.traceStop(a, stopMoved)
	s.stopAttempt(a)
}
