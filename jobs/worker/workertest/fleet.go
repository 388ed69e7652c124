package workertest

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker"
)

// ErrNoReply is returned for an order that gets no reply.
var ErrNoReply = errors.New("no reply from the simulated worker")

// RunPlan defines how long a simulated run lasts and whether it fails.
type RunPlan struct {
	Duration time.Duration
	Fails    bool
}

// Fault is a fault injected into one order.
type Fault uint8

// Faults of an order.
const (
	NoFault      Fault = iota
	ResponseLost       // The order is executed, but gets no reply.
	Delayed            // The order gets no reply and is executed seconds later.
	RequestLost        // The order is neither executed nor gets a reply.
)

// Fleet is a set of simulated workers.
type Fleet struct {
	// Delay is the time until a delayed order is executed. Default 4 s.
	Delay time.Duration
	// StopTime is the time that a run takes to stop. Default 50 ms.
	StopTime time.Duration

	// DeliverToNewIncarnation lets delayed orders reach a later incarnation of the
	// worker. Holds never do, because they would acknowledge ended runs of that
	// incarnation.
	DeliverToNewIncarnation bool

	// AllowSpeculativeRuns permits several runs of a task at the same time.
	AllowSpeculativeRuns bool

	mu              sync.Mutex
	acceptTicket    func(worker.ID, worker.Start) bool
	refusedTickets  int // Number of starts whose ticket was not accepted.
	planRun         func(task job.TaskRef, run int) RunPlan
	planRunOnWorker func(id worker.ID, task job.TaskRef) RunPlan
	chooseFault     func(id worker.ID, order string) Fault
	createdAt       time.Time
	workers         map[worker.ID]*simulatedWorker
	done            map[job.TaskRef]*doneRunEnd
	starts          map[job.TaskRef]int
	violations      []string
}

const (
	defaultDelay    = 4 * time.Second
	defaultStopTime = 50 * time.Millisecond
)

// doneRunEnd records that a run ended as done. It becomes void when the worker's lease
// expires before the end is acknowledged: the task may then be started again.
type doneRunEnd struct {
	worker *simulatedWorker
	number uint64
	acked  bool
	void   bool
	// startedAfter describes a later start of the task. It violates a guarantee if
	// the end is acknowledged.
	startedAfter string
}

type run struct {
	task   job.TaskRef
	number int
	timer  *time.Timer
}

type simulatedWorker struct {
	info        worker.Info
	partitioned bool
	terminated  bool // A new incarnation exists, or the worker was killed.
	fence       uint64
	leaseExpiry time.Duration
	leaseTimer  *time.Timer
	runs        map[job.TaskRef]*run
	highestRun  map[job.TaskRef]int
	endedRuns   []worker.RunEnd
	lastNumber  uint64
	acked       uint64
	changed     chan struct{}
}

var _ worker.Client = (*Fleet)(nil)

// New returns a fleet without workers; planRun defines what each run does.
func New(planRun func(job.TaskRef, int) RunPlan) *Fleet {
	return &Fleet{
		planRun: planRun, createdAt: time.Now(), workers: map[worker.ID]*simulatedWorker{},
		done: map[job.TaskRef]*doneRunEnd{}, starts: map[job.TaskRef]int{},
	}
}

// Add adds a worker. It replaces a worker with the same ID by a new incarnation.
func (f *Fleet) Add(info worker.Info) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.workers[info.ID]; old != nil {
		f.kill(old)
	}
	f.workers[info.ID] = &simulatedWorker{info: info, runs: map[job.TaskRef]*run{}, highestRun: map[job.TaskRef]int{}, leaseExpiry: f.now()}
}

// SetRunPlan sets the function that defines what runs do that start from now on.
func (f *Fleet) SetRunPlan(planRun func(task job.TaskRef, run int) RunPlan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.planRun = planRun
}

// SetRunPlanByWorker sets a function that defines what runs do depending on their
// worker. It takes precedence over that of SetRunPlan.
func (f *Fleet) SetRunPlanByWorker(planRun func(id worker.ID, task job.TaskRef) RunPlan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.planRunOnWorker = planRun
}

// SetFault sets the function that chooses the fault of each order; nil for no faults.
func (f *Fleet) SetFault(choose func(id worker.ID, order string) Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chooseFault = choose
}

// WithLock runs g under the fleet's lock, so that g can change state that the
// functions for faults and run plans use.
func (f *Fleet) WithLock(g func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g()
}

// SetPartitioned makes a worker unreachable or reachable again. Its runs continue.
func (f *Fleet) SetPartitioned(id worker.ID, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].partitioned = partitioned
}

