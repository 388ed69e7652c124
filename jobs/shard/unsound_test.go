package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/jobs/worker/workertest"
)

// Guards against the second start of a task that has ended, by an owner that was
// without processor while its worker could be reached again: the worker's lease
// has passed, but its lists would show the end.
func TestStalledOwnerAsksBeforeRestart(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(2)
		r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: 3 * time.Second} })
		o := r.own()
		time.Sleep(time.Second)
		assert.Equal(t, r.submit(o, simpleJob(1, 1)).Code, OK)
		time.Sleep(time.Second)
		r.fleet.SetPartitioned("w0", true)
		time.Sleep(testHold - 500*time.Millisecond)
		r.loop.Post(func() { time.Sleep(2 * time.Second) })
		time.Sleep(100 * time.Millisecond)
		r.fleet.SetPartitioned("w0", false)
		r.await(o, 1, job.Completed, 4*time.Second)
		assert.Equal(t, r.fleet.Starts(job.TaskRef{Job: testID(1)}), 1)
	})
}

// Guards against a faulty worker that draws and fails one task after the other,
// until the jobs have no attempts left; and against sound workers that rest because
// of a job that can never be done.
func TestFaultyWorkerGetsFewTasks(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(4)
		failed := 0
		r.fleet.SetRunPlanByWorker(func(id worker.ID, ref job.TaskRef) workertest.RunPlan {
			if id == "w0" || ref.Job == testID(0) {
				failed++
				return workertest.RunPlan{Duration: 20 * time.Millisecond, Fails: true}
			}
			return workertest.RunPlan{Duration: 300 * time.Millisecond}
		})
		o := r.own()
		time.Sleep(time.Second)
		assert.Equal(t, r.submit(o, simpleJob(0, 4)).Code, OK)
		r.await(o, 0, job.Failed, 10*time.Second)
		failed = 0
		for n := 1; n <= 40; n++ {
			assert.Equal(t, r.submit(o, simpleJob(n, 4)).Code, OK)
			time.Sleep(100 * time.Millisecond)
		}
		for n := 1; n <= 40; n++ {
			r.await(o, n, job.Completed, 10*time.Second)
		}
		assert.Assert(t, failed <= 30, "%d runs failed on one worker", failed)
	})
}

// Guards against jobs that wait for seconds for a worker that answers while its runs
// stand still, and against runs that are stopped again and again since one task of a
// step takes long.
func TestStalledRunsStartElsewhere(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(3)
		stalled := false
		r.fleet.SetRunPlanByWorker(func(id worker.ID, ref job.TaskRef) workertest.RunPlan {
			switch {
			case id == "w0" && stalled:
				return workertest.RunPlan{Duration: time.Hour}
			case ref.Job == testID(21) && ref.Index == 0:
				return workertest.RunPlan{Duration: 5 * time.Second}
			}
			return workertest.RunPlan{Duration: 500 * time.Millisecond}
		})
		o := r.own()
		time.Sleep(time.Second)
		submit := func(first, n int) {
			for i := range n {
				assert.Equal(t, r.submit(o, simpleJob(first+i, 3)).Code, OK)
			}
		}
		submit(0, 8)
		time.Sleep(3 * time.Second)
		r.fleet.WithLock(func() { stalled = true })
		submit(20, 4)
		starts := 0
		for n := 20; n < 24; n++ {
			r.await(o, n, job.Completed, 9*time.Second)
			for i := range 3 {
				starts += r.fleet.Starts(job.TaskRef{Job: testID(n), Index: i})
			}
		}
		assert.Assert(t, starts > 12 && starts <= 12+5, "%d starts", starts)
	})
}
