package shard

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/worker"
)

// updateClock stores a reading of the worker's clock, unless a later one is known.
func (w *workerState) updateClock(clock worker.ClockTime, now time.Duration) {
	if clock >= w.clock {
		w.clock, w.clockReadAt = clock, now
	}
}

// SetWorkers sets the pool's workers as listed in the platform's registry.
func (s *Shard) SetWorkers(infos []worker.Info) {
	s.registry, s.registryRead = infos, true
	s.registerWorkers()
}

// registerWorkers applies the registry once the rows are loaded.
func (s *Shard) registerWorkers() {
	if !s.active || s.stopped || !s.registryRead {
		return
	}
	for _, w := range s.workers {
		w.registered = false
	}
	for _, info := range s.registry {
		s.registerWorker(info)
	}
	s.schedulePlacement()
	s.flush()
}

// registerWorker adds or updates a worker that the registry lists.
func (s *Shard) registerWorker(info worker.Info) {
	w := s.workers[info.ID]
	if w == nil {
		w = s.addWorker(info)
		s.restoreRemoved(w)
		w.accountedFor = true // A worker that is not in the rows was never used by a former owner.
		w.trace.knownFromFirstEnd = true
		s.stopUnansweredStarts(w, nil)
	}
	if w.info.StartedUnixMs != 0 && info.StartedUnixMs > w.info.StartedUnixMs {
		w = s.replaceRestartedWorker(w, info.StartedUnixMs, seenInRegistry)
	}
	w.registered = true
	w.applyEntry(info)
	s.queueWorkerRow(w)
	s.sendHold(w)
}

// applyEntry stores the registry entry of a worker and uses it if it is that of the known
// incarnation. The registry may be older than what the worker itself has reported.
func (w *workerState) applyEntry(entry worker.Info) {
	w.entry = entry
	if w.info.StartedUnixMs == 0 || w.info.StartedUnixMs == entry.StartedUnixMs {
		w.info = entry
	}
}

// queueWorkerRow adds the worker's row to the next transaction, so that a later owner
// queries the worker. A worker that has never replied gets no tasks and no row: later owners
// would wait for it.
func (s *Shard) queueWorkerRow(w *workerState) {
	if w.rowCommitted && w.hasOwnFence() || w.rowQueued || w.clock == 0 || s.opts.Clock() < w.vacateUntil {
		return
	}
	w.rowQueued = true
	s.journal.workerRows = append(s.journal.workerRows, w)
}

// canEnd reports whether nothing is lost when the worker ends: it runs nothing, and does
// not hold the only record of the end of a run.
func (w *workerState) canEnd() bool {
	return len(w.attempts) == 0 && w.accountedFor && w.lastCommittedEnd == w.lastAppliedEnd
}

// deleteVacatedWorkerRow deletes the row of a worker that can end and has no unanswered
// start, since its VM may be reassigned at any moment. A later owner then does not wait for
// this worker.
func (s *Shard) deleteVacatedWorkerRow(w *workerState) {
	if !w.rowCommitted || !w.canEnd() || len(s.unansweredStarts[w.info.ID]) > 0 || s.mayForgetEnds(w) {
		return
	}
	w.rowCommitted = false
	s.deleteWorkerRow(w.info.ID)
	s.flush()
}

func (s *Shard) addWorker(info worker.Info) *workerState {
	w := &workerState{info: info, knownSince: s.opts.Clock(), fence: s.opts.Fence, attempts: map[runKey]*attempt{}, pace: fullPace, doubtful: true}
	s.workers[info.ID] = w
	return w
}

// unansweredStart is a start order without a reply.
type unansweredStart struct {
	sentAt time.Duration
	step   *stepState
}

// addUnansweredStart remembers a start order until it is answered.
func (s *Shard) addUnansweredStart(a *attempt, sent time.Duration) {
	id := a.worker.info.ID
	if s.unansweredStarts[id] == nil {
		s.unansweredStarts[id] = map[runKey]unansweredStart{}
	}
	s.unansweredStarts[id][a.key()] = unansweredStart{sent, a.task.step}
}

// removeExpiredStarts removes the unanswered starts that can no longer be carried out.
func (s *Shard) removeExpiredStarts(id worker.ID) {
	now := s.opts.Clock()
	for key, start := range s.unansweredStarts[id] {
		if now-start.sentAt > maxOrderDelay {
			delete(s.unansweredStarts[id], key)
		}
	}
	if len(s.unansweredStarts[id]) == 0 {
		delete(s.unansweredStarts, id)
	}
}

func (s *Shard) removeAttempts(w *workerState, reason removalReason) {
	s.removeRuns(w, slices.Collect(maps.Values(w.attempts)), reason, nil)
}

// markAccountedFor marks that this owner knows everything that former owners may have
// started on a worker.
func (s *Shard) markAccountedFor(w *workerState, proof accountingProof) {
	if w.accountedFor {
		return
	}
	w.accountedFor = true
	s.traceAccountedFor(w, proof)
	s.unaccountedWorkers--
}

// removedWorker is a worker that this owner has removed and that may return under its ID.
type removedWorker struct {
	last *workerState
	at   time.Duration
}

