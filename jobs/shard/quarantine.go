package shard

import (
	"math"
	"slices"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/worker"
)

// An incarnation of a worker that an acknowledgement for a former one may have reached can forget ends up to
// that number before a status has listed them: a run that is neither running nor ended may have been done. So
// it is quarantined: it gets no tasks until its ends prove that it forgets none. The proof is an end that two statuses
// list, the second one requested after the first one arrived, or an end with a higher number. To get an
// end, the owner starts a probe (probes.go).

// unknownAck stands for the number of an acknowledgement of a former owner.
const unknownAck = math.MaxUint64

// quarantine is the state of an incarnation whose ends may be forgotten.
type quarantine struct {
	upTo uint64 // The ends up to it may be forgotten; 0 if none.
	// fencedAt is the worker's clock in the first reply to an order that has the fence of this incarnation, after
	// which it refuses acknowledgements for former ones; 0 before.
	fencedAt worker.ClockTime
	// listedUpTo is the highest end in a status that arrived at listedAt.
	listedUpTo uint64
	listedAt   logicalTime
	// unprobedSince is since when tasks wait and none of them can serve as a probe; 0 if there is one.
	unprobedSince time.Duration
}

func (q *quarantine) active() bool { return q.upTo > 0 }

// ackReach returns the highest number that acknowledgements for an incarnation, or for former ones,
// may have carried to the next one.
func (s *Shard) ackReach(former *workerState) uint64 {
	if s.mayHaveInheritedAcks(former) {
		return unknownAck
	}
	return max(highestAck(former.formerAcks), highestAck(former.openAcks))
}

// inheritAcks keeps what acknowledgements for a former incarnation may still do, and quarantines
// the next one if they may have reached it.
func (s *Shard) inheritAcks(w, former *workerState) {
	w.inherited = former.inherited
	w.formerAcks = slices.Concat(former.formerAcks, former.openAcks)
	s.beginQuarantine(w, s.ackReach(former))
}

func (s *Shard) beginQuarantine(w *workerState, upTo uint64) {
	if upTo == 0 {
		return
	}
	w.quarantine.upTo = upTo
	fields := s.workerFields(w)
	fields["unproven_up_to"], fields["inherited"] = upTo, w.inherited
	s.recordEvent(eventlog.WorkerQuarantined, fields)
}

// proveNumbers ends the quarantine of a worker if a status, requested at sent, proves that ends are not
// forgotten.
func (s *Shard) proveNumbers(w *workerState, sent logicalTime, status worker.Status) {
	q := &w.quarantine
	if !q.active() || !w.hasOwnFence() || sent <= w.fenceRaisedAt {
		return
	}
	if q.fencedAt == 0 {
		q.fencedAt = status.ClockTime
	}
	for _, end := range status.EndedRuns {
		if end.Number > q.upTo || end.Number <= q.listedUpTo && sent > q.listedAt {
			s.endQuarantine(w, end.Number)
			return
		}
	}
	if n := len(status.EndedRuns); n > 0 {
		q.listedUpTo, q.listedAt = status.EndedRuns[n-1].Number, s.nextLogicalTime()
	}
}

// mayForgetEnds reports whether a worker, or a later incarnation of it, may forget ends that no status has
// listed. The next owner knows that only from its row.
func (s *Shard) mayForgetEnds(w *workerState) bool {
	return w.quarantine.active() || w.hasOpenAcks() || s.mayHaveInheritedAcks(w)
}

// endQuarantine ends a quarantine. proof is the number of the end that proves that none is forgotten; 0 if there is none.
func (s *Shard) endQuarantine(w *workerState, proof uint64) {
	fields := s.workerFields(w)
	fields["unproven_up_to"], fields["proof"], fields["took"] = w.quarantine.upTo, proof, (s.opts.Clock() - w.knownSince).String()
	w.quarantine = quarantine{}
	s.recordEvent(eventlog.WorkerProven, fields)
	if w.rowCommitted && !w.rowQueued {
		w.rowQueued = true
		s.journal.workerRows = append(s.journal.workerRows, w)
	}
}

// goneFromQuarantined returns the runs that a status of a quarantined worker, requested at sent, shows to be
// gone: probes whose lease has expired, and other runs that it does not list. These were started before
// the restart was known; they count as gone once the worker refuses their starts and no earlier
// status that may list their ends is on its way.
func (s *Shard) goneFromQuarantined(w *workerState, sent logicalTime, clock worker.ClockTime, listed map[runKey]bool) (gone []*attempt) {
	for key, a := range w.attempts {
		if a.isProbe() && !listed[key] && a.startDecidedBefore(sent) && clock > a.probeUntil {
			gone = append(gone, a)
		}
	}
	if !w.hasOwnFence() || sent <= w.fenceRaisedAt || s.awaitsEarlierStatus(w, sent) {
		return gone
	}
	for _, a := range unlistedRuns(w, sent, listed) {
		if !a.isProbe() {
			gone = append(gone, a)
		}
	}
	return gone
}
