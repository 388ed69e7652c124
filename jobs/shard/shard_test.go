package shard

import (
	"context"
	"errors"
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

// Guards against steps that start before those they depend on, and against a
// job that is shown as completed late or not at all.
func TestStepsRunInOrder(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(2)
		o := r.own()
		j := simpleJob(1, 3)
		j.Steps = append(j.Steps, job.Step{Count: 2, Resources: job.Resources{CPU: 500}, After: []int{0}})
		time.Sleep(time.Second)
		assert.Equal(t, r.submit(o, j).Code, OK)
		time.Sleep(900 * time.Millisecond)
		assert.Equal(t, r.fleet.Running(), 3)
		assert.Equal(t, r.state(o, 1).State, job.Running)
		r.await(o, 1, job.Completed, 1500*time.Millisecond)
		assert.Equal(t, r.fleet.Done(), 5)
	})
}

// Guards against a job that is acknowledged before it is stored, and against a
// transaction that is applied twice when its answer is lost or it comes late.
func TestCommitsWithoutAnswer(t *testing.T) {
	for _, fault := range []rowstest.Fault{rowstest.ResponseLost, rowstest.Delayed, rowstest.RequestLost, rowstest.Rejected} {
		onFakeTime(t, func(r *rig) {
			r.addWorkers(2)
			o := r.own()
			time.Sleep(time.Second)
			n := 0
			r.store.SetFault(func(rows.Tx) rowstest.Fault {
				n++
				if n%2 == 1 {
					return fault
				}
				return rowstest.NoFault
			})
			for i := range 5 {
				assert.Equal(t, r.submit(o, simpleJob(i, 1)).Code, OK)
				page, err := rows.ReadAll(context.Background(), r.store, tableJob, testPool)
				assert.NilError(t, err)
				assert.Assert(t, len(page.Rows) > 0, "the job is acknowledged and not stored")
			}
			for i := range 5 {
				r.await(o, i, job.Completed, 20*time.Second)
			}
			assert.Assert(t, !o.lost.Load())
		})
	}
}

// Guards against a job that runs although its submission was refused.
func TestRefusedJobNeverRuns(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(1)
		o := r.own()
		time.Sleep(time.Second)
		r.do(func() { o.right.Store(false) })
		assert.Equal(t, r.submit(o, simpleJob(1, 1)).Code, Refused)
		r.do(func() { o.right.Store(true) })
		time.Sleep(10 * time.Second)
		assert.Equal(t, r.state(o, 1).Code, NotFound)
		assert.Equal(t, r.fleet.Done(), 0)
	})
}

// Guards against new jobs that wait for a store that does not answer.
func TestJobsAreRefusedWhileTheStoreIsSilent(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(1)
		o := r.own()
		time.Sleep(time.Second)
		r.store.SetFault(func(rows.Tx) rowstest.Fault { return rowstest.RequestLost })
		r.do(func() { o.Submit(simpleJob(1, 1), func(Answer) {}) })
		time.Sleep(2 * storeSlow)
		assert.Equal(t, r.submit(o, simpleJob(2, 1)).Code, Refused)
	})
}

// Guards against a second run of a job whose submission is repeated, before
// and after its end, and against a body that replaces the first one.
func TestRepeatedSubmission(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(1)
		o := r.own()
		time.Sleep(time.Second)
		first := make(chan Answer, 2)
		r.do(func() {
			o.Submit(simpleJob(1, 1), func(a Answer) { first <- a })
			o.Submit(simpleJob(1, 4), func(a Answer) { first <- a })
		})
		assert.Equal(t, (<-first).Code, OK)
		assert.Equal(t, (<-first).Code, OK)
		r.await(o, 1, job.Completed, 3*time.Second)
		assert.Equal(t, r.submit(o, simpleJob(1, 2)).Code, OK)
		time.Sleep(3 * time.Second)
		assert.Equal(t, r.fleet.Done(), 1)
	})
}

// Guards against two runs of a task when a start has no answer and is carried
// out seconds later.
func TestUnansweredStart(t *testing.T) {
	for _, fault := range []workertest.Fault{workertest.ResponseLost, workertest.Delayed, workertest.RequestLost} {
		onFakeTime(t, func(r *rig) {
			r.addWorkers(2)
			o := r.own()
			time.Sleep(time.Second)
			failed := 0
			r.fleet.SetFault(func(_ worker.ID, order string) workertest.Fault {
				if order == "start" && failed < 3 {
					failed++
					return fault
				}
				return workertest.NoFault
			})
			assert.Equal(t, r.submit(o, simpleJob(1, 3)).Code, OK)
			r.await(o, 1, job.Completed, 8*time.Second)
			time.Sleep(5 * time.Second)
			assert.Equal(t, r.fleet.Running(), 0)
		})
	}
}

