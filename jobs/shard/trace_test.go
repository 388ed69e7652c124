package shard

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/jobs/worker/workertest"
)

// unknownJob is the number of a job that is never submitted.
const unknownJob = 77

// eventRig is a rig whose owners record their events.
type eventRig struct {
	*rig
	log    *eventlog.Log
	counts counts // Of the owners that startReady started.
}

func withEvents(t *testing.T, workers int, test func(*eventRig)) {
	onFakeTime(t, func(r *rig) {
		log, err := eventlog.New(eventlog.Options{Process: "p", Writer: io.Discard, Capacity: 1 << 16})
		assert.NilError(t, err)
		r.recorder = log
		r.addWorkers(workers)
		test(&eventRig{r, log, counts{}})
	})
}

func (r *eventRig) events(code eventlog.Code) (found []eventlog.Event) {
	for _, e := range r.log.Timeline(0, 1<<16) {
		if e.Code == code {
			found = append(found, e)
		}
	}
	return found
}

// only returns the single event with a code, and fails the test if there is none or more.
func (r *eventRig) only(code eventlog.Code) eventlog.Event {
	r.t.Helper()
	found := r.events(code)
	assert.Equal(r.t, len(found), 1, "%v", r.log.Timeline(0, 1<<16))
	return found[0]
}

// wantFields checks fields of an event by their text.
func wantFields(t *testing.T, e eventlog.Event, want map[string]any) {
	t.Helper()
	for name, value := range want {
		assert.Check(t, fmt.Sprint(e.Fields[name]) == fmt.Sprint(value), "field %s of %v, want %v", name, e, value)
	}
}

// startReady starts an owner and waits until it can start tasks.
func (r *eventRig) startReady() *owner {
	o := r.startOwner()
	time.Sleep(time.Second)
	r.callOnLoop(func() { o.opts.Counts = r.counts })
	return o
}

// counts counts by kind and label.
type counts map[string]int

func (c counts) CountRemovedRun(reason string)    { c["removed "+reason]++ }
func (c counts) CountMissingEnds(n uint64)        { c["missing"] += int(n) }
func (c counts) CountRestartedTask(reason string) { c["task "+reason]++ }
func (c counts) CountWorkerRestart(seenIn string) { c["worker "+seenIn]++ }

// count reads a count on the loop that changes it.
func (r *eventRig) count(name string) (n int) {
	r.callOnLoop(func() { n = r.counts[name] })
	return n
}

// startHour starts an owner and a job with one task that runs for an hour.
func (r *eventRig) startHour() *owner {
	r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: time.Hour} })
	o := r.startReady()
	assert.Equal(r.t, r.submit(o, simpleJob(1, 1)).Code, OK)
	time.Sleep(3 * time.Second) // The worker has listed the run.
	return o
}

var removalCases = []struct {
	reason removalReason
	remove func(*eventRig, *owner)
}{
	{notListed, func(r *eventRig, o *owner) {
		o.ownsShard.Store(false) // The run still executes, so the task must not start again.
		w := o.workers["w0"]
		o.applyStatus(w, o.nextLogicalTime(), worker.Status{ClockTime: w.lastStatusClock + 1, StartedUnixMs: 1})
	}},
	{workerRestarted, func(r *eventRig, o *owner) {
		r.workerInfos[0].StartedUnixMs = 9
		r.fleet.Add(r.workerInfos[0])
		o.SetWorkers(r.workerInfos)
	}},
	{leaseExpired, func(r *eventRig, o *owner) { r.fleet.SetPartitioned("w0", true) }},
	{workerGone, func(r *eventRig, o *owner) {
		r.fleet.Kill("w0")
		o.removeWorker(o.workers["w0"], "replaced")
	}},
}

// Guards against a run that stops counting for a reason that the log does not tell.
func TestRemovedRunIsRecordedWithReason(t *testing.T) {
	for _, c := range removalCases {
		t.Run(string(c.reason), func(t *testing.T) {
			withEvents(t, 1, func(r *eventRig) {
				o := r.startHour()
				r.callOnLoop(func() { c.remove(r, o) })
				time.Sleep(2 * testLease)
				run := job.TaskRef{Job: testJobID(1)}.String() + "/1"
				wantFields(t, r.only(eventlog.RunRemoved), map[string]any{"worker": "w0", "born": 1, "reason": c.reason, "runs": run, "running": 1, "applied": 0})
				assert.Equal(t, r.count("removed "+string(c.reason)), 1)
				if c.reason == notListed {
					return
				}
				r.addWorkers(1)
				r.callOnLoop(func() { o.SetWorkers(r.workerInfos) })
				time.Sleep(time.Second)
				wantFields(t, r.only(eventlog.TasksRestarted), map[string]any{"former": "0/1@w0:" + string(c.reason)})
				assert.Equal(t, r.count("task "+string(c.reason)), 1)
			})
		})
	}
}

