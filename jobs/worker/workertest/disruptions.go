package workertest

import (
	"time"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker"
)

// DisruptionLimits are the rules for the interruption of long-running tasks.
type DisruptionLimits struct {
	// MaxDisrupted returns how many tasks of a task's step may be away at the same time, and
	// how many tasks the step has; 0 for a task without a limit.
	MaxDisrupted func(job.TaskRef) (limit, tasks int)
	// StartUp is the time from the start of a run until its task is at work.
	StartUp time.Duration
	// Notice is the time without work from which a task counts as away for any cause.
	Notice time.Duration
}

// presence is what is known of a task with a limit.
type presence struct {
	run     *run          // In progress, or nil.
	leftAt  time.Duration // When its last run at work ended.
	ordered bool          // An order ended that run.
}

// CheckDisruptions records a violation when an order ends a run at work while as many other
// tasks of its step are away as the limits allow. No program can prevent that an order which
// was delayed does so.
func (f *Fleet) CheckDisruptions(limits DisruptionLimits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits, f.presences = &limits, map[job.TaskRef]*presence{}
}

// Reassign ends a worker because its VM was given away by an order.
func (f *Fleet) Reassign(id worker.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	for _, r := range w.runs {
		f.noteOrderedEnd(w, r)
	}
	f.kill(w)
	w.partitioned = true
}

// percent returns the progress of the start-up of a run.
func (f *Fleet) percent(r *run) int {
	if f.limits == nil || f.limits.StartUp == 0 {
		return 100
	}
	return int(min(100, 100*(f.now()-r.startedAt)/f.limits.StartUp))
}

// isLimited reports whether the disruptions of a task are checked.
func (f *Fleet) isLimited(task job.TaskRef) bool {
	if f.limits == nil {
		return false
	}
	limit, _ := f.limits.MaxDisrupted(task)
	return limit > 0
}

func (f *Fleet) noteStart(r *run) {
	if !f.isLimited(r.task) {
		return
	}
	p := f.presences[r.task]
	if p == nil {
		p = &presence{leftAt: f.now()}
		f.presences[r.task] = p
	}
	p.run = r
}

// noteEnd records the end of a run for any cause.
func (f *Fleet) noteEnd(r *run) {
	p := f.presences[r.task]
	if p == nil || p.run != r {
		return
	}
	if f.percent(r) >= 100 {
		p.leftAt, p.ordered = f.now(), false
	}
	p.run = nil
}

// noteOrderedEnd checks and records that an order ends a run.
func (f *Fleet) noteOrderedEnd(w *simulatedWorker, r *run) {
	p := f.presences[r.task]
	if p == nil || p.run != r || f.percent(r) < 100 {
		return
	}
	limit, tasks := f.limits.MaxDisrupted(r.task)
	away := 0
	for i := range tasks {
		other := r.task
		other.Index = i
		if other != r.task && f.isAway(other) {
			away++
		}
	}
	if away >= limit && !f.orderIsLate {
		f.recordViolation("an order ends %v on %s while %d other tasks of its step are away, want fewer than %d", r.task, w.info.ID, away, limit)
	}
	p.run, p.leftAt, p.ordered = nil, f.now(), true
}

// isAway reports whether a task is away because of an order, or not at work for long.
func (f *Fleet) isAway(task job.TaskRef) bool {
	p := f.presences[task]
	if p == nil {
		return false // It has never started.
	}
	if p.run != nil && f.percent(p.run) >= 100 {
		return false
	}
	return p.ordered || f.now()-p.leftAt > f.limits.Notice
}
