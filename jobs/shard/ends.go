package shard

import (
	"cmp"
	"slices"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker"
)

// maxListedEnds is the maximum number of ends in a status. A status with that many may
// leave further ends out until earlier ones are acknowledged.
const maxListedEnds = 500

// applyStatus reconciles the state of a worker with a status that it reported. sent is
// the logical time at which the request for the status was sent.
//
// Replies may arrive out of order. Of a status older than the last applied one only the ends of
// known runs are applied. A status with the
// same clock value as the last one adds no new runs, because it may still list a run
// that has just ended.
func (s *Shard) applyStatus(w *workerState, sent logicalTime, status worker.Status) {
	if status.ClockTime < w.lastStatusClock {
		s.applyOvertakenEnds(w, status.EndedRuns)
		return
	}
	sameClock := status.ClockTime == w.lastStatusClock
	s.noteStatus(w, status.ClockTime)
	w.lastStatusClock = status.ClockTime
	w.lastStatusSent = max(w.lastStatusSent, sent)
	slices.SortFunc(status.EndedRuns, func(a, b worker.RunEnd) int { return cmp.Compare(a.Number, b.Number) })
	s.checkEndNumbers(w, status.EndedRuns)
	s.proveNumbers(w, sent, status)
	for _, end := range status.EndedRuns {
		if end.Number <= w.lastAppliedEnd && !s.isExpected(w, end) {
			continue // Otherwise a status of the same clock value may list an earlier end than the last one did.
		}
		w.lastAppliedEnd = max(w.lastAppliedEnd, end.Number)
		s.applyRunEnd(w, end)
	}
	ended := make(map[runKey]bool, len(status.EndedRuns))
	for _, end := range status.EndedRuns {
		ended[runKey{end.Task, end.Run}] = true
	}
	listed := make(map[runKey]bool, len(status.Running))
	for _, r := range status.Running {
		key := runKey{r.Task, r.Run}
		if ended[key] {
			continue // It has ended since the worker listed its runs.
		}
		listed[key] = true
		if !sameClock || w.attempts[key] != nil {
			s.applyRunningTask(w, key, r)
		}
	}
	if len(status.EndedRuns) < maxListedEnds {
		unlisted := unlistedRuns(w, sent, listed)
		if w.quarantine.active() {
			unlisted = s.goneFromQuarantined(w, sent, status.ClockTime, listed)
		}
		s.removeUnlisted(w, unlisted, len(status.EndedRuns))
		s.markAccountedFor(w, accountedByStatus)
	}
	s.checkUse(w)
	s.stopUncertainStarts(w, sent)
	s.schedulePlacement()
	s.flush()
}

// isExpected reports whether the end of a run tells something new: the run is expected, or it was given up
// and shows its task as done.
func (s *Shard) isExpected(w *workerState, end worker.RunEnd) bool {
	if w.attempts[runKey{end.Task, end.Run}] != nil {
		return true
	}
	js := s.jobs[end.Task.Job]
	if js == nil || end.Outcome != worker.Done {
		return false
	}
	t := js.task(end.Task)
	return t != nil && !t.done && !t.step.spec.LongRunning
}

// applyOvertakenEnds applies the expected ends in a status that a later one has overtaken: the worker may
// list them only once. Other ends are listed again until they are acknowledged.
func (s *Shard) applyOvertakenEnds(w *workerState, ends []worker.RunEnd) {
	for _, end := range ends {
		if s.isExpected(w, end) {
			s.applyRunEnd(w, end)
		}
	}
	s.schedulePlacement()
	s.flush()
}

// unlistedRuns returns the runs that a worker's complete status lists neither as running
// nor as ended. An order that was answered before the request for the status was sent is
// reflected in it.
func unlistedRuns(w *workerState, sent logicalTime, listed map[runKey]bool) (unlisted []*attempt) {
	for key, a := range w.attempts {
		if !listed[key] && a.answeredAt > 0 && a.answeredAt < sent {
			unlisted = append(unlisted, a)
		}
	}
	return unlisted
}