// Guards against a sound worker that gets no tasks for a while because single
// answers were lost, and against a lost start that is settled late.
func TestLostAnswerIsSettledSoon(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(1)
		o := r.own()
		time.Sleep(time.Second)
		first := true
		r.fleet.SetFault(func(_ worker.ID, order string) workertest.Fault {
			if order == "start" && first {
				first = false
				return workertest.RequestLost
			}
			return workertest.NoFault
		})
		assert.Equal(t, r.submit(o, simpleJob(1, 2)).Code, OK)
		r.await(o, 1, job.Completed, time.Second+orderTimeout+200*time.Millisecond)
	})
}

// Guards against work that is thrown away because only the answer to its start
// was lost.
func TestRunWithLostAnswerGoesOn(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(2)
		o := r.own()
		time.Sleep(time.Second)
		r.fleet.SetFault(func(_ worker.ID, order string) workertest.Fault {
			if order == "start" {
				return workertest.ResponseLost
			}
			return workertest.NoFault
		})
		assert.Equal(t, r.submit(o, simpleJob(1, 3)).Code, OK)
		r.await(o, 1, job.Completed, time.Second+orderTimeout)
		for i := range 3 {
			assert.Equal(t, r.fleet.Starts(job.TaskRef{Job: testID(1), Index: i}), 1)
		}
	})
}

// Guards against a task that starts elsewhere while a worker that does not
// answer may still run it, and against one that never starts again.
func TestDarkWorker(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(2)
		r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: 8 * time.Second} })
		o := r.own()
		time.Sleep(time.Second)
		assert.Equal(t, r.submit(o, simpleJob(1, 4)).Code, OK)
		time.Sleep(time.Second)
		for _, info := range r.infos {
			r.fleet.SetPartitioned(info.ID, true)
		}
		time.Sleep(testHold + 2*time.Second)
		r.fleet.SetPartitioned("w1", false)
		r.await(o, 1, job.Completed, 12*time.Second)
	})
}

// Guards against runs of a former life that are taken for running.
func TestRebornWorker(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(1)
		o := r.own()
		time.Sleep(time.Second)
		assert.Equal(t, r.submit(o, simpleJob(1, 2)).Code, OK)
		time.Sleep(500 * time.Millisecond)
		r.infos = slices.Clone(r.infos)
		r.infos[0].StartedUnixMs = 2
		r.fleet.Add(r.infos[0])
		r.do(func() { o.SetWorkers(r.infos) })
		r.await(o, 1, job.Completed, 4*time.Second)
	})
}

// Guards against a start without answer that reaches a later life of the worker
// after the task was started again.
func TestLateStartReachesNextLife(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(1)
		r.fleet.DeliverToNewIncarnation = true
		r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: 20 * time.Second} })
		o := r.own()
		time.Sleep(time.Second)
		first := true
		r.fleet.SetFault(func(_ worker.ID, order string) workertest.Fault {
			if order == "start" && first {
				first = false
				return workertest.Delayed
			}
			return workertest.NoFault
		})
		assert.Equal(t, r.submit(o, simpleJob(1, 1)).Code, OK)
		time.Sleep(orderTimeout / 2) // Before the start is given up.
		r.infos = slices.Clone(r.infos)
		r.infos[0].StartedUnixMs = 2
		r.fleet.Add(r.infos[0])
		r.do(func() { o.SetWorkers(r.infos) })
		r.await(o, 1, job.Completed, 40*time.Second)
		assert.Equal(t, r.fleet.Starts(job.TaskRef{Job: testID(1)}), 1)
	})
}

// Guards against tasks that go on after a cancelling was acknowledged, and
// against a start in flight that outlives it.
func TestCancel(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(2)
		r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: time.Minute} })
		o := r.own()
		time.Sleep(time.Second)
		r.fleet.SetFault(func(_ worker.ID, order string) workertest.Fault {
			if order == "start" {
				return workertest.ResponseLost
			}
			return workertest.NoFault
		})
		assert.Equal(t, r.submit(o, simpleJob(1, 4)).Code, OK)
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, r.cancel(o, 1).Code, OK)
		time.Sleep(time.Second)
		assert.Equal(t, r.fleet.Running(), 0)
		assert.Equal(t, r.state(o, 1).State, job.Cancelled)
		assert.Equal(t, r.cancel(o, 1).Code, OK)
		assert.Equal(t, r.cancel(o, 2).Code, NotFound)
	})
}

// Guards against more runs of a failing task than permitted, also when the
// owner changes between them.
func TestFailuresCountOverOwners(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(1)
		r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan {
			return workertest.RunPlan{Duration: 2 * time.Second, Fails: true}
		})
		first := r.own()
		time.Sleep(time.Second)
		assert.Equal(t, r.submit(first, simpleJob(1, 1)).Code, OK)
		time.Sleep(3 * time.Second) // The first run has failed, the second goes on.
		r.do(first.Stop)
		second := r.own()
		r.await(second, 1, job.Failed, 5*time.Second)
		time.Sleep(10 * time.Second)
		assert.Equal(t, r.fleet.Starts(job.TaskRef{Job: testID(1)}), 2)
	})
}

