package shard

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/loop"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/rowstest"
	"peridotcrank.dev/jobs/scheduler"
	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/jobs/worker/workertest"
)

// withLearning runs a test with an owner that learns durations, and some workers.
func withLearning(t *testing.T, workers int, test func(*rig, *owner)) {
	onFakeTime(t, func(r *rig) {
		r.learned = true
		r.addWorkers(workers)
		o := r.startOwner()
		time.Sleep(time.Second)
		test(r, o)
	})
}

// learn submits jobs of 2 tasks one after the other, from the given number.
func (r *rig) learn(o *owner, first, jobs int) {
	for n := first; n < first+jobs; n++ {
		assert.Equal(r.t, r.submit(o, simpleJob(n, 2)).Code, OK)
		r.awaitState(o, n, job.Completed, 10*time.Second)
	}
}

// quantile returns what was learned about the tasks of simpleJob.
func (o *owner) quantile(q float64) (d time.Duration) {
	o.callOnLoop(func() { d = o.distribution(testQueue, &simpleJob(0, 1).Steps[0]).Quantile(q) })
	return d
}

func (o *owner) samples() (n float64) {
	o.callOnLoop(func() {
		for _, summary := range o.learning.model.Summaries() {
			n += summary.Samples
		}
	})
	return n
}

func (r *rig) setDuration(d time.Duration) {
	r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: d} })
}

func assertBetween(t *testing.T, got, low, high time.Duration) {
	t.Helper()
	assert.Assert(t, low <= got && got <= high, "%v, want %v to %v", got, low, high)
}

// Guards against durations that follow the declared estimate. Load: jobs whose tasks take
// three times as long as declared.
func TestDurationsOfDoneRunsAreLearned(t *testing.T) {
	withLearning(t, 2, func(r *rig, o *owner) {
		r.setDuration(3 * time.Second)
		r.learn(o, 1, 15)
		assertBetween(t, o.quantile(0.5), 2700*time.Millisecond, 3300*time.Millisecond)
	})
}

// Guards against estimates that runs shorten by failing at once. Load: half of the workers
// fail all runs after 20 ms, the others complete them after 1 s.
func TestFailedRunsDoNotShortenEstimates(t *testing.T) {
	withLearning(t, 2, func(r *rig, o *owner) {
		r.callOnLoop(func() { o.SetQueues(Queues{testQueue: {Attempts: 1000}}) })
		r.fleet.SetRunPlanByWorker(func(id worker.ID, _ job.TaskRef) workertest.RunPlan {
			if id == "w0" {
				return workertest.RunPlan{Duration: 20 * time.Millisecond, Fails: true}
			}
			return workertest.RunPlan{Duration: time.Second}
		})
		r.learn(o, 1, 20)
		assertBetween(t, o.quantile(0.3), 800*time.Millisecond, 1200*time.Millisecond)
		assertBetween(t, o.quantile(0.5), 800*time.Millisecond, 1200*time.Millisecond)
	})
}

// Guards against estimates that stay short because all long runs are cancelled. Load:
// tasks of an hour, declared as 1 s and cancelled after 4 s.
func TestCancelledRunsAreLowerBounds(t *testing.T) {
	withLearning(t, 2, func(r *rig, o *owner) {
		r.setDuration(time.Hour)
		for n := range 15 {
			assert.Equal(t, r.submit(o, simpleJob(n, 2)).Code, OK)
			time.Sleep(4 * time.Second)
			assert.Equal(t, r.cancel(o, n).Code, OK)
			time.Sleep(time.Second)
		}
		assert.Assert(t, o.quantile(0.5) >= 3500*time.Millisecond, "%v", o.quantile(0.5))
	})
}

// Guards against runs that vanish with their worker and are not counted, or are counted as
// long as the worker was silent. Load: tasks of 5 s on a worker that dies after 3 s, and
// is gone for 20 s.
func TestLostRunsAreLowerBounds(t *testing.T) {
	withLearning(t, 1, func(r *rig, o *owner) {
		r.setDuration(5 * time.Second)
		assert.Equal(t, r.submit(o, simpleJob(1, 2)).Code, OK)
		time.Sleep(3 * time.Second)
		r.fleet.Kill("w0")
		time.Sleep(20 * time.Second)
		assert.Assert(t, o.samples() > 1.9 && o.samples() < 2.1, "%v", o.samples())
		assertBetween(t, o.quantile(0.5), 1200*time.Millisecond, 4*time.Second)
	})
}

