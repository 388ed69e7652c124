package shard

import (
	"time"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/scheduler"
	"peridotcrank.dev/jobs/worker"
)

// jobState is a job that has not ended, or whose end is not committed yet.
type jobState struct {
	job      *job.Job
	sequence uint64 // Order of arrival at this owner.
	// stored is set once the job's row is committed.
	stored bool
	// inherited is set for jobs of a former owner, whose tasks may be running.
	inherited bool
	started   bool
	lasting   bool // A step runs until the job is cancelled.
	submitted time.Duration
	work      scheduler.RemainingWork // As of workOpen open steps.
	workOpen  int
	// outcome is the state in which the job ends, or 0; it is shown once it is committed.
	outcome job.State
	steps   []*stepState // All steps of occurrence 0, then of 1, and so on.
	open    int          // Steps with tasks that are not done.
	waiters []func(Answer)
	cancels []func(Answer)
}

func newJobState(j *job.Job) *jobState {
	js := &jobState{job: j, lasting: j.LongRunning()}
	for occurrence := range j.Occurrences() {
		for i := range j.Steps {
			js.steps = append(js.steps, newStepState(js, occurrence, i))
		}
	}
	js.open = len(js.steps)
	return js
}

func (js *jobState) step(occurrence, number int) *stepState {
	return js.steps[occurrence*len(js.job.Steps)+number]
}

func (js *jobState) task(ref job.TaskRef) *task {
	if ref.Occurrence >= js.job.Occurrences() || ref.Step >= len(js.job.Steps) {
		return nil
	}
	step := js.step(ref.Occurrence, ref.Step)
	if ref.Index >= len(step.tasks) {
		return nil
	}
	return step.tasks[ref.Index]
}

// alive reports whether tasks of the job may start.
func (js *jobState) alive() bool { return js.stored && js.outcome == 0 }

// stepState is a step in one occurrence of a job.
type stepState struct {
	job        *jobState
	spec       *job.Step
	occurrence int
	number     int
	tasks      []*task
	done       int // Tasks that ended as done.
	idle       int // Tasks that are not done and have no attempt.
	released   bool
	releasedAt time.Duration // When its tasks could first start.
	due        time.Time
	failures   map[int]bool // Runs of a gang that failed.
	advice     stepAdvice
}

func newStepState(js *jobState, occurrence, number int) *stepState {
	spec := &js.job.Steps[number]
	step := &stepState{
		job: js, spec: spec, occurrence: occurrence, number: number,
		tasks: make([]*task, spec.Count), idle: spec.Count, due: js.job.Due(occurrence),
	}
	tasks := make([]task, spec.Count)
	for i := range tasks {
		tasks[i] = task{step: step, index: i}
		step.tasks[i] = &tasks[i]
	}
	return step
}

func (s *stepState) complete() bool { return s.done == len(s.tasks) }

// dependenciesDone reports whether all steps that must come first are complete.
func (s *stepState) dependenciesDone() bool {
	for _, before := range s.spec.After {
		if !s.job.step(s.occurrence, before).complete() {
			return false
		}
	}
	return true
}

type task struct {
	step      *stepState
	index     int
	done      bool
	run       int // Highest run number that was used.
	failures  map[int]bool
	saved     string
	attempts  []*attempt
	failedOn  []worker.ID // Workers on which a run has failed.
	restarted bool        // A stalled run of it was stopped.
	// notBefore delays the next start, on the shard's clock.
	notBefore time.Duration
}

func (t *task) ref() job.TaskRef {
	return job.TaskRef{Job: t.step.job.job.ID, Occurrence: t.step.occurrence, Step: t.step.number, Index: t.index}
}

func (t *task) remove(a *attempt) {
	for i, other := range t.attempts {
		if other == a {
			t.attempts = append(t.attempts[:i], t.attempts[i+1:]...)
			break
		}
	}
	if len(t.attempts) == 0 && !t.done {
		t.step.idle++
	}
}

