package shard

import (
	"slices"
	"sort"

	"peridotcrank.dev/jobs/job"
)

// A job keeps the steps of an occurrence from when it is due until it is complete. Earlier and later
// occurrences take no memory, so that a schedule may have many of them.

// openOccurrence adds the steps of the next occurrence.
func (js *jobState) openOccurrence() {
	for i := range js.job.Steps {
		js.steps = append(js.steps, newStepState(js, js.nextOccurrence, i))
	}
	js.nextOccurrence++
	if len(js.steps) > len(js.job.Steps) { // The first one is counted with the job.
		js.keptTasks.Add(js.occurrenceBytes())
	}
}

// isFullyOpened reports whether there is no further occurrence.
func (js *jobState) isFullyOpened() bool { return js.nextOccurrence >= js.job.Occurrences() }

// occurrenceOffset returns the index in js.steps of the first step of an occurrence, and false if it
// is not open.
func (js *jobState) occurrenceOffset(occurrence int) (offset int, open bool) {
	n := len(js.job.Steps)
	i := sort.Search(len(js.steps)/n, func(i int) bool { return js.steps[i*n].occurrence >= occurrence })
	return i * n, i*n < len(js.steps) && js.steps[i*n].occurrence == occurrence
}

// dropComplete drops the steps of an occurrence that is complete. The last one is kept, so that a job
// always has steps.
func (js *jobState) dropComplete(occurrence int) {
	n := len(js.job.Steps)
	offset, open := js.occurrenceOffset(occurrence)
	if !open || len(js.steps) == n || slices.ContainsFunc(js.steps[offset:offset+n], func(s *stepState) bool { return !s.complete() }) {
		return
	}
	for _, step := range js.steps[offset : offset+n] {
		for t := range step.kept() {
			step.release(t)
		}
	}
	js.steps = slices.Delete(js.steps, offset, offset+n)
	js.keptTasks.Add(-js.occurrenceBytes())
}

// step returns a step of an occurrence. A step of an occurrence that was dropped is complete; one that is not open yet
// is opened, since a worker has reported a run of it.
func (js *jobState) step(occurrence, number int) *stepState {
	for js.nextOccurrence <= occurrence {
		js.openOccurrence()
	}
	if offset, open := js.occurrenceOffset(occurrence); open {
		return js.steps[offset+number]
	}
	step := newStepState(js, occurrence, number)
	step.doneTasks = allDone(step.spec.Count)
	step.done, step.pending = step.spec.Count, 0
	return step
}

// task returns the task that a reference names, or nil if the job has no such task.
func (js *jobState) task(ref job.TaskRef) *task {
	if ref.Occurrence < 0 || ref.Occurrence >= js.job.Occurrences() || ref.Step < 0 || ref.Step >= len(js.job.Steps) {
		return nil
	}
	if ref.Index < 0 || ref.Index >= js.job.Steps[ref.Step].Count {
		return nil
	}
	return js.step(ref.Occurrence, ref.Step).task(ref.Index)
}

// firstOpenSteps returns the steps of the first occurrence with a step that is not complete, or of
// any other if there is none.
func (js *jobState) firstOpenSteps() []*stepState {
	n := len(js.job.Steps)
	for i, step := range js.steps {
		if !step.complete() {
			return js.steps[i/n*n:][:n]
		}
	}
	return js.steps[:n]
}

// allDone returns the bits of count tasks that are done.
func allDone(count int) []byte {
	bits := make([]byte, (count+7)/8)
	for i := range count {
		bits[i/8] |= 1 << (i % 8)
	}
	return bits
}

// openDueOccurrences opens the occurrences that are due and the next one. It reports false if one that is due has to
// wait for memory; then others of the job are open.
func (s *Shard) openDueOccurrences(js *jobState) bool {
	now := s.opts.WallClock()
	for !js.isFullyOpened() && !js.steps[len(js.steps)-1].due.After(now) {
		if js.hasOpenSteps() && !s.hasMemoryForOccurrence(js) {
			return false
		}
		js.openOccurrence()
	}
	return true
}

// hasOpenSteps reports whether an open occurrence is not complete.
func (js *jobState) hasOpenSteps() bool {
	return slices.ContainsFunc(js.steps, func(step *stepState) bool { return !step.complete() })
}