// Guards against tasks that a new owner starts although they run or are done,
// and against a former owner that writes or orders after it lost the shard.
func TestTakeover(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(3)
		r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: 3 * time.Second} })
		first := r.own()
		time.Sleep(time.Second)
		for i := range 4 {
			assert.Equal(t, r.submit(first, simpleJob(i, 3)).Code, OK)
		}
		time.Sleep(time.Second)
		r.do(func() { first.right.Store(false) })
		second := r.own()
		time.Sleep(time.Second)
		r.do(func() { first.right.Store(true) }) // It resumes without knowing of the second owner.
		for i := range 4 {
			r.await(second, i, job.Completed, 6*time.Second)
		}
		assert.Assert(t, first.lost.Load())
		assert.Equal(t, r.fleet.Done(), 12)
	})
}

// Guards against a new owner that starts tasks while a worker that its
// predecessor used, and that does not answer, may still run them.
func TestTakeoverWaitsForSilentWorkers(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(2)
		r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: 20 * time.Second} })
		first := r.own()
		time.Sleep(time.Second)
		assert.Equal(t, r.submit(first, simpleJob(1, 5)).Code, OK)
		time.Sleep(time.Second)
		r.do(first.Stop)
		r.fleet.SetPartitioned("w0", true)
		r.infos = r.infos[1:] // The registry no longer lists it either.
		second := r.own()
		time.Sleep(time.Second)
		assert.Equal(t, r.submit(second, simpleJob(2, 1)).Code, OK)
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, r.fleet.Starts(job.TaskRef{Job: testID(2)}) <= 1)
		r.await(second, 1, job.Completed, time.Minute)
	})
}

// Guards against a vacated worker that still gets tasks, and against more
// tasks of a step that are interrupted at once than permitted.
func TestVacate(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(3)
		r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: time.Hour} })
		o := r.own()
		time.Sleep(time.Second)
		j := simpleJob(1, 3)
		j.Steps[0].LongRunning, j.Steps[0].MaxDisrupted = true, 1
		assert.Equal(t, r.submit(o, j).Code, OK)
		time.Sleep(2 * time.Second)
		var report Report
		deadline := time.Now().Add(10 * time.Second)
		vacated := func() bool {
			for _, use := range report.Workers {
				if use.ID == "w0" && use.Vacated {
					return true
				}
			}
			return false
		}
		for !vacated() {
			assert.Assert(t, time.Now().Before(deadline), "%+v", report)
			r.do(func() { report, _ = o.Report(Orders{Vacate: []worker.ID{"w0"}}) })
			assert.Assert(t, r.fleet.Running() >= 2, "more tasks are away than permitted")
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Second)
		assert.Equal(t, r.fleet.Running(), 3)
	})
}

// Guards against a takeover that waits for workers whose VMs were moved away.
func TestTakeoverDoesNotWaitForVacatedWorkers(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(2)
		first := r.own()
		time.Sleep(time.Second)
		r.do(func() { first.Report(Orders{Vacate: []worker.ID{"w0"}}) })
		assert.Equal(t, r.submit(first, simpleJob(1, 4)).Code, OK)
		time.Sleep(500 * time.Millisecond)
		r.fleet.SetPartitioned("w0", true) // Its VM is moved.
		r.infos = r.infos[1:]
		r.do(first.Stop)
		second := r.own()
		r.await(second, 1, job.Completed, 3*time.Second)
	})
}

// Guards against a takeover that waits for the lease of a worker whose VM has
// another worker by now, and against one that waits for nobody.
func TestTakeoverDoesNotWaitForEndedWorkers(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(3)
		first := r.own()
		time.Sleep(time.Second)
		assert.Equal(t, r.submit(first, simpleJob(1, 4)).Code, OK)
		time.Sleep(500 * time.Millisecond)
		r.fleet.Kill("w0")
		r.fleet.SetPartitioned("w1", true)
		r.infos = r.infos[1:]
		r.do(first.Stop)
		second := r.own()
		time.Sleep(2 * time.Second)
		var report Report
		r.do(func() { report, _ = second.Report(Orders{}) })
		slices.Sort(report.Unaccounted)
		assert.DeepEqual(t, report.Unaccounted, []worker.ID{"w0", "w1"})
		r.fleet.SetPartitioned("w1", false)
		r.do(func() { second.Report(Orders{Ended: []worker.ID{"w0"}}) })
		r.await(second, 1, job.Completed, 3*time.Second)
	})
}

// Guards against options without which a shard would act wrongly.
func TestOptionsAreChecked(t *testing.T) {
	_, err := New(Options{})
	assert.Assert(t, err != nil && !errors.Is(err, errHeadChanged))
}