func (t *task) add(a *attempt) {
	if len(t.attempts) == 0 && !t.done {
		t.step.idle--
	}
	t.attempts = append(t.attempts, a)
	t.run = max(t.run, a.run)
}

type phase uint8

const (
	starting phase = iota
	running
	stopping
)

// moment orders the events of a shard. The clock may show the same time for
// several of them.
type moment uint64

type runKey struct {
	task job.TaskRef
	run  int
}

// attempt is a run of a task that was ordered, until it is certain that it does not run.
type attempt struct {
	task   *task // nil for a run of an unknown job.
	ref    job.TaskRef
	run    int
	worker *workerState
	charge job.Resources
	phase  phase
	// answered is when the last order about the run was answered, 0 before.
	answered moment
	sent     time.Duration
	// doubted is when a start was given up without an answer, 0 before.
	doubted moment
	began   time.Duration // When the run was first seen.
	// ordering is set while a stop is under way.
	ordering bool
	percent  int
	measure  float64
	pace     int // Share at which the run was last told to work.
	pacing   bool
}

func (a *attempt) key() runKey { return runKey{a.ref, a.run} }

// workerState is one life of a worker.
type workerState struct {
	info       worker.Info
	registered bool // The platform's registry lists it.
	recorded   bool // Its row is committed, so that a later owner asks it.
	recording  bool
	accounted  bool          // It answered this owner, or its leases have passed.
	vacating   time.Duration // Until when it gets no new tasks.
	due        time.Duration // Until when its VM counts as due for maintenance.
	asking     bool          // Asked for its lists since its lease passed.
	looked     time.Duration // When its lists were last asked for beside a hold.
	since      time.Duration // When this life became known.
	used       job.Resources
	attempts   map[runKey]*attempt

	clock   worker.Clock  // Last reading of its clock.
	clockAt time.Duration // When the reading arrived.
	maxDue  worker.Clock  // Latest end of its lease that was sent.

	processed uint64 // Number of the last end that was applied.
	committed uint64 // Number of the last end whose consequences are committed.
	holding   bool
	holdSent  time.Duration
	failures  int // Holds in a row without an answer.
	restUntil time.Duration
	silent    int           // Starts in a row without an answer.
	endedAt   time.Duration // When a run that had ended was last listed.
	// failedJobs are the jobs of which a run has failed here since one ended as done.
	failedJobs map[job.ID]struct{}
	faults     int // How often the worker rested as faulty since then.
	// listed is the worker's clock in the last lists that were applied.
	listed worker.Clock

	pace    int // Share at which filling tasks work.
	pacedAt time.Duration
}

func (w *workerState) target() worker.Target {
	return worker.Target{ID: w.info.ID, Address: w.info.Address}
}

// clockNow is the least that the worker's clock can show now.
func (w *workerState) clockNow(now time.Duration) worker.Clock {
	return w.clock + time.Duration(float64(now-w.clockAt)*clockRate)
}

// leaseEnd is the latest time at which the worker's lease passes, on the shard's clock.
func (w *workerState) leaseEnd() time.Duration {
	left := max(w.maxDue-w.clock, 0)
	return w.clockAt + time.Duration(float64(left)/clockRate) + leaseMargin
}

// leasePassed reports whether the lease of a worker that does not answer has passed.
func (w *workerState) leasePassed(now time.Duration) bool {
	return w.failures > 0 && len(w.attempts) > 0 && w.clock > 0 && now > w.leaseEnd()
}

func (w *workerState) free() job.Resources { return w.info.Capacity.Minus(w.used) }

func (w *workerState) rack() string {
	if len(w.info.Labels) < 2 {
		return ""
	}
	return w.info.Labels[len(w.info.Labels)-1]
}

// ended is a job whose end is committed.
type ended struct {
	state job.State
	queue job.Queue
	at    time.Time
}
