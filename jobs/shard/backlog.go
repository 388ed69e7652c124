package shard

import (
	"time"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/scheduler"
)

// backlogMaxAge is the age from which the backlog is computed again. Placement passes and
// arrivals within that time change a full pool's backlog little.
const backlogMaxAge = 50 * time.Millisecond

// backlog is the waiting work of a shard, from which the wait of a new job is estimated.
type backlog struct {
	computedAt time.Duration
	entries    []backlogEntry
	capacity   job.Resources // Without that of long-running tasks.
	arriving   scheduler.Work
}

// backlogEntry is the waiting work of one job.
type backlogEntry struct {
	sortKey scheduler.SortKey
	work    scheduler.Work
}

// poolLoads returns what a new job has to wait for: as an excess job, and as a job within
// the weight of its workspace.
func (s *Shard) poolLoads(js *jobState, now time.Duration) (asExcess, withToken scheduler.PoolLoad) {
	b := s.currentBacklog(now)
	asExcess.Capacity, withToken.Capacity = b.capacity, b.capacity
	asExcess.Arriving = b.arriving
	excessKey := s.sortKey(js, now)
	withinKey := excessKey
	withinKey.ExcessRound = 0
	for _, e := range b.entries {
		withinWeight := e.sortKey.ExcessRound == 0
		if withinWeight || e.sortKey.Compare(excessKey) < 0 {
			asExcess.Ahead = asExcess.Ahead.Plus(e.work)
		}
		if withinWeight && e.sortKey.Compare(withinKey) < 0 {
			withToken.Ahead = withToken.Ahead.Plus(e.work)
		}
	}
	return asExcess, withToken
}

// currentBacklog returns the backlog, at most backlogMaxAge old.
func (s *Shard) currentBacklog(now time.Duration) *backlog {
	b := &s.fair.backlog
	if b.entries != nil && now-b.computedAt < backlogMaxAge {
		return b
	}
	*b = backlog{computedAt: now, entries: make([]backlogEntry, 0, len(s.jobs)), arriving: s.arrivingWork(now)}
	for _, js := range s.jobs {
		if js.outcome != 0 || js.longRunning || !js.hasPendingTasks() {
			continue
		}
		b.entries = append(b.entries, s.backlogEntry(js, now))
	}
	for _, w := range s.workers {
		if w.registered && now >= w.vacateUntil {
			b.capacity = b.capacity.Plus(w.info.Capacity).Minus(w.longRunningResources())
		}
	}
	return b
}

// addToBacklog adds a job that was accepted after the backlog was computed.
func (s *Shard) addToBacklog(js *jobState) {
	if b := &s.fair.backlog; b.entries != nil && !js.longRunning {
		b.entries = append(b.entries, s.backlogEntry(js, s.opts.Clock()))
	}
}

func (s *Shard) backlogEntry(js *jobState, now time.Duration) backlogEntry {
	return backlogEntry{s.sortKey(js, now), pendingWork(s, js)}
}

// pendingWork returns the work of a job's tasks that have not started. Of a scheduled job,
// only the steps count that are due.
func pendingWork(s *Shard, js *jobState) (work scheduler.Work) {
	for _, step := range js.steps {
		if step.pending == 0 {
			continue
		}
		if _, due := s.startableSteps[step]; !due && js.job.ScheduledOccurrences > 0 {
			continue
		}
		work = work.Plus(scheduler.WorkOf(step.spec.ReservedResources(), s.durationPredictor(js.job.Queue, step.spec).Predict(step.spec.Estimate), step.pending))
	}
	return work
}

// longRunningResources returns the resources that long-running tasks reserve on a worker.
func (w *workerState) longRunningResources() (sum job.Resources) {
	for _, a := range w.attempts {
		if a.task != nil && a.task.step.spec.LongRunning {
			sum = sum.Plus(a.reserved)
		}
	}
	return sum
}

// arrivingWork returns the work per second of the jobs within weight that arrived lately.
func (s *Shard) arrivingWork(now time.Duration) (work scheduler.Work) {
	for _, a := range s.recentArrivals {
		if now-a.at <= arrivalWindow {
			work = work.Plus(scheduler.WorkOf(a.resources, time.Second, 1))
		}
	}
	return work
}