// Kill terminates a worker and its runs permanently.
func (f *Fleet) Kill(id worker.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kill(f.workers[id])
	f.workers[id].partitioned = true
}

// SetTickets sets the function that checks the ticket of each start; nil disables the
// check.
func (f *Fleet) SetTickets(accepts func(worker.ID, worker.Start) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acceptTicket = accepts
}

// TicketsRefused returns the number of starts rejected because of their ticket.
func (f *Fleet) TicketsRefused() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refusedTickets
}

// Violations describes every violation of a guarantee so far.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.violations
}

// Done returns the number of tasks that completed as done.
func (f *Fleet) Done() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.done)
}

// Running returns the number of runs in progress on all workers.
func (f *Fleet) Running() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		n += len(w.runs)
	}
	return n
}

// Starts returns how many runs of a task were started.
func (f *Fleet) Starts(task job.TaskRef) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[task]
}

func (f *Fleet) now() time.Duration { return time.Since(f.createdAt) + time.Second }

func (f *Fleet) recordViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("%v: ", f.now())+fmt.Sprintf(format, args...))
}

// voidUnackedRunEnds marks the ended runs of a worker that were not acknowledged as void:
// their tasks may be started again.
func (f *Fleet) voidUnackedRunEnds(w *simulatedWorker) {
	for _, end := range f.done {
		end.void = end.void || end.worker == w && !end.acked
	}
}

func (f *Fleet) kill(w *simulatedWorker) {
	f.voidUnackedRunEnds(w)
	w.terminated = true
	for _, r := range w.runs {
		r.timer.Stop()
	}
	w.runs = map[job.TaskRef]*run{}
}

// deliver executes an order on a worker and applies the fault chosen for it.
func (f *Fleet) deliver(ctx context.Context, to worker.Target, name string, order func(*simulatedWorker) error) error {
	f.mu.Lock()
	fault := NoFault
	if f.chooseFault != nil {
		fault = f.chooseFault(to.ID, name)
	}
	w := f.workers[to.ID]
	unreachable := w == nil || w.partitioned || fault == RequestLost
	if fault == Delayed && !unreachable {
		time.AfterFunc(cmp.Or(f.Delay, defaultDelay), func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			reached := f.workers[to.ID]
			if reached.partitioned || reached != w && (!f.DeliverToNewIncarnation || name == "hold") {
				return
			}
			_ = order(reached) // Nobody waits for the reply.
		})
	}
	if unreachable || fault == Delayed {
		f.mu.Unlock()
		<-ctx.Done()
		return ErrNoReply
	}
	err := order(w)
	f.mu.Unlock()
	if fault == ResponseLost {
		<-ctx.Done()
		return ErrNoReply
	}
	return err
}

// Start implements [worker.Client].
func (f *Fleet) Start(ctx context.Context, to worker.Target, order worker.Start) (worker.ClockTime, error) {
	err := f.deliver(ctx, to, "start", func(w *simulatedWorker) error { return f.startRun(w, order) })
	return f.now(), err
}

func (f *Fleet) startRun(w *simulatedWorker, order worker.Start) error {
	switch {
	case order.Fence < w.fence:
		return worker.ErrFenced
	case order.LeaseExpiry <= f.now():
		return worker.ErrLeaseExpired
	}
	if f.acceptTicket != nil && !f.acceptTicket(w.info.ID, order) {
		f.refusedTickets++
		return worker.ErrTicketRejected
	}
	w.fence = order.Fence
	f.extendLease(w, order.LeaseExpiry)
	if r := w.runs[order.Task]; r != nil && r.number == order.Run {
		return nil
	}
	if order.Run <= w.highestRun[order.Task] {
		return worker.ErrStaleRun
	}
	w.highestRun[order.Task] = order.Run
	f.starts[order.Task]++
	f.checkStartAllowed(w, order)
	r := &run{task: order.Task, number: order.Run}
	w.runs[order.Task] = r
	plan := f.planRun(order.Task, order.Run)
	if f.planRunOnWorker != nil {
		plan = f.planRunOnWorker(w.info.ID, order.Task)
	}
	outcome := worker.Done
	if plan.Fails {
		outcome = worker.Failed
	}
	r.timer = time.AfterFunc(plan.Duration, func() { f.endRun(w, r, outcome) })
	return nil
}

// checkStartAllowed records a violation when a task starts although it is done or has
// another run in progress.
func (f *Fleet) checkStartAllowed(w *simulatedWorker, order worker.Start) {
	if f.AllowSpeculativeRuns {
		return
	}
	if end := f.done[order.Task]; end != nil && !end.void {
		end.startedAfter = fmt.Sprintf("%v run %d starts on %s after it was done on %s", order.Task, order.Run, w.info.ID, end.worker.info.ID)
		if end.acked {
			f.recordViolation("%s", end.startedAfter)
		}
	}
	for _, other := range f.workers {
		if r := other.runs[order.Task]; r != nil {
			f.recordViolation("%v run %d starts on %s while run %d is on %s", order.Task, order.Run, w.info.ID, r.number, other.info.ID)
		}
	}
}

