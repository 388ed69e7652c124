package shard

import (
	"context"
	"time"

	"peridotcrank.dev/eventlog"
)

// The runs of a worker that does not reply are given up once its lease has expired. A process
// without enough processor time sees no replies from sound workers either, and their ends, which
// the workers have listed, would be lost. So the silence of a worker counts only while this
// process runs in time and other workers reply in time.

const (
	// silenceLimit is how long a worker must leave all queries without a reply.
	silenceLimit = 2 * time.Second
	// silenceLead is how long before the expiry of a lease the silence is checked, so that a check
	// ends orderTimeout after it.
	silenceLead = silenceLimit - orderTimeout
	// referenceInterval is the time between two rounds of queries to other workers during a check.
	referenceInterval = 500 * time.Millisecond
	// referenceLimit is how long a reply of another worker may take: well under the time that a
	// silent one is given.
	referenceLimit = silenceLimit / 2
	// maxReferences is the number of workers that are queried in a round.
	maxReferences = 3
	// silenceRecordInterval is the minimum time between two events about checks without a result.
	silenceRecordInterval = time.Second
)

// replyMonitor records whether this process runs in time and gets replies in time.
type replyMonitor struct {
	lastTick   time.Duration
	lateTicks  []lateTick // Of the last silenceLimit.
	rounds     []*referenceRound
	checks     int           // In progress.
	recordedAt time.Duration // When a check without a result was last recorded.
}

// lateTick is a periodic check that ran late.
type lateTick struct{ at, delay time.Duration }

// referenceRound is a round of queries to workers that have replied before.
type referenceRound struct {
	sentAt        time.Duration
	asked, prompt int
	byStore       bool // No worker could be queried, so the store was.
}

// silenceEvidence is what shows whether a missing reply is due to the worker.
type silenceEvidence struct {
	processDelay  time.Duration // The longest delay of this process.
	asked, prompt int           // Queries to other workers, and those answered in time.
	byStore       bool          // At least one was a query to the store.
}

// noteTick records the time of a periodic check.
func (m *replyMonitor) noteTick(now time.Duration) {
	if delay := now - m.lastTick - tickInterval; m.lastTick > 0 && delay > 0 {
		m.lateTicks = append(m.lateTicks, lateTick{now, delay})
	}
	m.lastTick = now
	for len(m.lateTicks) > 0 && now-m.lateTicks[0].at > 2*silenceLimit {
		m.lateTicks = m.lateTicks[1:]
	}
	for len(m.rounds) > 0 && now-m.rounds[0].sentAt > 2*silenceLimit {
		m.rounds = m.rounds[1:]
	}
}

// evidence returns what was recorded since a check began.
func (m *replyMonitor) evidence(since, now time.Duration) silenceEvidence {
	e := silenceEvidence{processDelay: max(now-m.lastTick-tickInterval, now-since-silenceLimit)}
	for _, tick := range m.lateTicks {
		if tick.at >= since {
			e.processDelay = max(e.processDelay, tick.delay)
		}
	}
	for _, round := range m.rounds {
		if round.sentAt >= since && now-round.sentAt >= referenceLimit {
			e.asked, e.prompt = e.asked+round.asked, e.prompt+round.prompt
			e.byStore = e.byStore || round.byStore
		}
	}
	return e
}

// showsSilence reports whether this process was in time, and most queries to others were answered
// in time. The store alone is evidence against a worker without others beside it, or one that the
// registry has dropped: that depends on the worker's heartbeats, not on replies to this process.
func (e silenceEvidence) showsSilence(only, registered bool) bool {
	if e.byStore && !only && registered {
		return false
	}
	return e.processDelay <= maxProcessDelay && 2*e.prompt > e.asked
}

func (e silenceEvidence) fields() eventlog.Fields {
	return eventlog.Fields{"process_delay": e.processDelay.String(), "others_asked": e.asked, "others_prompt": e.prompt, "by_store": e.byStore}
}

// checkSilence begins to check whether a worker is silent, if its runs can be given up then.
func (s *Shard) checkSilence(w *workerState, now time.Duration) {
	if w.checkingSilence || !s.endsWithoutReply(w, now+silenceLead) || !s.queryStatus(w, silenceLimit, func(error) {}) {
		return
	}
	w.checkingSilence = true
	s.replies.checks++
	s.opts.Loop.After(silenceLimit, func() {
		w.checkingSilence = false
		s.replies.checks--
		s.endSilenceCheck(w, now)
	})
}

