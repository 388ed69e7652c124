package shard

import (
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/scheduler"
	"peridotcrank.dev/jobs/worker"
)

const (
	// vacatePeriod is how long a request to vacate a worker remains in effect.
	vacatePeriod = 1500 * time.Millisecond
	// maintenanceDuePeriod is how long a worker counts as due for maintenance after an
	// instruction named it.
	maintenanceDuePeriod = 3 * time.Second
	// startupPollInterval is the minimum time between two status requests to a worker
	// with a starting task, while an evacuation waits for the step of that task.
	startupPollInterval = 150 * time.Millisecond
	// minStartup is less than the time that a run needs to start up.
	minStartup = 300 * time.Millisecond
)

// WorkerUsage is the usage of one worker.
type WorkerUsage struct {
	ID          worker.ID
	Tasks       int
	LongRunning int // Tasks that run until their job is cancelled.
	// Vacated is set when nothing runs on the worker, no task will be started there and
	// the ends of its runs are stored, so that its VM may be reassigned.
	Vacated bool
}

// Report is the resource demand of a shard and the usage of its workers.
type Report struct {
	Workers []WorkerUsage
	// Used is the resources of the running tasks, except for tasks of jobs past their
	// objective or in excess of the weight of their workspace.
	Used job.Resources
	// Waiting is the resources that waiting tasks need, for jobs that can still
	// complete in time and are within the weight of their workspace. Late is the
	// resources that the remaining waiting tasks need, plus those of the running tasks
	// that Used excludes. Neither includes tasks that the cap of their workspace forbids
	// to start.
	Waiting job.Resources
	Late    job.Resources
	// ArrivalRate is the work that arrives per second, measured over the last second
	// and extrapolated while it grows.
	ArrivalRate job.Resources
	// Unaccounted are the workers of former owners that may still run tasks.
	Unaccounted []worker.ID
}

// Instructions accompany a request for a report.
type Instructions struct {
	// Vacate are workers that get no new tasks for a while and whose long-running tasks
	// are moved to other workers.
	Vacate []worker.ID
	// Ended are workers that have certainly terminated.
	Ended []worker.ID
	// MaintenanceDue are workers whose VMs are due for maintenance.
	MaintenanceDue []worker.ID
}

// ApplyInstructions carries out the instructions and returns the demand of the shard and
// the usage of its workers. It returns false if this process cannot act for the shard now.
func (s *Shard) ApplyInstructions(instructions Instructions) (Report, bool) {
	if !s.canAct() {
		return Report{}, false
	}
	now := s.opts.Clock()
	for _, id := range instructions.Ended {
		if w := s.workers[id]; w != nil && !w.accountedFor {
			s.removeWorker(w, "its VM has another worker")
		}
	}
	for _, id := range instructions.Vacate {
		if w := s.workers[id]; w != nil {
			w.vacateUntil = now + vacatePeriod
			s.evacuate(w)
			s.deleteVacatedWorkerRow(w)
		}
	}
	for _, id := range instructions.MaintenanceDue {
		if w := s.workers[id]; w != nil {
			w.maintenanceDueUntil = now + maintenanceDuePeriod
		}
	}
	var r Report
	var late job.Resources // Resources reserved by running tasks of jobs past their objective.
	for _, w := range s.workers {
		if !w.accountedFor {
			r.Unaccounted = append(r.Unaccounted, w.info.ID)
		}
		if !w.registered {
			continue
		}
		use := WorkerUsage{ID: w.info.ID, Tasks: len(w.attempts), Vacated: now < w.vacateUntil && w.canEnd()}
		for _, a := range w.attempts {
			switch {
			case a.task != nil && a.task.step.spec.LongRunning:
				use.LongRunning++
			case a.task != nil && (a.task.step.job.excessRound > 0 || s.isPastObjective(a.task.step.job, now)):
				late = late.Plus(a.reserved)
			}
		}
		r.Workers = append(r.Workers, use)
		r.Used = r.Used.Plus(w.used)
	}
	r.Used, r.Late = r.Used.Minus(late), late
	inTime, lateWaiting := s.waitingDemand(now)
	r.Waiting, r.Late = inTime, r.Late.Plus(lateWaiting)
	r.ArrivalRate = s.predictArrivalRate()
	return r, true
}

