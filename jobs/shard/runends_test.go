package shard

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/rowstest"
	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/jobs/worker/workertest"
)

// longerThanLease is a time after which all leases that were granted before it have expired.
const longerThanLease = testLease + 3*time.Second

// endsRig follows the ends of the runs of job 1 from the workers to the store and back.
type endsRig struct {
	*rig
	first *owner
	// endCommitSeen is set when a transaction with the end of a run reaches the store.
	endCommitSeen atomic.Bool
	tasksStarted  atomic.Bool
	faultsOff     atomic.Bool
	storeRejects  atomic.Bool // The store rejects all transactions.
	endedTasks    []job.TaskRef
}

// endStep is a step on the way of the end of a run at which the owner is disturbed.
type endStep struct {
	name       string
	storeFault rowstest.Fault
	holdFault  workertest.Fault
	// afterCommit delays holdFault until the first end has reached the store.
	afterCommit bool
	// blockCommits keeps an earlier transaction in flight.
	blockCommits bool
	reached      func(*endsRig) bool
}

func endIsDone(x *endsRig) bool { return x.fleet.Done() > 0 }

func endIsApplied(x *endsRig) (applied bool) {
	x.first.callOnLoop(func() {
		for _, w := range x.first.workers {
			applied = applied || w.lastAppliedEnd > w.lastCommittedEnd
		}
	})
	return applied
}

func endReachedStore(x *endsRig) bool { return x.endCommitSeen.Load() }

func endIsCommitted(x *endsRig) (committed bool) {
	x.first.callOnLoop(func() {
		for _, w := range x.first.workers {
			committed = committed || w.lastCommittedEnd > 0
		}
	})
	return committed
}

var endSteps = []endStep{
	{name: "listed", holdFault: workertest.ResponseLost, reached: endIsDone},
	{name: "applied", blockCommits: true, reached: endIsApplied},
	{name: "commit rejected", storeFault: rowstest.Rejected, reached: endReachedStore},
	{name: "commit lost", storeFault: rowstest.RequestLost, reached: endReachedStore},
	{name: "commit executed late", storeFault: rowstest.Delayed, reached: endReachedStore},
	{name: "stored without a reply", storeFault: rowstest.ResponseLost, reached: endReachedStore},
	{name: "stored", reached: endIsCommitted},
	{name: "acknowledgement lost", afterCommit: true, holdFault: workertest.RequestLost, reached: endIsCommitted},
	{name: "acknowledgement executed late", afterCommit: true, holdFault: workertest.Delayed, reached: endIsCommitted},
	{name: "acknowledged without a reply", afterCommit: true, holdFault: workertest.ResponseLost, reached: endIsCommitted},
}

// disturbance is what happens to the owner at a step. It returns the owner afterwards.
type disturbance struct {
	name  string
	apply func(*endsRig) *owner
}

var disturbances = []disturbance{
	{"stopped", func(x *endsRig) *owner {
		x.first.callOnLoop(x.first.Stop)
		x.faultsOff.Store(true)
		return x.startOwner()
	}},
	{"suspended", func(x *endsRig) *owner {
		x.first.suspend(longerThanLease)
		x.faultsOff.Store(true)
		return x.startOwner()
	}},
	{"regains its ownership", func(x *endsRig) *owner {
		x.first.ownsShard.Store(false)
		time.Sleep(testLease / 2)
		x.faultsOff.Store(true)
		x.first.ownsShard.Store(true)
		return x.first
	}},
	{"regains its ownership after its leases", func(x *endsRig) *owner {
		x.first.ownsShard.Store(false)
		time.Sleep(longerThanLease)
		x.faultsOff.Store(true)
		x.first.ownsShard.Store(true)
		return x.first
	}},
	{"keeps its ownership while the store rejects transactions", func(x *endsRig) *owner {
		x.storeRejects.Store(true)
		x.faultsOff.Store(true) // The tasks of a worker without replies may start again after its lease.
		time.Sleep(longerThanLease)
		x.storeRejects.Store(false)
		return x.first
	}},
	{"replaced without notice", func(x *endsRig) *owner {
		x.faultsOff.Store(true)
		return x.startOwner()
	}},
	{"replaced while the store rejects transactions", func(x *endsRig) *owner {
		x.storeRejects.Store(true)
		x.first.ownsShard.Store(false)
		next := x.startOwner()
		time.Sleep(longerThanLease)
		x.storeRejects.Store(false)
		x.faultsOff.Store(true)
		return next
	}},
}

// Guards against a second run of a task that ended as done, at each step from the list to the acknowledgement.
func TestEndIsNotLostAtAnyStep(t *testing.T) {
	for _, step := range endSteps {
		for _, d := range disturbances {
			t.Run(step.name+"/"+d.name, func(t *testing.T) {
				onFakeTime(t, func(r *rig) {
					r.separateLoops = true
					x := &endsRig{rig: r}
					x.run(step, d)
				})
			})
		}
	}
}

const (
	firstEnd  = time.Second
	secondEnd = 1200 * time.Millisecond
	lastEnd   = 6 * time.Second
)