// restoreRemoved applies what is known of a removed worker to one that returns under its ID.
func (s *Shard) restoreRemoved(w *workerState) {
	former, ok := s.removedWorkers[w.info.ID]
	if !ok {
		return
	}
	w.fence, w.formerFence = former.last.fence, former.last.fence
	isSame := w.info.StartedUnixMs != 0 && w.info.StartedUnixMs == former.last.info.StartedUnixMs
	w.restarted = !isSame || former.last.restarted
	if isSame {
		w.inherited, w.openAcks, w.formerAcks = former.last.inherited, former.last.openAcks, former.last.formerAcks
		s.beginQuarantine(w, former.last.quarantine.upTo)
		return
	}
	s.inheritAcks(w, former.last)
}

// forgetRemovedWorkers forgets the workers that no order of this owner can reach any more.
func (s *Shard) forgetRemovedWorkers(now time.Duration) {
	for id, w := range s.removedWorkers {
		if now-w.at > removedWorkerRetention {
			delete(s.removedWorkers, id)
			if w.last.rowCommitted {
				s.deleteWorkerRow(id)
			}
		}
	}
}

// removedUnreachable is the reason for the removal of a worker that may still return under its ID.
const removedUnreachable = "not registered and unreachable"

// removeWorker removes a worker that has certainly terminated.
func (s *Shard) removeWorker(w *workerState, reason string) {
	if s.workers[w.info.ID] != w {
		return
	}
	s.recordGone(w, reason)
	s.removeAttempts(w, workerGone)
	s.markAccountedFor(w, accountedByRemoval)
	delete(s.workers, w.info.ID)
	s.removedWorkers[w.info.ID] = removedWorker{w, s.opts.Clock()}
	if reason != removedUnreachable || !s.mayForgetEnds(w) { // Otherwise it may return, and forgetRemovedWorkers deletes the row.
		w.rowCommitted = false
		s.deleteWorkerRow(w.info.ID)
	}
	s.schedulePlacement()
}

// sendHold renews a worker's lease, acknowledges the ends of runs and waits for new
// ones.
func (s *Shard) sendHold(w *workerState) {
	now := s.opts.Clock()
	if w.holdInFlight != nil || !s.canAct() || s.workers[w.info.ID] != w {
		return
	}
	if w.quarantine.active() && w.holdRepliedAt > 0 && now-w.holdRepliedAt < tickInterval {
		return // checkWorker sends it.
	}
	order, due := s.nextHold(w, now)
	if !due {
		return
	}
	w.maxLeaseExpiry = max(w.maxLeaseExpiry, order.LeaseExpiry)
	to, sent := s.beginOrder(w)
	call := &holdCall{sent: sent, fence: order.Fence, renews: order.LeaseExpiry > 0, waits: order.Wait > 0, ack: w.noteAckSent(order.AckedUpTo, now)}
	w.holdInFlight, w.holdSentAt = call, now
	call.traced = w.trace.noteHoldSent(order, now)
	if order.AckedUpTo > 0 {
		s.supersedeHolds(w)
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), order.Wait+lateReplyLimit)
		defer cancel()
		late := time.AfterFunc(order.Wait+holdTimeout, func() {
			s.opts.Loop.Post(func() { s.handleHoldReply(w, call, statusReply{}, errReplyLate) })
		})
		reply, err := s.request(ctx, to, order)
		late.Stop()
		s.opts.Loop.Post(func() {
			s.endStatusCall(w.info.ID, call.sent)
			s.traceUnsentOrder(orderHold, to, err, eventlog.Fields{"renews": call.renews, "acked": call.ack.number})
			w.noteAckReply(call.ack, reply, err)
			w.noteHoldReply(call, reply, err)
			s.handleHoldReply(w, call, reply, err)
		})
	}()
}

// holdWait returns how long the worker may delay its reply to a hold.
func (s *Shard) holdWait(w *workerState) time.Duration {
	if len(w.attempts) == 0 {
		return holdWaitIdle
	}
	if c := w.colocation(); c.hasServing && len(c.bestEffort) > 0 {
		return colocatedHoldWait
	}
	return holdWait
}

// requestStatus requests a worker's status immediately, in addition to a hold that is
// waiting for a run to end. If the request fails, the next hold reports it.
func (s *Shard) requestStatus(w *workerState) { s.queryStatus(w, orderTimeout, func(error) {}) }

// queryStatus requests a worker's status, applies it and passes the outcome to done. It
// returns false if the worker cannot be queried now.
func (s *Shard) queryStatus(w *workerState, timeout time.Duration, done func(error)) bool {
	if !s.canAct() || s.workers[w.info.ID] != w {
		return false
	}
	order := worker.Hold{Fence: w.fence}
	to, sent := s.beginOrder(w)
	query := w.trace.noteStatusSent(s.opts.Clock())
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		reply, err := s.request(ctx, to, order)
		s.opts.Loop.Post(func() {
			s.endStatusCall(w.info.ID, sent)
			w.trace.noteStatusReply(query, err)
			if err == nil {
				s.handleRequestedStatus(w, sent, reply)
			}
			done(err)
		})
	}()
	return true
}

