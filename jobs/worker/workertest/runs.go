package workertest

import (
	"cmp"
	"fmt"
	"time"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker"
)

// RunPlan defines how long a simulated run lasts and whether it fails.
type RunPlan struct {
	Duration time.Duration
	Fails    bool
}

// listedEndNoted is the time after which an end that a worker has listed counts as
// acknowledged, see [Fleet.NoteListedEnds].
const listedEndNoted = 100 * time.Millisecond

// doneRunEnd records that a run ended as done. It becomes void when the worker's lease
// expires before the end is acknowledged: the task may then be started again.
type doneRunEnd struct {
	worker *simulatedWorker
	number uint64
	listed bool // In a status that the worker has sent.
	acked  bool // Or noted, see [Fleet.NoteListedEnds].
	void   bool
	at     time.Duration // When the run ended.
	// startedAfter describes a later start of the task. It violates a guarantee if
	// the end is acknowledged.
	startedAfter string
}

type run struct {
	task      job.TaskRef
	number    int
	startedAt time.Duration
	timer     *time.Timer
	ended     chan struct{} // Closed when the end is listed.
	pace      int           // In percent.
}

// fullPace is the pace with which a run begins, in percent.
const fullPace = 100

// runKey identifies a run.
type runKey struct {
	task   job.TaskRef
	number int
}

func (r *run) key() runKey { return runKey{r.task, r.number} }

// bar makes a worker refuse the runs of a task up to a number.
func (w *simulatedWorker) bar(task job.TaskRef, number int) {
	w.barred[task] = max(w.barred[task], number)
}

// runsOf returns the runs of a task in progress on a worker.
func (w *simulatedWorker) runsOf(task job.TaskRef) (runs []*run) {
	for key, r := range w.runs {
		if key.task == task {
			runs = append(runs, r)
		}
	}
	return runs
}

// voidUnackedRunEnds marks the ended runs of a worker that were not acknowledged as void:
// their tasks may be started again.
func (f *Fleet) voidUnackedRunEnds(w *simulatedWorker) {
	for _, end := range f.done {
		end.void = end.void || end.worker == w && !end.acked
	}
}

// noteDone marks an end as acknowledged. A start of its task since then violates a guarantee.
func (f *Fleet) noteDone(end *doneRunEnd) {
	end.acked = true
	if end.startedAfter != "" {
		f.recordViolation("%s", end.startedAfter)
	}
}

// noteDoneUpTo marks the ends of a worker up to a number as acknowledged.
func (f *Fleet) noteDoneUpTo(w *simulatedWorker, number uint64) {
	for _, end := range f.done {
		if end.worker == w && !end.acked && !end.void && end.number <= number {
			f.noteDone(end)
		}
	}
}

// noteListedEnds marks the ends in a status that a worker sends as acknowledged after
// listedEndNoted.
func (f *Fleet) noteListedEnds(w *simulatedWorker, ends []worker.RunEnd) {
	for _, listed := range ends {
		end := f.done[listed.Task]
		if end == nil || end.worker != w || end.number != listed.Number || end.listed {
			continue
		}
		end.listed = true
		time.AfterFunc(listedEndNoted, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.NoteListedEnds && !end.acked && !end.void && !w.partitioned && !w.terminated {
				f.noteDone(end)
			}
		})
	}
}

func (f *Fleet) startRun(w *simulatedWorker, order worker.Start) error {
	if order.Fence < w.fence {
		return worker.ErrFenced
	}
	if f.Readings.KeepFenceOfRefused {
		w.fence = order.Fence
	}
	if order.LeaseExpiry <= f.clock(w) {
		return worker.ErrLeaseExpired
	}
	if f.acceptTicket != nil && !f.acceptTicket(w.info.ID, order) {
		f.refusedTickets++
		return worker.ErrTicketRejected
	}
	w.fence = order.Fence
	f.extendLease(w, order.LeaseExpiry)
	key := runKey{order.Task, order.Run}
	if w.runs[key] != nil {
		return nil
	}
	if order.Run <= w.barred[order.Task] {
		return worker.ErrStaleRun
	}
	if f.Readings.RejectOverload && !f.usedWith(w, order.Task).Fits(w.info.Capacity) {
		return worker.ErrNoCapacity
	}
	if !f.Readings.StartLowerRuns {
		w.bar(order.Task, order.Run)
	}
	f.starts[order.Task]++
	f.checkStartAllowed(w, order)
	r := &run{task: order.Task, number: order.Run, startedAt: f.now(), ended: make(chan struct{}), pace: fullPace}
	f.checkCapacity(w, r, order.Fence)
	w.runs[key] = r
	f.noteStart(r)
	plan := f.planRun(order.Task, order.Run)
	if f.planRunOnWorker != nil {
		plan = f.planRunOnWorker(w.info.ID, order.Task)
	}
	outcome := worker.Done
	if plan.Fails {
		outcome = worker.Failed
	}
	if f.isGang(r.task) {
		f.joinGang(w, r, plan.Duration, outcome)
		return nil
	}
	r.timer = time.AfterFunc(TimerDelay(plan.Duration), func() { f.endRun(w, r, outcome) })
	return nil
}