// Guards against a lost start order that looks like a run whose end is missing.
func TestRunThatNeverBeganIsTold(t *testing.T) {
	withEvents(t, 1, func(r *eventRig) {
		lost := false
		r.fleet.SetFault(func(_ worker.ID, order string) workertest.Fault {
			if order != "start" || lost {
				return workertest.NoFault
			}
			lost = true
			return workertest.RequestLost
		})
		o := r.startReady()
		assert.Equal(t, r.submit(o, simpleJob(1, 1)).Code, OK)
		r.awaitState(o, 1, job.Completed, 10*time.Second)
		wantFields(t, r.only(eventlog.RunRemoved), map[string]any{"reason": neverBegan, "stopping": 1, "starting": 0, "running": 0})
	})
}

// applyEnds applies a status of w0 with ends of runs of a job.
func (r *eventRig) applyEnds(o *owner, n int, numbers ...uint64) {
	r.callOnLoop(func() {
		w := o.workers["w0"]
		status := worker.Status{ClockTime: w.lastStatusClock + 1, StartedUnixMs: w.info.StartedUnixMs}
		for _, number := range numbers {
			status.EndedRuns = append(status.EndedRuns, worker.RunEnd{Number: number, Task: job.TaskRef{Job: testJobID(n)}, Run: 1, Outcome: worker.Done})
		}
		o.applyStatus(w, o.nextLogicalTime(), status)
	})
}

// Guards against ends that a worker forgot before they were listed, without a trace in the log.
func TestMissingEndsAreRecorded(t *testing.T) {
	withEvents(t, 1, func(r *eventRig) {
		first := r.startReady()
		r.applyEnds(first, unknownJob, 3, 4)
		r.applyEnds(first, unknownJob, 4, 5)
		r.callOnLoop(first.Stop)
		wantFields(t, r.only(eventlog.EndsMissing), map[string]any{"worker": "w0", "born": 1, "expected": 1, "listed": 3, "applied": 0, "acked": 0})
		assert.Equal(t, r.count("missing"), 2)
		wantFields(t, r.events(eventlog.EndIgnored)[0], map[string]any{
			"number": 3, "reason": jobUnknown, "outcome": "done", "run": 1, "task": job.TaskRef{Job: testJobID(unknownJob)},
			"fence": 1, "worker_fence": 1, "generation": 1, "registered": true,
		})
		second := r.startReady()
		r.applyEnds(second, unknownJob, 6)
		r.only(eventlog.EndsMissing)
	})
}

// Guards against one fault that fills the log with the ends of unknown jobs.
func TestIgnoredEndsAreBounded(t *testing.T) {
	withEvents(t, 1, func(r *eventRig) {
		o := r.startReady()
		for n := range uint64(100) {
			r.applyEnds(o, unknownJob, n+1)
		}
		assert.Equal(t, len(r.events(eventlog.EndIgnored)), maxIgnoredEnds)
		time.Sleep(ignoredEndsInterval)
		r.applyEnds(o, unknownJob, 101)
		wantFields(t, r.events(eventlog.EndIgnored)[maxIgnoredEnds], map[string]any{"left_out": 100 - maxIgnoredEnds})
	})
}

// Guards against a restart whose line does not tell the incarnations and their acknowledged ends apart.
func TestRestartNamesBothIncarnations(t *testing.T) {
	withEvents(t, 1, func(r *eventRig) {
		o := r.startReady()
		assert.Equal(t, r.submit(o, simpleJob(1, 3)).Code, OK)
		r.awaitState(o, 1, job.Completed, 10*time.Second)
		time.Sleep(time.Second)
		r.workerInfos[0].StartedUnixMs = 9
		r.fleet.Add(r.workerInfos[0])
		r.callOnLoop(func() { o.SetWorkers(r.workerInfos) })
		assert.Equal(t, r.count("worker registry"), 1)
		wantFields(t, r.only(eventlog.WorkerRestarted), map[string]any{"born": 9, "former_born": 1, "applied": 3, "stored": 3, "acked": 3, "seen_in": seenInRegistry})
		r.applyEnds(o, unknownJob, 4) // The new incarnation was told to forget its first 3 ends.
		wantFields(t, r.only(eventlog.EndsMissing), map[string]any{"born": 9, "expected": 1, "listed": 4, "acked_before_restart": 3})
	})
}

