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

// ErrNoAnswer is the error of an order without answer.
var ErrNoAnswer = errors.New("no answer")

// Plan says what a run does.
type Plan struct {
	Duration time.Duration
	Fails    bool
}

// Fault is what goes wrong with one order.
type Fault uint8

// Faults of an order.
const (
	None    Fault = iota
	Lost          // Carried out, no answer.
	Delayed       // No answer, carried out seconds later.
	Silent        // Neither.
)

// Fleet is a set of workers.
type Fleet struct {
	// Delay is how long a delayed order takes. Default 4 s.
	Delay time.Duration
	// StopTime is how long a stop takes. Default 50 ms.
	StopTime time.Duration

	// OutlivesWorker lets delayed orders reach a later life of the worker. A hold
	// never does: nothing could prevent that it acknowledges ends of that life.
	OutlivesWorker bool

	// SpeculativeRuns permits several runs of a task at the same time.
	SpeculativeRuns bool

	mu         sync.Mutex
	tickets    func(worker.ID, worker.Start) bool
	refused    int // Starts with a ticket that is not accepted.
	behave     func(task job.TaskRef, run int) Plan
	place      func(id worker.ID, task job.TaskRef) Plan
	fault      func(id worker.ID, order string) Fault
	began      time.Time
	workers    map[worker.ID]*simulated
	done       map[job.TaskRef]*doneEnd
	starts     map[job.TaskRef]int
	violations []string
}

const (
	defaultDelay    = 4 * time.Second
	defaultStopTime = 50 * time.Millisecond
)

// doneEnd is the end of a task as done. It binds nobody once the lease of its
// worker has passed before it was acknowledged.
type doneEnd struct {
	worker *simulated
	number uint64
	acked  bool
	void   bool
	// startedAfter describes a later start; it breaks a guarantee if the end is acknowledged.
	startedAfter string
}

type run struct {
	task   job.TaskRef
	number int
	timer  *time.Timer
}

type simulated struct {
	info    worker.Info
	dark    bool
	gone    bool // Another life took its place.
	fence   uint64
	due     time.Duration
	lease   *time.Timer
	runs    map[job.TaskRef]*run
	highest map[job.TaskRef]int
	ended   []worker.End
	number  uint64
	acked   uint64
	changed chan struct{}
}

var _ worker.Client = (*Fleet)(nil)

// New returns a fleet without workers; behave says what a run does.
func New(behave func(job.TaskRef, int) Plan) *Fleet {
	return &Fleet{
		behave: behave, began: time.Now(), workers: map[worker.ID]*simulated{},
		done: map[job.TaskRef]*doneEnd{}, starts: map[job.TaskRef]int{},
	}
}

// Add adds a worker, or a new life of one.
func (f *Fleet) Add(info worker.Info) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.workers[info.ID]; old != nil {
		f.kill(old)
	}
	f.workers[info.ID] = &simulated{info: info, runs: map[job.TaskRef]*run{}, highest: map[job.TaskRef]int{}, due: f.now()}
}

// SetBehaviour sets what runs do from now on.
func (f *Fleet) SetBehaviour(behave func(task job.TaskRef, run int) Plan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behave = behave
}

// SetPlace sets what runs do on each worker from now on, in place of the behaviour.
func (f *Fleet) SetPlace(behave func(id worker.ID, task job.TaskRef) Plan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.place = behave
}

// SetFault sets what chooses the fault of each order; nil for none.
func (f *Fleet) SetFault(choose func(id worker.ID, order string) Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = choose
}

// Locked runs g while no fault is being chosen.
func (f *Fleet) Locked(g func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g()
}

// SetDark cuts a worker off, or brings it back; its runs go on.
func (f *Fleet) SetDark(id worker.ID, dark bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].dark = dark
}

// Kill ends a worker for good.
func (f *Fleet) Kill(id worker.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kill(f.workers[id])
	f.workers[id].dark = true
}