func (f *Fleet) endRun(w *simulatedWorker, r *run, outcome worker.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.runs[r.task] != r {
		return
	}
	f.endRunLocked(w, r, outcome)
}

// endRunLocked ends a run and queues its end for the next status. The caller holds the lock.
func (f *Fleet) endRunLocked(w *simulatedWorker, r *run, outcome worker.Outcome) {
	r.timer.Stop()
	delete(w.runs, r.task)
	w.lastNumber++
	if outcome == worker.Done {
		f.done[r.task] = &doneRunEnd{worker: w, number: w.lastNumber}
	}
	w.endedRuns = append(w.endedRuns, worker.RunEnd{Number: w.lastNumber, Task: r.task, Run: r.number, Outcome: outcome})
	if w.changed != nil {
		close(w.changed)
		w.changed = nil
	}
}

// extendLease extends the lease of a worker. When the lease expires, all runs of the
// worker end.
func (f *Fleet) extendLease(w *simulatedWorker, leaseExpiry time.Duration) {
	if leaseExpiry <= w.leaseExpiry {
		return
	}
	w.leaseExpiry = leaseExpiry
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.leaseTimer = time.AfterFunc(leaseExpiry-f.now(), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.voidUnackedRunEnds(w)
		for _, r := range w.runs {
			f.endRunLocked(w, r, worker.LeaseExpired)
		}
	})
}

// Stop implements [worker.Client].
func (f *Fleet) Stop(ctx context.Context, to worker.Target, task job.TaskRef, number int, fence uint64) (worker.ClockTime, error) {
	err := f.deliver(ctx, to, "stop", func(w *simulatedWorker) error {
		if fence < w.fence {
			return worker.ErrFenced
		}
		w.fence = fence
		w.highestRun[task] = max(w.highestRun[task], number)
		if r := w.runs[task]; r != nil && r.number == number {
			time.AfterFunc(cmp.Or(f.StopTime, defaultStopTime), func() { f.endRun(w, r, worker.Stopped) })
		}
		return nil
	})
	return f.now(), err
}

// Hold implements [worker.Client].
func (f *Fleet) Hold(ctx context.Context, to worker.Target, hold worker.Hold) (worker.Status, error) {
	var w *simulatedWorker
	var changed <-chan struct{}
	err := f.deliver(ctx, to, "hold", func(found *simulatedWorker) error {
		w = found
		if hold.Fence < w.fence {
			return worker.ErrFenced
		}
		w.fence = hold.Fence
		f.extendLease(w, hold.LeaseExpiry)
		f.acknowledge(w, hold.AckedUpTo)
		if w.changed == nil {
			w.changed = make(chan struct{})
		}
		changed = w.changed
		return nil
	})
	if err != nil {
		return worker.Status{}, err
	}
	f.mu.Lock()
	pending := len(w.endedRuns) > 0
	f.mu.Unlock()
	if !pending {
		select {
		case <-changed:
		case <-time.After(hold.Wait):
		case <-ctx.Done():
			return worker.Status{}, ErrNoReply
		}
	}
	return f.status(ctx, w)
}

func (f *Fleet) acknowledge(w *simulatedWorker, upTo uint64) {
	for len(w.endedRuns) > 0 && w.endedRuns[0].Number <= upTo {
		w.endedRuns = w.endedRuns[1:]
	}
	w.acked = max(w.acked, upTo)
	for _, end := range f.done {
		if end.worker != w || end.acked || end.void || end.number > upTo {
			continue
		}
		end.acked = true
		if end.startedAfter != "" {
			f.recordViolation("%s", end.startedAfter)
		}
	}
}

func (f *Fleet) status(ctx context.Context, w *simulatedWorker) (worker.Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.partitioned || w.terminated {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return worker.Status{}, ErrNoReply
	}
	status := worker.Status{ClockTime: f.now(), StartedUnixMs: w.info.StartedUnixMs, EndedRuns: append([]worker.RunEnd(nil), w.endedRuns...)}
	for _, r := range w.runs {
		status.Running = append(status.Running, worker.RunningTask{Task: r.task, Run: r.number, Percent: 100})
	}
	return status, nil
}

// Pace implements [worker.Client]. Simulated runs ignore it.
func (f *Fleet) Pace(context.Context, worker.Target, job.TaskRef, int, int, uint64) error { return nil }
