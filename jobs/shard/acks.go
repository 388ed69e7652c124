package shard

import (
	"errors"
	"slices"
	"time"

	"peridotcrank.dev/jobs/worker"
)

// An acknowledgement names no incarnation of its worker. The next one may carry it out, in time or
// late, and may then forget ends of its own up to that number which no status has listed. So
// acknowledgements are sent in calls that do not wait, while every start is answered, and no task
// starts before such a call is answered. What calls without an answer may have done is decided by
// quarantine.go.

const (
	// blockedAckInterval is the minimum time between two holds while the acknowledgement is
	// blocked: a worker with ends to list may reply at once.
	blockedAckInterval = 200 * time.Millisecond
	// ackBar is how long no task starts on a worker after an acknowledgement without an answer. A
	// longer one would keep the jobs of a small pool waiting after a moment of lost replies.
	ackBar = 5 * time.Second
	// maxUnackedEnds is the number of ends that are acknowledged together while more runs end. A worker
	// lists 500.
	maxUnackedEnds = 100
)

// sentAck is an acknowledgement that was sent to a worker.
type sentAck struct {
	number uint64 // The ends up to it are acknowledged.
	sentAt time.Duration
}

// ackStep is what the next hold does about ends that are stored and not acknowledged.
type ackStep uint8

const (
	ackNone        ackStep = iota // There are none.
	ackBlocked                    // A start, or an earlier acknowledgement, has no answer yet.
	ackUnconfirmed                // A status is requested first, since the worker may have restarted.
	ackReady
)

// nextAckStep returns what the next hold of a worker does about ends that are not acknowledged.
func (s *Shard) nextAckStep(w *workerState, now time.Duration) ackStep {
	switch {
	case w.clock == 0 || w.failedHolds > 0 || w.lastCommittedEnd <= w.ackedEnd || w.quarantine.active():
		return ackNone
	case len(s.unansweredStarts[w.info.ID]) > 0 || w.hasBarringAck(now):
		return ackBlocked
	}
	return s.confirmation(w, now)
}

// confirmation returns whether a status must show first which incarnation received the starts that no
// status has listed: it must not be the same unknown one that gets the acknowledgement. A status that was
// requested after a start was answered shows that as well if it leaves ends out. Those of a
// former owner are unknown for a time.
func (s *Shard) confirmation(w *workerState, now time.Duration) ackStep {
	step := ackReady
	if s.mayHaveFormerStarts(now) && now-w.statusTakenAt >= minRestartAndRun && now-w.confirmedAt > maxConfirmationAge {
		step = ackUnconfirmed
	}
	for _, a := range w.attempts {
		switch {
		case a.timing.listedClock > 0 || a.answeredAt > 0 && a.answeredAt < w.lastStatusSent:
		case a.sentAt >= w.confirmedAt || now-w.confirmedAt >= blockedAckInterval:
			return ackUnconfirmed
		default:
			step = ackBlocked // The last status did not list it either.
		}
	}
	return step
}

// mayHaveFormerStarts reports whether starts of a former owner may still be carried out.
func (s *Shard) mayHaveFormerStarts(now time.Duration) bool {
	return s.journal.generation > 1 && now < s.ownerSince+maxOrderDelay
}

// noteAckSent keeps an acknowledgement until the incarnation for which it is meant answers it.
func (w *workerState) noteAckSent(number uint64, now time.Duration) sentAck {
	ack := sentAck{number, now}
	if number > 0 {
		w.openAcks = append(w.openAcks, ack)
	}
	return ack
}

// noteAckReply removes an acknowledgement that this incarnation has answered, or that any
// incarnation has refused. A reply of another one means that the acknowledgement has reached it.
func (w *workerState) noteAckReply(ack sentAck, reply statusReply, err error) {
	switch {
	case errors.Is(err, worker.ErrFenced) || errors.Is(err, worker.ErrReplaced) || errors.Is(err, worker.ErrRestarted):
		// It has had no effect and will have none.
	case err != nil || reply.StartedUnixMs != w.info.StartedUnixMs:
		return
	default:
		w.ackedEnd = max(w.ackedEnd, ack.number)
	}
	w.openAcks = slices.DeleteFunc(w.openAcks, func(other sentAck) bool { return other == ack })
}

// removeExpiredAcks removes the acknowledgements that were carried out before the last status was
// taken, if ever: no later incarnation can receive them.
func (w *workerState) removeExpiredAcks() {
	expired := func(a sentAck) bool { return w.statusTakenAt-a.sentAt > maxOrderDelay }
	w.openAcks = slices.DeleteFunc(w.openAcks, expired)
	w.formerAcks = slices.DeleteFunc(w.formerAcks, expired)
}

// hasBarringAck reports whether an acknowledgement has been without an answer for too short a time for tasks to
// start beside it.
func (w *workerState) hasBarringAck(now time.Duration) bool {
	bars := func(acks []sentAck) bool { return len(acks) > 0 && now-acks[len(acks)-1].sentAt <= ackBar }
	return bars(w.openAcks) || bars(w.formerAcks)
}

// hasOpenAcks reports whether an acknowledgement of this owner may still reach the next incarnation
// of a worker.
func (w *workerState) hasOpenAcks() bool { return len(w.openAcks) > 0 || len(w.formerAcks) > 0 }

// mayHaveInheritedAcks reports whether an acknowledgement of a former owner may still be carried out.
func (s *Shard) mayHaveInheritedAcks(w *workerState) bool {
	return w.inherited && (w.lastStatusClock == 0 || w.statusTakenAt < s.ownerSince+maxOrderDelay)
}

// ackForbidsStart reports whether no task may start because of an acknowledgement: one has no answer and may
// still reach the next incarnation together with the start, or one is due. A start that has had no answer for
// long does not hold up others.
func (s *Shard) ackForbidsStart(w *workerState, now time.Duration) bool {
	if w.hasBarringAck(now) {
		return true
	}
	if w.lastCommittedEnd <= w.ackedEnd || w.holdInFlight != nil && w.holdInFlight.waits {
		return false
	}
	if w.lastAppliedEnd > w.lastCommittedEnd && w.lastAppliedEnd-w.ackedEnd < maxUnackedEnds {
		return false // The ends are acknowledged together with those that are being stored.
	}
	for _, start := range s.unansweredStarts[w.info.ID] {
		if now-start.sentAt > orderTimeout {
			return false
		}
	}
	return true
}

// lacksFreshStatus reports whether a task may only start after a new status: an old acknowledgement, or one of
// a former owner, may still reach the next incarnation, which is unlikely to begin right after a status.
func (s *Shard) lacksFreshStatus(w *workerState, now time.Duration) bool {
	return now-w.statusTakenAt > maxConfirmationAge && (w.hasOpenAcks() || s.mayHaveInheritedAcks(w))
}

// removeUnansweredStart forgets a start order that was answered or whose run a status lists.
func (s *Shard) removeUnansweredStart(w *workerState, key runKey) {
	delete(s.unansweredStarts[w.info.ID], key)
}

// acknowledgeAfterStart sends an acknowledgement that has waited for the answer to a start.
func (s *Shard) acknowledgeAfterStart(id worker.ID) {
	w := s.workers[id]
	if w != nil && !s.stopped && w.holdInFlight == nil && s.nextAckStep(w, s.opts.Clock()) == ackReady {
		s.sendHold(w)
	}
}

// highestAck returns the highest number of a list of acknowledgements, or 0.
func highestAck(acks []sentAck) (highest uint64) {
	for _, a := range acks {
		highest = max(highest, a.number)
	}
	return highest
}
