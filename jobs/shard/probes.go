package shard

import "time"

// A probe is a run whose lease expires before its task can be done. It makes a quarantined worker report
// an end, which proves whether the worker forgets ends. Whether that end is listed or not, the task is not done.

const (
	// probeLease is the lease of a probe: several times the time to a reply, and too short for any
	// task to be done.
	probeLease = 40 * time.Millisecond
	// maxProbeSlack is the greatest uncertainty of the worker's clock with which a probe starts.
	maxProbeSlack = probeLease
	// minProbeEstimate is the least declared duration of a task that serves as a probe. The
	// estimates are rough.
	minProbeEstimate = 5 * probeLease
	// maxProbeWait is how long a quarantine lasts while tasks wait and none of them can serve as a probe.
	maxProbeWait = 10 * time.Second
)

func (a *attempt) isProbe() bool { return a.probeUntil > 0 }

// startDecidedBefore reports whether the start of a run was answered, or given up, before a time.
func (a *attempt) startDecidedBefore(sent logicalTime) bool {
	return a.answeredAt > 0 && a.answeredAt < sent || a.uncertainSince > 0 && a.uncertainSince < sent
}

// probeNumbers starts a probe on a quarantined worker once no lease of former orders is left on it.
func (s *Shard) probeNumbers(w *workerState, now time.Duration) {
	if !w.quarantine.active() {
		return
	}
	s.stopForProof(w)
	if !s.canProbe(w, now) {
		return
	}
	waiting := s.waitingSteps()
	if len(waiting) == 0 {
		w.quarantine.unprobedSince = 0
		return
	}
	p := s.newProbePass(w, now)
	for _, step := range waiting {
		if t := p.probeTask(step); t != nil {
			w.quarantine.unprobedSince = 0
			p.startProbe(t)
			return
		}
	}
	s.checkProbeWait(w, now)
}

// servesAsProbe reports whether a task of a step cannot be done within the lease of a probe. One member of a
// gang is never done without the others.
func (s *stepState) servesAsProbe() bool {
	return s.spec.Gang && s.spec.Count > 1 || s.spec.LongRunning || !s.spec.Gang && s.spec.Estimate >= minProbeEstimate
}

// stopForProof stops a long-running task of a quarantined worker, whose end can prove the numbers: while it
// runs, a lease is in force and no probe can start. Any end of it means that it starts again.
func (s *Shard) stopForProof(w *workerState) {
	if w.quarantine.fencedAt == 0 || !s.canAct() {
		return
	}
	for _, a := range w.attempts {
		if a.phase == stopping {
			return
		}
	}
	for _, a := range w.attempts {
		if a.task != nil && a.phase == running && a.task.step.spec.LongRunning && s.permitsDisruption(a.task) {
			s.traceStop(a, stopQuarantined)
			s.stopAttempt(a)
			return
		}
	}
}

// checkProbeWait ends a quarantine without proof if no task can serve as a probe for long: the pool may have no
// other workers.
func (s *Shard) checkProbeWait(w *workerState, now time.Duration) {
	q := &w.quarantine
	if q.unprobedSince == 0 {
		q.unprobedSince = now
	}
	if now-q.unprobedSince > maxProbeWait {
		s.endQuarantine(w, 0)
		s.schedulePlacement()
	}
}

func (s *Shard) canProbe(w *workerState, now time.Duration) bool {
	q := &w.quarantine
	clock := w.minClockNow(now)
	if q.fencedAt == 0 || clock <= q.fencedAt+s.maxLease() || clock <= w.maxLeaseExpiry || w.maxClockNow(now)-clock > maxProbeSlack {
		return false
	}
	if !s.canAct() || s.draining || s.starts.full() || !s.isUsable(w, now) || w.hasOpenAcks() || s.lacksFreshStatus(w, now) || w.listsRuns() {
		return false
	}
	for _, a := range w.attempts {
		if a.isProbe() {
			return false
		}
	}
	return true
}

// newProbePass returns a placement pass for one worker. What it does not list does not run.
func (s *Shard) newProbePass(w *workerState, now time.Duration) *placementPass {
	s.prepareCaps()
	p := &placementPass{shard: s, now: now, workers: []*workerState{w}}
	p.nodes = append(p.nodes, s.nodeOf(w, now))
	p.nodes[0].Free = w.info.Capacity
	return p
}

// probeTask returns a task of a step that can serve as a probe, or nil.
func (p *placementPass) probeTask(step *stepState) *task {
	if !step.servesAsProbe() || !p.permitsStart(step) {
		return nil
	}
	for t := range step.waiting() {
		// With a checkpoint, little of the task may be left.
		if t.checkpoint == "" && t.notBefore <= p.now && p.chooseNode(t) == 0 {
			return t
		}
	}
	return nil
}

func (p *placementPass) startProbe(t *task) {
	s, w := p.shard, p.workers[0]
	until := w.maxClockNow(p.now) + probeLease
	a := s.startTaskUntil(t, w, s.nextRun(t.lastRun), until)
	a.probeUntil, a.timing.noSample = until, true
	p.started = append(p.started, a)
	p.recordStarts(t.step)
}
