package shard

import (
	"time"

	"peridotcrank.dev/jobs/bounded"
	"peridotcrank.dev/jobs/durations"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/scheduler"
)

const (
	// minRenewal and maxRenewal bound the time after which the remaining work of a job is
	// computed again; between them it is renewalShare of the critical path.
	minRenewal   = 100 * time.Millisecond
	maxRenewal   = 2 * time.Second
	renewalShare = 0.25
	// longTask is the expected duration of a task from which it avoids VMs that are due
	// for maintenance: the VM's move would wait for it for longer than a move takes.
	longTask = 2 * vmTransferTime
	// overrunProbability and stalledProbability are the probabilities that a task takes
	// longer than a run which should have ended, and than one that counts as stalled.
	overrunProbability = 0.2
	stalledProbability = 0.05
)

func (s *Shard) distribution(queue job.Queue, step *job.Step) durations.Distribution {
	return s.learning.model.Distribution(durations.NewKey(queue, step))
}

// learnedRemainingWork computes the remaining work of a job's first open occurrence from
// the distributions of its tasks and the ages of its runs.
func (s *Shard) learnedRemainingWork(js *jobState) scheduler.RemainingWork {
	q := s.queueObjective(js.job.Queue)
	now := s.opts.Clock()
	n := len(js.job.Steps)
	steps := js.firstOpenSteps()
	fullPaths, remainingPaths := make([]time.Duration, n), make([]time.Duration, n)
	work := scheduler.RemainingWork{Submitted: js.submitted}
	var longestPath time.Duration
	for i := range js.job.Steps {
		spec, step := &js.job.Steps[i], steps[i]
		d := s.distribution(js.job.Queue, spec)
		var fullBefore, remainingBefore time.Duration
		for _, before := range spec.After {
			fullBefore, remainingBefore = max(fullBefore, fullPaths[before]), max(remainingBefore, remainingPaths[before])
		}
		path, seconds := s.remainingStep(step, d, now)
		fullPaths[i] = fullBefore + time.Duration(float64(d.Quantile(0.5))*slowestTaskFactor)
		remainingPaths[i] = remainingBefore + path
		work.CoreSeconds += seconds * float64(spec.Resources.CPU) / milliPerCore
		longestPath, work.CriticalPath = max(longestPath, fullPaths[i]), max(work.CriticalPath, remainingPaths[i])
	}
	work.Objective = bounded.Float(float64(longestPath)*q.Stretch, 1) + q.Objective
	renewal := time.Duration(renewalShare * float64(work.CriticalPath))
	js.remainingWorkUntil = now + min(max(renewal, minRenewal), maxRenewal)
	return work
}

// remainingStep returns the time until the slowest open task of a step ends if all of
// them can run, and the expected sum over its waiting tasks in seconds. Running tasks hold
// their capacity in any order of the waiting ones, so they do not count in the sum.
func (s *Shard) remainingStep(step *stepState, d durations.Distribution, now time.Duration) (path time.Duration, seconds float64) {
	if step.complete() {
		return 0, 0
	}
	if step.pending > 0 {
		path, seconds = d.LongestOf(step.pending), d.Mean().Seconds()*float64(step.pending)
	}
	if step.pending+step.done == step.spec.Count {
		return path, seconds
	}
	for t := range step.kept() {
		if t.done || len(t.attempts) == 0 {
			continue
		}
		median, _ := s.remainingRun(t.attempts[0], d, now)
		path = max(path, median)
	}
	return path, seconds
}

// remainingRun returns the median and the mean of the time until a run ends.
func (s *Shard) remainingRun(a *attempt, d durations.Distribution, now time.Duration) (median, mean time.Duration) {
	slowdown := s.learning.speeds.Slowdown(a.worker.info.ID, now)
	worked := a.timing.savedWork + time.Duration(float64(a.age(now))/slowdown)
	median, mean = d.MedianRemaining(worked), d.Remaining(worked)
	return time.Duration(float64(median) * slowdown), time.Duration(float64(mean) * slowdown)
}

// learnedLag reports whether a run should have ended, and whether it counts as stalled.
func (s *Shard) learnedLag(a *attempt, age time.Duration) (overrun, stalled bool) {
	step := a.task.step
	d := s.distribution(step.job.job.Queue, step.spec)
	worked := a.timing.savedWork + time.Duration(float64(age)/s.learning.speeds.Slowdown(a.worker.info.ID, s.opts.Clock()))
	longer := d.Exceeds(worked)
	return longer < overrunProbability, longer < stalledProbability && age > minStalledAge
}

// prefersSecondRun reports whether a run is expected to end later than a new run of its
// task that starts now.
func (s *Shard) prefersSecondRun(a *attempt, now time.Duration) bool {
	if a.phase == stopping {
		return false
	}
	if a.worker.failedHolds > 0 {
		return true
	}
	step := a.task.step
	d := s.distribution(step.job.job.Queue, step.spec)
	fresh := max(d.Mean()-a.task.savedWork, d.Quantile(0.5)/2)
	_, mean := s.remainingRun(a, d, now)
	return a.age(now) > minSlowRunAge && mean > fresh
}

// preferences sets which workers a task of the step avoids.
func (s *Shard) preferences(c *scheduler.Constraint, step *stepState) {
	if s.learning == nil {
		return
	}
	c.Long = s.distribution(step.job.job.Queue, step.spec).Mean() >= longTask
	c.Critical = c.Long || step.job.openSteps == 1
}
