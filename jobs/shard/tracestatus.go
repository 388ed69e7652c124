package shard

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/worker"
)

// This file traces statuses of workers: those that were not applied although they list what no
// applied status does, those that no longer list an end without an acknowledgement, and the
// first one of an incarnation.

const (
	// maxDroppedStatuses is the number of dropped statuses that are logged in each
	// droppedStatusInterval.
	maxDroppedStatuses    = 10
	droppedStatusInterval = time.Second
	// maxNamedPerStatus bounds the ends, and the runs, that a line of a dropped status names.
	maxNamedPerStatus = 5
)

// lineLimit limits the lines of a kind to a number in each interval.
type lineLimit struct {
	since   time.Duration // When the interval began.
	lines   int           // In the interval.
	leftOut int           // Since the last line.
}

// take reports whether a line may be logged now, and how many were left out since the last
// one. It counts a line that may not be logged.
func (l *lineLimit) take(now time.Duration, maximum int, interval time.Duration) (leftOut int, ok bool) {
	if now-l.since >= interval {
		l.since, l.lines = now, 0
	}
	if l.lines++; l.lines > maximum {
		l.leftOut++
		return 0, false
	}
	leftOut, l.leftOut = l.leftOut, 0
	return leftOut, true
}

// statusCall is a request for the status of a worker.
type statusCall struct {
	sentAt time.Duration
	failed bool // It has ended without a reply.
}

// noteStatusSent keeps a request for a status until it is answered, for at most
// maxOrderDelay.
func (t *workerTrace) noteStatusSent(now time.Duration) *statusCall {
	call := &statusCall{sentAt: now}
	t.statusCalls = slices.DeleteFunc(t.statusCalls, func(c *statusCall) bool { return now-c.sentAt > maxOrderDelay })
	t.statusCalls = append(t.statusCalls, call)
	return call
}

func (t *workerTrace) noteStatusReply(call *statusCall, err error) {
	if err != nil {
		call.failed = true
		return
	}
	t.statusCalls = slices.DeleteFunc(t.statusCalls, func(c *statusCall) bool { return c == call })
}

// statusesInFlight returns the number of requests that may still be answered.
func (t *workerTrace) statusesInFlight() (n int) {
	for _, c := range t.statusCalls {
		if !c.failed {
			n++
		}
	}
	return n
}

// statusesWithoutReply returns the number of requests since a time that have no reply.
func (t *workerTrace) statusesWithoutReply(since time.Duration) (n int) {
	for _, c := range t.statusCalls {
		if c.sentAt >= since {
			n++
		}
	}
	return n
}

func (w *workerState) stopsInFlight() (n int) {
	for _, a := range w.attempts {
		if a.stopInFlight {
			n++
		}
	}
	return n
}

// dropReason says why a status was not applied.
type dropReason string

const (
	droppedOvertaken dropReason = "overtaken"       // A later status was applied before.
	droppedReplaced  dropReason = "worker-replaced" // The request was sent to a former incarnation.
	droppedRemoved   dropReason = "worker-removed"
	droppedStopped   dropReason = "shard-stopped"
)

// traceReply records a reply that is dropped because of what happened since its request was
// sent, if it lists ends that were not applied.
func (s *Shard) traceReply(w *workerState, reply statusReply, err error) {
	current := s.workers[w.info.ID]
	var reason dropReason
	switch {
	case err != nil:
		return
	case s.stopped:
		reason = droppedStopped
	case current == nil:
		reason = droppedRemoved
	case current != w:
		reason = droppedReplaced
	default:
		return
	}
	if current != nil && current != w && current.info.StartedUnixMs == reply.StartedUnixMs && !s.stopped {
		current.trace.receivedAck = max(current.trace.receivedAck, w.trace.receivedByNext)
		return // It has answered a call for the former incarnation; the reply is applied to it.
	}
	if ends := w.unappliedEnds(reply); len(ends) > 0 {
		s.recordDroppedStatus(w, reply, reason, ends, nil)
	}
}

// traceStatus compares a status with what was applied before, just before it is applied.
func (s *Shard) traceStatus(w *workerState, reply statusReply) {
	if reply.ClockTime >= w.lastStatusClock {
		s.checkForgottenEnds(w, reply.Status)
		return
	}
	ends, runs := w.unappliedEnds(reply), s.runsOnlyIn(w, reply.Running)
	if len(ends) > 0 || len(runs) > 0 {
		s.recordDroppedStatus(w, reply, droppedOvertaken, ends, runs)
	}
}

// unappliedEnds returns the ends in a status that were not applied, lowest number first.
func (w *workerState) unappliedEnds(reply statusReply) (ends []worker.RunEnd) {
	applied := w.lastAppliedEnd
	if reply.StartedUnixMs != 0 && reply.StartedUnixMs != w.info.StartedUnixMs {
		applied = 0 // Ends of another incarnation.
	}
	for _, end := range reply.EndedRuns {
		if end.Number > applied {
			ends = append(ends, end)
		}
	}
	slices.SortFunc(ends, func(a, b worker.RunEnd) int { return cmp.Compare(a.Number, b.Number) })
	return ends
}

// runsOnlyIn returns the runs in a status that the last applied one did not list, although
// no end of them was applied.
func (s *Shard) runsOnlyIn(w *workerState, listed []worker.RunningTask) (runs []runKey) {
	for _, r := range listed {
		key := runKey{r.Task, r.Run}
		if a := w.attempts[key]; a != nil && a.timing.listedClock < w.lastStatusClock || a == nil && s.isLost(w, key) {
			runs = append(runs, key)
		}
	}
	return runs
}

