package shard

import (
	"cmp"
	"slices"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/scheduler"
	"peridotcrank.dev/jobs/worker"
)

// evidence is what the outcomes of earlier runs say about the workers, as of one
// placement pass.
type evidence struct {
	standings []scheduler.Standing // Parallel to the nodes of the pass.
	prospects []prospect
	halfUsed  bool // At least half of the pool's CPU is in use.
}

// prospect is a worker that may get a last attempt later.
type prospect struct {
	worker *workerState
	scheduler.Prospect
}

// attemptsLimit returns the number of failed runs of a task that makes its job fail, or 0
// if there is no limit or the records of the workers are not used.
func (s *Shard) attemptsLimit(step *stepState) int {
	if step.spec.LongRunning || !s.opts.AttemptRecords {
		return 0
	}
	return s.queues[step.job.job.Queue].Attempts
}

// recordFailure records a failed run in a queue with an attempts limit, and puts a faulty
// worker into backoff.
func (s *Shard) recordFailure(w *workerState, t *task) {
	now := s.opts.Clock()
	s.lastFailure = now
	id := t.step.job.job.ID
	record := &t.step.job.record
	before := record.CannotSucceed()
	record.AddFailure(id, &w.record, t.failedElsewhere(w.info.ID), now)
	if record.CannotSucceed() && !before {
		s.recordEvent(eventlog.JobCannotSucceed, eventlog.Fields{"job": id, "task": t.ref().String(), "worker": w.info.ID})
	}
	standing := w.record.Standing(now)
	if !standing.Faulty || now < w.backoffUntil {
		return
	}
	backoff := faultyBackoff << min(w.record.NextBackoff(), scheduler.MaxBackoffShift)
	w.backoffUntil = now + backoff
	s.recordEvent(eventlog.WorkerFaulty, eventlog.Fields{"worker": w.info.ID, "jobs": standing.Failures, "rest": backoff.String()})
}

// failedElsewhere reports whether a run of the task, or of its gang, has failed on another
// worker.
func (t *task) failedElsewhere(id worker.ID) bool {
	members := []*task{t}
	if t.step.spec.Gang {
		members = slices.Collect(t.step.kept())
	}
	return slices.ContainsFunc(members, func(m *task) bool {
		return slices.ContainsFunc(m.failedOn, func(other worker.ID) bool { return other != id })
	})
}

// usesEvidence reports whether the step's tasks are placed by the records of the workers.
func (p *placementPass) usesEvidence(step *stepState) bool {
	return p.shard.attemptsLimit(step) > 0 && scheduler.FailuresAreRecent(p.shard.lastFailure, p.now)
}

// collectEvidence returns the evidence of this pass.
func (p *placementPass) collectEvidence() *evidence {
	if p.evidence != nil {
		return p.evidence
	}
	p.evidence = &evidence{standings: make([]scheduler.Standing, len(p.workers))}
	var racks scheduler.RackFaults
	var used, capacity int64
	for _, w := range p.shard.workers {
		w.standing = w.record.Standing(p.now)
		racks.Add(w.rack(), w.standing)
		used, capacity = used+w.used.CPU, capacity+w.info.Capacity.CPU
	}
	p.evidence.halfUsed = 2*used >= capacity
	for i, w := range p.workers {
		p.evidence.standings[i] = w.standing
		p.evidence.standings[i].RackFaulty = racks.Faulty(p.nodes[i].Rack)
	}
	return p.evidence
}

// attempt describes the next run of a task, or of its gang.
func (p *placementPass) attempt(t *task) scheduler.Attempt {
	failed := len(t.failedRuns)
	if t.step.spec.Gang {
		failed = len(t.step.failedRuns)
	}
	predicted := p.shard.durationPredictor(t.step.job.job.Queue, t.step.spec).Predict(t.step.spec.Estimate)
	return scheduler.Attempt{
		Last:      failed > 0 && failed+1 >= p.shard.attemptsLimit(t.step),
		Retriable: p.shard.remainingWork(t.step.job).RetriableAt(p.now, predicted),
		Standings: p.collectEvidence().standings,
		FailedOn:  func(node int) bool { return slices.Contains(t.failedOn, p.workers[node].info.ID) },
		FailedOnRack: func(node int) bool {
			return slices.ContainsFunc(t.failedOn, func(id worker.ID) bool {
				w := p.shard.workers[id]
				return w != nil && w.rack() == p.nodes[node].Rack
			})
		},
	}
}