func (x *endsRig) run(step endStep, d disturbance) {
	x.addWorkers(3)
	x.fleet.SetReplyDelay(delayRepliesExceptW0)
	x.fleet.SetRunPlan(func(ref job.TaskRef, _ int) workertest.RunPlan {
		return workertest.RunPlan{Duration: []time.Duration{firstEnd, secondEnd, lastEnd}[ref.Index%3]}
	})
	x.injectFaults(step)
	x.first = x.startOwner()
	time.Sleep(time.Second)
	assert.Equal(x.t, x.submit(x.first, simpleJob(1, 9)).Code, OK)
	time.Sleep(firstEnd / 10)
	assert.Equal(x.t, x.fleet.Running(), 9)
	x.tasksStarted.Store(true)
	if step.blockCommits {
		time.Sleep(firstEnd / 2)
		x.first.callOnLoop(func() { x.first.Submit(simpleJob(2, 1), func(Result) {}) })
	}
	for began := time.Now(); !step.reached(x); time.Sleep(time.Millisecond) {
		assert.Assert(x.t, time.Since(began) < lastEnd, "the step was not reached")
	}
	x.endedTasks = x.doneTasks(9)
	assert.Assert(x.t, len(x.endedTasks) > 0)
	next := d.apply(x)
	x.awaitState(next, 1, job.Completed, time.Minute)
	for _, ref := range x.endedTasks {
		assert.Equal(x.t, x.fleet.Starts(ref), 1, "%v was started again", ref)
	}
}

// doneTasks returns the tasks of job 1 that have ended as done.
func (r *rig) doneTasks(count int) (done []job.TaskRef) {
	running := map[job.TaskRef]bool{}
	for _, ref := range r.fleet.RunningTasks() {
		running[ref] = true
	}
	for i := range count {
		ref := job.TaskRef{Job: testJobID(1), Index: i}
		if r.fleet.Starts(ref) > 0 && !running[ref] {
			done = append(done, ref)
		}
	}
	return done
}

// injectFaults sets the faults of a step for the first owner.
func (x *endsRig) injectFaults(step endStep) {
	x.store.SetFault(func(tx rows.Tx) rowstest.Fault {
		if x.storeRejects.Load() {
			return rowstest.Rejected
		}
		for _, row := range tx.Set {
			switch {
			case x.faultsOff.Load():
			case row.Table == tableProgress:
				x.endCommitSeen.Store(true)
				return step.storeFault
			case row.Table == tableJob && row.Name == string(testJobID(2)):
				return rowstest.RequestLost
			}
		}
		return rowstest.NoFault
	})
	x.fleet.SetFault(func(_ worker.ID, order string) workertest.Fault {
		if order == "hold" && x.tasksStarted.Load() && !x.faultsOff.Load() && (!step.afterCommit || x.endCommitSeen.Load()) {
			return step.holdFault
		}
		return workertest.NoFault
	})
}

// Guards against tasks that start again before their workers were asked, because the load took long.
func TestLoadLongerThanLeases(t *testing.T) {
	for lostReplies := range minUnansweredHolds {
		t.Run(fmt.Sprintf("%d replies lost", lostReplies), func(t *testing.T) {
			onFakeTime(t, func(r *rig) {
				runSlowLoad(r, func() { r.loseHoldReplies("w1", lostReplies) })
				for i := range 8 {
					assert.Equal(t, r.fleet.Starts(job.TaskRef{Job: testJobID(1), Index: i}), 1, "task %d", i)
				}
			})
		})
	}
}

// Guards against tasks that wait forever for a worker that never replies to the new owner.
func TestLoadLongerThanLeasesWithUnreachableWorker(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		runSlowLoad(r, func() { r.fleet.SetPartitioned("w1", true) })
	})
}

// runSlowLoad lets the runs of job 1 end while the store rejects the transactions of its
// owner and those of the next one, until all leases have expired.
func runSlowLoad(r *rig, beforeLoad func()) {
	r.addWorkers(2)
	r.fleet.SetReplyDelay(delayRepliesExceptW0)
	first := r.startOwner()
	time.Sleep(time.Second)
	assert.Equal(r.t, r.submit(first, simpleJob(1, 8)).Code, OK)
	time.Sleep(500 * time.Millisecond)
	r.store.SetFault(func(rows.Tx) rowstest.Fault { return rowstest.Rejected })
	time.Sleep(time.Second)
	r.callOnLoop(first.Stop)
	second := r.startOwner()
	time.Sleep(longerThanLease)
	beforeLoad()
	r.store.SetFault(nil)
	r.awaitState(second, 1, job.Completed, 10*time.Second)
}

// delayRepliesExceptW0 delays the replies of all workers but the first until after the
// placement pass that follows the first reply.
func delayRepliesExceptW0(id worker.ID) time.Duration {
	if id == "w0" {
		return 0
	}
	return 50 * time.Millisecond
}

