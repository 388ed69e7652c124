package shard

import (
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/scheduler"
)

const (
	// slowRunFactor is the multiple of its predicted duration from which a run counts
	// as slow. It leaves a margin because the tasks of a step differ and predictions
	// are inaccurate.
	slowRunFactor = 2.5
	// minSlowRunAge is the minimum age of a run that counts as slow.
	minSlowRunAge = 500 * time.Millisecond
	// maxConcurrentRuns is the maximum number of concurrent runs of a task.
	maxConcurrentRuns = 2
)

// startSpeculativeRuns starts a second run of each slow task, if the step permits it
// and no other task waits for the capacity. The task is done as soon as one of the runs
// succeeds.
func (p *placementPass) startSpeculativeRuns() {
	for step := range p.shard.startableSteps {
		if !step.spec.Speculative || step.spec.Gang || step.spec.LongRunning || step.pending > 0 || !step.job.canStartTasks() {
			continue
		}
		if step.job.inherited && p.shard.unaccountedWorkers > 0 {
			continue
		}
		slowAge := max(time.Duration(slowRunFactor*float64(p.shard.durationPredictor(step.job.job.Queue, step.spec).Predict(step.spec.Estimate))), minSlowRunAge)
		for t := range step.kept() {
			if !t.done && len(t.attempts) > 0 && len(t.attempts) < maxConcurrentRuns && p.isSlow(t.attempts[0], slowAge) {
				p.startSpeculativeRun(t)
			}
		}
	}
}

func (p *placementPass) isSlow(a *attempt, limit time.Duration) bool {
	if p.shard.learning != nil {
		return p.shard.prefersSecondRun(a, p.now)
	}
	return a.phase != stopping && (p.now-a.sentAt > limit || a.worker.failedHolds > 0)
}

func (p *placementPass) startSpeculativeRun(t *task) {
	first := t.attempts[0]
	c := p.constraint(t.step)
	permits := p.copyFilter(t, c.Permits)
	c.Permits = func(node int) bool {
		return p.workers[node] != first.worker && (permits == nil || permits(node))
	}
	i := p.chooseNodeForSecondRun(c, first)
	if i == scheduler.None || !p.hasRoom(t.step) {
		return
	}
	p.startTask(t, i, p.shard.nextRun(t.lastRun))
	p.started[len(p.started)-1].timing.secondRun = true
	p.started = p.started[:0]
	p.shard.recordEvent(eventlog.CopyStarted, eventlog.Fields{
		"task": t.ref().String(), "run": t.lastRun, "worker": p.workers[i].info.ID,
		"beside": first.worker.info.ID, "age": (p.now - first.sentAt).String(),
	})
}

// chooseNodeForSecondRun returns the node for a second run, or scheduler.None. With
// learned durations it prefers another rack than that of the first run, since the workers
// of a rack can be slow for the same reason.
func (p *placementPass) chooseNodeForSecondRun(c scheduler.Constraint, first *attempt) int {
	if p.shard.learning != nil {
		other := c
		other.Permits = func(node int) bool { return p.nodes[node].Rack != first.worker.rack() && c.Permits(node) }
		if i := scheduler.ChooseNode(p.nodes, other); i != scheduler.None {
			return i
		}
	}
	return scheduler.ChooseNode(p.nodes, c)
}