// Guards against durations that include the time in which the owner could not see the end
// of a run. Load: tasks of 1 s, whose worker is unreachable for 3 s after they started.
func TestLateEndsDoNotLengthenEstimates(t *testing.T) {
	withLearning(t, 1, func(r *rig, o *owner) {
		r.learn(o, 1, 10)
		for n := 20; n < 30; n++ {
			assert.Equal(t, r.submit(o, simpleJob(n, 2)).Code, OK)
			time.Sleep(200 * time.Millisecond)
			r.fleet.SetPartitioned("w0", true)
			time.Sleep(3 * time.Second)
			r.fleet.SetPartitioned("w0", false)
			r.awaitState(o, n, job.Completed, 5*time.Second)
		}
		assertBetween(t, o.quantile(0.8), 900*time.Millisecond, 1300*time.Millisecond)
	})
}

// Guards against durations that include a pause of the owner. Load: tasks of 1 s, and an
// owner that gets no CPU time for 4 s while they run.
func TestPausesDoNotLengthenEstimates(t *testing.T) {
	withLearning(t, 1, func(r *rig, o *owner) {
		r.learn(o, 1, 10)
		for n := 20; n < 30; n++ {
			assert.Equal(t, r.submit(o, simpleJob(n, 2)).Code, OK)
			time.Sleep(200 * time.Millisecond)
			o.loop.Post(func() { time.Sleep(4 * time.Second) })
			r.awaitState(o, n, job.Completed, 10*time.Second)
		}
		assertBetween(t, o.quantile(0.8), 900*time.Millisecond, 1300*time.Millisecond)
	})
}

// Guards against a task that counts twice because it had two runs, and against a duration
// taken only from the shorter one. Load: 1 of 3 tasks takes 20 s in its first run.
func TestSecondRunsDoNotCount(t *testing.T) {
	withLearning(t, 3, func(r *rig, o *owner) {
		r.fleet.AllowSpeculativeRuns = true
		r.fleet.SetRunPlan(func(ref job.TaskRef, run int) workertest.RunPlan {
			if ref.Index == 0 && run == 1 {
				return workertest.RunPlan{Duration: 20 * time.Second}
			}
			return workertest.RunPlan{Duration: 500 * time.Millisecond}
		})
		j := simpleJob(1, 3)
		j.Steps[0].Speculative, j.Steps[0].Estimate = true, 500*time.Millisecond
		assert.Equal(t, r.submit(o, j).Code, OK)
		r.awaitState(o, 1, job.Completed, 6*time.Second)
		time.Sleep(2 * time.Second)
		assert.Equal(t, r.fleet.Starts(job.TaskRef{Job: testJobID(1)}), 2)
		assert.Assert(t, o.samples() > 2.8 && o.samples() < 3.2, "%v", o.samples())
	})
}

// timedRun returns an attempt on a worker that started at the given clock.
func (o *owner) timedRun(w *workerState, n int, timing runTiming) *attempt {
	j := simpleJob(n, 1)
	return &attempt{task: newTestJobState(j).steps[0].peek(0), worker: w, phase: running, timing: timing}
}