// chooseByEvidence returns the node for a task, or scheduler.None. It holds a last attempt
// that waits for a proven worker.
func (p *placementPass) chooseByEvidence(t *task, c scheduler.Constraint) int {
	node, held := p.attempt(t).Choose(p.nodes, c, func() int { return p.requiredSuccesses(t) })
	if node != scheduler.None {
		t.release()
	}
	if held && !t.held {
		p.shard.recordEvent(eventlog.LastAttemptHeld, eventlog.Fields{"task": t.ref().String(), "workers": len(p.workers)})
	}
	t.held, t.step.held = held, t.step.held || held
	return node
}

// chooseGangNodes returns the nodes for all members of a gang, or nil.
func (p *placementPass) chooseGangNodes(step *stepState) []int {
	if !p.usesEvidence(step) {
		return scheduler.ChooseGangNodes(p.nodes, step.spec, step.spec.Count, p.permits(step))
	}
	first := step.peek(0)
	chosen := p.attempt(first).ChooseGang(p.nodes, p.constraint(step), func() int { return p.requiredSuccesses(first) })
	if chosen != nil {
		first.release()
	}
	return chosen
}

// copyFilter restricts the nodes for a second concurrent run of a task to proven workers
// if the job would fail because of it.
func (p *placementPass) copyFilter(t *task, permits func(node int) bool) func(node int) bool {
	if !p.usesEvidence(t.step) || len(t.failedRuns)+len(t.attempts)+1 < p.shard.attemptsLimit(t.step) {
		return permits
	}
	standings := p.collectEvidence().standings
	return func(node int) bool { return standings[node].Proven() && (permits == nil || permits(node)) }
}

// release ends the wait of a task's last attempt.
func (t *task) release() { t.held, t.heldSince = false, 0 }

// requiredSuccesses returns the number of successes that a worker needs to get the last
// attempt of a task now.
func (p *placementPass) requiredSuccesses(t *task) int {
	if t.heldSince == 0 {
		t.heldSince = p.now
	}
	var prospects []scheduler.Prospect
	for _, candidate := range p.collectProspects() {
		if !canRun(candidate.worker, t.step) {
			continue
		}
		candidate.AvailableAt = max(candidate.worker.backoffUntil, candidate.worker.availableAt(t.step, candidate.Runs, p.now))
		prospects = append(prospects, candidate.Prospect)
	}
	latest := scheduler.LatestLastAttempt(p.shard.remainingWork(t.step.job), t.heldSince, p.collectEvidence().halfUsed)
	return scheduler.RequiredSuccesses(prospects, t.heldSince, p.now, latest)
}

// collectProspects returns the workers that reply and are not vacated, with the expected
// ends of their runs, the earliest first.
func (p *placementPass) collectProspects() []prospect {
	e := p.collectEvidence()
	if e.prospects != nil {
		return e.prospects
	}
	for _, w := range p.shard.workers {
		if !w.registered || w.info.State != worker.Ready || w.failedHolds > 0 || p.now < w.vacateUntil {
			continue
		}
		candidate := prospect{worker: w, Prospect: scheduler.Prospect{Standing: w.standing}}
		for _, a := range w.attempts {
			if a.task == nil || a.task.step.spec.LongRunning {
				continue
			}
			spec := a.task.step.spec
			duration := p.shard.durationPredictor(a.task.step.job.job.Queue, spec).Predict(spec.Estimate)
			candidate.Runs = append(candidate.Runs, scheduler.ExpectedRun{End: max(a.sentAt+duration, p.now), Duration: duration, Reserved: a.reserved})
		}
		slices.SortFunc(candidate.Runs, func(a, b scheduler.ExpectedRun) int { return cmp.Compare(a.End, b.End) })
		e.prospects = append(e.prospects, candidate)
	}
	return e.prospects
}

// canRun reports whether a worker could run a task of the step if nothing else ran on it.
func canRun(w *workerState, step *stepState) bool {
	label := step.spec.RequiredLabel
	return step.spec.ReservedResources().Fits(w.info.Capacity) && (label == "" || slices.Contains(w.info.Labels, label)) && !step.advice.denied[w.info.ID]
}

// never is later than any time that matters.
const never = 1<<63 - 1

// availableAt returns when a worker is expected to have capacity for a task of the step.
// The runs are in the order of their ends.
func (w *workerState) availableAt(step *stepState, runs []scheduler.ExpectedRun, now time.Duration) time.Duration {
	free, at := w.free(), now
	for _, r := range runs {
		if step.spec.ReservedResources().Fits(free) {
			return at
		}
		free, at = free.Plus(r.Reserved), r.End
	}
	if step.spec.ReservedResources().Fits(free) {
		return at
	}
	return never
}
