package shard

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/worker"
)

// This file traces the ends of runs: which were applied, stored, missing or ignored.

const (
	// maxWorkersPerLine bounds the workers in one line of stored ends.
	maxWorkersPerLine = 24
	// recentEnds is the number of applied ends that are kept for each worker.
	recentEnds = 8
	// endsStoredInterval is the minimum time between two lines of stored ends.
	endsStoredInterval = time.Second
	// maxIgnoredEnds is the number of ignored ends that are logged in each
	// ignoredEndsInterval.
	maxIgnoredEnds      = 10
	ignoredEndsInterval = time.Second
)

// unknownTaskReason says why an owner does not know a task of a worker's status.
type unknownTaskReason string

const (
	jobUnknown    unknownTaskReason = "unknown-job"
	jobUnreadable unknownTaskReason = "unreadable-job"
	taskUnknown   unknownTaskReason = "unknown-task"
)

type appliedEnd struct {
	number  uint64
	key     runKey
	outcome worker.Outcome
}

func (e appliedEnd) String() string {
	return fmt.Sprintf("%d:%v/%d:%v", e.number, e.key.task, e.key.run, e.outcome)
}

func (t *workerTrace) noteAcknowledged(number uint64) { t.acked = max(t.acked, number) }

func (t *workerTrace) noteApplied(end worker.RunEnd) {
	t.recent[t.recentNext] = appliedEnd{end.Number, runKey{end.Task, end.Run}, end.Outcome}
	t.recentNext = (t.recentNext + 1) % recentEnds
}

// recentText returns the last applied ends, oldest first.
func (t *workerTrace) recentText() string {
	var texts []string
	for i := range recentEnds {
		if e := t.recent[(t.recentNext+i)%recentEnds]; e.number > 0 {
			texts = append(texts, e.String())
		}
	}
	return strings.Join(texts, " ")
}

// firstListedEnd returns the lowest number in a list of ended runs, or 0 if it is empty.
func firstListedEnd(ends []worker.RunEnd) uint64 {
	if len(ends) == 0 {
		return 0
	}
	return slices.MinFunc(ends, func(a, b worker.RunEnd) int { return cmp.Compare(a.Number, b.Number) }).Number
}

// checkEndNumbers records the first gap in a sorted list of ended runs. The first list that
// an owner sees may begin at any number, since a former owner may have acknowledged
// those before.
func (s *Shard) checkEndNumbers(w *workerState, ends []worker.RunEnd) {
	expected := w.lastAppliedEnd + 1
	known := w.trace.knownFromFirstEnd || w.lastAppliedEnd > 0
	for _, end := range ends {
		if end.Number < expected {
			continue
		}
		if known && end.Number > expected {
			s.recordMissingEnds(w, expected, end.Number)
			return
		}
		expected, known = end.Number+1, true
	}
}

func (s *Shard) recordMissingEnds(w *workerState, expected, listed uint64) {
	s.opts.Counts.CountMissingEnds(listed - expected)
	fields := s.workerFields(w)
	fields["expected"], fields["listed"], fields["recent_ends"] = expected, listed, w.trace.recentText()
	s.recordEvent(eventlog.EndsMissing, fields)
}

// traceRunEnd keeps the end of a run for later events, before its effects are applied.
func (s *Shard) traceRunEnd(w *workerState, end worker.RunEnd) {
	w.trace.noteApplied(end)
	js := s.jobs[end.Task.Job]
	if reason := s.unknownReason(end.Task); reason != "" && (js == nil || js.outcome == 0) {
		s.recordIgnoredEnd(w, end, string(reason))
	}
	if js == nil || js.outcome != 0 {
		return
	}
	t := js.task(end.Task)
	switch {
	case t == nil:
	case t.done:
		// Gangs and speculative runs have several runs of a task by design. A worker lists
		// an end again that a former owner stored and did not acknowledge.
		if end.Outcome == worker.Done && t.doneRun != 0 && end.Run != t.doneRun && !t.step.spec.Gang && !t.step.spec.Speculative {
			s.recordIgnoredEnd(w, end, "task-done")
		}
	case end.Outcome == worker.Done:
		t.lostRun, t.doneRun = nil, end.Run
	case end.Outcome == worker.Failed:
		t.lostRun = nil
	default:
		t.lostRun = &lostRun{run: end.Run, removal: s.removalByEnd(w, end)}
	}
}

// unknownReason says why this owner does not know a task, or is empty if it does, or if its job
// has ended.
func (s *Shard) unknownReason(ref job.TaskRef) unknownTaskReason {
	if js := s.jobs[ref.Job]; js != nil {
		if js.task(ref) == nil {
			return taskUnknown
		}
		return ""
	}
	if _, ok := s.unreadable[ref.Job]; ok {
		return jobUnreadable
	}
	if _, ok := s.ended[ref.Job]; ok {
		return ""
	}
	return jobUnknown
}

