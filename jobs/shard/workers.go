package shard

import (
	"context"
	"errors"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/worker"
)

func (w *workerState) observe(clock worker.ClockTime, now time.Duration) {
	if clock >= w.clock {
		w.clock, w.clockAt = clock, now
	}
}

// SetWorkers takes the pool's workers as the platform's registry lists them.
func (s *Shard) SetWorkers(infos []worker.Info) {
	s.registry, s.listed = infos, true
	s.registerAll()
}

func (s *Shard) registerAll() {
	if !s.active || s.stopped || !s.listed {
		return
	}
	for _, w := range s.workers {
		w.registered = false
	}
	for _, info := range s.registry {
		s.register(info)
	}
	s.place()
	s.flush()
}

func (s *Shard) register(info worker.Info) {
	w := s.workers[info.ID]
	if w == nil {
		w = s.addWorker(info)
		w.accounted = true // It is new: no former owner recorded it.
		s.stopUnanswered(w)
	}
	if w.info.StartedUnixMs != 0 && info.StartedUnixMs > w.info.StartedUnixMs {
		w = s.reborn(w, info.StartedUnixMs)
	}
	w.info, w.registered = info, true
	s.recordWorker(w)
	s.hold(w)
}

// recordWorker has a worker recorded, so that a later owner asks it.
func (s *Shard) recordWorker(w *workerState) {
	if w.recorded || w.recording || s.o.Clock() < w.vacating {
		return
	}
	w.recording = true
	s.journal.records = append(s.journal.records, w)
}

// forgetVacated drops the row of a worker on which nothing runs and nothing is
// started, since its VM may be given another task at any moment. A later owner
// need not wait for it.
func (s *Shard) forgetVacated(w *workerState) {
	if !w.recorded || len(w.attempts) > 0 || !w.accounted || len(s.unanswered[w.info.ID]) > 0 {
		return
	}
	w.recorded = false
	s.dropWorkerRow(w.info.ID)
	s.flush()
}

func (s *Shard) addWorker(info worker.Info) *workerState {
	w := &workerState{info: info, since: s.o.Clock(), attempts: map[runKey]*attempt{}, pace: fullPace}
	s.workers[info.ID] = w
	return w
}

// reborn replaces a worker by its next life. The state of the former one is
// left to calls and transactions that still refer to it.
func (s *Shard) reborn(former *workerState, born int64) *workerState {
	s.record(eventlog.WorkerReborn, eventlog.Fields{"worker": former.info.ID, "runs": len(former.attempts)})
	s.dropAttempts(former)
	s.account(former)
	w := s.addWorker(former.info)
	w.info.StartedUnixMs = born
	w.registered, w.accounted, w.vacating = former.registered, true, former.vacating
	w.recording = true
	s.journal.records = append(s.journal.records, w)
	s.stopUnanswered(w)
	return w
}

// stopUnanswered stops runs whose start may still reach a new life of a worker,
// which knows nothing of the stops that its former life was told.
func (s *Shard) stopUnanswered(w *workerState) {
	s.forgetLate(w.info.ID)
	for key := range s.unanswered[w.info.ID] {
		s.stop(s.discover(w, key))
	}
}

// noteUnanswered notes a start until it is answered.
func (s *Shard) noteUnanswered(id worker.ID, key runKey, sent time.Duration) {
	if s.unanswered[id] == nil {
		s.unanswered[id] = map[runKey]time.Duration{}
	}
	s.unanswered[id][key] = sent
}

// forgetLate forgets starts without answer that can no longer be carried out.
func (s *Shard) forgetLate(id worker.ID) {
	now := s.o.Clock()
	for key, sent := range s.unanswered[id] {
		if now-sent > lateOrderLimit {
			delete(s.unanswered[id], key)
		}
	}
	if len(s.unanswered[id]) == 0 {
		delete(s.unanswered, id)
	}
}

func (s *Shard) dropAttempts(w *workerState) {
	for _, a := range w.attempts {
		s.remove(a)
	}
}

// account notes that nothing which a former owner started on a worker is unknown.
func (s *Shard) account(w *workerState) {
	if w.accounted {
		return
	}
	w.accounted = true
	s.unaccounted--
}

// dead removes a worker that has certainly ended.
func (s *Shard) dead(w *workerState, reason string) {
	if s.workers[w.info.ID] != w {
		return
	}
	s.record(eventlog.WorkerGone, eventlog.Fields{"worker": w.info.ID, "reason": reason, "runs": len(w.attempts)})
	s.dropAttempts(w)
	s.account(w)
	delete(s.workers, w.info.ID)
	s.dropWorkerRow(w.info.ID)
	s.place()
}

// hold renews a worker's lease, acknowledges ends and waits for new ones.
func (s *Shard) hold(w *workerState) {
	now := s.o.Clock()
	if w.holding || !s.canAct() || s.workers[w.info.ID] != w {
		return
	}
	if w.processed > w.committed && now-w.holdSent < holdRenew {
		return // The commit under way sends the acknowledgement with the next hold.
	}
	order := worker.RenewLease{Fence: s.o.Fence, AckedUpTo: w.committed}
	// A worker that did not answer is only asked: a renewal that it may have got
	// would put off the time from which its tasks may start elsewhere.
	if w.clock > 0 && w.failures == 0 {
		order.LeaseExpiry = max(w.clockNow(now)+s.o.HoldFor, w.maxDue)
		w.maxDue = order.LeaseExpiry
		order.Wait = holdWait
		if len(w.attempts) == 0 {
			order.Wait = holdWaitIdle
		} else if sh := w.sharing(); sh.serves && len(sh.fills) > 0 {
			order.Wait = sharingWait
		}
	}
	w.holding, w.holdSent = true, now
	sent, to := s.next(), w.target()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), order.Wait+holdTimeout)
		defer cancel()
		status, err := s.o.Workers.RenewLease(ctx, to, order)
		s.o.Loop.Post(func() { s.held(w, sent, status, err) })
	}()
}