// SetTickets sets what accepts the tickets of starts; nil for no tickets.
func (f *Fleet) SetTickets(accepts func(worker.ID, worker.Start) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tickets = accepts
}

// TicketsRefused returns the number of starts whose ticket was not accepted.
func (f *Fleet) TicketsRefused() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

// Violations returns what broke a guarantee.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.violations
}

// Done returns the number of tasks that ended as done.
func (f *Fleet) Done() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.done)
}

// Running returns the number of runs.
func (f *Fleet) Running() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		n += len(w.runs)
	}
	return n
}

// Starts returns how often a task was started.
func (f *Fleet) Starts(task job.TaskRef) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[task]
}

func (f *Fleet) now() time.Duration { return time.Since(f.began) + time.Second }

func (f *Fleet) violate(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("%v: ", f.now())+fmt.Sprintf(format, args...))
}

// forget releases the system from ends of a worker that were not acknowledged.
func (f *Fleet) forget(w *simulated) {
	for _, end := range f.done {
		end.void = end.void || end.worker == w && !end.acked
	}
}

func (f *Fleet) kill(w *simulated) {
	f.forget(w)
	w.gone = true
	for _, r := range w.runs {
		r.timer.Stop()
	}
	w.runs = map[job.TaskRef]*run{}
}

// deliver runs an order on a worker, with the fault that was chosen for it.
func (f *Fleet) deliver(ctx context.Context, to worker.Target, name string, order func(*simulated) error) error {
	f.mu.Lock()
	fault := None
	if f.fault != nil {
		fault = f.fault(to.ID, name)
	}
	w := f.workers[to.ID]
	unreachable := w == nil || w.dark || fault == Silent
	if fault == Delayed && !unreachable {
		time.AfterFunc(cmp.Or(f.Delay, defaultDelay), func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			reached := f.workers[to.ID]
			if reached.dark || reached != w && (!f.OutlivesWorker || name == "hold") {
				return
			}
			_ = order(reached) // Nobody waits for the answer.
		})
	}
	if unreachable || fault == Delayed {
		f.mu.Unlock()
		<-ctx.Done()
		return ErrNoAnswer
	}
	err := order(w)
	f.mu.Unlock()
	if fault == Lost {
		<-ctx.Done()
		return ErrNoAnswer
	}
	return err
}

// Start implements [worker.Client].
func (f *Fleet) Start(ctx context.Context, to worker.Target, order worker.Start) (worker.Clock, error) {
	err := f.deliver(ctx, to, "start", func(w *simulated) error { return f.start(w, order) })
	return f.now(), err
}

func (f *Fleet) start(w *simulated, order worker.Start) error {
	switch {
	case order.Fence < w.fence:
		return worker.ErrFenced
	case order.Due <= f.now():
		return worker.ErrTooLate
	}
	if f.tickets != nil && !f.tickets(w.info.ID, order) {
		f.refused++
		return worker.ErrTicket
	}
	w.fence = order.Fence
	f.extend(w, order.Due)
	if r := w.runs[order.Task]; r != nil && r.number == order.Run {
		return nil
	}
	if order.Run <= w.highest[order.Task] {
		return worker.ErrOldRun
	}
	w.highest[order.Task] = order.Run
	f.starts[order.Task]++
	f.checkStart(w, order)
	r := &run{task: order.Task, number: order.Run}
	w.runs[order.Task] = r
	plan := f.behave(order.Task, order.Run)
	if f.place != nil {
		plan = f.place(w.info.ID, order.Task)
	}
	how := worker.Done
	if plan.Fails {
		how = worker.Failed
	}
	r.timer = time.AfterFunc(plan.Duration, func() { f.endRun(w, r, how) })
	return nil
}