// checkStartAllowed records a violation when a task starts although it is done or has
// another run in progress.
func (f *Fleet) checkStartAllowed(w *simulatedWorker, order worker.Start) {
	if f.AllowSpeculativeRuns {
		return
	}
	if end := f.done[order.Task]; end != nil && !end.void {
		end.startedAfter = fmt.Sprintf("%v run %d starts%s on %s after it was done on %s at %v", order.Task, order.Run, f.lateText(), w.info.ID, end.worker.info.ID, end.at)
		if end.acked {
			f.recordViolation("%s", end.startedAfter)
		}
	}
	for _, other := range f.workers {
		// The timer of the lease is late when this process gets no CPU time.
		if len(other.runsOf(order.Task)) > 0 && other.leaseExpiry < f.clock(other) {
			f.expireLease(other)
		}
		for _, r := range other.runsOf(order.Task) {
			f.recordViolation("%v run %d starts%s on %s while run %d is on %s", order.Task, order.Run, f.lateText(), w.info.ID, r.number, other.info.ID)
		}
	}
}

// lateText marks in violations that the order is a delayed one.
func (f *Fleet) lateText() string {
	if f.orderIsLate {
		return " late"
	}
	return ""
}

// checkCapacity records a violation when a run that is about to start brings its worker
// over its capacity. fence is that of the owner that ordered the start.
func (f *Fleet) checkCapacity(w *simulatedWorker, started *run, fence uint64) {
	if f.reservedBy == nil {
		return
	}
	used := f.usedWith(w, started.task)
	if !used.Fits(w.info.Capacity) && !used.Fits(f.capacityKnownTo(w, fence)) {
		f.recordViolation("%v run %d brings %s to %+v, over its capacity of %+v", started.task, started.number, w.info.ID, used, w.info.Capacity)
	}
}

// usedWith returns the resources that the runs of a worker reserve with another run of a task.
func (f *Fleet) usedWith(w *simulatedWorker, started job.TaskRef) job.Resources {
	if f.reservedBy == nil {
		return job.Resources{}
	}
	used := f.reservedBy(started)
	for _, r := range w.runs {
		used = used.Plus(f.reservedBy(r.task))
	}
	return used
}

// capacityKnownTo returns the capacity of the last incarnation that sent a status to the
// owner with the given fence. The owner cannot know that a later one has less.
func (f *Fleet) capacityKnownTo(w *simulatedWorker, fence uint64) job.Resources {
	for f.ownerOf(w.reportedTo) < f.ownerOf(fence) && w.former != nil {
		w = w.former
	}
	return w.info.Capacity
}

func (f *Fleet) endRun(w *simulatedWorker, r *run, outcome worker.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.runs[r.key()] != r {
		return
	}
	f.endRunLocked(w, r, outcome)
}

// endRunLocked ends a run and queues its end for the next status. The caller holds the lock.
func (f *Fleet) endRunLocked(w *simulatedWorker, r *run, outcome worker.Outcome) {
	r.timer.Stop()
	f.noteEnd(r)
	delete(w.runs, r.key())
	w.bar(r.task, r.number)
	close(r.ended)
	number := f.nextEndNumber(w)
	if outcome == worker.Done {
		f.done[r.task] = &doneRunEnd{worker: w, number: number, at: f.now()}
	}
	w.endedRuns = append(w.endedRuns, worker.RunEnd{Number: number, Task: r.task, Run: r.number, Outcome: outcome})
	f.forgetNewEnd(w)
	f.wakeHolds(w)
	f.leaveGang(r)
}

// extendLease extends the lease of a worker. When the lease expires, all runs of the
// worker end.
func (f *Fleet) extendLease(w *simulatedWorker, leaseExpiry time.Duration) {
	clock := f.clock(w)
	leaseExpiry = min(f.wireTime(leaseExpiry), clock+cmp.Or(f.MaxLease, defaultMaxLease))
	if leaseExpiry <= w.leaseExpiry {
		return
	}
	w.leaseExpiry = leaseExpiry
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.leaseTimer = time.AfterFunc(TimerDelay(f.untilClock(w, leaseExpiry)), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.expireLease(w)
	})
}

// expireLease ends all runs of a worker whose lease has expired.
func (f *Fleet) expireLease(w *simulatedWorker) {
	f.voidUnackedRunEnds(w)
	for _, r := range w.runs {
		f.endRunLocked(w, r, worker.LeaseExpired)
	}
}