// holdCall is a hold that was sent to a worker.
type holdCall struct {
	sent   logicalTime
	fence  uint64
	renews bool // It renews the worker's lease.
	waits  bool // Its reply may wait for an end.
	ack    sentAck
	traced *statusCall
}

// errReplyLate reports that a reply has not arrived in time. It may still arrive.
var errReplyLate = errors.New("no reply in time")

// handleHoldReply applies the reply to a hold, or its error, and sends the next one. A reply that
// arrives after errReplyLate is applied as well, since it may be this process that is late.
func (s *Shard) handleHoldReply(w *workerState, call *holdCall, reply statusReply, err error) {
	late := w.holdInFlight != call
	s.traceReply(w, reply, err)
	if !late {
		w.holdInFlight, w.holdRepliedAt = nil, s.opts.Clock()
	}
	if current := s.reporter(w, reply); err == nil && current != nil && current != w && !s.stopped {
		s.handleStatus(current, call.sent, reply)
		return
	}
	if s.stopped || s.workers[w.info.ID] != w || late && err != nil {
		return
	}
	if err != nil {
		s.handleHoldError(w, call.fence, err)
		return
	}
	w.failedHolds = 0
	if late && w.holdInFlight != nil && !w.holdInFlight.renews {
		w.holdInFlight = nil // The worker is up, so its lease is renewed at once.
	}
	s.sendHold(s.handleStatus(w, call.sent, reply))
}

// handleStatus applies a status and returns the state of the incarnation that reported it.
func (s *Shard) handleStatus(w *workerState, sent logicalTime, reply statusReply) *workerState {
	status := reply.Status
	w = s.reportingIncarnation(w, status.StartedUnixMs)
	w.repliedAt = s.opts.Clock()
	first := w.clock == 0
	if first {
		w.firstReplyAt = s.opts.Clock()
		s.recordJoined(w, status)
	}
	if w.restarted && w.lastStatusClock == 0 {
		w.formerLeaseExpiry = status.ClockTime + s.maxLease()
	}
	w.noteStatusTime(reply)
	w.updateClock(status.ClockTime, s.opts.Clock())
	if first && w.registered {
		s.queueWorkerRow(w)
	}
	s.traceStatus(w, reply)
	s.applyStatus(w, sent, status)
	return w
}

// handleHoldError repeats a failed hold after holdRetryDelay. It relinquishes the
// shard if the worker has seen a newer owner, and removes a worker that was replaced.
func (s *Shard) handleHoldError(w *workerState, fence uint64, err error) {
	switch {
	case w.isSuperseded(fence, err):
		s.sendHold(w)
		return
	case errors.Is(err, worker.ErrFenced):
		s.relinquish(lostToHigherFence, refusedOrderFields(w, orderHold, fence))
		return
	case errors.Is(err, worker.ErrReplaced):
		s.removeWorker(w, "replaced")
		return
	}
	w.failedHolds++
	if w.failedHolds == 1 {
		s.recordUnreachable(w, err)
	}
	if w.holdRetryPending {
		return
	}
	w.holdRetryPending = true
	s.opts.Loop.After(holdRetryDelay, func() {
		w.holdRetryPending = false
		s.sendHold(w)
	})
}

// checkWorker runs the periodic checks of a worker: it renews the lease, repeats
// unanswered stops, and detects stalled runs, expired leases and terminated workers.
func (s *Shard) checkWorker(w *workerState, now time.Duration) {
	s.sendHold(w)
	s.adjustPace(w, now)
	s.checkStalled(w, now)
	if w.registered {
		s.queueWorkerRow(w)
	}
	s.checkSilence(w, now)
	s.probeNumbers(w, now)
	if s.registryRead && !w.registered && w.failedHolds > 0 && w.accountedFor && len(w.attempts) == 0 {
		s.removeWorker(w, removedUnreachable)
		return
	}
	for _, a := range w.attempts {
		if a.phase == stopping && !a.stopInFlight && a.answeredAt == 0 && now-a.sentAt > orderRetryDelay {
			s.stopUnlessDisruptive(a)
		}
	}
}

// canReceiveTasks reports whether a worker is allowed to get new tasks.
func (s *Shard) canReceiveTasks(w *workerState, now time.Duration) bool {
	if !s.isUsable(w, now) || w.quarantine.active() || s.ackForbidsStart(w, now) {
		return false
	}
	for _, a := range w.attempts {
		if a.task == nil {
			return false // The resources reserved by a run of an unknown job are unknown.
		}
	}
	return true
}

// isUsable reports whether a worker is known, ready and responds.
func (s *Shard) isUsable(w *workerState, now time.Duration) bool {
	switch {
	case !w.hasCurrentEntry() || !w.rowCommitted || !w.accountedFor || w.clock == 0 || !w.hasOwnFence():
		return false
	case w.info.State != worker.Ready || w.failedHolds > 0:
		return false
	case now < w.backoffUntil || now < w.vacateUntil:
		return false
	}
	return true
}
