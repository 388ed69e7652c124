package shard

import (
	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker"
)

// applyStatus compares what a worker lists with what this shard knows. sent is
// when the hold that the worker answers was sent.
//
// Answers may overtake each other. Lists that are older than those applied last
// are left out; ends that only they show are listed again. Lists of the same
// moment show no new run, but may still show one that has just ended.
func (s *Shard) applyStatus(w *workerState, sent moment, status worker.Status) {
	if status.ClockTime < w.listed {
		return
	}
	same := status.ClockTime == w.listed
	w.listed = status.ClockTime
	for _, end := range status.Completions {
		if end.Number <= w.processed {
			continue
		}
		w.processed = end.Number
		s.applyEnd(w, end)
	}
	listed := make(map[runKey]bool, len(status.Running))
	for _, r := range status.Running {
		key := runKey{r.Task, r.Run}
		listed[key] = true
		if !same || w.attempts[key] != nil {
			s.applyRunning(w, key, r)
		}
	}
	for key, a := range w.attempts {
		// An order that was answered before this hold was sent is visible in the lists.
		if !listed[key] && a.answered > 0 && a.answered < sent {
			s.remove(a)
		}
	}
	s.settleStarts(w, sent)
	s.place()
	s.flush()
}

func (s *Shard) applyRunning(w *workerState, key runKey, r worker.RunningTask) {
	a := w.attempts[key]
	if a == nil {
		a = s.discover(w, key)
	}
	a.percent, a.measure = r.Percent, r.Measure
	if a.task == nil || a.task.done || a.task.step.job.outcome != 0 && a.task.step.job.outcome != job.Cancelled {
		s.stop(a)
		return
	}
	if r.SavedCheckpoint != "" {
		a.task.setSaved(r.SavedCheckpoint)
	}
	if a.phase == starting {
		delete(s.unanswered[w.info.ID], key)
		a.phase, a.answered, a.began = running, s.next(), s.o.Clock()
	}
}

// discover notes a run that this owner did not know of.
func (s *Shard) discover(w *workerState, key runKey) *attempt {
	a := &attempt{ref: key.task, run: key.run, worker: w, phase: running, answered: s.next()}
	if js := s.jobs[key.task.Job]; js != nil {
		a.task = js.task(key.task)
	}
	if a.task != nil {
		a.charge = a.task.step.spec.ReservedResources()
		a.task.add(a)
		a.task.step.job.started = true
	}
	w.attempts[key] = a
	w.used = w.used.Plus(a.charge)
	return a
}

func (t *task) setSaved(saved string) {
	if !t.step.spec.Gang {
		t.saved = saved
		return
	}
	for _, member := range t.step.tasks {
		member.saved = saved
	}
}

func (s *Shard) applyEnd(w *workerState, end worker.Completion) {
	w.endedAt = s.o.Clock()
	if a := w.attempts[runKey{end.Task, end.Run}]; a != nil {
		if end.Outcome == worker.Done && a.began > 0 {
			s.observe(a)
		}
		s.remove(a)
	}
	js := s.jobs[end.Task.Job]
	if js == nil || js.outcome != 0 {
		return
	}
	t := js.task(end.Task)
	if t == nil || t.done {
		return
	}
	t.run = max(t.run, end.Run)
	js.started = true
	if end.SavedCheckpoint != "" {
		t.setSaved(end.SavedCheckpoint)
	}
	switch {
	case end.Outcome == worker.Done && !t.step.spec.LongRunning:
		w.failedJobs, w.faults = nil, 0
		s.taskDone(t)
	case end.Outcome == worker.Failed:
		s.taskFailed(w, t, end)
	}
}

func (s *Shard) taskDone(t *task) {
	step := t.step
	members := []*task{t}
	if step.spec.Gang {
		members = step.tasks // One end stands for all members.
	}
	for _, member := range members {
		step.markDone(member)
		for _, a := range member.attempts {
			s.stop(a)
		}
	}
	s.journal.dirty[step.job] = struct{}{}
	if step.complete() {
		delete(s.steps, step)
		s.release(step.job)
		s.checkComplete(step.job)
	}
}

func (s *Shard) checkComplete(js *jobState) {
	if js.open == 0 {
		s.end(js, job.Completed)
	}
}

func (s *Shard) taskFailed(w *workerState, t *task, end worker.Completion) {
	step := t.step
	s.record(eventlog.TaskFailed, eventlog.Fields{"task": end.Task.String(), "run": end.Run, "worker": w.info.ID})
	s.noteFailure(w, step.job.job.ID)
	if step.spec.LongRunning {
		return
	}
	t.failedOn = append(t.failedOn, w.info.ID)
	failed := 0
	if step.spec.Gang {
		step.addFailure(end.Run)
		failed = len(step.failures)
	} else {
		t.addFailure(end.Run)
		failed = len(t.failures)
	}
	s.journal.dirty[step.job] = struct{}{}
	if q, ok := s.queues[step.job.job.Queue]; ok && q.Attempts > 0 && failed >= q.Attempts {
		s.end(step.job, job.Failed)
	}
}

// noteFailure rests a worker on which runs of several jobs have failed in a row.
// Otherwise it would draw ever more tasks, since those that fail leave room at once.
func (s *Shard) noteFailure(w *workerState, id job.ID) {
	if w.failedJobs == nil {
		w.failedJobs = map[job.ID]struct{}{}
	}
	w.failedJobs[id] = struct{}{}
	if now := s.o.Clock(); len(w.failedJobs) >= faultyJobs && now >= w.restUntil {
		rest := faultyRest << min(w.faults, mostFaultShift)
		w.faults++
		w.restUntil = now + rest
		s.record(eventlog.WorkerFaulty, eventlog.Fields{"worker": w.info.ID, "jobs": len(w.failedJobs), "rest": rest.String()})
	}
}

// release permits the steps of a job whose turn has come.
func (s *Shard) release(js *jobState) {
	if !js.alive() {
		return
	}
	now := s.o.Wall()
	for _, step := range js.steps {
		if step.released || step.complete() || !step.dependenciesDone() {
			continue
		}
		step.released = true
		if step.due.After(now) {
			s.timed[step] = struct{}{}
		} else {
			s.enable(step)
		}
	}
	s.place()
}

func (s *Shard) releaseTimed() {
	now := s.o.Wall()
	for step := range s.timed {
		if !step.due.After(now) {
			delete(s.timed, step)
			s.enable(step)
		}
	}
}

// enable permits the start of a step's tasks.
func (s *Shard) enable(step *stepState) {
	s.steps[step] = struct{}{}
	step.releasedAt = s.o.Clock()
}
