package shard

import (
	"time"

	"peridotcrank.dev/eventlog"
)

const (
	// A run counts as stalled at stalledFactor times its predicted duration, but not
	// before minStalledAge. Even the slowest tasks of a step normally take less than
	// that.
	stalledFactor = 3
	minStalledAge = 1500 * time.Millisecond
	// overrunFactor is the multiple of its predicted duration by which a run should
	// have ended.
	overrunFactor = 1.5
	// minOverrunRuns is the minimum number of overdue runs on a worker which shows that
	// the worker is stalled, rather than that one task takes long.
	minOverrunRuns = 2
	// stalledBackoff is how long a worker gets no tasks after it was found stalled.
	stalledBackoff = time.Second
	// maxRunListAge is the maximum age of a status that is taken to show what runs now.
	maxRunListAge = 1200 * time.Millisecond
)

// checkStalled detects a worker that replies but makes no progress on its runs. It puts
// the worker into backoff and stops the stalled runs, so that their tasks start on
// other workers.
func (s *Shard) checkStalled(w *workerState, now time.Duration) {
	stalled := s.stalledRuns(w, now)
	if len(stalled) == 0 {
		return
	}
	if now >= w.backoffUntil {
		s.recordEvent(eventlog.WorkerStalled, eventlog.Fields{"worker": w.info.ID, "runs": len(stalled), "last_end": (now - w.lastRunEndedAt).String()})
	}
	w.backoffUntil = max(w.backoffUntil, now+stalledBackoff)
	for _, a := range stalled {
		a.task.restartedAfterStall = true
		a.timing.noSample = true
		s.traceStop(a, stopStalled)
		s.stopAttempt(a)
	}
}

// stalledRuns returns the runs of a worker that take far too long, provided that all
// its short runs should have ended and none has ended recently. A task is restarted for
// this reason only once, since the task itself may take long.
func (s *Shard) stalledRuns(w *workerState, now time.Duration) (stalled []*attempt) {
	if w.failedHolds > 0 || now-w.statusTakenAt > maxRunListAge || now-w.lastRunEndedAt < minStalledAge {
		return nil
	}
	overrunRuns := 0
	for _, a := range w.attempts {
		if a.task == nil || a.phase != running || a.task.step.spec.LongRunning {
			continue
		}
		overrun, isStalled := s.runLag(a, w.statusTakenAt)
		if !overrun {
			return nil
		}
		overrunRuns++
		if isStalled && !a.task.step.spec.Gang && !a.task.restartedAfterStall {
			stalled = append(stalled, a)
		}
	}
	if overrunRuns < minOverrunRuns {
		return nil
	}
	return stalled
}

// runLag reports whether a run should have ended, and whether it counts as stalled.
func (s *Shard) runLag(a *attempt, now time.Duration) (overrun, stalled bool) {
	step := a.task.step
	predictor := s.durationPredictor(step.job.job.Queue, step.spec)
	if !predictor.Trained() {
		return false, false
	}
	if s.learning != nil {
		return s.learnedLag(a, a.age(now))
	}
	age, predicted := now-a.firstSeenAt, predictor.Predict(step.spec.Estimate)
	return age >= time.Duration(overrunFactor*float64(predicted)), age > max(stalledFactor*predicted, minStalledAge)
}