// applyRunningTask applies a run that a worker's status lists as running. A run that
// is no longer needed is stopped.
func (s *Shard) applyRunningTask(w *workerState, key runKey, r worker.RunningTask) {
	a := w.attempts[key]
	if a == nil {
		a = s.addDiscoveredRun(w, key)
	}
	a.percent, a.measure = r.Percent, r.Measure
	a.timing.noteListed(w.lastStatusClock)
	if a.task == nil {
		s.traceUnknownStop(a)
		s.stopAttempt(a)
		return
	}
	a.task.step.job.begun = true
	if a.task.done || a.task.step.job.outcome != 0 && a.task.step.job.outcome != job.Cancelled {
		s.stopAttempt(a)
		return
	}
	if r.SavedCheckpoint != "" {
		a.noteCheckpoint(r.SavedCheckpoint, w.lastStatusClock)
		a.task.setCheckpoint(r.SavedCheckpoint)
	}
	if a.phase == starting {
		s.removeUnansweredStart(w, key)
		a.phase, a.answeredAt, a.firstSeenAt = running, s.nextLogicalTime(), s.opts.Clock()
	}
}

// addDiscoveredRun adds an attempt for a run that this owner did not know.
func (s *Shard) addDiscoveredRun(w *workerState, key runKey) *attempt {
	a := &attempt{ref: key.task, run: key.run, worker: w, phase: running, answeredAt: s.nextLogicalTime()}
	if js := s.jobs[key.task.Job]; js != nil {
		a.task = js.task(key.task)
	}
	if a.task != nil {
		a.reserved = a.task.step.spec.ReservedResources()
		a.timing.secondRun = len(a.task.attempts) > 0
		a.task.addAttempt(a)
	}
	w.attempts[key] = a
	w.used = w.used.Plus(a.reserved)
	_, own := s.unansweredStarts[w.info.ID][key]
	s.countRun(a, !own)
	return a
}

// setCheckpoint stores the saved state from which the next run continues. Members of
// a gang share it.
func (t *task) setCheckpoint(checkpoint string) {
	if !t.step.spec.Gang {
		t.checkpoint = checkpoint
		return
	}
	for _, member := range t.step.allTasks() {
		member.checkpoint = checkpoint
	}
}

// applyRunEnd applies the end of a run to its attempt, task and job.
func (s *Shard) applyRunEnd(w *workerState, end worker.RunEnd) {
	w.lastRunEndedAt = s.opts.Clock()
	s.traceRunEnd(w, end)
	s.removeUnansweredStart(w, runKey{end.Task, end.Run})
	if a := w.attempts[runKey{end.Task, end.Run}]; a != nil {
		a.noteCheckpoint(end.SavedCheckpoint, w.lastStatusClock)
		if s.learning != nil {
			s.observeEnd(a, end.Outcome)
		} else if end.Outcome == worker.Done && a.firstSeenAt > 0 {
			s.observeDuration(a)
		}
		s.removeAttempt(a)
	}
	js := s.jobs[end.Task.Job]
	if js == nil || js.outcome != 0 {
		return
	}
	t := js.task(end.Task)
	if t == nil || t.done {
		return
	}
	t.lastRun = max(t.lastRun, end.Run)
	js.begun = true
	if end.SavedCheckpoint != "" {
		t.setCheckpoint(end.SavedCheckpoint)
	}
	switch {
	case end.Outcome == worker.Done && !t.step.spec.LongRunning:
		w.failedJobs, w.faultyBackoffs = nil, 0
		if s.opts.AttemptRecords {
			w.record.AddSuccess(s.opts.Clock())
		}
		s.handleTaskDone(t)
	case end.Outcome == worker.Failed:
		s.handleTaskFailure(w, t, end)
	}
}

