package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/jobs/worker/workertest"
)

// Guards against a run of an unfinished task that is stopped for a reason the log does not tell.
func TestStopIsRecordedWithReason(t *testing.T) {
	for _, c := range []struct {
		reason stopReason
		stop   func(*eventRig, *owner, *attempt)
	}{
		{stopUncertainStart, func(_ *eventRig, o *owner, a *attempt) {
			a.phase, a.uncertainSince = starting, o.nextLogicalTime()
			o.stopUncertainStarts(a.worker, o.nextLogicalTime())
		}},
		{stopJobEnded, func(_ *eventRig, o *owner, a *attempt) { o.endJob(a.task.step.job, job.Failed) }},
	} {
		t.Run(string(c.reason), func(t *testing.T) {
			withEvents(t, 1, func(r *eventRig) {
				o := r.startHour()
				var ref job.TaskRef
				r.callOnLoop(func() {
					for _, a := range o.workers["w0"].attempts {
						ref = a.ref
						c.stop(r, o, a)
						o.stopUnlessDisruptive(a) // Repeats it.
					}
				})
				wantFields(t, r.only(eventlog.StopOrdered), map[string]any{"worker": "w0", "born": 1, "task": ref, "run": 1, "reason": c.reason, "left_out": 0})
			})
		})
	}
}

// Guards against a run of a worker that is being vacated which is stopped without a line that
// says so.
func TestEvacuationStopIsRecorded(t *testing.T) {
	withEvents(t, 2, func(r *eventRig) {
		r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: time.Hour} })
		o := r.startReady()
		j := simpleJob(1, 1)
		j.Steps[0].LongRunning = true
		assert.Equal(t, r.submit(o, j).Code, OK)
		time.Sleep(3 * time.Second)
		running := r.runningOn()
		r.callOnLoop(func() { o.ApplyInstructions(Instructions{Vacate: []worker.ID{running}}) })
		time.Sleep(time.Second)
		wantFields(t, r.only(eventlog.StopOrdered), map[string]any{"worker": running, "run": 1, "reason": stopEvacuated, "listed": true, "start_answered": true})
	})
}

// Guards against a line for the stop of a run whose task is done, and against a job with many runs
// that fills the log or hides stops for another reason.
func TestStopLinesAreBounded(t *testing.T) {
	withEvents(t, 30, func(r *eventRig) {
		r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: time.Hour} })
		o := r.startReady()
		assert.Equal(t, r.submit(o, simpleJob(1, 100)).Code, OK)
		time.Sleep(3 * time.Second)
		r.callOnLoop(func() {
			first := o.jobs[testJobID(1)].steps[0].task(0)
			a := first.attempts[0]
			first.done = true
			o.traceStop(a, stopMoved)
			first.done = false
			o.stopJobAttempts(o.jobs[testJobID(1)])
			a.phase = running
			o.traceStop(a, stopMoved)
		})
		stops := r.events(eventlog.StopOrdered)
		assert.Equal(t, len(stops), maxStopLines+1)
		wantFields(t, stops[maxStopLines], map[string]any{"reason": stopMoved, "left_out": 0})
	})
}

// statusWithRuns is a status of a worker that lists runs of a job and no ends.
func statusWithRuns(w *workerState, n, firstTask, runs int) worker.Status {
	status := worker.Status{ClockTime: w.lastStatusClock + 1, StartedUnixMs: w.info.StartedUnixMs}
	for task := range runs {
		status.Running = append(status.Running, worker.RunningTask{Task: job.TaskRef{Job: testJobID(n), Index: firstTask + task}, Run: 1})
	}
	return status
}

