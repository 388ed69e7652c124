package shard

import (
	"time"

	"peridotcrank.dev/eventlog"
)

// This file traces the stops of runs whose task is not known to be done.

const (
	// maxStopLines is the number of stops that are logged for each reason in each
	// stopLinesInterval.
	maxStopLines      = 10
	stopLinesInterval = time.Second
)

// stopReason says why a run is stopped. For a run of an unknown task it is an [unknownTaskReason].
type stopReason string

const (
	stopMoved          stopReason = "moved" // Its start may have reached a later incarnation of the worker.
	stopUncertainStart stopReason = "uncertain-start"
	stopStalled        stopReason = "stalled"
	stopEvacuated      stopReason = "evacuated"
	stopJobEnded       stopReason = "job-ended"
	stopQuarantined    stopReason = "quarantined" // Its end may prove that the worker forgets none.
)

// traceStop records the first stop of a run whose task is not done.
func (s *Shard) traceStop(a *attempt, reason stopReason) {
	if a.phase != stopping && a.task != nil && !a.task.done {
		s.recordStop(a, reason)
	}
}

// traceUnknownStop records the first stop of a run whose task this owner does not know, unless
// its job has ended.
func (s *Shard) traceUnknownStop(a *attempt) {
	if reason := s.unknownReason(a.ref); a.phase != stopping && reason != "" {
		s.recordStop(a, stopReason(reason))
	}
}

// recordStop records a stop, at most maxStopLines times for its reason in each stopLinesInterval.
func (s *Shard) recordStop(a *attempt, reason stopReason) {
	if s.trace.stops == nil {
		s.trace.stops = map[stopReason]*lineLimit{}
	}
	limit := s.trace.stops[reason]
	if limit == nil {
		limit = &lineLimit{}
		s.trace.stops[reason] = limit
	}
	now := s.opts.Clock()
	leftOut, ok := limit.take(now, maxStopLines, stopLinesInterval)
	if !ok {
		return
	}
	fields := eventlog.Fields{
		"worker": a.worker.info.ID, "born": a.worker.info.StartedUnixMs, "registered": a.worker.registered, "task": a.ref.String(), "run": a.run,
		"fence": s.opts.Fence, "acquisition": s.opts.Acquisition, "generation": s.journal.generation, "worker_fence": a.worker.fence, "right": s.canAct(),
		"reason": string(reason), "left_out": leftOut, "listed": a.timing.listedClock > 0, "start_answered": s.startAnswered(a),
	}
	if a.startedAt > 0 {
		fields["start_age"] = (now - a.startedAt).String()
	}
	s.recordEvent(eventlog.StopOrdered, fields)
}

// startAnswered reports whether the start of a run was answered, or a status has listed
// the run.
func (s *Shard) startAnswered(a *attempt) bool {
	_, unanswered := s.unansweredStarts[a.worker.info.ID][a.key()]
	return !unanswered
}
