package shard

import (
	"peridotcrank.dev/eventlog"
)

// This file records what tells a silent worker from an owner that is late: how many workers
// are silent at the same moment, and how old the last reply is.

// addSilenceFields adds the number of workers without a reply to their last hold, the number
// of known workers, and for one worker the time since its last status was applied and since it
// was taken at the earliest.
func (s *Shard) addSilenceFields(fields eventlog.Fields, w *workerState) {
	now := s.opts.Clock()
	fields["silent_workers"], fields["workers"] = s.silentWorkers(), len(s.workers)
	if w.lastStatusAt > 0 {
		fields["reply_age"], fields["status_age"] = (now - w.lastStatusAt).String(), (now - w.statusTakenAt).String()
	}
}

// recordUnreachable records the first hold of a worker that fails. took is longer than the
// time limit of the hold if this process handles the missing reply late.
func (s *Shard) recordUnreachable(w *workerState, err error) {
	now := s.opts.Clock()
	fields := eventlog.Fields{
		"worker": w.info.ID, "born": w.info.StartedUnixMs, "error": err, "runs": len(w.attempts),
		"took": (now - w.holdSentAt).String(), "limit": w.trace.holdLimit.String(),
	}
	s.addSilenceFields(fields, w)
	addAckFields(fields, "unanswered", w.openAcks, now)
	s.recordEvent(eventlog.WorkerUnreachable, fields)
}

// recordGone records that a worker counts as ended.
func (s *Shard) recordGone(w *workerState, reason string) {
	fields := eventlog.Fields{
		"worker": w.info.ID, "born": w.info.StartedUnixMs, "reason": reason, "runs": len(w.attempts),
		"registered": w.registered, "failed_holds": w.failedHolds,
	}
	s.addSilenceFields(fields, w)
	s.recordEvent(eventlog.WorkerGone, fields)
}

// recordLeasePassed records that a lease has expired and the last query was not answered.
func (s *Shard) recordLeasePassed(w *workerState, runs int, e silenceEvidence) {
	fields := e.fields()
	fields["worker"], fields["born"], fields["runs"], fields["failed_holds"] = w.info.ID, w.info.StartedUnixMs, runs, w.failedHolds
	fields["overdue"] = (s.opts.Clock() - w.leaseExpiry()).String()
	s.addSilenceFields(fields, w)
	s.recordEvent(eventlog.WorkerLeasePassed, fields)
}