// Guards against a resumed run that counts only for what it did itself, and against a run
// with unknown earlier work that counts as a whole one. Load: tasks of 10 s that are moved
// after 6 s of saved work.
func TestResumedRunsCountSavedWork(t *testing.T) {
	withLearning(t, 1, func(r *rig, o *owner) {
		o.callOnLoop(func() {
			w := o.workers["w0"]
			for n := range 30 {
				first := o.timedRun(w, n, runTiming{startedClock: time.Second})
				first.noteCheckpoint("saved", 7*time.Second)
				first.task.setCheckpoint("saved")
				first.timing.noSample = true
				second := o.timedRun(w, n, runTiming{})
				second.task = first.task
				second.timing = first.task.resumedTiming()
				second.timing.noteStarted(10 * time.Second)
				w.lastStatusClock, w.endWindow = 14*time.Second, 0
				o.observeEnd(second, worker.Done)
			}
		})
		assertBetween(t, o.quantile(0.5), 9*time.Second, 11*time.Second)
		o.callOnLoop(func() {
			w := o.workers["w0"]
			for n := range 30 {
				a := o.timedRun(w, n, runTiming{})
				a.task.setCheckpoint("of a former owner")
				a.timing = a.task.resumedTiming()
				a.timing.noteStarted(10 * time.Second)
				w.lastStatusClock, w.endWindow = 14*time.Second, 0
				o.observeEnd(a, worker.Done)
			}
		})
		assertBetween(t, o.quantile(0.5), 9*time.Second, 11*time.Second)
	})
}

// Guards against learned durations that a takeover loses, and against rows that are
// written too often, without a change or without learned durations. Load: equal jobs for
// 60 s, 180 s more, then a takeover.
func TestDurationsRow(t *testing.T) {
	for _, learned := range []bool{true, false} {
		onFakeTime(t, func(r *rig) {
			r.learned = learned
			r.addWorkers(2)
			r.setDuration(3 * time.Second)
			var writes []time.Time
			r.store.SetFault(func(tx rows.Tx) rowstest.Fault {
				for _, row := range tx.Set {
					if row.Table == tableDurations {
						writes = append(writes, time.Now())
					}
				}
				return rowstest.NoFault
			})
			first := r.startOwner()
			time.Sleep(time.Second)
			r.learn(first, 1, 20)
			early := len(writes)
			r.learn(first, 30, 60)
			r.callOnLoop(first.Stop)
			second := r.startOwner()
			time.Sleep(time.Second)
			if !learned {
				assert.Equal(t, len(writes), 0)
				return
			}
			assert.Assert(t, early > 1 && len(writes)-early <= int(3*time.Minute/durationsInterval)/2, "%d, then %d", early, len(writes)-early)
			for i := 1; i < len(writes); i++ {
				assert.Assert(t, writes[i].Sub(writes[i-1]) >= durationsInterval)
			}
			assertBetween(t, second.quantile(0.5), 2700*time.Millisecond, 3300*time.Millisecond)
		})
	}
}

// Guards against a pool that a damaged row keeps from being taken over. Load: a job on a
// new owner that finds a row which cannot be decoded, or is not valid.
func TestUnreadableDurationsAreIgnored(t *testing.T) {
	for _, value := range [][]byte{{0xff, 0xff}, {0x0a, 0x02, 0x0a, 0x00}} {
		onFakeTime(t, func(r *rig) {
			r.learned = true
			r.addWorkers(1)
			r.store.Put(rows.Row{Key: rows.Key{Table: tableDurations, Part: testPool, Name: durationsName}, Value: value})
			o := r.startOwner()
			time.Sleep(time.Second)
			r.learn(o, 1, 2)
		})
	}
}

// Guards against lost jobs and tasks that run twice when decisions use learned durations.
// Load: random faults of store and workers while owners change.
func TestRandomFaultsWithLearnedDurations(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			onFakeTime(t, func(r *rig) {
				r.learned = true
				runRandomFaults(r, rand.New(rand.NewPCG(seed, 7)))
			})
		})
	}
}

// Guards against a job that stays in the class of its first estimate, and against work
// that is computed again in each pass. Load: tasks of 1 s, and one that takes 30 s.
func TestRemainingWorkFollowsOverruns(t *testing.T) {
	withLearning(t, 1, func(r *rig, o *owner) {
		r.learn(o, 1, 15)
		r.setDuration(30 * time.Second)
		assert.Equal(t, r.submit(o, simpleJob(20, 1)).Code, OK)
		work := func() (w scheduler.RemainingWork, class scheduler.Class, until time.Duration) {
			o.callOnLoop(func() {
				js := o.jobs[testJobID(20)]
				class = o.sortKey(js, o.opts.Clock()).Class
				w, until = o.remainingWork(js), js.remainingWorkUntil
			})
			return w, class, until
		}
		time.Sleep(500 * time.Millisecond)
		early, class, until := work()
		assert.Equal(t, class, scheduler.InTime)
		assert.Assert(t, early.CriticalPath < time.Second, "%v", early.CriticalPath)
		time.Sleep(minRenewal / 5)
		_, _, again := work()
		assert.Equal(t, again, until)
		time.Sleep(1500 * time.Millisecond)
		late, class, _ := work()
		assert.Assert(t, late.CriticalPath > 2*early.CriticalPath, "%+v %+v", early, late)
		assert.Equal(t, late.CoreSeconds, 0.0, "a running task counts as work to start")
		assert.Assert(t, class > scheduler.InTime)
		assert.Equal(t, late.Objective, early.Objective)
	})
}

