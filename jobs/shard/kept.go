package shard

import (
	"time"

	"peridotcrank.dev/jobs/job"
)

// Memory that is counted for what a shard keeps, in bytes.
const (
	// jobBytes is that of a job without its strings and steps, stepBytes that of a step with its state in one occurrence.
	jobBytes  = 2500
	stepBytes = 1000
	// waitingTaskBytes is that of a task without a run: its place in the lists of its step.
	waitingTaskBytes = 13
	// taskBytes is that of a task with a run.
	taskBytes = 1500
	// endedJobBytes is that of a job that has ended.
	endedJobBytes = 400
)

// minRuns is the number of runs that a shard may have without memory for their tasks.
const minRuns = 64

// memoryRetryAfter is how long a caller should wait whose job does not fit in memory.
const memoryRetryAfter = 5 * time.Second

// keptBytes returns the memory of a job with one open occurrence, none of whose tasks has a run.
func keptBytes(j *job.Job) int64 {
	n := jobBytes + len(j.Spec) + occurrenceBytes(j)
	for i := range j.Steps {
		s := &j.Steps[i]
		n += len(s.RequiredLabel) + len(s.PreferredRack) + len(s.Image) + 8*len(s.After)
	}
	return int64(n)
}

// occurrenceBytes returns the memory of an open occurrence, none of whose tasks has a run.
func occurrenceBytes(j *job.Job) (n int) {
	for i := range j.Steps {
		n += stepBytes + waitingTaskBytes*j.Steps[i].Count
	}
	return n
}

func (js *jobState) occurrenceBytes() int64 { return int64(occurrenceBytes(js.job)) }

// reserveJob takes the memory of a new job, or returns false if it does not fit beside what the shards of this
// process keep.
func (s *Shard) reserveJob(j *job.Job) bool { return s.keptJobs.Reserve(keptBytes(j)) }

// forgetJob removes a job and gives its memory back.
func (s *Shard) forgetJob(js *jobState) {
	delete(s.jobs, js.job.ID)
	delete(s.unopenedJobs, js)
	s.keptJobs.Add(-keptBytes(js.job))
	js.forgetTasks()
}

// forgetTasks gives back the memory of the open occurrences but the first, and of the states of their tasks.
func (js *jobState) forgetTasks() {
	for _, step := range js.steps {
		for t := range step.kept() {
			step.release(t)
		}
	}
	further := len(js.steps)/len(js.job.Steps) - 1
	js.keptTasks.Add(-int64(further) * js.occurrenceBytes())
}

// addEnded keeps the state of a job that has ended.
func (s *Shard) addEnded(id job.ID, e endedJob) {
	if _, ok := s.ended[id]; !ok {
		s.keptJobs.Add(endedJobBytes)
	}
	s.ended[id] = e
}

func (s *Shard) forgetEnded(id job.ID) {
	delete(s.ended, id)
	s.keptJobs.Add(-endedJobBytes)
}

// hasMemoryFor reports whether a task, or a gang of which it is a member, may get a run. A task that has had one is kept
// already, and each shard may have minRuns, so that the accepted jobs go on.
func (s *Shard) hasMemoryFor(t *task) bool {
	tasks := int64(1)
	if t.step.spec.Gang {
		tasks = int64(t.step.spec.Count)
	}
	return t.isKept() || s.keptTasks.Fits(tasks*taskBytes) || s.countRuns() < minRuns
}

func (s *Shard) countRuns() (n int) {
	for _, w := range s.workers {
		n += len(w.attempts)
	}
	return n
}

// hasMemoryForOccurrence reports whether a further occurrence of a job may be opened. Half of the memory is left to
// the tasks of those that are open.
func (s *Shard) hasMemoryForOccurrence(js *jobState) bool {
	return s.keptTasks.FitsHalf(js.occurrenceBytes())
}

func (t *task) isKept() bool { return t.step.tasks != nil && t.step.tasks[t.index] == t }
