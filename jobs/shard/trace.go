package shard

import (
	"errors"
	"maps"
	"slices"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
)

// This file records what the log tells of workers and of takeovers. Like the other trace
// files, it takes no decisions.

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

// restartEvidence says what revealed the restart of a worker.
type restartEvidence string

const (
	seenInRegistry restartEvidence = "registry"
	seenInReply    restartEvidence = "reply"
)

// workerTrace is what the log tells of one incarnation of a worker.
type workerTrace struct {
	// knownFromFirstEnd is set if no former owner can have acknowledged ends of this
	// incarnation.
	knownFromFirstEnd bool
	// acked is the highest number that a hold to this incarnation acknowledged.
	acked uint64
	// ackedBeforeRestart is the number that calls may have acknowledged to this incarnation
	// before the restart was known, although it counts ends of the former one.
	ackedBeforeRestart uint64
	overCapacity       bool
	holdLimit          time.Duration // Of the last hold.
	// recent is a ring of the last applied ends.
	recent     [recentEnds]appliedEnd
	recentNext int
	// statusCalls are the requests of the last maxOrderDelay without a reply, oldest first.
	statusCalls []*statusCall
	// firstListed and lastListed are the lowest and the highest end in the last applied status, or 0.
	firstListed, lastListed uint64
	forgottenRecorded       bool
	// receivedAck is the highest acknowledgement for a former incarnation that this one has
	// answered. receivedByNext is the same for the next incarnation.
	receivedAck, receivedByNext uint64
	// possibleAck is the highest acknowledgement for former incarnations that may have reached
	// this one at any time.
	possibleAck uint64
	// movedRuns, stoppedAgain and removedAtRestart are the numbers of runs of the former
	// incarnation that were moved to this one, stopped on it, and removed.
	movedRuns, stoppedAgain, removedAtRestart int
	removedRuns                               int // Removed at the restart of this incarnation.
}

// traceAfterRestart returns the trace of the next incarnation of a worker.
func traceAfterRestart(former *workerState) workerTrace {
	return workerTrace{
		knownFromFirstEnd: former.accountedFor, ackedBeforeRestart: former.trace.acked,
		receivedAck: former.trace.receivedByNext,
		possibleAck: max(former.trace.possibleAck, highestAck(former.openAcks)),
	}
}

// shardTrace is what the log tells of a shard.
type shardTrace struct {
	storedWorkers   map[*workerState]struct{} // With ends stored since the last line that names them.
	endsRecordedAt  time.Duration
	ignoredEnds     lineLimit
	droppedStatuses lineLimit
	stops           map[stopReason]*lineLimit
	loadedHead      rows.Version // Of the head row when the rows were read.
	unsentOrders    lineLimit
	accounting      accounting
}

// workerFields returns the fields that identify an incarnation of a worker and how far
// its ends were applied, stored and acknowledged, and whether this process may act for the
// shard.
func (s *Shard) workerFields(w *workerState) eventlog.Fields {
	fields := eventlog.Fields{
		"worker": w.info.ID, "born": w.info.StartedUnixMs, "clock": w.lastStatusClock.Milliseconds(),
		"fence": s.opts.Fence, "worker_fence": w.fence, "right": s.canAct(), "applied": w.lastAppliedEnd, "stored": w.lastCommittedEnd, "acked": w.trace.acked,
	}
	if w.trace.ackedBeforeRestart > 0 {
		fields["acked_before_restart"] = w.trace.ackedBeforeRestart
	}
	addAckFields(fields, "late", w.formerAcks, s.opts.Clock())
	return fields
}

// recordRestart records that a worker has restarted.
func (s *Shard) recordRestart(former *workerState, born int64, seenIn restartEvidence) {
	s.opts.Counts.CountWorkerRestart(string(seenIn))
	fields := s.workerFields(former)
	fields["born"], fields["former_born"], fields["seen_in"] = born, former.info.StartedUnixMs, string(seenIn)
	fields["runs"], fields["former_cpu"] = len(former.attempts), former.info.Capacity.CPU
	fields["entry_born"] = former.entry.StartedUnixMs
	addAckFields(fields, "unanswered", former.openAcks, s.opts.Clock())
	s.addSilenceFields(fields, former)
	s.recordEvent(eventlog.WorkerRestarted, fields)
}

