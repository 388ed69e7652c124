package shard

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/worker"
)

// This file records why runs stop counting and tasks start again. It takes no decisions.

const (
	// maxRunsPerLine bounds the runs in one log line. More would exceed the length at
	// which the log cuts a field.
	maxRunsPerLine = 14
	// maxRestartsPerLine is lower, since each entry also names a worker and a reason.
	maxRestartsPerLine = 10
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

// Counts counts events that an operator watches. It is called on the loop.
type Counts interface {
	// CountRemovedRun counts a run that was removed without an end, by reason.
	CountRemovedRun(reason string)
	// CountMissingEnds counts ends that a worker no longer lists and that were never applied.
	CountMissingEnds(n uint64)
	// CountRestartedTask counts a task that is started again, by why its last run does
	// not count.
	CountRestartedTask(reason string)
	// CountWorkerRestart counts a restarted worker by what revealed the restart.
	CountWorkerRestart(seenIn string)
}

type noCounts struct{}

func (noCounts) CountRemovedRun(string)    {}
func (noCounts) CountMissingEnds(uint64)   {}
func (noCounts) CountRestartedTask(string) {}
func (noCounts) CountWorkerRestart(string) {}

// removalReason says why a run was removed although no end of it was applied.
type removalReason string

const (
	notListed       removalReason = "not-listed" // By a status requested after the order was answered.
	workerRestarted removalReason = "worker-restarted"
	leaseExpired    removalReason = "lease-expired"
	workerGone      removalReason = "worker-gone"
	neverAnswered   removalReason = "never-answered" // The worker has answered no call.
)

// restartEvidence says what revealed the restart of a worker.
type restartEvidence string

const (
	seenInRegistry restartEvidence = "registry"
	seenInReply    restartEvidence = "reply"
)

// lostRun is a run of a task that no longer counts although it did not end as done or
// failed.
type lostRun struct {
	run    int
	worker worker.ID
	reason string // A [removalReason], or the outcome that the worker reported.
}

func (t *task) takeLostRun() *lostRun {
	former := t.lostRun
	t.lostRun = nil
	return former
}

// workerTrace is what the log tells of one incarnation of a worker.
type workerTrace struct {
	// knownFromFirstEnd is set if no former owner can have acknowledged ends of this
	// incarnation.
	knownFromFirstEnd bool
	// acked is the highest number that was acknowledged to this incarnation.
	acked uint64
	// ackedBeforeRestart is the number that calls may have acknowledged to this incarnation
	// before the restart was known, although it counts ends of the former one.
	ackedBeforeRestart uint64
	overCapacity       bool
	// recent is a ring of the last applied ends.
	recent     [recentEnds]appliedEnd
	recentNext int
}

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

// traceAfterRestart returns the trace of the next incarnation of a worker.
func traceAfterRestart(former *workerState) workerTrace {
	return workerTrace{knownFromFirstEnd: true, ackedBeforeRestart: former.trace.acked}
}

// shardTrace is what the log tells of a shard.
type shardTrace struct {
	storedWorkers  map[*workerState]struct{} // With ends stored since the last line that names them.
	endsRecordedAt time.Duration
	ignoredEnds    int // In the interval that began at ignoredSince.
	ignoredSince   time.Duration
	ignoredLeftOut int // Ignored ends that were not logged, until the next line.
}

// firstEnd returns the lowest number in a list of ended runs, or 0 if it is empty.
func firstEnd(ends []worker.RunEnd) uint64 {
	if len(ends) == 0 {
		return 0
	}
	return ends[0].Number
}

// workerFields returns the fields that identify an incarnation of a worker and how far
// its ends were applied, stored and acknowledged, and whether this process may act for the
// shard.
func (s *Shard) workerFields(w *workerState) eventlog.Fields {
	fields := eventlog.Fields{
		"worker": w.info.ID, "born": w.info.StartedUnixMs, "clock": w.lastStatusClock.Milliseconds(),
		"fence": s.opts.Fence, "right": s.canAct(), "applied": w.lastAppliedEnd, "stored": w.lastCommittedEnd, "acked": w.trace.acked,
	}
	if w.trace.ackedBeforeRestart > 0 {
		fields["acked_before_restart"] = w.trace.ackedBeforeRestart
	}
	return fields
}

// removeUnlisted removes runs that a status does not list, which has the given number
// of ended runs.
func (s *Shard) removeUnlisted(w *workerState, runs []*attempt, endsListed int) {
	s.removeRuns(w, runs, notListed, eventlog.Fields{"ends_listed": endsListed})
}

// removeRuns removes runs of a worker without an end, and records why.
func (s *Shard) removeRuns(w *workerState, runs []*attempt, reason removalReason, details eventlog.Fields) {
	for chunk := range slices.Chunk(runs, maxRunsPerLine) {
		s.recordRemovedRuns(w, chunk, reason, details)
	}
	for _, a := range runs {
		s.opts.Counts.CountRemovedRun(string(reason))
		if a.task != nil && !a.task.done {
			a.task.lostRun = &lostRun{a.run, w.info.ID, string(reason)}
		}
		s.removeAttempt(a)
	}
}

func (s *Shard) recordRemovedRuns(w *workerState, runs []*attempt, reason removalReason, details eventlog.Fields) {
	var names []string
	var count [stopping + 1]int
	for _, a := range runs {
		names = append(names, fmt.Sprintf("%v/%d", a.ref, a.run))
		count[a.phase]++
	}
	fields := s.workerFields(w)
	fields["reason"], fields["runs"] = string(reason), strings.Join(names, " ")
	fields["starting"], fields["running"], fields["stopping"] = count[starting], count[running], count[stopping]
	if reason == notListed {
		fields["recent_ends"] = w.trace.recentText()
	}
	maps.Copy(fields, details)
	s.recordEvent(eventlog.RunRemoved, fields)
}

// checkEndNumbers records when a list of ended runs skips numbers. The first list that
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

// checkUse records when the runs that execute on a worker begin to exceed its capacity.
// Runs that are being stopped are left out, since they may never have begun.
func (s *Shard) checkUse(w *workerState) {
	// A worker in the rows has no capacity before it is registered.
	if w.used.Fits(w.info.Capacity) || w.info.Capacity == (job.Resources{}) {
		w.trace.overCapacity = false
		return
	}
	var used job.Resources
	runs, found := 0, 0
	for _, a := range w.attempts {
		if a.phase != running {
			continue
		}
		used, runs = used.Plus(a.reserved), runs+1
		if a.found {
			found++
		}
	}
	over := !used.Fits(w.info.Capacity)
	if over && !w.trace.overCapacity {
		s.recordOverCapacity(w, used, runs, found)
	}
	w.trace.overCapacity = over
}

// recordOverCapacity records that a worker executes runs that need more than its
// capacity. found is the number of those that this owner did not start.
func (s *Shard) recordOverCapacity(w *workerState, used job.Resources, runs, found int) {
	fields := s.workerFields(w)
	fields["runs"], fields["found"] = runs, found
	fields["used_cpu"], fields["capacity_cpu"] = used.CPU, w.info.Capacity.CPU
	fields["used_memory_mb"], fields["capacity_memory_mb"] = used.MemoryMB, w.info.Capacity.MemoryMB
	fields["used_gpu"], fields["capacity_gpu"] = used.GPU, w.info.Capacity.GPU
	s.recordEvent(eventlog.WorkerOverCapacity, fields)
}

// traceRunEnd keeps the end of a run for later events, before its effects are applied.
func (s *Shard) traceRunEnd(w *workerState, end worker.RunEnd) {
	w.trace.noteApplied(end)
	js := s.jobs[end.Task.Job]
	if js == nil {
		if _, ok := s.unreadable[end.Task.Job]; ok {
			s.recordIgnoredEnd(w, end, "unreadable-job")
		} else if _, ok := s.ended[end.Task.Job]; !ok {
			s.recordIgnoredEnd(w, end, "unknown-job")
		}
		return
	}
	if js.outcome != 0 {
		return
	}
	t := js.task(end.Task)
	switch {
	case t == nil:
		s.recordIgnoredEnd(w, end, "unknown-task")
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
		t.lostRun = &lostRun{end.Run, w.info.ID, end.Outcome.String()}
	}
}

// recordIgnoredEnd records an end that has no effect, at most maxIgnoredEnds times in
// each ignoredEndsInterval.
func (s *Shard) recordIgnoredEnd(w *workerState, end worker.RunEnd, reason string) {
	now := s.opts.Clock()
	if now-s.trace.ignoredSince >= ignoredEndsInterval {
		s.trace.ignoredSince, s.trace.ignoredEnds = now, 0
	}
	s.trace.ignoredEnds++
	if s.trace.ignoredEnds > maxIgnoredEnds {
		s.trace.ignoredLeftOut++
		return
	}
	fields := s.workerFields(w)
	fields["number"], fields["task"], fields["run"] = end.Number, end.Task.String(), end.Run
	fields["outcome"], fields["reason"], fields["left_out"] = end.Outcome.String(), reason, s.trace.ignoredLeftOut
	s.trace.ignoredLeftOut = 0
	s.recordEvent(eventlog.EndIgnored, fields)
}

// recordRestarts records the started runs that replace one that no longer counts.
func (s *Shard) recordRestarts(step *stepState, started []*attempt) {
	var restarted []*attempt
	for _, a := range started {
		if a.former != nil {
			s.opts.Counts.CountRestartedTask(a.former.reason)
			restarted = append(restarted, a)
		}
	}
	for chunk := range slices.Chunk(restarted, maxRestartsPerLine) {
		s.recordRestartedTasks(step, chunk)
	}
}

func (s *Shard) recordRestartedTasks(step *stepState, restarted []*attempt) {
	var tasks, former []string
	for _, a := range restarted {
		tasks = append(tasks, fmt.Sprintf("%d/%d@%s", a.ref.Index, a.run, a.worker.info.ID))
		former = append(former, fmt.Sprintf("%d/%d@%s:%s", a.ref.Index, a.former.run, a.former.worker, a.former.reason))
	}
	s.recordEvent(eventlog.TasksRestarted, eventlog.Fields{
		"job": step.job.job.ID, "step": restarted[0].ref.StepName(), "fence": s.opts.Fence,
		"tasks": strings.Join(tasks, " "), "former": strings.Join(former, " "),
	})
}

// recordRestart records that a worker has restarted.
func (s *Shard) recordRestart(former *workerState, born int64, seenIn restartEvidence) {
	s.opts.Counts.CountWorkerRestart(string(seenIn))
	fields := s.workerFields(former)
	fields["born"], fields["former_born"], fields["seen_in"] = born, former.info.StartedUnixMs, string(seenIn)
	fields["runs"], fields["former_cpu"] = len(former.attempts), former.info.Capacity.CPU
	s.recordEvent(eventlog.WorkerRestarted, fields)
}

// recordWaitExpired records that a worker counts as accounted for without a reply.
func (s *Shard) recordWaitExpired(w *workerState, now time.Duration) {
	fields := s.workerFields(w)
	fields["waited"], fields["registered"], fields["failed_holds"] = (now - s.ownerSince).String(), w.registered, w.failedHolds
	s.recordEvent(eventlog.WorkerWaitExpired, fields)
}

// recordClaim records the claim of the head row and the owner that wrote it last.
func (s *Shard) recordClaim(former, claimed *jobpb.Head) {
	s.recordEvent(eventlog.HeadClaimed, eventlog.Fields{
		"fence": claimed.Fence, "generation": claimed.Generation,
		"former_owner": former.Owner, "former_fence": former.Fence, "former_generation": former.Generation, "former_sequence": former.Sequence,
	})
}

// recordLoaded records what the rows of the shard contained.
func (s *Shard) recordLoaded(generation uint32) {
	done, failures := 0, 0
	for _, js := range s.jobs {
		for _, step := range js.steps {
			done += step.done
			failures += len(step.failedRuns)
			for _, t := range step.tasks {
				failures += len(t.failedRuns)
			}
		}
	}
	s.recordEvent(eventlog.ShardLoaded, eventlog.Fields{
		"fence": s.opts.Fence, "generation": generation, "jobs": len(s.jobs), "workers": s.unaccountedWorkers,
		"done_tasks": done, "failed_runs": failures, "ended_jobs": len(s.ended),
	})
}

// noteEndsStored keeps the workers whose ends a transaction stored, for the next line.
func (s *Shard) noteEndsStored(ends map[*workerState]uint64) {
	if len(ends) == 0 {
		return
	}
	if s.trace.storedWorkers == nil {
		s.trace.storedWorkers = map[*workerState]struct{}{}
	}
	for w := range ends {
		s.trace.storedWorkers[w] = struct{}{}
	}
}

// recordEndsStored records the ends that were stored since the last such event, at most
// once in each endsStoredInterval. One line for each transaction would be up to 28 lines
// a second. Workers beyond maxWorkersPerLine follow in the next lines.
func (s *Shard) recordEndsStored(now time.Duration) {
	if len(s.trace.storedWorkers) == 0 || now-s.trace.endsRecordedAt < endsStoredInterval {
		return
	}
	s.trace.endsRecordedAt = now
	var numbers []string
	for w := range s.trace.storedWorkers {
		if len(numbers) == maxWorkersPerLine {
			break
		}
		numbers = append(numbers, fmt.Sprintf("%s:%d", w.info.ID, w.lastCommittedEnd))
		delete(s.trace.storedWorkers, w)
	}
	s.recordEvent(eventlog.EndsStored, eventlog.Fields{
		"fence": s.opts.Fence, "generation": s.journal.generation, "sequence": s.journal.sequence,
		"numbers": strings.Join(numbers, " "), "left": len(s.trace.storedWorkers),
	})
}
