package shard

import (
	"context"
	"errors"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/worker"
)

// startTask orders a worker to run a task and returns the new attempt. The lease of the worker begins at leaseFrom,
// a time before the last check of the ownership: this process may have been suspended since, and lost the shard.
func (s *Shard) startTask(t *task, w *workerState, run int, leaseFrom time.Duration) *attempt {
	return s.startTaskUntil(t, w, run, max(w.minClockNow(leaseFrom)+s.opts.LeaseDuration, w.maxLeaseExpiry))
}

// startTaskUntil is startTask with the expiry of the worker's lease.
func (s *Shard) startTaskUntil(t *task, w *workerState, run int, leaseExpiry worker.ClockTime) *attempt {
	now := s.opts.Clock()
	a := &attempt{task: t, ref: t.ref(), run: run, worker: w, reserved: t.step.spec.ReservedResources(), sentAt: now, startedAt: now, pace: attemptPace{percent: fullPace, confirmed: true}, timing: t.resumedTiming(), former: t.takeLostRun(), orderedFrom: w.info.StartedUnixMs}
	t.addAttempt(a)
	w.attempts[a.key()] = a
	w.used = w.used.Plus(a.reserved)
	s.countRun(a, false)
	w.maxLeaseExpiry = leaseExpiry
	order := worker.Start{Task: a.ref, Run: run, Spec: t.step.job.job.Spec, LeaseExpiry: leaseExpiry, Fence: w.fence, SavedCheckpoint: t.checkpoint, Ticket: t.step.ticketFor(w, now)}
	s.addUnansweredStart(a, now)
	s.starts.begin()
	to, sent := s.beginOrder(w)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		clock, err := s.opts.Workers.Start(ctx, to, order)
		s.opts.Loop.Post(func() {
			s.endStatusCall(to.ID, sent)
			s.handleStartReply(a, order.Fence, clock, err)
		})
	}()
	return a
}

func (s *Shard) handleStartReply(a *attempt, fence uint64, clock worker.ClockTime, err error) {
	s.endStartOrder(s.opts.Clock() - a.startedAt)
	defer s.acknowledgeAfterStart(a.worker.info.ID)
	if err == nil || worker.Refused(err) {
		s.removeUnansweredStart(a.worker, a.key())
	}
	if err == nil && a.task != nil {
		a.task.step.job.begun = true
	}
	if err != nil {
		s.recordFailedStart(a, err)
	}
	if s.stopped || a.worker.attempts[a.key()] != a {
		return
	}
	now := s.opts.Clock()
	if err == nil {
		if a.movedFrom == nil { // Otherwise the clock may be that of the former incarnation.
			a.worker.updateClock(clock, now)
			a.timing.noteStarted(clock)
		}
		a.worker.consecutiveUnansweredStarts = 0
		a.answeredAt = s.nextLogicalTime()
		if a.phase == starting {
			a.phase, a.firstSeenAt = running, now
		}
		return
	}
	if a.phase == stopping {
		return // The stop order determines whether the run exists.
	}
	if worker.Refused(err) {
		s.handleStartRefusal(a, fence, err)
		return
	}
	if a.worker.consecutiveUnansweredStarts++; a.worker.consecutiveUnansweredStarts >= maxUnansweredStarts {
		a.worker.backoffUntil = now + backoffPeriod
	}
	a.uncertainSince = s.nextLogicalTime()
	s.requestStatus(a.worker)
}

// endStartOrder makes room for the next start order and places the tasks that wait for it.
func (s *Shard) endStartOrder(took time.Duration) {
	if s.starts.end(took, s.opts.Clock()) {
		s.recordEvent(eventlog.StartsLimited, eventlog.Fields{"window": int(s.starts.size), "in_flight": s.starts.inFlight, "took": took.String()})
	}
	if s.starts.takeRoom() {
		s.schedulePlacement()
	}
}

