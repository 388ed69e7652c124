package shard

import (
	"time"

	"peridotcrank.dev/jobs/bounded"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/scheduler"
)

// sortKey returns the key that orders a job among the waiting jobs.
func (s *Shard) sortKey(js *jobState, now time.Duration) scheduler.SortKey {
	sortKey := scheduler.SortKey{ExcessRound: js.excessRound, Priority: s.queues[js.job.Queue].Priority, Sequence: js.sequence}
	if js.longRunning {
		// Long-running tasks occupy little capacity for long, and every moment without
		// them counts.
		return sortKey
	}
	remainingWork := s.remainingWork(js)
	sortKey.Class, sortKey.CoreSeconds = remainingWork.ClassAt(now), remainingWork.CoreSeconds
	return sortKey
}

// remainingWork returns the remaining work of a job. It is recomputed when a step
// completes and, with learned durations, regularly while tasks run.
func (s *Shard) remainingWork(js *jobState) scheduler.RemainingWork {
	if js.remainingWork.Objective == 0 || js.remainingWorkOpenSteps != js.openSteps || s.learning != nil && s.opts.Clock() >= js.remainingWorkUntil {
		js.remainingWork, js.remainingWorkOpenSteps = s.computeRemainingWork(js), js.openSteps
	}
	return js.remainingWork
}

const (
	defaultStretch   = 1.5
	defaultObjective = 500 * time.Millisecond
	// slowestTaskFactor is the approximate ratio of the duration of a step's slowest
	// task to the mean duration of its tasks.
	slowestTaskFactor = 1.15
	milliPerCore      = 1000
)

// queueObjective returns the configuration of a queue with defaults for its objective.
func (s *Shard) queueObjective(queue job.Queue) Queue {
	q := s.queues[queue]
	if q.Stretch == 0 {
		q.Stretch = defaultStretch
	}
	if q.Objective == 0 {
		q.Objective = defaultObjective
	}
	return q
}

// computeRemainingWork computes the remaining work of a job's first open occurrence.
func (s *Shard) computeRemainingWork(js *jobState) scheduler.RemainingWork {
	if s.learning != nil {
		return s.learnedRemainingWork(js)
	}
	q := s.queueObjective(js.job.Queue)
	n, steps := len(js.job.Steps), js.firstOpenSteps()
	fullPaths, remainingPaths := make([]time.Duration, n), make([]time.Duration, n)
	work := scheduler.RemainingWork{Submitted: js.submitted}
	var longestPath time.Duration
	for i := range js.job.Steps {
		spec := &js.job.Steps[i]
		step := steps[i]
		taskDuration := s.durationPredictor(js.job.Queue, spec).Predict(spec.Estimate)
		fullPaths[i] = time.Duration(float64(taskDuration) * slowestTaskFactor)
		if !step.complete() {
			remainingPaths[i] = fullPaths[i]
			work.CoreSeconds += taskDuration.Seconds() * float64(spec.Count-step.done) * float64(spec.Resources.CPU) / milliPerCore
		}
		for _, before := range spec.After {
			fullPaths[i] = max(fullPaths[i], fullPaths[before]+time.Duration(float64(taskDuration)*slowestTaskFactor))
			if remainingPaths[i] > 0 {
				remainingPaths[i] = max(remainingPaths[i], remainingPaths[before]+time.Duration(float64(taskDuration)*slowestTaskFactor))
			} else {
				remainingPaths[i] = max(remainingPaths[i], remainingPaths[before])
			}
		}
		longestPath, work.CriticalPath = max(longestPath, fullPaths[i]), max(work.CriticalPath, remainingPaths[i])
	}
	work.Objective = bounded.Float(float64(longestPath)*q.Stretch, 1) + q.Objective
	return work
}

// observeDuration adds the duration of a successful run to the predictor of its queue.
func (s *Shard) observeDuration(a *attempt) {
	if a == nil || a.task == nil || a.answeredAt == 0 || a.task.step.spec.LongRunning || a.phase != running {
		return
	}
	s.durationPredictor(a.task.step.job.job.Queue, a.task.step.spec).Observe(a.task.step.spec.Estimate, s.opts.Clock()-a.firstSeenAt)
}

// arrival is the work of a newly submitted job.
type arrival struct {
	at        time.Duration
	resources job.Resources // Thousandths of a core, and MB, to run all its work in one second.
}

// arrivalWindow is the time over which the arrival rate of work is measured.
const arrivalWindow = time.Second

// recordArrival adds a new job to the arrival rate, unless it is in excess of the weight of
// its workspace.
func (s *Shard) recordArrival(js *jobState) {
	if js.excessRound > 0 || js.longRunning || js.job.ScheduledOccurrences > 0 {
		return
	}
	var resources job.Resources
	for i := range js.job.Steps {
		spec := &js.job.Steps[i]
		seconds := s.durationPredictor(js.job.Queue, spec).Predict(spec.Estimate).Seconds() * float64(spec.Count)
		resources.CPU += int64(seconds * float64(spec.Resources.CPU))
		resources.MemoryMB += int64(seconds * float64(spec.Resources.MemoryMB))
	}
	now := s.opts.Clock()
	s.removeOldArrivals(now)
	s.recentArrivals = append(s.recentArrivals, arrival{now, resources})
}

// removeOldArrivals removes the arrivals that do not count in the rate any more.
func (s *Shard) removeOldArrivals(now time.Duration) {
	for len(s.recentArrivals) > 0 && now-s.recentArrivals[0].at > arrivalWindow {
		s.recentArrivals = s.recentArrivals[1:]
	}
}

const (
	// growthWindow is the time over which growth of the arrival rate is measured.
	growthWindow = arrivalWindow / 2
	// vmTransferTime is the approximate time that it takes to move a VM from another
	// pool.
	vmTransferTime = 2 * time.Second
	// minRisingJobs is the minimum number of jobs in a window from which growth of the
	// rate is extrapolated.
	minRisingJobs = 4
	// maxRateGrowth bounds the predicted rate to a multiple of the present one.
	maxRateGrowth = 2.5
)

// predictArrivalRate returns the work that arrives per second, as the resources that it
// occupies for one second. While the rate grows, it is extrapolated to the time at
// which a VM requested now becomes available.
func (s *Shard) predictArrivalRate() job.Resources {
	now := s.opts.Clock()
	s.removeOldArrivals(now)
	var older, newer job.Resources
	jobs := 0
	for _, a := range s.recentArrivals {
		if now-a.at > growthWindow {
			older = older.Plus(a.resources)
		} else {
			newer = newer.Plus(a.resources)
			jobs++
		}
	}
	rate := older.Plus(newer)
	if jobs < minRisingJobs || newer.CPU <= older.CPU {
		return rate
	}
	perSecond := float64(time.Second) / float64(growthWindow)
	growth := perSecond * (1 + perSecond*vmTransferTime.Seconds()*float64(newer.CPU-older.CPU)/float64(newer.CPU))
	growth = min(growth, perSecond*maxRateGrowth)
	return job.Resources{CPU: int64(float64(newer.CPU) * growth), MemoryMB: int64(float64(newer.MemoryMB) * growth)}
}