// Guards against runs of a job that the owner does not know which are stopped without a line: under
// two owners of one shard, each stops the runs of the other in this way.
func TestStopOfUnknownRunIsRecorded(t *testing.T) {
	for _, c := range []struct {
		reason unknownTaskReason
		job    int
	}{{jobUnknown, unknownJob}, {jobUnreadable, 5}, {taskUnknown, 1}} {
		t.Run(string(c.reason), func(t *testing.T) {
			withEvents(t, 1, func(r *eventRig) {
				o := r.startReady()
				assert.Equal(t, r.submit(o, simpleJob(1, 1)).Code, OK)
				const task = 7
				var fence uint64
				r.callOnLoop(func() {
					w := o.workers["w0"]
					o.unreadable[testJobID(5)] = struct{}{}
					fence = w.fence
					o.applyStatus(w, o.nextLogicalTime(), statusWithRuns(w, c.job, task, 1))
					o.applyStatus(w, o.nextLogicalTime(), statusWithRuns(w, c.job, task, 1)) // Its stop is under way.
				})
				wantFields(t, r.only(eventlog.StopOrdered), map[string]any{
					"worker": "w0", "born": 1, "registered": true, "task": job.TaskRef{Job: testJobID(c.job), Index: task}, "run": 1, "reason": c.reason,
					"fence": o.opts.Fence, "worker_fence": fence, "generation": 1, "right": true, "listed": true, "left_out": 0,
				})
			})
		})
	}
}

// Guards against a line for a run of a job that has ended, which a worker may list for a moment longer.
func TestStopOfRunOfEndedJobHasNoLine(t *testing.T) {
	withEvents(t, 1, func(r *eventRig) {
		o := r.startReady()
		assert.Equal(t, r.submit(o, simpleJob(1, 1)).Code, OK)
		r.awaitState(o, 1, job.Completed, 10*time.Second)
		r.callOnLoop(func() {
			w := o.workers["w0"]
			o.applyStatus(w, o.nextLogicalTime(), statusWithRuns(w, 1, 0, 1))
			assert.Equal(t, len(w.attempts), 1)
		})
		assert.Equal(t, len(r.events(eventlog.StopOrdered)), 0)
	})
}

// Guards against a worker full of unknown runs that fills the log.
func TestStopLinesOfUnknownRunsAreBounded(t *testing.T) {
	const runs = 500
	withEvents(t, 1, func(r *eventRig) {
		o := r.startReady()
		list := func(firstTask, runs int) {
			r.callOnLoop(func() {
				w := o.workers["w0"]
				o.applyStatus(w, o.nextLogicalTime(), statusWithRuns(w, unknownJob, firstTask, runs))
			})
		}
		list(0, runs)
		assert.Equal(t, len(r.events(eventlog.StopOrdered)), maxStopLines)
		time.Sleep(stopLinesInterval)
		list(runs, 1)
		wantFields(t, r.events(eventlog.StopOrdered)[maxStopLines], map[string]any{"reason": jobUnknown, "left_out": runs - maxStopLines})
	})
}

// Guards against a run that makes no progress and is stopped without a line that names it.
func TestStopOfStalledRunIsRecorded(t *testing.T) {
	withEvents(t, 3, func(r *eventRig) {
		stalled := false
		r.fleet.SetRunPlanByWorker(func(id worker.ID, _ job.TaskRef) workertest.RunPlan {
			if id == "w0" && stalled {
				return workertest.RunPlan{Duration: time.Hour}
			}
			return workertest.RunPlan{Duration: 500 * time.Millisecond}
		})
		o := r.startReady()
		for n := range 8 {
			assert.Equal(t, r.submit(o, simpleJob(n, 3)).Code, OK)
		}
		time.Sleep(3 * time.Second)
		r.fleet.WithLock(func() { stalled = true })
		for n := range 4 {
			assert.Equal(t, r.submit(o, simpleJob(20+n, 3)).Code, OK)
		}
		time.Sleep(9 * time.Second)
		stops := r.events(eventlog.StopOrdered)
		assert.Assert(t, len(stops) > 0)
		for _, e := range stops {
			wantFields(t, e, map[string]any{"worker": "w0", "reason": stopStalled, "listed": true})
		}
	})
}