// recordIgnoredEnd records an end that has no effect, at most maxIgnoredEnds times in
// each ignoredEndsInterval.
func (s *Shard) recordIgnoredEnd(w *workerState, end worker.RunEnd, reason string) {
	leftOut, ok := s.trace.ignoredEnds.take(s.opts.Clock(), maxIgnoredEnds, ignoredEndsInterval)
	if !ok {
		return
	}
	fields := s.workerFields(w)
	fields["number"], fields["task"], fields["run"] = end.Number, end.Task.String(), end.Run
	fields["outcome"], fields["reason"], fields["left_out"] = end.Outcome.String(), reason, leftOut
	fields["generation"], fields["acquisition"], fields["registered"] = s.journal.generation, s.opts.Acquisition, w.registered
	s.recordEvent(eventlog.EndIgnored, fields)
}

// noteEndsStored keeps a worker for the next line of stored ends. Ends that change no row
// count as stored.
func (s *Shard) noteEndsStored(w *workerState) {
	if s.trace.storedWorkers == nil {
		s.trace.storedWorkers = map[*workerState]struct{}{}
	}
	s.trace.storedWorkers[w] = struct{}{}
}

// recordEndsStored records the ends that were stored since the last such event, at most
// once in each endsStoredInterval. One line for each transaction would be up to 28 lines
// a second. Workers beyond maxWorkersPerLine follow in the next lines.
func (s *Shard) recordEndsStored(now time.Duration) {
	if len(s.trace.storedWorkers) == 0 || now-s.trace.endsRecordedAt < endsStoredInterval {
		return
	}
	s.trace.endsRecordedAt = now
	s.recordEvent(eventlog.EndsStored, s.storedFields())
}

func (s *Shard) storedFields() eventlog.Fields {
	var numbers []string
	for w := range s.trace.storedWorkers {
		if len(numbers) == maxWorkersPerLine {
			break
		}
		numbers = append(numbers, fmt.Sprintf("%s:%d", w.info.ID, w.lastCommittedEnd))
		delete(s.trace.storedWorkers, w)
	}
	return eventlog.Fields{
		"fence": s.opts.Fence, "generation": s.journal.generation, "sequence": s.journal.sequence, "head": s.journal.head,
		"numbers": strings.Join(numbers, " "), "left": len(s.trace.storedWorkers),
	}
}

// recordLastEndsStored records, when this process stops acting for the shard, what it has
// stored since the last such event, the transaction in flight, which may still be applied,
// the ends that it has applied and not stored, and the acknowledgements that may still act.
// The next owner knows none of this.
func (s *Shard) recordLastEndsStored() {
	now := s.opts.Clock()
	unanswered, left := s.unansweredAcksText(now)
	unstored, unstoredLeft := s.unstoredEndsText()
	if !s.active || len(s.trace.storedWorkers) == 0 && s.journal.batch == nil && unanswered == "" && unstored == "" {
		return
	}
	fields := s.storedFields()
	fields["unstored_ends"], fields["unstored_left"] = unstored, unstoredLeft
	fields["last"], fields["unanswered_acks"], fields["unanswered_left"] = true, unanswered, left
	if b := s.journal.batch; b != nil {
		fields["in_flight"], fields["in_flight_for"], fields["attempts"] = b.sequence, (now - b.firstSentAt).String(), b.attempts
	}
	s.recordEvent(eventlog.EndsStored, fields)
	for len(s.trace.storedWorkers) > 0 { // One line for each maxWorkersPerLine workers.
		more := s.storedFields()
		more["last"] = true
		s.recordEvent(eventlog.EndsStored, more)
	}
}

// unstoredEndsText names up to maxWorkersPerLine workers with ends that were applied and are not
// known to be stored, as WORKER:STORED-APPLIED, and returns how many more there are.
func (s *Shard) unstoredEndsText() (text string, left int) {
	var names []string
	for _, w := range s.workers {
		if w.lastAppliedEnd > w.lastCommittedEnd {
			names = append(names, fmt.Sprintf("%s:%d-%d", w.info.ID, w.lastCommittedEnd, w.lastAppliedEnd))
		}
	}
	slices.Sort(names)
	named := names[:min(len(names), maxWorkersPerLine)]
	return strings.Join(named, " "), len(names) - len(named)
}

// recordCommitFound records that a transaction without an answer counts as applied because the
// head row has its number.
func (s *Shard) recordCommitFound(b *batch, version rows.Version) {
	s.recordEvent(eventlog.CommitFound, eventlog.Fields{
		"fence": s.opts.Fence, "generation": s.journal.generation, "sequence": b.sequence, "former_head": s.journal.head, "head": version,
		"attempts": b.attempts, "took": (s.opts.Clock() - b.firstSentAt).String(), "workers": len(b.appliedEnds),
	})
}
