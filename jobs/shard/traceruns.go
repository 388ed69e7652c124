package shard

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
)

// This file traces runs that stop counting, tasks that start again, and workers over
// their capacity.

const (
	// maxRunsPerLine bounds the runs in one log line. More would exceed the length at
	// which the log cuts a field.
	maxRunsPerLine = 14
	// maxRestartsPerLine is lower, since each entry also names a worker and a reason.
	maxRestartsPerLine = 10
	// maxProofsPerLine bounds the proofs that former runs have ended in one log line, for the same reason.
	maxProofsPerLine = 6
)

// removalReason says why a run was removed although no end of it was applied.
type removalReason string

const (
	notListed       removalReason = "not-listed"  // By a status requested after the order was answered.
	neverBegan      removalReason = "never-began" // The same, and the worker has never listed it or confirmed its start.
	workerRestarted removalReason = "worker-restarted"
	leaseExpired    removalReason = "lease-expired"
	workerGone      removalReason = "worker-gone"
	neverAnswered   removalReason = "never-answered" // The worker has answered no call.
)

// lostRun is a run of a task that no longer counts although it did not end as done or
// failed.
type lostRun struct {
	run int
	*removal
	// orderedFrom is when the incarnation started for which the start was meant, if another one than that of
	// the removal; 0 otherwise.
	orderedFrom int64
}

func (t *task) takeLostRun() *lostRun {
	former := t.lostRun
	t.lostRun = nil
	return former
}

// removeUnlisted removes runs that a status does not list, which has the given number
// of ended runs.
func (s *Shard) removeUnlisted(w *workerState, runs []*attempt, endsListed int) {
	details := eventlog.Fields{"ends_listed": endsListed}
	began, others := []*attempt(nil), []*attempt(nil)
	for _, a := range runs {
		if a.knownToBegin() {
			began = append(began, a)
		} else {
			others = append(others, a)
		}
	}
	s.removeRuns(w, began, notListed, details)
	s.removeRuns(w, others, neverBegan, details)
}

// knownToBegin reports whether this incarnation of the worker has listed the run or
// confirmed its start.
func (a *attempt) knownToBegin() bool {
	return a.timing.listedClock > 0 || a.firstSeenAt > 0 && a.movedFrom == nil
}

// removeRuns removes runs of a worker without an end, and records why.
func (s *Shard) removeRuns(w *workerState, runs []*attempt, reason removalReason, details eventlog.Fields) {
	if len(runs) == 0 {
		return
	}
	removal := s.newRemoval(w, reason)
	for chunk := range slices.Chunk(runs, maxRunsPerLine) {
		s.recordRemovedRuns(w, chunk, removal, details)
	}
	if reason == workerRestarted {
		w.trace.removedRuns += len(runs)
	}
	for _, a := range runs {
		s.opts.Counts.CountRemovedRun(string(reason))
		if a.task != nil && !a.task.done {
			a.task.lostRun = &lostRun{a.run, removal, a.orderedFromOther(w)}
		}
		s.removeAttempt(a)
	}
}

func (s *Shard) recordRemovedRuns(w *workerState, runs []*attempt, removal *removal, details eventlog.Fields) {
	reason := removalReason(removal.reason)
	var names []string
	var count [stopping + 1]int
	for _, a := range runs {
		names = append(names, fmt.Sprintf("%v/%d", a.ref, a.run))
		count[a.phase]++
	}
	fields := s.workerFields(w)
	fields["reason"], fields["runs"] = removal.reason, strings.Join(names, " ")
	if proof := removal.proof(s.opts.Clock()); proof != "" {
		fields["proof"] = proof
	}
	fields["starting"], fields["running"], fields["stopping"] = count[starting], count[running], count[stopping]
	s.addSilenceFields(fields, w)
	if reason == notListed {
		fields["recent_ends"] = w.trace.recentText()
	}
	if reason == notListed || reason == neverBegan {
		s.addEvidenceFields(fields, w, runs)
	}
	maps.Copy(fields, details)
	s.recordEvent(eventlog.RunRemoved, fields)
}

// addEvidenceFields adds what a run may have lost its end to: the status requests without a
// reply since the first start of these runs, whether the starts were answered, and the
// acknowledgements for a former incarnation.
func (s *Shard) addEvidenceFields(fields eventlog.Fields, w *workerState, runs []*attempt) {
	since, answered := runs[0].startedAt, 0
	for _, a := range runs {
		since = min(since, a.startedAt)
		if s.startAnswered(a) {
			answered++
		}
	}
	fields["statuses_without_reply"], fields["starts_answered"] = w.trace.statusesWithoutReply(since), answered
	w.trace.addFormerAckFields(fields)
}

// checkUse records when the runs that execute on a worker begin to exceed its capacity.
// Runs that are being stopped are left out, since they may never have begun.
func (s *Shard) checkUse(w *workerState) {
	if w.used.Fits(w.info.Capacity) || !w.hasCurrentEntry() {
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

// recordRestarts records the started runs that replace one that no longer counts.
func (s *Shard) recordRestarts(step *stepState, started []*attempt) {
	var restarted []*attempt
	for _, a := range started {
		if a.former != nil {
			s.opts.Counts.CountRestartedTask(a.former.reason)
			restarted = append(restarted, a)
		}
	}
	for len(restarted) > 0 {
		n := restartsOfLine(restarted)
		s.recordRestartedTasks(step, restarted[:n])
		restarted = restarted[n:]
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
		"tasks": strings.Join(tasks, " "), "former": strings.Join(former, " "), "proofs": s.proofsText(restarted),
	})
}
