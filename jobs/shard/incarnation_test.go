package shard

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/jobs/worker/workertest"
)

// restartKnownWithin is the time within which an owner learns from a worker that it
// restarted: its hold in flight gets no reply, and the next one is answered.
const restartKnownWithin = holdWaitIdle + holdTimeout + holdRetryDelay + 100*time.Millisecond

// countEvents returns the number of events of a code, of owners whose recorder is events.
func (r *rig) countEvents(events codeCounter, code eventlog.Code) (n int) {
	r.callOnLoop(func() { n = events[code] })
	return n
}

// restartInFleet restarts a worker under its ID. The registry does not change.
func (r *rig) restartInFleet(n int, capacity job.Resources) worker.Info {
	info := r.workerInfos[n]
	info.StartedUnixMs++
	info.Capacity = capacity
	r.fleet.Add(info)
	return info
}

// setRegistryEntry changes the registry entry of one worker.
func (r *rig) setRegistryEntry(o *owner, n int, info worker.Info) {
	r.workerInfos = slices.Clone(r.workerInfos)
	r.workerInfos[n] = info
	r.publishRegistry(o)
}

func (r *rig) publishRegistry(o *owner) {
	o.callOnLoop(func() { o.SetWorkers(r.workerInfos) })
}

// Guards against a registry entry of a former incarnation that replaces the known one, so
// that the next status looks like one more restart and drops the runs in progress.
func TestOldRegistryEntryIsNotARestart(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		events := codeCounter{}
		r.recorder = events
		r.addWorkers(1)
		o := r.startOwner()
		time.Sleep(time.Second)
		restarted := r.restartInFleet(0, r.workerInfos[0].Capacity)
		time.Sleep(restartKnownWithin)
		assert.Equal(t, r.countEvents(events, eventlog.WorkerRestarted), 1)
		r.publishRegistry(o) // Another worker's entry has changed.
		time.Sleep(restartKnownWithin)
		assert.Equal(t, r.countEvents(events, eventlog.WorkerRestarted), 1, "an old entry looks like a restart")
		r.setRegistryEntry(o, 0, restarted)
		assert.Equal(t, r.submit(o, simpleJob(1, 4)).Code, OK)
		r.awaitState(o, 1, job.Completed, 4*time.Second)
		assert.Equal(t, r.countEvents(events, eventlog.WorkerRestarted), 1)
	})
}

// Guards against tasks for a new incarnation by the capacity of the former one, whose
// registry entry is the last that was read.
func TestSmallerIncarnationGetsNoTasksBeforeItsEntry(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(1)
		o := r.startOwner()
		time.Sleep(time.Second)
		half := job.Resources{CPU: 2000, MemoryMB: 4000}
		restarted := r.restartInFleet(0, half)
		time.Sleep(restartKnownWithin)
		r.publishRegistry(o)
		assert.Equal(t, r.submit(o, simpleJob(1, 4)).Code, OK)
		time.Sleep(time.Second)
		assert.Equal(t, r.fleet.Running(), 0, "tasks were started before the capacity is known")
		r.setRegistryEntry(o, 0, restarted)
		r.awaitState(o, 1, job.Completed, 6*time.Second)
	})
}

// Guards against tasks by the capacity of an entry that names no start time, which may be
// that of a former incarnation, and against restarts that such an entry hides.
func TestEntryWithoutStartTimeIsNotUsed(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		events := codeCounter{}
		r.recorder = events
		r.addWorkers(1)
		complete := r.workerInfos[0]
		r.workerInfos[0].StartedUnixMs = 0
		o := r.startOwner()
		time.Sleep(time.Second)
		assert.Equal(t, r.submit(o, simpleJob(1, 1)).Code, OK)
		time.Sleep(time.Second)
		assert.Equal(t, r.fleet.Running(), 0, "a task was started by an entry without a start time")
		complete.StartedUnixMs++
		r.fleet.Add(complete)
		time.Sleep(restartKnownWithin)
		assert.Equal(t, r.countEvents(events, eventlog.WorkerRestarted), 1)
		r.setRegistryEntry(o, 0, complete)
		r.awaitState(o, 1, job.Completed, 4*time.Second)
	})
}

// Guards against an owner that counts an incarnation as unused because the row of the
// worker names the former one, while a start of the former owner runs there.
func TestTakeoverWaitsForIncarnationThatItsRowDoesNotName(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(1)
		r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: 3 * time.Second} })
		first := r.startOwner()
		time.Sleep(time.Second)
		restarted := r.restartInFleet(0, r.workerInfos[0].Capacity)
		assert.Equal(t, r.submit(first, simpleJob(1, 1)).Code, OK)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, r.fleet.Running(), 1)
		first.callOnLoop(first.Stop)
		r.workerInfos = []worker.Info{restarted}
		r.addWorkers(1)
		r.fleet.SetFault(func(id worker.ID, _ string) workertest.Fault {
			if id == restarted.ID {
				return workertest.RequestLost
			}
			return workertest.NoFault
		})
		second := r.startOwner()
		time.Sleep(2 * time.Second)
		r.fleet.SetFault(nil)
		r.awaitState(second, 1, job.Completed, 3*testLease)
	})
}

// Guards against runs that are not counted, and start again, because a restart of their
// worker drops starts that the new incarnation had answered before the owner knew of it.
func TestRestartKeepsStartsAnsweredByNewIncarnation(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(1)
		r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: 3 * time.Second} })
		o := r.startOwner()
		time.Sleep(time.Second)
		restarted := r.restartInFleet(0, r.workerInfos[0].Capacity)
		var former *workerState
		var sent logicalTime
		var status worker.Status
		o.callOnLoop(func() {
			former, sent = o.workers["w0"], o.nextLogicalTime()
			status = worker.Status{ClockTime: o.opts.Clock(), StartedUnixMs: restarted.StartedUnixMs}
		})
		assert.Equal(t, r.submit(o, simpleJob(1, 4)).Code, OK)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, r.fleet.Running(), 4)
		o.callOnLoop(func() { o.handleHoldReply(former, sent, o.opts.Clock(), status, nil) })
		r.setRegistryEntry(o, 0, restarted)
		r.awaitState(o, 1, job.Completed, 10*time.Second)
	})
}