func (f *Fleet) checkStart(w *simulated, order worker.Start) {
	if f.SpeculativeRuns {
		return
	}
	if end := f.done[order.Task]; end != nil && !end.void {
		end.startedAfter = fmt.Sprintf("%v run %d starts on %s after it was done on %s", order.Task, order.Run, w.info.ID, end.worker.info.ID)
		if end.acked {
			f.violate("%s", end.startedAfter)
		}
	}
	for _, other := range f.workers {
		if r := other.runs[order.Task]; r != nil {
			f.violate("%v run %d starts on %s while run %d is on %s", order.Task, order.Run, w.info.ID, r.number, other.info.ID)
		}
	}
}

func (f *Fleet) endRun(w *simulated, r *run, how worker.How) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.runs[r.task] != r {
		return
	}
	f.end(w, r, how)
}

func (f *Fleet) end(w *simulated, r *run, how worker.How) {
	r.timer.Stop()
	delete(w.runs, r.task)
	w.number++
	if how == worker.Done {
		f.done[r.task] = &doneEnd{worker: w, number: w.number}
	}
	w.ended = append(w.ended, worker.End{Number: w.number, Task: r.task, Run: r.number, How: how})
	if w.changed != nil {
		close(w.changed)
		w.changed = nil
	}
}

// extend prolongs the lease of a worker.
func (f *Fleet) extend(w *simulated, due time.Duration) {
	if due <= w.due {
		return
	}
	w.due = due
	if w.lease != nil {
		w.lease.Stop()
	}
	w.lease = time.AfterFunc(due-f.now(), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.forget(w)
		for _, r := range w.runs {
			f.end(w, r, worker.Lapsed)
		}
	})
}

// Stop implements [worker.Client].
func (f *Fleet) Stop(ctx context.Context, to worker.Target, task job.TaskRef, number int, fence uint64) (worker.Clock, error) {
	err := f.deliver(ctx, to, "stop", func(w *simulated) error {
		if fence < w.fence {
			return worker.ErrFenced
		}
		w.fence = fence
		w.highest[task] = max(w.highest[task], number)
		if r := w.runs[task]; r != nil && r.number == number {
			time.AfterFunc(cmp.Or(f.StopTime, defaultStopTime), func() { f.endRun(w, r, worker.Stopped) })
		}
		return nil
	})
	return f.now(), err
}

// Hold implements [worker.Client].
func (f *Fleet) Hold(ctx context.Context, to worker.Target, hold worker.Hold) (worker.Status, error) {
	var w *simulated
	var changed <-chan struct{}
	err := f.deliver(ctx, to, "hold", func(found *simulated) error {
		w = found
		if hold.Fence < w.fence {
			return worker.ErrFenced
		}
		w.fence = hold.Fence
		f.extend(w, hold.Due)
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
	pending := len(w.ended) > 0
	f.mu.Unlock()
	if !pending {
		select {
		case <-changed:
		case <-time.After(hold.Wait):
		case <-ctx.Done():
			return worker.Status{}, ErrNoAnswer
		}
	}
	return f.status(ctx, w)
}

func (f *Fleet) acknowledge(w *simulated, upTo uint64) {
	for len(w.ended) > 0 && w.ended[0].Number <= upTo {
		w.ended = w.ended[1:]
	}
	w.acked = max(w.acked, upTo)
	for _, end := range f.done {
		if end.worker != w || end.acked || end.void || end.number > upTo {
			continue
		}
		end.acked = true
		if end.startedAfter != "" {
			f.violate("%s", end.startedAfter)
		}
	}
}

func (f *Fleet) status(ctx context.Context, w *simulated) (worker.Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.dark || w.gone {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return worker.Status{}, ErrNoAnswer
	}
	status := worker.Status{Clock: f.now(), Born: w.info.Born, Ended: append([]worker.End(nil), w.ended...)}
	for _, r := range w.runs {
		status.Running = append(status.Running, worker.RunningTask{Task: r.task, Run: r.number, Percent: 100})
	}
	return status, nil
}

// Pace implements [worker.Client].
func (f *Fleet) Pace(context.Context, worker.Target, job.TaskRef, int, int, uint64) error { return nil }