// isLost reports whether a run was removed because a status did not list it, and its task is
// not done since.
func (s *Shard) isLost(w *workerState, key runKey) bool {
	js := s.jobs[key.task.Job]
	if js == nil {
		return false
	}
	t := js.task(key.task)
	if t == nil || t.done {
		return false
	}
	matches := func(l *lostRun) bool {
		return l != nil && l.run == key.run && l.worker == w.info.ID && (l.reason == string(notListed) || l.reason == string(neverBegan))
	}
	return matches(t.lostRun) || slices.ContainsFunc(t.attempts, func(a *attempt) bool { return matches(a.former) })
}

func (s *Shard) recordDroppedStatus(w *workerState, reply statusReply, reason dropReason, ends []worker.RunEnd, runs []runKey) {
	now := s.opts.Clock()
	leftOut, ok := s.trace.droppedStatuses.take(now, maxDroppedStatuses, droppedStatusInterval)
	if !ok {
		return
	}
	fields := s.workerFields(w)
	fields["reason"], fields["left_out"] = string(reason), leftOut
	fields["listed_born"], fields["listed_clock"] = reply.StartedUnixMs, reply.ClockTime.Milliseconds()
	fields["request_age"] = (now - reply.requestedAt).String()
	fields["ends"], fields["ends_total"] = endsText(ends), len(ends)
	fields["runs"], fields["runs_total"] = runsText(runs), len(runs)
	fields["statuses_in_flight"], fields["stops_in_flight"] = w.trace.statusesInFlight(), w.stopsInFlight()
	s.recordEvent(eventlog.StatusDropped, fields)
}

// endsText names the first maxNamedPerStatus ends, as NUMBER:TASK/RUN:OUTCOME.
func endsText(ends []worker.RunEnd) string {
	var texts []string
	for _, end := range ends[:min(len(ends), maxNamedPerStatus)] {
		texts = append(texts, appliedEnd{end.Number, runKey{end.Task, end.Run}, end.Outcome}.String())
	}
	return strings.Join(texts, " ")
}

// runsText names the first maxNamedPerStatus runs, as TASK/RUN.
func runsText(runs []runKey) string {
	var texts []string
	for _, key := range runs[:min(len(runs), maxNamedPerStatus)] {
		texts = append(texts, fmt.Sprintf("%v/%d", key.task, key.run))
	}
	return strings.Join(texts, " ")
}

// lastListedEnd returns the highest number in a list of ended runs, or 0 if it is empty.
func lastListedEnd(ends []worker.RunEnd) uint64 {
	if len(ends) == 0 {
		return 0
	}
	return slices.MaxFunc(ends, func(a, b worker.RunEnd) int { return cmp.Compare(a.Number, b.Number) }).Number
}

// checkForgottenEnds records, once for each incarnation, that a worker no longer lists an end
// although no call to this incarnation has acknowledged it. Of statuses with the same clock
// value the order is unknown, so they are not compared.
func (s *Shard) checkForgottenEnds(w *workerState, status worker.Status) {
	first, last := firstListedEnd(status.EndedRuns), lastListedEnd(status.EndedRuns)
	if status.ClockTime == w.lastStatusClock {
		if last > w.trace.lastListed {
			w.trace.firstListed, w.trace.lastListed = first, last
		}
		return
	}
	expected, formerLast := max(w.trace.firstListed, w.trace.acked+1), w.trace.lastListed
	w.trace.firstListed, w.trace.lastListed = first, last
	if formerLast < expected || first > 0 && first <= expected || w.trace.forgottenRecorded {
		return
	}
	w.trace.forgottenRecorded = true
	fields := s.workerFields(w)
	fields["number"], fields["listed_before"], fields["first_end"] = expected, formerLast, first
	fields["recent_ends"], fields["owned_for"] = w.trace.recentText(), (s.opts.Clock() - s.ownerSince).String()
	fields["inherited"] = !w.trace.knownFromFirstEnd
	w.trace.addFormerAckFields(fields)
	s.recordEvent(eventlog.EndsForgotten, fields)
}

// addFormerAckFields adds the highest acknowledgement for former incarnations that may have
// reached this one at any time, and the highest that this one is known to have received.
func (t *workerTrace) addFormerAckFields(fields eventlog.Fields) {
	fields["possible_ack"], fields["received_ack"] = t.possibleAck, t.receivedAck
}

// recordJoined records the first status of an incarnation, and what its owner did with the
// runs of the former one.
func (s *Shard) recordJoined(w *workerState, status worker.Status) {
	fields := eventlog.Fields{
		"worker": w.info.ID, "zone": w.info.Zone, "rack": w.rack(), "known_for": (s.opts.Clock() - w.knownSince).String(),
		"age": s.opts.WallClock().Sub(time.UnixMilli(w.info.StartedUnixMs)).String(), "recorded": w.rowCommitted,
		"born": w.info.StartedUnixMs, "first_end": firstListedEnd(status.EndedRuns), "runs_listed": len(status.Running),
		"last_end": lastListedEnd(status.EndedRuns), "ends_listed": len(status.EndedRuns), "runs_expected": len(w.attempts),
	}
	if w.restarted {
		maps.Copy(fields, eventlog.Fields{
			"moved": w.trace.movedRuns, "stopped_again": w.trace.stoppedAgain, "removed": w.trace.removedAtRestart,
		})
		w.trace.addFormerAckFields(fields)
	}
	s.recordEvent(eventlog.WorkerJoined, fields)
}