// endsWithoutReply reports whether something is given up at a time if the worker does not
// reply until then.
func (s *Shard) endsWithoutReply(w *workerState, at time.Duration) bool {
	answeredRunsEnd, _ := s.formerOrdersEnd(w)
	return s.leasesExpired(w, at) || w.neverReplied() && at > answeredRunsEnd || s.inheritedLeaseExpired(w, at)
}

// leasesExpired reports whether a worker that does not reply has runs, and its leases from this owner and
// from former ones, which may be longer, have expired. A former owner may have used workers that the rows do
// not name any more.
func (s *Shard) leasesExpired(w *workerState, at time.Duration) bool {
	return w.leaseExpired(at) && at > s.inheritedLeasesEnd(s.inheritedLease)
}

// inheritedLeaseExpired reports whether the leases of a worker from former owners have expired,
// while it has not replied to this owner.
func (s *Shard) inheritedLeaseExpired(w *workerState, at time.Duration) bool {
	return !w.accountedFor && w.failedHolds > 0 && at > s.inheritedLeasesEnd(s.inheritedLeaseOf(w))
}

// endSilenceCheck gives up the runs of a worker that was silent since the check began.
func (s *Shard) endSilenceCheck(w *workerState, began time.Duration) {
	now := s.opts.Clock()
	if !s.canAct() || s.workers[w.info.ID] != w || w.repliedAt >= began || !s.endsWithoutReply(w, now) {
		return
	}
	e := s.replies.evidence(began, now)
	if !e.showsSilence(len(s.workers) == 1, w.registered || !s.registryRead) {
		s.recordSilenceUnproven(w, e, now)
		return
	}
	s.giveUpExpiredLease(w, now, e)
	s.removeEndedRuns(w, now)
	if s.inheritedLeaseExpired(w, now) && w.failedHolds >= minUnansweredHolds {
		s.recordWaitExpired(w, now, e)
		s.markAccountedFor(w, accountedByWait)
	}
	s.schedulePlacement()
}

// giveUpExpiredLease gives up the runs that have ended because the worker's lease has expired.
func (s *Shard) giveUpExpiredLease(w *workerState, now time.Duration, e silenceEvidence) {
	if !s.leasesExpired(w, now) {
		return
	}
	ended := s.runsBeforeLeaseExpiry(w, now)
	if len(ended) == 0 {
		return
	}
	s.recordLeasePassed(w, len(ended), e)
	s.removeRuns(w, ended, leaseExpired, nil)
}

// queryReferences queries workers that have replied, or else the store, while the silence of
// others is checked. Those are queried at the same time: a query to them that was sent while
// replies were late in general does not count against them.
func (s *Shard) queryReferences(now time.Duration) {
	if s.replies.checks == 0 || !s.canAct() {
		return
	}
	if n := len(s.replies.rounds); n > 0 && now-s.replies.rounds[n-1].sentAt < referenceInterval {
		return
	}
	round := &referenceRound{sentAt: s.opts.Clock()}
	s.replies.rounds = append(s.replies.rounds, round)
	noteReply := func(err error) {
		if err == nil && s.opts.Clock()-round.sentAt <= referenceLimit {
			round.prompt++
		}
	}
	for _, w := range s.workers {
		if w.checkingSilence {
			s.queryStatus(w, silenceLimit, func(error) {})
			continue
		}
		if round.asked < maxReferences && w.failedHolds == 0 && w.clock > 0 && s.queryStatus(w, referenceLimit, noteReply) {
			round.asked++
		}
	}
	if round.asked == 0 {
		round.asked, round.byStore = 1, true
		s.queryStore(noteReply)
	}
}

// queryStore reads the head row and passes the outcome to done.
func (s *Shard) queryStore(done func(error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), referenceLimit)
		defer cancel()
		key := s.headKey()
		_, err := s.opts.Store.Read(ctx, key.Table, key.Part, key.Name)
		s.opts.Loop.Post(func() { done(err) })
	}()
}

// silentWorkers returns the number of workers without a reply to the last hold.
func (s *Shard) silentWorkers() (n int) {
	for _, w := range s.workers {
		if w.failedHolds > 0 {
			n++
		}
	}
	return n
}

// recordSilenceUnproven records that a missing reply may be due to this process.
func (s *Shard) recordSilenceUnproven(w *workerState, e silenceEvidence, now time.Duration) {
	if s.replies.recordedAt > 0 && now-s.replies.recordedAt < silenceRecordInterval {
		return
	}
	s.replies.recordedAt = now
	fields := e.fields()
	fields["worker"], fields["runs"], fields["accounted_for"], fields["silent_workers"] = w.info.ID, len(w.attempts), w.accountedFor, s.silentWorkers()
	s.recordEvent(eventlog.WorkerSilenceUnproven, fields)
}