// look asks for a worker's lists at once, beside a hold that waits for an end.
func (s *Shard) look(w *workerState) {
	s.ask(w, func(err error) {
		if err != nil {
			s.settleStarts(w, s.next())
		}
	})
}

// askBeforeGivingUp gives up the runs of a worker whose lease has passed, unless
// it answers now: its silence may be that of this process, which had no processor
// meanwhile, and its lists show which runs have ended. Silence that this process
// noticed late says nothing of the worker now.
func (s *Shard) askBeforeGivingUp(w *workerState) {
	if w.asking {
		return
	}
	sent := s.o.Clock()
	w.asking = s.ask(w, func(err error) {
		w.asking = false
		now := s.o.Clock()
		if err == nil || s.stopped || !w.leasePassed(now) || now-sent > orderTimeout+stallLimit {
			return
		}
		s.record(eventlog.WorkerLeasePassed, eventlog.Fields{"worker": w.info.ID, "runs": len(w.attempts)})
		s.dropAttempts(w)
		s.place()
	})
}

// ask asks for a worker's lists, applies them and reports the outcome to done. It
// returns false when the worker cannot be asked now.
func (s *Shard) ask(w *workerState, done func(error)) bool {
	if !s.canAct() || s.workers[w.info.ID] != w {
		return false
	}
	sent, to, order := s.next(), w.target(), worker.RenewLease{Fence: s.o.Fence, AckedUpTo: w.committed}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		status, err := s.o.Workers.RenewLease(ctx, to, order)
		s.o.Loop.Post(func() {
			if err == nil && !s.stopped && s.workers[w.info.ID] == w && (status.StartedUnixMs == 0 || status.StartedUnixMs == w.info.StartedUnixMs) {
				w.observe(status.ClockTime, s.o.Clock())
				s.applyStatus(w, sent, status)
			}
			done(err)
		})
	}()
	return true
}

func (s *Shard) held(w *workerState, sent moment, status worker.Status, err error) {
	w.holding = false
	if s.stopped || s.workers[w.info.ID] != w {
		return
	}
	if err != nil {
		s.holdFailed(w, err)
		return
	}
	w.failures = 0
	if status.StartedUnixMs != 0 && w.info.StartedUnixMs != 0 && status.StartedUnixMs != w.info.StartedUnixMs {
		w = s.reborn(w, status.StartedUnixMs)
	}
	first := w.clock == 0
	if first {
		s.record(eventlog.WorkerJoined, eventlog.Fields{
			"worker": w.info.ID, "zone": w.info.Zone, "rack": w.rack(), "known_for": (s.o.Clock() - w.since).String(),
			"age": s.o.Wall().Sub(time.UnixMilli(w.info.StartedUnixMs)).String(), "recorded": w.recorded,
		})
	}
	w.observe(status.ClockTime, s.o.Clock())
	s.applyStatus(w, sent, status)
	s.account(w)
	s.hold(w)
	if first {
		s.place()
	}
}

func (s *Shard) holdFailed(w *workerState, err error) {
	switch {
	case errors.Is(err, worker.ErrFenced):
		s.lost("a worker has seen a higher fence")
		return
	case errors.Is(err, worker.ErrReplaced):
		s.dead(w, "replaced")
		return
	}
	w.failures++
	if w.failures == 1 {
		s.record(eventlog.WorkerUnreachable, eventlog.Fields{"worker": w.info.ID, "error": err, "runs": len(w.attempts)})
	}
	s.o.Loop.After(holdRetry, func() { s.hold(w) })
}

// checkWorker repeats stops without an answer and notices leases that passed.
func (s *Shard) checkWorker(w *workerState, now time.Duration) {
	s.hold(w)
	s.paceWorker(w, now)
	s.checkStalled(w, now)
	if w.registered {
		s.recordWorker(w)
	}
	if w.leasePassed(now) {
		s.askBeforeGivingUp(w)
	}
	if w.failures > 0 && w.clock == 0 && (!w.registered || now > w.since+lateOrderLimit+s.o.HoldFor) {
		s.dropAttempts(w) // Late starts were neither answered nor can they still run.
	}
	if !w.accounted && now > s.takenAt+time.Duration(float64(s.inheritedHold)/clockRate)+leaseMargin {
		s.account(w)
	}
	if s.listed && !w.registered && w.failures > 0 && w.accounted && len(w.attempts) == 0 {
		s.dead(w, "not registered and unreachable")
		return
	}
	for _, a := range w.attempts {
		if a.phase == stopping && !a.ordering && a.answered == 0 && now-a.sent > orderRetry {
			s.stop(a)
		}
	}
}

// usable reports whether a worker gets new tasks.
func (s *Shard) usable(w *workerState, now time.Duration) bool {
	switch {
	case !w.registered || !w.recorded || !w.accounted || w.clock == 0:
		return false
	case w.info.State != worker.Ready || w.failures > 0:
		return false
	case now < w.restUntil || now < w.vacating:
		return false
	}
	for _, a := range w.attempts {
		if a.task == nil {
			return false // The charge of a run of an unknown job is not known.
		}
	}
	return true
}
