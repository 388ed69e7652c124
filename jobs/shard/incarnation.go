package shard

import (
	"context"
	"time"

	"peridotcrank.dev/jobs/worker"
)

// A worker that starts again under its ID numbers the ends of its runs from 1 and knows
// nothing of before. What the owner knows about one incarnation must not be applied to the
// next one: an acknowledgement would make it forget ends that the owner has not seen, and
// orders sent before the restart was noticed may have been carried out by either.

// hold sends a hold. With confirm it first requests the status, and sends an acknowledgement
// only if the incarnation that started at born is the one that replies.
func (s *Shard) hold(ctx context.Context, to worker.Target, order worker.Hold, confirm bool, born int64) (worker.Status, error) {
	if confirm {
		status, err := s.opts.Workers.Hold(ctx, to, worker.Hold{Fence: order.Fence})
		if err != nil || status.StartedUnixMs != born {
			return status, err
		}
	}
	return s.opts.Workers.Hold(ctx, to, order)
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
	s.journal.workerRows = append(s.journal.workerRows, w)
	s.moveUncertainRuns(former, w)
	s.stopUnansweredStarts(w)
	return w
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
			s.stopAttempt(s.addDiscoveredRun(next, key))
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
	a.worker, a.movedFrom = next, former
	a.timing.noSample = true
	next.attempts[key] = a
	next.used = next.used.Plus(a.reserved)
}

// removeEndedRuns removes the runs of a worker that has restarted and not replied since, once
// they can no longer execute. A start that it has answered may have given it its longest
// lease, since the order named a time on the clock of the former incarnation.
func (s *Shard) removeEndedRuns(w *workerState, now time.Duration) {
	if w.failedHolds == 0 || w.clock > 0 {
		return
	}
	answeredRunsEnd := w.knownSince + orderTimeout + time.Duration(float64(s.maxLease())/minClockRate) + leaseMargin
	unansweredRunsEnd := answeredRunsEnd + maxOrderDelay
	var ended []*attempt
	for _, a := range w.attempts {
		if a.answeredAt > 0 && now > answeredRunsEnd || a.answeredAt == 0 && (!w.registered || now > unansweredRunsEnd) {
			ended = append(ended, a)
		}
	}
	s.removeRuns(w, ended, neverAnswered, nil)
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
// stop orders that the former one received.
func (s *Shard) stopUnansweredStarts(w *workerState) {
	s.removeExpiredStarts(w.info.ID)
	for key := range s.unansweredStarts[w.info.ID] {
		if w.attempts[key] == nil {
			s.stopAttempt(s.addDiscoveredRun(w, key))
		}
	}
}
