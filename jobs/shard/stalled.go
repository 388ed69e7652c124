package shard

import (
	"time"

	"peridotcrank.dev/eventlog"
)

const (
	// A run counts as stalled at stalledFactor times its predicted duration, and
	// stalledAfter at least; the longest tasks of a step take less than that.
	stalledFactor = 3
	stalledAfter  = 1500 * time.Millisecond
	// expectedFactor times its predicted duration is when a run should have ended.
	expectedFactor = 1.5
	// leastStalled is the number of runs on a worker from which they show that the
	// worker stands still, rather than that one task takes long.
	leastStalled = 2
	// stalledRest is how long a worker gets no tasks after it was seen to stand still.
	stalledRest = time.Second
	// recentLists is the age up to which lists show what runs now.
	recentLists = 1200 * time.Millisecond
)

// checkStalled notices a worker that answers while its runs stand still, rests it
// and starts the stalled ones elsewhere.
func (s *Shard) checkStalled(w *workerState, now time.Duration) {
	stalled := s.stalledRuns(w, now)
	if len(stalled) == 0 {
		return
	}
	if now >= w.restUntil {
		s.record(eventlog.WorkerStalled, eventlog.Fields{"worker": w.info.ID, "runs": len(stalled), "last_end": (now - w.endedAt).String()})
	}
	w.restUntil = max(w.restUntil, now+stalledRest)
	for _, a := range stalled {
		a.task.restarted = true
		s.stop(a)
	}
}

// stalledRuns returns the runs of a worker that take far too long, if all of its
// short runs should have ended and none has lately. A task is started anew once only,
// as it may take long itself.
func (s *Shard) stalledRuns(w *workerState, now time.Duration) (stalled []*attempt) {
	if w.failures > 0 || now-w.clockAt > recentLists || now-w.endedAt < stalledAfter {
		return nil
	}
	n := 0
	for _, a := range w.attempts {
		if a.task == nil || a.phase != running || a.task.step.spec.LongRunning {
			continue
		}
		step := a.task.step
		learned := s.durations(step.job.job.Queue)
		predicted := learned.Predict(step.spec.Estimate)
		age := now - a.began
		if !learned.Trained() || age < time.Duration(expectedFactor*float64(predicted)) {
			return nil
		}
		n++
		if age > max(stalledFactor*predicted, stalledAfter) && !step.spec.Gang && !a.task.restarted {
			stalled = append(stalled, a)
		}
	}
	if n < leastStalled {
		return nil
	}
	return stalled
}