// Guards against a takeover whose lines do not tell what was stored last, loaded, and not heard.
func TestTakeoverIsTraced(t *testing.T) {
	withEvents(t, 2, func(r *eventRig) {
		r.fleet.SetRunPlan(func(task job.TaskRef, _ int) workertest.RunPlan {
			if task.Step == 1 {
				return workertest.RunPlan{Duration: time.Hour}
			}
			return workertest.RunPlan{Duration: time.Second}
		})
		first := r.startReady()
		j := simpleJob(1, 8)
		j.Steps = append(j.Steps, job.Step{Count: 1, Resources: job.Resources{CPU: 1000}, After: []int{0}, LongRunning: true})
		assert.Equal(t, r.submit(first, j).Code, OK)
		time.Sleep(4 * time.Second)
		stored := r.events(eventlog.EndsStored)
		assert.Assert(t, len(stored) > 0)
		var sequence uint64
		r.callOnLoop(func() { sequence = first.journal.sequence; first.Stop() })
		r.fleet.Kill("w1")
		second := r.startOwner()
		time.Sleep(2 * testLease)
		r.applyEnds(second, 1, 100) // An end that the former owner stored and did not acknowledge.
		assert.Equal(t, len(r.events(eventlog.EndIgnored)), 0)
		wantFields(t, r.events(eventlog.HeadClaimed)[1], map[string]any{"former_owner": "owner-1", "former_sequence": sequence, "generation": 2})
		wantFields(t, r.events(eventlog.ShardLoaded)[1], map[string]any{"done_tasks": 8, "ended_jobs": 0, "jobs": 1})
		wantFields(t, r.only(eventlog.WorkerWaitExpired), map[string]any{"worker": "w1", "registered": true})
	})
}

// Guards against a worker over its capacity that the log does not mention, or with every status.
func TestWorkerOverCapacityIsRecordedOnce(t *testing.T) {
	withEvents(t, 1, func(r *eventRig) {
		o := r.startHour()
		r.callOnLoop(func() {
			w := o.workers["w0"]
			w.info.Capacity.CPU = 500
			o.applyStatus(w, 0, worker.Status{ClockTime: w.lastStatusClock, StartedUnixMs: 1})
			o.applyStatus(w, 0, worker.Status{ClockTime: w.lastStatusClock, StartedUnixMs: 1})
		})
		wantFields(t, r.only(eventlog.WorkerOverCapacity), map[string]any{"used_cpu": 1000, "capacity_cpu": 500, "runs": 1, "found": 0})
	})
}

// Guards against stored ends that the log leaves out because more workers than fit into a line ended runs.
func TestStoredEndsOfAllWorkersAreRecorded(t *testing.T) {
	const workers = 2*maxWorkersPerLine + 1
	withEvents(t, workers, func(r *eventRig) {
		o := r.startReady()
		assert.Equal(t, r.submit(o, simpleJob(1, 4*workers)).Code, OK)
		time.Sleep(8 * time.Second)
		stored := map[string]bool{}
		for _, e := range r.events(eventlog.EndsStored) {
			for _, number := range strings.Fields(e.Fields["numbers"].(string)) {
				stored[number] = true
			}
		}
		for _, info := range r.workerInfos {
			assert.Assert(t, stored[string(info.ID)+":4"], "%v", stored)
		}
	})
}

// Guards against events for diagnosis that grow with the load while there are no faults.
func TestTraceVolumeWithoutFaults(t *testing.T) {
	withEvents(t, 10, func(r *eventRig) {
		r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: 300 * time.Millisecond} })
		o := r.startReady()
		began := time.Now()
		const jobs = 300
		for n := range jobs {
			assert.Equal(t, r.submit(o, simpleJob(n, 4)).Code, OK)
			time.Sleep(90 * time.Millisecond)
		}
		r.awaitState(o, jobs-1, job.Completed, 10*time.Second)
		seconds := time.Since(began).Seconds()
		counts := map[string]int{}
		for _, e := range r.log.Timeline(0, 1<<16) {
			counts[e.Name]++
		}
		t.Logf("%d events in %.0f s: %v", r.log.Recorded(), seconds, counts)
		assert.Assert(t, float64(counts["ends-stored"]) <= seconds+1)
		for _, code := range []eventlog.Code{eventlog.RunRemoved, eventlog.EndsMissing, eventlog.TasksRestarted, eventlog.EndIgnored, eventlog.WorkerWaitExpired, eventlog.WorkerOverCapacity, eventlog.StatusDropped, eventlog.EndsForgotten, eventlog.StopOrdered} {
			assert.Equal(t, len(r.events(code)), 0)
		}
	})
}