// Guards against a second run on the rack of a slow first one. Load: one slow task, and
// three free workers of which one is on another rack.
func TestSecondRunUsesAnotherRack(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.learned = true
		r.addWorkers(3)
		for i := range r.workerInfos {
			r.workerInfos[i].Labels = []string{"a", []string{"x", "x", "y"}[i]}
		}
		r.fleet.AllowSpeculativeRuns = true
		on := map[worker.ID]int{}
		r.fleet.SetRunPlanByWorker(func(id worker.ID, _ job.TaskRef) workertest.RunPlan {
			if on[id]++; len(on) == 1 {
				return workertest.RunPlan{Duration: time.Hour}
			}
			return workertest.RunPlan{Duration: 500 * time.Millisecond}
		})
		o := r.startOwner()
		time.Sleep(time.Second)
		j := simpleJob(1, 1)
		j.Steps[0].Speculative = true
		assert.Equal(t, r.submit(o, j).Code, OK)
		r.awaitState(o, 1, job.Completed, 10*time.Second)
		assert.Equal(t, on["w2"], 1)
	})
}

// Guards against the last task of a job on a slow worker while others are free, and
// against a slow worker that lengthens the estimates of tasks. Load: one of three workers
// takes three times as long.
func TestLastTasksAvoidSlowWorkers(t *testing.T) {
	withLearning(t, 3, func(r *rig, o *owner) {
		var last worker.ID
		r.fleet.SetRunPlanByWorker(func(id worker.ID, _ job.TaskRef) workertest.RunPlan {
			last = id
			if id == "w0" {
				return workertest.RunPlan{Duration: 3 * time.Second}
			}
			return workertest.RunPlan{Duration: time.Second}
		})
		for n := 1; n <= 10; n++ {
			assert.Equal(t, r.submit(o, simpleJob(n, 12)).Code, OK)
			r.awaitState(o, n, job.Completed, 10*time.Second)
		}
		for n := 20; n < 25; n++ {
			assert.Equal(t, r.submit(o, simpleJob(n, 1)).Code, OK)
			r.awaitState(o, n, job.Completed, 5*time.Second)
			r.fleet.WithLock(func() { assert.Assert(t, last != "w0") })
		}
		assert.Assert(t, o.quantile(0.9) < 2500*time.Millisecond, "%v", o.quantile(0.9))
	})
}

// Guards against long tasks on a VM that is due for maintenance, and against short tasks
// that leave its capacity unused. Load: tasks of 10 s and of 1 s, and a worker with the
// least free capacity that is due for maintenance.
func TestLongTasksAvoidWorkersDueForMaintenance(t *testing.T) {
	for duration, want := range map[time.Duration]worker.ID{10 * time.Second: "w1", time.Second: "w0"} {
		withLearning(t, 2, func(r *rig, o *owner) {
			r.setDuration(duration)
			for n := range 15 {
				assert.Equal(t, r.submit(o, simpleJob(n, 8)).Code, OK)
				r.awaitState(o, n, job.Completed, 15*time.Second)
			}
			var on worker.ID
			r.fleet.SetRunPlanByWorker(func(id worker.ID, _ job.TaskRef) workertest.RunPlan {
				on = id
				return workertest.RunPlan{Duration: duration}
			})
			o.callOnLoop(func() { o.ApplyInstructions(Instructions{MaintenanceDue: []worker.ID{"w0"}}) })
			assert.Equal(t, r.submit(o, simpleJob(20, 1)).Code, OK)
			time.Sleep(500 * time.Millisecond)
			r.fleet.WithLock(func() { assert.Equal(t, on, want) })
		})
	}
}