// handleTaskDone marks a task, or all members of its gang, as done, and stops their
// other runs.
func (s *Shard) handleTaskDone(t *task) {
	step := t.step
	members := []*task{t}
	if step.spec.Gang {
		members = step.allTasks() // One member's end counts for the whole gang.
	}
	for _, member := range members {
		step.markDone(member.index)
		for _, a := range member.attempts {
			s.stopAttempt(a)
		}
	}
	s.journal.changedJobs[step.job] = struct{}{}
	if step.complete() {
		delete(s.startableSteps, step)
		step.job.dropComplete(step.occurrence)
		s.releaseSteps(step.job)
		s.endJobIfComplete(step.job)
	}
}

func (s *Shard) endJobIfComplete(js *jobState) {
	if js.openSteps == 0 {
		s.endJob(js, job.Completed)
	}
}

// handleTaskFailure counts a failed run. The job fails once a task or gang reaches its
// queue's number of attempts; failures of long-running tasks do not count.
func (s *Shard) handleTaskFailure(w *workerState, t *task, end worker.RunEnd) {
	step := t.step
	s.recordEvent(eventlog.TaskFailed, eventlog.Fields{
		"task": end.Task.String(), "run": end.Run, "worker": w.info.ID, "born": w.info.StartedUnixMs, "number": end.Number,
	})
	if s.attemptsLimit(step) > 0 {
		s.recordFailure(w, t)
	} else {
		s.countWorkerFailure(w, step.job.job.ID)
	}
	if step.spec.LongRunning {
		return
	}
	t.failedOn = append(t.failedOn, w.info.ID)
	failed := 0
	if step.spec.Gang {
		step.addFailedRun(end.Run)
		failed = len(step.failedRuns)
	} else {
		t.addFailedRun(end.Run)
		failed = len(t.failedRuns)
	}
	s.journal.changedJobs[step.job] = struct{}{}
	if q, ok := s.queues[step.job.job.Queue]; ok && q.Attempts > 0 && failed >= q.Attempts {
		s.endJob(step.job, job.Failed)
	}
}

// countWorkerFailure counts the failed run and puts the worker into backoff when runs
// of several jobs have failed on it in a row. Otherwise a faulty worker would attract
// more and more tasks, because failed runs free its capacity at once.
func (s *Shard) countWorkerFailure(w *workerState, id job.ID) {
	if w.failedJobs == nil {
		w.failedJobs = map[job.ID]struct{}{}
	}
	w.failedJobs[id] = struct{}{}
	if now := s.opts.Clock(); len(w.failedJobs) >= minFailedJobs && now >= w.backoffUntil {
		backoff := faultyBackoff << min(w.faultyBackoffs, maxFaultyBackoffShift)
		w.faultyBackoffs++
		w.backoffUntil = now + backoff
		s.recordEvent(eventlog.WorkerFaulty, eventlog.Fields{"worker": w.info.ID, "jobs": len(w.failedJobs), "rest": backoff.String()})
	}
}

// releaseSteps releases the steps of a job whose dependencies are complete.
func (s *Shard) releaseSteps(js *jobState) {
	if !js.canStartTasks() {
		return
	}
	if s.openDueOccurrences(js) {
		delete(s.unopenedJobs, js)
	} else {
		s.unopenedJobs[js] = struct{}{}
	}
	now := s.opts.WallClock()
	for _, step := range js.steps {
		if step.released || step.complete() || !step.dependenciesDone() {
			continue
		}
		step.released = true
		if step.due.After(now) {
			s.delayedSteps[step] = struct{}{}
		} else {
			s.enableStep(step)
		}
	}
	s.schedulePlacement()
}

func (s *Shard) releaseDelayedSteps() {
	now := s.opts.WallClock()
	var jobs []*jobState
	for step := range s.delayedSteps {
		if !step.due.After(now) {
			delete(s.delayedSteps, step)
			s.enableStep(step)
			jobs = append(jobs, step.job)
		}
	}
	for js := range s.unopenedJobs {
		jobs = append(jobs, js)
	}
	for _, js := range jobs {
		s.releaseSteps(js) // Its next occurrence is opened.
	}
}

// enableStep allows the tasks of a step to start.
func (s *Shard) enableStep(step *stepState) {
	s.startableSteps[step] = struct{}{}
	step.releasedAt = s.opts.Clock()
}