// isPastObjective reports whether a job has passed its objective. Its running tasks are
// then of little value and must not keep a VM that another pool needs to complete jobs
// in time.
func (s *Shard) isPastObjective(js *jobState, now time.Duration) bool {
	return !js.longRunning && now > js.submitted+s.remainingWork(js).Objective
}

// evacuate stops the long-running tasks of a worker, provided that enough other tasks
// of their steps are available and another worker has capacity.
func (s *Shard) evacuate(w *workerState) {
	for _, a := range w.attempts {
		if a.task == nil || a.phase != running || !a.task.step.spec.LongRunning || !a.task.step.job.canStartTasks() {
			continue
		}
		if !s.permitsDisruption(a.task) {
			s.pollStartingTasks(a.task.step)
			continue
		}
		if !s.canPlaceTask(a.task.step) {
			continue
		}
		s.recordEvent(eventlog.TaskEvacuated, eventlog.Fields{"task": a.ref.String(), "run": a.run, "worker": w.info.ID})
		s.traceStop(a, stopEvacuated)
		s.stopAttempt(a)
	}
}

// pollStartingTasks requests the status of the workers on which tasks of a step are
// starting, to learn when they become available. A hold that waits for a run to end
// does not report this.
func (s *Shard) pollStartingTasks(step *stepState) {
	for t := range step.kept() {
		for _, a := range t.attempts {
			if a.phase == running && a.percent < startedPercent {
				s.requestStatusAgain(a.worker)
			}
		}
	}
}

// permitsDisruption reports whether a task may be interrupted, which requires that
// fewer than MaxDisrupted other tasks of its step are unavailable.
func (s *Shard) permitsDisruption(t *task) bool {
	limit := t.step.spec.MaxDisrupted
	if limit == 0 {
		return true
	}
	now, available := s.opts.Clock(), 0
	for other := range t.step.kept() {
		if other != t && s.isAvailable(other, now) {
			available++
		}
	}
	return t.step.spec.Count-1-available < limit
}

// startedPercent is the progress at which a run has completed its start-up.
const startedPercent = 100

// maxStatusAge is the age from which a worker's last status no longer shows what runs
// there now.
const maxStatusAge = 2 * time.Second

// stopUnlessDisruptive stops a run, unless it may be at work for a job that goes on, and too
// many other tasks of its step are unavailable. Its start or an earlier stop got no reply, so
// the next status decides.
func (s *Shard) stopUnlessDisruptive(a *attempt) {
	needed := a.task != nil && !a.task.done && a.task.step.job.canStartTasks()
	if needed && s.mayBeAtWork(a) && !s.permitsDisruption(a.task) {
		s.requestStatusAgain(a.worker)
		return
	}
	s.traceStop(a, stopUncertainStart) // Nothing for a repeated stop.
	s.stopAttempt(a)
}

// mayBeAtWork reports whether a run has completed its start-up, or may have since the last
// status.
func (s *Shard) mayBeAtWork(a *attempt) bool {
	return a.percent >= startedPercent || s.opts.Clock()-a.worker.statusTakenAt > minStartup
}

// isAvailable reports whether the task has a run that has completed its start-up and is
// not being stopped, on a responsive worker.
func (s *Shard) isAvailable(t *task, now time.Duration) bool {
	for _, a := range t.attempts {
		if a.phase == running && a.percent >= startedPercent && a.worker.isResponsive(now) && !s.mayBeStopping(a) {
			return true
		}
	}
	return false
}

// isResponsive reports whether the worker replies to holds and its last status is recent. A
// status that this process handles late is as old as the worker took it, not as its arrival.
func (w *workerState) isResponsive(now time.Duration) bool {
	return w.failedHolds == 0 && now-w.statusTakenAt < maxStatusAge
}

// mayBeStopping reports whether a former owner may have ordered the stop of a run that its
// worker still lists. The worker refuses orders of former owners since its first reply to
// this one, and what they ordered before takes effect within StopTime.
func (s *Shard) mayBeStopping(a *attempt) bool {
	return a.found && a.worker.statusTakenAt < a.worker.firstReplyAt+s.opts.StopTime
}

// canPlaceTask reports whether a worker has capacity for another task of a step.
func (s *Shard) canPlaceTask(step *stepState) bool {
	p := s.newPlacementPass(s.opts.Clock())
	return scheduler.ChooseNode(p.nodes, p.constraint(step)) != scheduler.None
}
