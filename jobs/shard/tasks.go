package shard

import (
	"iter"

	"peridotcrank.dev/jobs/job"
)

// A step keeps the state of a task only from its first run until it is done. The tasks before and after that take a
// bit each, so that jobs with many tasks take little memory while they wait.

// taskIsDone reports whether a task of the step is done.
func (s *stepState) taskIsDone(index int) bool {
	return s.doneTasks != nil && s.doneTasks[index/8]&(1<<(index%8)) != 0
}

// peek returns a task of the step. Its state is kept only if it was already, or once it has an attempt.
func (s *stepState) peek(index int) *task {
	if s.tasks != nil && s.tasks[index] != nil {
		return s.tasks[index]
	}
	t := &task{step: s, index: index, done: s.taskIsDone(index)}
	if t.done && s.doneRuns != nil {
		t.doneRun = int(s.doneRuns[index])
	}
	return t
}

// task returns a task of the step and keeps its state unless it is done.
func (s *stepState) task(index int) *task {
	t := s.peek(index)
	if !t.done {
		s.keep(t)
	}
	return t
}

// allTasks returns all tasks of the step and keeps their states, as for a gang, whose members run together.
func (s *stepState) allTasks() []*task {
	all := make([]*task, s.spec.Count)
	for i := range all {
		all[i] = s.task(i)
	}
	return all
}

// kept returns the tasks whose state is kept: all that have attempts, and those that have had some and are not done.
func (s *stepState) kept() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for _, t := range s.tasks {
			if t != nil && !yield(t) {
				return
			}
		}
	}
}

// waiting returns the tasks that are not done and have no attempt, in the order of their indexes.
func (s *stepState) waiting() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for i := range s.spec.Count {
			if s.pending == 0 {
				return
			}
			if s.taskIsDone(i) || s.tasks != nil && s.tasks[i] != nil && len(s.tasks[i].attempts) > 0 {
				continue
			}
			if !yield(s.peek(i)) {
				return
			}
		}
	}
}

// keep keeps the state of a task.
func (s *stepState) keep(t *task) {
	if s.tasks == nil {
		s.tasks = make([]*task, s.spec.Count)
	}
	if s.tasks[t.index] == nil {
		s.tasks[t.index] = t
		s.job.keptTasks.Add(taskBytes)
	}
}

// release drops the state of a task that is done and has no attempts.
func (s *stepState) release(t *task) {
	if s.tasks != nil && s.tasks[t.index] == t {
		s.tasks[t.index] = nil
		s.job.keptTasks.Add(-taskBytes)
	}
}

// markDone marks a task as done.
func (s *stepState) markDone(index int) {
	if s.taskIsDone(index) {
		return
	}
	if s.doneTasks == nil {
		s.doneTasks = make([]byte, (s.spec.Count+7)/8)
	}
	s.doneTasks[index/8] |= 1 << (index % 8)
	t := s.peek(index)
	t.done = true
	if t.doneRun != 0 {
		s.noteDoneRun(t)
	}
	if len(t.attempts) == 0 {
		s.pending--
		s.release(t)
	}
	s.done++
	s.job.begun = true
	if s.complete() {
		s.job.openSteps--
	}
}

func (s *stepState) noteDoneRun(t *task) {
	if s.doneRuns == nil {
		s.doneRuns = make([]int32, s.spec.Count)
	}
	s.doneRuns[t.index] = int32(t.doneRun)
}

// name returns the name of the step.
func (s *stepState) name() string {
	return job.TaskRef{Job: s.job.job.ID, Occurrence: s.occurrence, Step: s.number}.StepName()
}
