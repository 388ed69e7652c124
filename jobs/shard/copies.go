package shard

import (
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/scheduler"
)

const (
	// copyFactor times its predicted duration is when a run counts as slow. Tasks
	// of a step differ, and predictions are off.
	copyFactor = 2.5
	// copyAfter is the least age of a run that counts as slow.
	copyAfter = 500 * time.Millisecond
	// maxCopies is the number of runs of a task at the same time.
	maxCopies = 2
)

// placeCopies starts second runs beside slow ones, where the step permits that
// and nothing else waits for the room. The first to end counts.
func (p *pass) placeCopies() {
	for step := range p.s.steps {
		if !step.spec.Speculative || step.spec.Gang || step.spec.LongRunning || step.idle > 0 || !step.job.alive() {
			continue
		}
		if step.job.inherited && p.s.unaccounted > 0 {
			continue
		}
		slow := max(time.Duration(copyFactor*float64(p.s.durations(step.job.job.Queue).Predict(step.spec.Estimate))), copyAfter)
		for _, t := range step.tasks {
			if !t.done && len(t.attempts) > 0 && len(t.attempts) < maxCopies && p.isSlow(t.attempts[0], slow) {
				p.placeCopy(t)
			}
		}
	}
}

func (p *pass) isSlow(a *attempt, limit time.Duration) bool {
	return a.phase != stopping && (p.now-a.sent > limit || a.worker.failures > 0)
}

func (p *pass) placeCopy(t *task) {
	first := t.attempts[0]
	c := p.constraint(t.step)
	permits := c.Permits
	c.Permits = func(node int) bool {
		return p.workers[node] != first.worker && (permits == nil || permits(node))
	}
	i := scheduler.ChooseNode(p.nodes, c)
	if i == scheduler.None {
		return
	}
	p.start(t, i, p.s.nextRun(t.run))
	p.started = p.started[:0]
	p.s.record(eventlog.CopyStarted, eventlog.Fields{
		"task": t.ref().String(), "run": t.run, "worker": p.workers[i].info.ID,
		"beside": first.worker.info.ID, "age": (p.now - first.sent).String(),
	})
}