// stopUncertainStarts stops runs that have been uncertain since before the given
// logical time, at which a status was requested that does not list them. A missing reply
// alone does not stop a run: if this process is late, the replies of sound workers are missing
// too, and their runs may have been at work for long.
func (s *Shard) stopUncertainStarts(w *workerState, before logicalTime) {
	for _, a := range w.attempts {
		if a.phase != starting || a.uncertainSince == 0 || a.uncertainSince >= before {
			continue
		}
		s.stopUnlessDisruptive(a)
	}
}

// requestStatusAgain requests the status of a worker unless one was requested just before.
func (s *Shard) requestStatusAgain(w *workerState) {
	if now := s.opts.Clock(); now-w.statusRequestedAt >= startupPollInterval {
		w.statusRequestedAt = now
		s.requestStatus(w)
	}
}

// handleStartRefusal removes an attempt that the worker refused to run.
func (s *Shard) handleStartRefusal(a *attempt, fence uint64, err error) {
	now := s.opts.Clock()
	s.removeAttempt(a)
	switch {
	case a.worker.isSuperseded(fence, err):
		// The next start uses the fence of the worker's incarnation.
	case errors.Is(err, worker.ErrFenced):
		s.relinquish(lostToHigherFence, refusedOrderFields(a.worker, orderStart, fence))
		return
	case (errors.Is(err, worker.ErrRestarted) || errors.Is(err, worker.ErrReplaced)) && a.movedFrom != nil:
		// The former incarnation has ended, which is known.
	case errors.Is(err, worker.ErrReplaced):
		s.removeWorker(a.worker, "replaced")
	case errors.Is(err, worker.ErrStaleRun):
		// The next start uses a higher run number.
	case errors.Is(err, worker.ErrTicketRejected):
		delete(a.task.step.advice.tickets, a.worker) // A new ticket is requested.
	case errors.Is(err, worker.ErrInvalidOrder):
		a.task.notBefore = now + backoffPeriod
	default:
		a.worker.backoffUntil = now + backoffPeriod
	}
	s.schedulePlacement()
}

// removeAttempt removes an attempt whose run certainly does not execute.
func (s *Shard) removeAttempt(a *attempt) {
	w := a.worker
	if w.attempts[a.key()] != a {
		return
	}
	if s.learning != nil {
		s.observeLost(a)
	}
	delete(w.attempts, a.key())
	w.used = w.used.Minus(a.reserved)
	s.uncountRun(a)
	if a.task != nil {
		a.task.removeAttempt(a)
	}
}

// stopAttempt orders a worker to stop a run. The attempt is kept until the worker's
// status shows that the run has ended or never began.
func (s *Shard) stopAttempt(a *attempt) {
	if a.phase == stopping && (a.stopInFlight || a.answeredAt > 0) {
		return
	}
	if a.phase != stopping {
		a.phase, a.answeredAt = stopping, 0
	}
	if !s.canAct() {
		return // checkWorker repeats the stop.
	}
	a.stopInFlight, a.sentAt = true, s.opts.Clock()
	fence := a.worker.fence
	to, sent := s.beginOrder(a.worker)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		clock, err := s.opts.Workers.Stop(ctx, to, a.ref, a.run, fence)
		s.opts.Loop.Post(func() {
			s.endStatusCall(to.ID, sent)
			s.traceUnsentOrder(orderStop, to, err, eventlog.Fields{"task": a.ref.String(), "run": a.run})
			s.handleStopReply(a, fence, clock, err)
		})
	}()
}

func (s *Shard) handleStopReply(a *attempt, fence uint64, clock worker.ClockTime, err error) {
	a.stopInFlight = false
	if s.stopped || a.worker.attempts[a.key()] != a {
		return
	}
	switch {
	case err == nil:
		a.answeredAt = s.nextLogicalTime()
		a.worker.updateClock(clock, s.opts.Clock())
		s.requestStatus(a.worker)
	case a.worker.isSuperseded(fence, err):
		// checkWorker repeats the stop.
	case errors.Is(err, worker.ErrFenced):
		s.relinquish(lostToHigherFence, refusedOrderFields(a.worker, orderStop, fence))
	case errors.Is(err, worker.ErrReplaced):
		s.removeWorker(a.worker, "replaced")
	}
}