// recordWaitExpired records that a worker counts as accounted for without a reply.
func (s *Shard) recordWaitExpired(w *workerState, now time.Duration, e silenceEvidence) {
	fields := s.workerFields(w)
	maps.Copy(fields, e.fields())
	fields["waited"], fields["registered"], fields["failed_holds"] = (now - s.ownerSince).String(), w.registered, w.failedHolds
	fields["lease"] = s.inheritedLeaseOf(w).String()
	s.addSilenceFields(fields, w)
	s.recordEvent(eventlog.WorkerWaitExpired, fields)
}

// claimOutcome says whether the store has applied the claim of a head row.
type claimOutcome string

const (
	claimApplied claimOutcome = "applied"
	claimUnknown claimOutcome = "unknown" // The claim got no answer; it is read again.
	claimFound   claimOutcome = "found"   // An earlier claim of this owner was applied.
)

// recordClaim records the claim of the head row and the owner that wrote it before, as read in
// the given version. If an earlier claim is found, its line names the former owner.
func (s *Shard) recordClaim(former, claimed *jobpb.Head, read rows.Version, outcome claimOutcome) {
	fields := eventlog.Fields{"fence": claimed.Fence, "generation": claimed.Generation, "acquisition": s.opts.Acquisition, "outcome": string(outcome)}
	if outcome == claimFound {
		fields["head"] = read
	} else {
		fields["former_owner"], fields["former_fence"], fields["former_generation"] = former.Owner, former.Fence, former.Generation
		fields["former_sequence"], fields["former_head"] = former.Sequence, read
	}
	s.recordEvent(eventlog.HeadClaimed, fields)
}

// recordFailedClaim records a claim that got no answer and may be applied.
func (s *Shard) recordFailedClaim(former, claimed *jobpb.Head, read rows.Version, err error) {
	if !errors.Is(err, rows.ErrNotExecuted) {
		s.recordClaim(former, claimed, read, claimUnknown)
	}
}

// recordLoaded records what the rows of the shard contained.
func (s *Shard) recordLoaded(generation uint32) {
	s.trace.loadedHead = s.journal.head
	done, failures := 0, 0
	for _, js := range s.jobs {
		for _, step := range js.steps {
			done += step.done
			step.loadedDone = step.done
			failures += len(step.failedRuns)
			for t := range step.kept() {
				failures += len(t.failedRuns)
			}
		}
	}
	s.recordEvent(eventlog.ShardLoaded, eventlog.Fields{
		"fence": s.opts.Fence, "generation": generation, "acquisition": s.opts.Acquisition, "jobs": len(s.jobs), "queues": len(s.storedQueues), "workers": s.unaccountedWorkers,
		"done_tasks": done, "failed_runs": failures, "ended_jobs": len(s.ended), "head": s.journal.head,
	})
}

// addInheritedFields adds what the rows told of a step that a former owner has accepted and
// may have started: the number of its done tasks, and the version of the head row when they
// were read. For the first start of a job of which this owner has known no earlier run, it adds what has
// shown that those of former owners had ended.
func (s *Shard) addInheritedFields(fields eventlog.Fields, step *stepState, started []*attempt) {
	if !step.job.inherited {
		return
	}
	fields["inherited"], fields["loaded_done"], fields["loaded_head"] = true, step.loadedDone, s.trace.loadedHead
	first := s.nextRun(0)
	if !step.job.accountingRecorded && slices.ContainsFunc(started, func(a *attempt) bool { return a.run == first && a.former == nil }) {
		step.job.accountingRecorded = true
		s.addAccountingFields(fields)
	}
}