// loseHoldReplies loses the replies of a worker to its next n holds.
func (r *rig) loseHoldReplies(id worker.ID, n int) {
	r.fleet.SetFault(func(to worker.ID, order string) workertest.Fault {
		if to != id || order != "hold" || n == 0 {
			return workertest.NoFault
		}
		n--
		return workertest.ResponseLost
	})
}

// Guards against runs that count as lost because a status lists no more than 500 ends.
func TestMoreEndsThanAStatusLists(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover %t", takeover), func(t *testing.T) {
			onFakeTime(t, func(r *rig) { runMoreEndsThanListed(r, takeover) })
		})
	}
}

func runMoreEndsThanListed(r *rig, takeover bool) {
	const jobs, tasksPerJob = 13, maxListedEnds / 10
	r.addWorkers(1)
	r.workerInfos[0].Capacity = job.Resources{CPU: jobs * tasksPerJob * 1000, MemoryMB: jobs * tasksPerJob * 100}
	r.fleet.Add(r.workerInfos[0])
	o := r.startOwner()
	time.Sleep(time.Second)
	for n := range jobs {
		assert.Equal(r.t, r.submit(o, simpleJob(n, tasksPerJob)).Code, OK)
	}
	time.Sleep(100 * time.Millisecond)
	assert.Equal(r.t, r.fleet.Running(), jobs*tasksPerJob)
	r.store.SetFault(func(rows.Tx) rowstest.Fault { return rowstest.Rejected })
	time.Sleep(time.Second)
	if takeover {
		r.callOnLoop(o.Stop)
		o = r.startOwner()
	}
	time.Sleep(longerThanLease)
	r.store.SetFault(nil)
	for n := range jobs {
		r.awaitState(o, n, job.Completed, 20*time.Second)
		for i := range tasksPerJob {
			assert.Equal(r.t, r.fleet.Starts(job.TaskRef{Job: testJobID(n), Index: i}), 1, "task %d of job %d", i, n)
		}
	}
}

// Guards against an end that is skipped because a status lists a later one before it.
func TestEndsListedOutOfOrder(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(1)
		o := r.startOwner()
		time.Sleep(time.Second)
		assert.Equal(t, r.submit(o, simpleJob(1, 2)).Code, OK)
		time.Sleep(100 * time.Millisecond)
		r.callOnLoop(func() {
			w := o.workers["w0"]
			var ends []worker.RunEnd
			for key := range w.attempts {
				ends = append(ends, worker.RunEnd{Task: key.task, Run: key.run, Outcome: worker.Done})
			}
			assert.Equal(t, len(ends), 2)
			ends[0].Number, ends[1].Number = 2, 1
			o.applyStatus(w, o.nextLogicalTime(), worker.Status{ClockTime: w.clock + 1, StartedUnixMs: 1, EndedRuns: ends})
			assert.Equal(t, o.jobs[testJobID(1)].outcome, job.Completed)
		})
	})
}

// Guards against an end that is acknowledged before the transaction with its job is stored.
func TestTakeoverAfterPartOfTheEndsIsStored(t *testing.T) {
	const jobs = 2*maxCommitRows + 20
	for _, fault := range []rowstest.Fault{rowstest.Rejected, rowstest.RequestLost, rowstest.ResponseLost, rowstest.Delayed} {
		for stored := range 3 {
			t.Run(fmt.Sprintf("fault %d after %d transactions", fault, stored), func(t *testing.T) {
				onFakeTime(t, func(r *rig) { runPartlyStoredEnds(r, jobs, fault, stored) })
			})
		}
	}
}

func runPartlyStoredEnds(r *rig, jobs int, fault rowstest.Fault, stored int) {
	r.separateLoops = true
	r.store.PageRows = 50
	r.addWorkers(jobs/4 + 5)
	r.fleet.SetReplyDelay(func(id worker.ID) time.Duration { return time.Duration(len(id)) * time.Millisecond })
	r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: 2 * time.Second} })
	first := r.startOwner()
	time.Sleep(time.Second)
	first.callOnLoop(func() {
		for n := range jobs {
			first.Submit(simpleJob(n, 1), func(Result) {})
		}
	})
	time.Sleep(1500 * time.Millisecond)
	assert.Equal(r.t, r.fleet.Running(), jobs)
	endCommits, faultsOff := 0, false
	r.store.SetFault(func(tx rows.Tx) rowstest.Fault {
		for _, row := range tx.Set {
			if row.Table != tableProgress || faultsOff {
				continue
			}
			if endCommits++; endCommits > stored {
				return fault
			}
			break
		}
		return rowstest.NoFault
	})
	for reached := false; !reached; {
		time.Sleep(time.Millisecond)
		r.store.WithLock(func() { reached = endCommits > stored })
	}
	first.suspend(longerThanLease)
	r.store.WithLock(func() { faultsOff = true })
	second := r.startOwner()
	for n := range jobs {
		r.awaitState(second, n, job.Completed, 30*time.Second)
		assert.Equal(r.t, r.fleet.Starts(job.TaskRef{Job: testJobID(n)}), 1, "job %d", n)
	}
}
