package shard

import (
	"time"

	"peridotcrank.dev/jobs/worker"
)

// nextHold returns the next hold of a worker, and false if none is due.
func (s *Shard) nextHold(w *workerState, now time.Duration) (worker.Hold, bool) {
	if w.lastAppliedEnd > w.lastCommittedEnd && now-w.holdSentAt < maxRenewalInterval {
		return worker.Hold{}, false // When the commit in flight completes, it sends a hold that acknowledges the ends.
	}
	step := s.nextAckStep(w, now)
	if step == ackBlocked && now-w.holdRepliedAt < blockedAckInterval {
		return worker.Hold{}, false // The reply to the start or checkWorker sends it.
	}
	order := worker.Hold{Fence: w.fence}
	if w.renewsLease() {
		order.LeaseExpiry = max(w.minClockNow(now)+s.opts.LeaseDuration, w.maxLeaseExpiry)
	}
	switch {
	case w.clock == 0 || w.failedHolds > 0 || w.quarantine.active():
	case step == ackReady:
		order.AckedUpTo = w.lastCommittedEnd
	case step == ackUnconfirmed:
		w.confirmedAt = now
	default:
		order.Wait = s.holdWait(w)
	}
	return order, true
}

// renewsLease reports whether a hold renews the lease of a worker. A worker that did not reply is queried without, since it might
// receive the renewal although its reply is lost, which would delay the restart of its tasks on
// other workers. The lease of a quarantined worker is renewed only for runs that it lists.
func (w *workerState) renewsLease() bool {
	if w.clock == 0 || w.failedHolds > 0 {
		return false
	}
	return !w.quarantine.active() || w.listsRuns()
}

// listsRuns reports whether the last status lists a run other than a probe.
func (w *workerState) listsRuns() bool {
	for _, a := range w.attempts {
		if !a.isProbe() && a.timing.listedClock > 0 && a.timing.listedClock == w.lastStatusClock {
			return true
		}
	}
	return false
}