// codeCounter counts the events of each code.
type codeCounter map[eventlog.Code]int

func (c codeCounter) Record(code eventlog.Code, _ eventlog.Fields) { c[code]++ }

// Guards against an operator who cannot see what was learned, and against events for each
// run. Load: one run each second for 10 minutes.
func TestLearnedDurationsAreReported(t *testing.T) {
	withLearning(t, 1, func(r *rig, o *owner) {
		events := codeCounter{}
		ratios := 0
		o.callOnLoop(func() {
			o.opts.Recorder = events
			o.opts.PredictionObserved = func(predicted, actual time.Duration) { ratios++ }
		})
		r.learn(o, 1, 600)
		o.callOnLoop(func() {
			assert.Assert(t, events[eventlog.DurationsLearned] >= 9 && events[eventlog.DurationsLearned] <= 12, "%d", events[eventlog.DurationsLearned])
			assert.Equal(t, ratios, 1200)
		})
	})
}

// Guards against a pool that requests VMs for the declared work. Load: a job of 2 tasks
// that are known to take 3 s and are declared as 1 s.
func TestDemandUsesLearnedDurations(t *testing.T) {
	withLearning(t, 2, func(r *rig, o *owner) {
		r.setDuration(3 * time.Second)
		r.learn(o, 1, 15)
		assert.Equal(t, r.submit(o, simpleJob(20, 2)).Code, OK)
		var report Report
		o.callOnLoop(func() { report, _ = o.ApplyInstructions(Instructions{}) })
		assert.Assert(t, report.ArrivalRate.CPU > 5000 && report.ArrivalRate.CPU < 7500, "%d", report.ArrivalRate.CPU)
	})
}

// BenchmarkPlacementPass compares a pass over the waiting tasks of a large pool without
// free capacity. Load: 164 workers, 400 waiting jobs of 4 tasks.
func BenchmarkPlacementPass(b *testing.B) {
	for name, learned := range map[string]bool{"regression": false, "learned": true} {
		b.Run(name, func(b *testing.B) {
			s, now := fullShard(b, learned)
			for b.Loop() {
				*now += placeDelay
				s.placeWaitingTasks()
			}
		})
	}
}

// fullShard returns a shard whose workers have no free capacity, and its clock.
func fullShard(b *testing.B, learned bool) (*Shard, *time.Duration) {
	now := time.Hour
	r := &rig{store: &rowstest.Store{}, fleet: workertest.New(nil)}
	s, err := New(Options{
		Pool: testPool, Owner: "owner", Fence: 1, LeaseDuration: testLease, KeepEnded: time.Minute, StopTime: testStopTime,
		Store: r.store, Workers: r.fleet, Loop: loop.New(), Recorder: eventlog.Discard, OwnsShard: func() bool { return true },
		OnLost: func() {}, Clock: func() time.Duration { return now }, LearnedDurations: learned,
	})
	assert.NilError(b, err)
	s.active = true
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 164 {
		id := worker.ID(fmt.Sprintf("w%d", i))
		w := s.addWorker(worker.Info{ID: id, Pool: testPool, State: worker.Ready, Capacity: job.Resources{CPU: 4000, MemoryMB: 8000}, Labels: []string{"a", fmt.Sprint("r", i%8)}})
		w.registered, w.rowCommitted, w.accountedFor, w.clock, w.used = true, true, true, 1, w.info.Capacity
		if learned {
			s.learning.speeds.Observe(id, time.Second, time.Second, now)
		}
	}
	for n := range 400 {
		js := newTestJobState(simpleJob(n, 4))
		js.job.Steps[0].Image = fmt.Sprint("image", n%20)
		js.stored, js.submitted, js.sequence = true, now, uint64(n)
		s.jobs[js.job.ID] = js
		s.enableStep(js.steps[0])
		for range 10 {
			s.durationPredictor(testQueue, &js.job.Steps[0]).Observe(time.Second, time.Duration(500+rng.IntN(1000))*time.Millisecond)
		}
	}
	return s, &now
}
