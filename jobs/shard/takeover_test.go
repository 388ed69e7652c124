package shard

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/rowstest"
	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/jobs/worker/workertest"
)

// Guards against a former owner that takes over the transaction chain again: its claim
// was in flight when it lost ownership, and is repeated later.
func TestFormerOwnerDoesNotClaim(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(2)
		r.store.SetFault(func(rows.Tx) rowstest.Fault { return rowstest.RequestLost })
		former := r.startOwner()
		time.Sleep(commitTimeout / 2)
		former.ownsShard.Store(false)
		r.store.SetFault(nil)
		current := r.startOwner()
		time.Sleep(3 * commitTimeout)
		assert.Equal(t, r.submit(current, simpleJob(1, 2)).Code, OK)
		r.awaitState(current, 1, job.Completed, 10*time.Second)
		assert.Assert(t, !current.lost.Load(), "the current owner relinquished the shard")
		assert.Assert(t, !former.active, "the former owner loaded the shard")
	})
}

// Guards against a former owner that claims the transaction chain because it checked
// its ownership before it lost it, for example because it was suspended in between.
func TestClaimOfFormerOwnerIsRejected(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(2)
		r.store.SetFault(func(rows.Tx) rowstest.Fault { return rowstest.RequestLost })
		former := r.startOwner()
		time.Sleep(commitTimeout / 2)
		r.store.SetFault(nil)
		current := r.startOwner()
		time.Sleep(2 * commitTimeout) // The former owner reads and writes the head row again.
		assert.Equal(t, r.submit(current, simpleJob(1, 2)).Code, OK)
		r.awaitState(current, 1, job.Completed, 10*time.Second)
		assert.Assert(t, former.lost.Load(), "the former owner did not relinquish the shard")
		assert.Assert(t, !current.lost.Load(), "the current owner relinquished the shard")
	})
}

// Guards against a second run of a task whose start was delayed: the order reached the
// next incarnation of the worker before the owner knew of that incarnation.
func TestStartReachesUnknownIncarnation(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(2)
		r.fleet.DeliverToNewIncarnation, r.fleet.Delay = true, 100*time.Millisecond
		o := r.startOwner()
		time.Sleep(time.Second)
		var delayedOn worker.ID
		r.fleet.SetFault(func(id worker.ID, order string) workertest.Fault {
			if order == "start" && delayedOn == "" {
				delayedOn = id
				return workertest.Delayed
			}
			return workertest.NoFault
		})
		assert.Equal(t, r.submit(o, simpleJob(1, 1)).Code, OK)
		time.Sleep(50 * time.Millisecond)
		r.workerInfos = slices.Clone(r.workerInfos)
		var restarted worker.ID
		r.fleet.WithLock(func() { restarted = delayedOn })
		for i := range r.workerInfos {
			if r.workerInfos[i].ID == restarted {
				r.workerInfos[i].StartedUnixMs++
				r.fleet.Add(r.workerInfos[i])
			}
		}
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, r.fleet.Running(), 1)
		r.callOnLoop(func() { o.SetWorkers(r.workerInfos) })
		r.awaitState(o, 1, job.Completed, 5*time.Second)
	})
}

// Guards against a second run while a delayed start may reach an incarnation that is not registered.
func TestStartReachesUnregisteredIncarnation(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(2)
		r.fleet.DeliverToNewIncarnation, r.fleet.Delay = true, 3*time.Second
		o := r.startOwner()
		time.Sleep(time.Second)
		var restarted worker.ID
		r.fleet.SetFault(func(id worker.ID, order string) workertest.Fault {
			switch {
			case order == "start" && restarted == "":
				restarted = id
				return workertest.Delayed
			case id == restarted:
				return workertest.RequestLost
			}
			return workertest.NoFault
		})
		r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: 4 * time.Second} })
		assert.Equal(t, r.submit(o, simpleJob(1, 1)).Code, OK)
		time.Sleep(50 * time.Millisecond)
		infos, i := slices.Clone(r.workerInfos), 0
		r.fleet.WithLock(func() { i = slices.IndexFunc(infos, func(w worker.Info) bool { return w.ID == restarted }) })
		infos[i].StartedUnixMs++
		r.fleet.Add(infos[i])
		r.callOnLoop(func() { o.SetWorkers(infos) })
		time.Sleep(100 * time.Millisecond)
		r.callOnLoop(func() { o.SetWorkers(slices.Delete(slices.Clone(infos), i, i+1)) })
		time.Sleep(20 * time.Second)
		r.fleet.SetFault(nil)
		r.callOnLoop(func() { o.SetWorkers(infos) })
		r.awaitState(o, 1, job.Completed, 20*time.Second)
	})
}

