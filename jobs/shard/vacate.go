package shard

import (
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/scheduler"
	"peridotcrank.dev/jobs/worker"
)

const (
	// vacateFor is how long a request to vacate a worker lasts.
	vacateFor = 1500 * time.Millisecond
	// dueFor is how long a worker counts as due for maintenance after it was named.
	dueFor = 3 * time.Second
	// lookGap is the least time between two looks at a worker on which a task starts
	// up whose step another evacuation waits for.
	lookGap = 150 * time.Millisecond
)

// Use is what runs on a worker.
type Use struct {
	ID      worker.ID
	Tasks   int
	Lasting int
	// Vacated is set while nothing runs on the worker and nothing is started there.
	Vacated bool
}

// Report is the demand of a shard and the use of its workers.
type Report struct {
	Workers []Use
	// Used is what runs, but for tasks of jobs that have passed their objective.
	Used job.Resources
	// Waiting is what the tasks that wait for a worker ask for, as far as their
	// jobs can be in time; Late is the rest, with what runs of overdue jobs.
	Waiting job.Resources
	Late    job.Resources
	// Arriving is the work that came in the last second.
	Arriving job.Resources
	// Unaccounted are workers of former owners that may still run tasks.
	Unaccounted []worker.ID
}

// Orders are what a report is asked with.
type Orders struct {
	// Vacate are workers that get no new tasks for a while; their long-running
	// tasks are moved to others.
	Vacate []worker.ID
	// Ended are workers that have certainly ended.
	Ended []worker.ID
	// Due are workers whose VMs are due for maintenance.
	Due []worker.ID
}

// Report carries out orders and returns the use of the workers.
func (s *Shard) Report(orders Orders) (Report, bool) {
	if !s.canAct() {
		return Report{}, false
	}
	now := s.o.Clock()
	for _, id := range orders.Ended {
		if w := s.workers[id]; w != nil && !w.accounted {
			s.dead(w, "its VM has another worker")
		}
	}
	for _, id := range orders.Vacate {
		if w := s.workers[id]; w != nil {
			w.vacating = now + vacateFor
			s.evacuate(w)
			s.forgetVacated(w)
		}
	}
	for _, id := range orders.Due {
		if w := s.workers[id]; w != nil {
			w.due = now + dueFor
		}
	}
	var r Report
	var late job.Resources // Of running tasks.
	for _, w := range s.workers {
		if !w.accounted {
			r.Unaccounted = append(r.Unaccounted, w.info.ID)
		}
		if !w.registered {
			continue
		}
		use := Use{ID: w.info.ID, Tasks: len(w.attempts), Vacated: now < w.vacating && len(w.attempts) == 0 && w.accounted}
		for _, a := range w.attempts {
			switch {
			case a.task != nil && a.task.step.spec.LongRunning:
				use.Lasting++
			case a.task != nil && s.overdue(a.task.step.job, now):
				late = late.Plus(a.charge)
			}
		}
		r.Workers = append(r.Workers, use)
		r.Used = r.Used.Plus(w.used)
	}
	r.Used, r.Late = r.Used.Minus(late), late
	for step := range s.steps {
		if !step.job.alive() || step.idle == 0 {
			continue
		}
		waiting := step.waiting()
		if s.turn(step.job, now).Class == scheduler.InTime {
			r.Waiting = r.Waiting.Plus(waiting)
		} else {
			r.Late = r.Late.Plus(waiting)
		}
	}
	r.Arriving = s.arriving()
	return r, true
}

// overdue reports whether a job has passed its objective. What runs of it then is
// worth little, and holds no VM that the jobs of another pool need in time.
func (s *Shard) overdue(js *jobState, now time.Duration) bool {
	return !js.lasting && now > js.submitted+s.work(js).Objective
}

// waiting is what the tasks of a step without an attempt ask for.
func (s *stepState) waiting() job.Resources {
	charge, n := s.spec.Charge(), int64(s.idle)
	return job.Resources{CPU: n * charge.CPU, MemoryMB: n * charge.MemoryMB, GPU: n * charge.GPU}
}

// evacuate stops long-running tasks of a worker, as far as the others of their
// steps are at work and there is room elsewhere.
//
// After a takeover, runs that the former owner is stopping look like those that
// are at work until their stop takes effect and shows in the workers' lists.
func (s *Shard) evacuate(w *workerState) {
	if s.o.Clock() < s.takenAt+s.o.StopTime+statusLimit {
		return
	}
	for _, a := range w.attempts {
		if a.task == nil || a.phase != running || !a.task.step.spec.LongRunning || !a.task.step.job.alive() {
			continue
		}
		if !a.task.step.permitsDisruption(a.task, s.o.Clock()) {
			s.lookAtStarting(a.task.step)
			continue
		}
		if !s.hasRoom(a.task.step) {
			continue
		}
		s.record(eventlog.TaskEvacuated, eventlog.Fields{"task": a.ref.String(), "run": a.run, "worker": w.info.ID})
		s.stop(a)
	}
}

// lookAtStarting asks the workers on which tasks of a step start up whether they
// are at work, since a hold that waits for an end does not tell.
func (s *Shard) lookAtStarting(step *stepState) {
	now := s.o.Clock()
	for _, t := range step.tasks {
		for _, a := range t.attempts {
			if a.phase == running && a.percent < fullPercent && now-a.worker.looked >= lookGap {
				a.worker.looked = now
				s.look(a.worker)
			}
		}
	}
}

// permitsDisruption reports whether a task may be interrupted: fewer others of
// its step than the bound are away.
func (s *stepState) permitsDisruption(t *task, now time.Duration) bool {
	if s.spec.MaxDisrupted == 0 {
		return true
	}
	away := 0
	for _, other := range s.tasks {
		if other != t && !other.atWork(now) {
			away++
		}
	}
	return away < s.spec.MaxDisrupted
}

const fullPercent = 100

// statusLimit is the age from which a worker's last answer says nothing of what runs there now.
const statusLimit = 2 * time.Second

// atWork reports whether a run of the task has passed its start-up and is not
// being stopped, on a worker that answers.
func (t *task) atWork(now time.Duration) bool {
	for _, a := range t.attempts {
		if a.phase == running && a.percent >= fullPercent && a.worker.answering(now) {
			return true
		}
	}
	return false
}

// answering reports whether a worker's lists are recent.
func (w *workerState) answering(now time.Duration) bool {
	return w.failures == 0 && now-w.clockAt < statusLimit
}

func (s *Shard) hasRoom(step *stepState) bool {
	p := s.newPass()
	return scheduler.ChooseNode(p.nodes, p.constraint(step)) != scheduler.None
}
