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

// Guards against a former owner that takes the chain of transactions back: its
// claim was still under way when it lost its right, and is repeated later.
func TestFormerOwnerDoesNotClaim(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(2)
		r.store.SetFault(func(rows.Tx) rowstest.Fault { return rowstest.RequestLost })
		former := r.own()
		time.Sleep(commitTimeout / 2)
		former.right.Store(false)
		r.store.SetFault(nil)
		current := r.own()
		time.Sleep(3 * commitTimeout)
		assert.Equal(t, r.submit(current, simpleJob(1, 2)).Code, OK)
		r.await(current, 1, job.Completed, 10*time.Second)
		assert.Assert(t, !current.lost.Load(), "the current owner gave the shard up")
		assert.Assert(t, !former.active, "the former owner loaded the shard")
	})
}

// Guards against a former owner that claims the chain with a right that it
// lost after it looked, for example because it was suspended meanwhile.
func TestClaimOfFormerOwnerIsRejected(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(2)
		r.store.SetFault(func(rows.Tx) rowstest.Fault { return rowstest.RequestLost })
		former := r.own()
		time.Sleep(commitTimeout / 2)
		r.store.SetFault(nil)
		current := r.own()
		time.Sleep(2 * commitTimeout) // The former one reads and writes the head row again.
		assert.Equal(t, r.submit(current, simpleJob(1, 2)).Code, OK)
		r.await(current, 1, job.Completed, 10*time.Second)
		assert.Assert(t, former.lost.Load(), "the former owner keeps the shard")
		assert.Assert(t, !current.lost.Load(), "the current owner gave the shard up")
	})
}

// Guards against a second run beside one that began late: the order reached the
// next life of its worker before that life was known.
func TestStartReachesUnknownLife(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(2)
		r.fleet.DeliverToNewIncarnation, r.fleet.Delay = true, 100*time.Millisecond
		o := r.own()
		time.Sleep(time.Second)
		var reached worker.ID
		r.fleet.SetFault(func(id worker.ID, order string) workertest.Fault {
			if order == "start" && reached == "" {
				reached = id
				return workertest.Delayed
			}
			return workertest.NoFault
		})
		assert.Equal(t, r.submit(o, simpleJob(1, 1)).Code, OK)
		time.Sleep(50 * time.Millisecond)
		r.infos = slices.Clone(r.infos)
		var reborn worker.ID
		r.fleet.WithLock(func() { reborn = reached })
		for i := range r.infos {
			if r.infos[i].ID == reborn {
				r.infos[i].StartedUnixMs++
				r.fleet.Add(r.infos[i])
			}
		}
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, r.fleet.Running(), 1)
		r.do(func() { o.SetWorkers(r.infos) })
		r.await(o, 1, job.Completed, 5*time.Second)
	})
}

// Guards against more tasks of a step away than permitted because a run that the
// former owner was stopping counts as at work.
func TestTakeoverBesideStopsOfTheFormerOwner(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(4)
		r.fleet.StopTime = testStop
		r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: time.Hour} })
		first := r.own()
		time.Sleep(time.Second)
		j := simpleJob(1, 3)
		j.Steps[0].LongRunning, j.Steps[0].MaxDisrupted, j.Steps[0].MaxPerWorker = true, 1, 1
		assert.Equal(t, r.submit(first, j).Code, OK)
		time.Sleep(testStop + statusLimit)
		var used []worker.ID
		r.do(func() {
			for id, w := range first.workers {
				if len(w.attempts) > 0 {
					used = append(used, id)
				}
			}
			first.Report(Orders{Vacate: used[:1]})
		})
		time.Sleep(100 * time.Millisecond)
		r.do(first.Stop)
		second := r.own()
		formerRun := job.TaskRef{}
		r.do(func() {
			for key := range first.workers[used[0]].attempts {
				formerRun = key.task
			}
		})
		for deadline := time.Now().Add(testHold); r.fleet.Starts(formerRun) < 2; {
			assert.Assert(t, time.Now().Before(deadline), "%v does not start again", formerRun)
			r.do(func() {
				second.Report(Orders{Vacate: used[1:2]})
				w := second.workers[used[1]]
				if w == nil {
					return // The rows are not loaded yet.
				}
				for key, a := range w.attempts {
					assert.Assert(t, a.phase != stopping, "%v is stopped while %v is", key.task, formerRun)
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// Guards against lists that are taken for newer than an order which was
// answered after they were made: the clock may show the same time for both.
func TestListsOlderThanAnOrder(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(1)
		o := r.own()
		time.Sleep(time.Second)
		assert.Equal(t, r.submit(o, simpleJob(1, 1)).Code, OK)
		r.do(func() {
			w := o.workers["w0"]
			sent := o.next()
			o.placeNow()
			var started *attempt
			for _, a := range w.attempts {
				started = a
			}
			o.startAnswered(started, w.clock, nil)
			o.applyStatus(w, sent, worker.Status{ClockTime: w.clock, StartedUnixMs: 1})
			assert.Equal(t, len(w.attempts), 1, "a run that was just started is taken for ended")
			o.applyStatus(w, o.next(), worker.Status{ClockTime: w.clock, StartedUnixMs: 1})
			assert.Equal(t, len(w.attempts), 0, "a run that is not listed is taken for running")
		})
	})
}

// Guards against one row that cannot be decoded which keeps the jobs of a whole
// pool from being served, and against a wrong word about the job of that row.
func TestUnreadableRowsAreLeftOut(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(2)
		first := r.own()
		time.Sleep(time.Second)
		for n := range 3 {
			assert.Equal(t, r.submit(first, simpleJob(n, 1)).Code, OK)
		}
		r.do(first.Stop)
		garbage := []byte{0xff, 0xff}
		r.store.Put(rows.Row{Key: first.key(tableJob, string(testID(0))), Value: garbage})
		r.store.Put(rows.Row{Key: first.key(tableProgress, string(testID(1))), Value: garbage})
		r.store.Put(rows.Row{Key: first.key(tableWorker, "w9"), Value: garbage})
		second := r.own()
		r.await(second, 2, job.Completed, 20*time.Second)
		for n := range 2 {
			assert.Equal(t, r.state(second, n).Code, Unknown)
			assert.Equal(t, r.cancel(second, n).Code, Unknown)
			assert.Equal(t, r.submit(second, simpleJob(n, 1)).Code, Unknown)
			assert.Assert(t, r.fleet.Starts(job.TaskRef{Job: testID(n)}) <= 1)
		}
	})
}
