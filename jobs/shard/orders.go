package shard

import (
	"context"
	"errors"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/worker"
)

// start orders a worker to run a task.
func (s *Shard) start(t *task, w *workerState, run int) *attempt {
	now := s.o.Clock()
	a := &attempt{task: t, ref: t.ref(), run: run, worker: w, charge: t.step.spec.ReservedResources(), sent: now, pace: fullPace}
	t.add(a)
	w.attempts[a.key()] = a
	w.used = w.used.Plus(a.charge)
	due := max(w.clockNow(now)+s.o.HoldFor, w.maxDue)
	w.maxDue = due
	order := worker.Start{Task: a.ref, Run: run, Spec: t.step.job.job.Spec, LeaseExpiry: due, Fence: s.o.Fence, SavedCheckpoint: t.saved, Ticket: t.step.ticketFor(w, now)}
	t.step.job.started = true
	s.noteUnanswered(w.info.ID, a.key(), now)
	to := w.target()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		clock, err := s.o.Workers.Start(ctx, to, order)
		s.o.Loop.Post(func() { s.startAnswered(a, clock, err) })
	}()
	return a
}

func (s *Shard) startAnswered(a *attempt, clock worker.ClockTime, err error) {
	if err == nil || worker.Refused(err) {
		delete(s.unanswered[a.worker.info.ID], a.key())
	}
	if s.stopped || a.worker.attempts[a.key()] != a {
		return
	}
	now := s.o.Clock()
	if err == nil {
		a.worker.observe(clock, now)
		a.worker.silent = 0
		a.answered = s.next()
		if a.phase == starting {
			a.phase, a.began = running, now
		}
		return
	}
	if a.phase == stopping {
		return // The stop settles whether the run exists.
	}
	if worker.Refused(err) {
		s.startRefused(a, err)
		return
	}
	s.record(eventlog.StartUnanswered, eventlog.Fields{"task": a.ref.String(), "run": a.run, "worker": a.worker.info.ID, "error": err})
	if a.worker.silent++; a.worker.silent >= maxUnanswered {
		a.worker.restUntil = now + restPeriod
	}
	a.doubted = s.next()
	s.look(a.worker)
}

// settleStarts stops runs of which it is not known whether they began. Runs that
// a list shows go on.
func (s *Shard) settleStarts(w *workerState, before moment) {
	for _, a := range w.attempts {
		if a.phase == starting && a.doubted > 0 && a.doubted < before {
			s.stop(a)
		}
	}
}

// startRefused removes an attempt that the worker refused to run.
func (s *Shard) startRefused(a *attempt, err error) {
	now := s.o.Clock()
	s.record(eventlog.StartRefused, eventlog.Fields{"task": a.ref.String(), "run": a.run, "worker": a.worker.info.ID, "error": err})
	s.remove(a)
	switch {
	case errors.Is(err, worker.ErrFenced):
		s.lost("a worker has seen a higher fence")
		return
	case errors.Is(err, worker.ErrReplaced):
		s.dead(a.worker, "replaced")
	case errors.Is(err, worker.ErrStaleRun):
		// The next start uses a higher run number.
	case errors.Is(err, worker.ErrTicketRejected):
		delete(a.task.step.advice.tickets, a.worker) // It is asked for anew.
	case errors.Is(err, worker.ErrInvalidOrder):
		a.task.notBefore = now + restPeriod
	default:
		a.worker.restUntil = now + restPeriod
	}
	s.place()
}

// remove forgets an attempt that certainly does not run.
func (s *Shard) remove(a *attempt) {
	w := a.worker
	if w.attempts[a.key()] != a {
		return
	}
	delete(w.attempts, a.key())
	w.used = w.used.Minus(a.charge)
	if a.task != nil {
		a.task.remove(a)
	}
}

// stop orders the end of a run. The run counts until a worker's list shows
// that it has ended or never began.
func (s *Shard) stop(a *attempt) {
	if a.phase == stopping && (a.ordering || a.answered > 0) {
		return
	}
	if a.phase != stopping {
		a.phase, a.answered = stopping, 0
	}
	if !s.canAct() {
		return // checkWorker repeats it.
	}
	a.ordering, a.sent = true, s.o.Clock()
	to := a.worker.target()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		clock, err := s.o.Workers.Stop(ctx, to, a.ref, a.run, s.o.Fence)
		s.o.Loop.Post(func() { s.stopAnswered(a, clock, err) })
	}()
}

func (s *Shard) stopAnswered(a *attempt, clock worker.ClockTime, err error) {
	a.ordering = false
	if s.stopped || a.worker.attempts[a.key()] != a {
		return
	}
	switch {
	case err == nil:
		a.answered = s.next()
		a.worker.observe(clock, s.o.Clock())
		s.look(a.worker)
	case errors.Is(err, worker.ErrFenced):
		s.lost("a worker has seen a higher fence")
	case errors.Is(err, worker.ErrReplaced):
		s.dead(a.worker, "replaced")
	}
}