// Guards against interrupting more tasks of a step than permitted after a takeover,
// because a run that the former owner was stopping still looks available.
func TestTakeoverDuringStopsOfFormerOwner(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(4)
		r.fleet.StopTime = testStopTime
		r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: time.Hour} })
		first := r.startOwner()
		time.Sleep(time.Second)
		j := simpleJob(1, 3)
		j.Steps[0].LongRunning, j.Steps[0].MaxDisrupted, j.Steps[0].MaxPerWorker = true, 1, 1
		assert.Equal(t, r.submit(first, j).Code, OK)
		time.Sleep(testStopTime + maxStatusAge)
		var used []worker.ID
		r.callOnLoop(func() {
			for id, w := range first.workers {
				if len(w.attempts) > 0 {
					used = append(used, id)
				}
			}
			first.ApplyInstructions(Instructions{Vacate: used[:1]})
		})
		time.Sleep(100 * time.Millisecond)
		r.callOnLoop(first.Stop)
		second := r.startOwner()
		formerRun := job.TaskRef{}
		r.callOnLoop(func() {
			for key := range first.workers[used[0]].attempts {
				formerRun = key.task
			}
		})
		for deadline := time.Now().Add(testLease); r.fleet.Starts(formerRun) < 2; {
			assert.Assert(t, time.Now().Before(deadline), "%v was not started again", formerRun)
			r.callOnLoop(func() {
				second.ApplyInstructions(Instructions{Vacate: used[1:2]})
				w := second.workers[used[1]]
				if w == nil {
					return // The rows are not loaded yet.
				}
				for key, a := range w.attempts {
					assert.Assert(t, a.phase != stopping, "%v is being stopped while %v is not running", key.task, formerRun)
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// Guards against treating a status as newer than an order that was answered after the
// status was requested. The clock may show the same time for both.
func TestStatusOlderThanAnOrder(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(1)
		o := r.startOwner()
		time.Sleep(time.Second)
		assert.Equal(t, r.submit(o, simpleJob(1, 1)).Code, OK)
		r.callOnLoop(func() {
			w := o.workers["w0"]
			sent := o.nextLogicalTime()
			o.placeWaitingTasks()
			var started *attempt
			for _, a := range w.attempts {
				started = a
			}
			o.handleStartReply(started, o.opts.Fence, w.clock, nil)
			o.applyStatus(w, sent, worker.Status{ClockTime: w.clock, StartedUnixMs: 1})
			assert.Equal(t, len(w.attempts), 1, "a run that was just started was removed as ended")
			o.applyStatus(w, o.nextLogicalTime(), worker.Status{ClockTime: w.clock, StartedUnixMs: 1})
			assert.Equal(t, len(w.attempts), 0, "a run that the status does not list was kept as running")
		})
	})
}

// Guards against one undecodable row that blocks all jobs of a pool, and against wrong
// replies about the job of that row.
func TestUnreadableRowsAreSkipped(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(2)
		first := r.startOwner()
		time.Sleep(time.Second)
		for n := range 3 {
			assert.Equal(t, r.submit(first, simpleJob(n, 1)).Code, OK)
		}
		r.callOnLoop(first.Stop)
		garbage := []byte{0xff, 0xff}
		r.store.Put(rows.Row{Key: first.rowKey(tableJob, string(testJobID(0))), Value: garbage})
		r.store.Put(rows.Row{Key: first.rowKey(tableProgress, string(testJobID(1))), Value: garbage})
		r.store.Put(rows.Row{Key: first.rowKey(tableWorker, "w9"), Value: garbage})
		second := r.startOwner()
		r.awaitState(second, 2, job.Completed, 20*time.Second)
		for n := range 2 {
			assert.Equal(t, r.lookup(second, n).Code, Unknown)
			assert.Equal(t, r.cancel(second, n).Code, Unknown)
			assert.Equal(t, r.submit(second, simpleJob(n, 1)).Code, Unknown)
			assert.Assert(t, r.fleet.Starts(job.TaskRef{Job: testJobID(n)}) <= 1)
		}
	})
}
