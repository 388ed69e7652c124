package workertest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker"
)

// Fleet is a set of simulated workers.
type Fleet struct {
	// Delay is the time until a delayed order is executed. Default 4 s.
	Delay time.Duration
	// StopTime is the time that a run takes to stop. Default 50 ms.
	StopTime time.Duration

	// MaxLease is the longest lease that a worker accepts; a longer one is shortened.
	// Default 6 s.
	MaxLease time.Duration

	// DeliverToNewIncarnation lets delayed orders reach a later incarnation of the
	// worker. A hold renews its lease, acknowledges its ended runs by their numbers and
	// sets its fence, unless it has seen a higher one.
	DeliverToNewIncarnation bool

	// Readings are the behaviours of the workers where the protocol permits several.
	Readings Readings

	// OnAcknowledge is called with each end of a run that a hold acknowledges, under the
	// lock of the fleet. It is not called with an end that occurs after the acknowledgement
	// of its number. Nil for no calls.
	OnAcknowledge func(worker.ID, worker.RunEnd)

	// AllowSpeculativeRuns permits several runs of a task at the same time.
	AllowSpeculativeRuns bool

	// GangSize returns the number of members of the gang of a task, 0 for a task without one; nil if there are no
	// gangs. The members work from when all are present, and end together.
	GangSize func(job.TaskRef) int

	// NoteListedEnds lets an end count as acknowledged listedEndNoted after a worker has
	// listed it in a status that it sent, unless it is void or the worker is cut off or
	// terminated by then. It does not matter whether the owner has handled the status.
	NoteListedEnds bool

	// Latency returns what a run of a task reports about itself, by the paces of all runs on its worker; nil for 0.
	Latency func(task job.TaskRef, paces map[job.TaskRef]int) float64

	// closed is done when Close was called.
	closed context.Context
	close  context.CancelFunc

	mu              sync.Mutex
	acceptTicket    func(worker.ID, worker.Start) bool
	reservedBy      func(job.TaskRef) job.Resources // nil disables the check of capacities.
	refusedTickets  int                             // Number of starts whose ticket was not accepted.
	planRun         func(task job.TaskRef, run int) RunPlan
	planRunOnWorker func(id worker.ID, task job.TaskRef) RunPlan
	chooseFault     func(id worker.ID, order string) Fault
	chooseHoldFault func(worker.ID, worker.Hold) Fault
	chooseDelay     func(id worker.ID, order string) time.Duration
	replyDelay      func(worker.ID) time.Duration
	owners          []uint64 // First fences of the owners.
	createdAt       time.Time
	workers         map[worker.ID]*simulatedWorker
	done            map[job.TaskRef]*doneRunEnd
	starts          map[job.TaskRef]int
	gangs           map[gangKey]*gangRun
	violations      []string
	limits          *DisruptionLimits // nil disables the check of disruptions.
	presences       map[job.TaskRef]*presence
	orderIsLate     bool // The order that is carried out was delayed.
	readingsRandom  *rand.Rand
}

type simulatedWorker struct {
	info        worker.Info
	startedAt   time.Duration
	clockStart  worker.ClockTime
	clockRate   float64 // Of real time.
	partitioned bool
	terminated  bool          // A new incarnation exists, or the worker was killed.
	callsBroken bool          // Calls in flight fail at once, instead of waiting for their timeout.
	broken      chan struct{} // Closed when callsBroken is set.
	reportedTo  uint64        // Highest fence of a hold whose status has arrived.
	former      *simulatedWorker
	fence       uint64
	leaseExpiry time.Duration
	leaseTimer  *time.Timer
	runs        map[runKey]*run
	barred      map[job.TaskRef]int // Runs up to these numbers are refused.
	endedRuns   []worker.RunEnd
	lastNumber  uint64
	acked       uint64          // Highest number that a hold has acknowledged.
	waiting     []chan struct{} // Of the holds that wait; closed when they are answered.
}

// New returns a fleet without workers; planRun defines what each run does.
func New(planRun func(job.TaskRef, int) RunPlan) *Fleet {
	closed, closeFleet := context.WithCancel(context.Background())
	return &Fleet{
		planRun: planRun, createdAt: time.Now(), workers: map[worker.ID]*simulatedWorker{},
		done: map[job.TaskRef]*doneRunEnd{}, starts: map[job.TaskRef]int{}, closed: closed, close: closeFleet,
	}
}

// Close ends the calls that nobody awaits any more.
func (f *Fleet) Close() { f.close() }

// Add adds a worker. It replaces a worker with the same ID by a new incarnation. Calls in
// flight to the former one get no reply.
func (f *Fleet) Add(info worker.Info) { f.add(info, false) }

// Restart is like Add, but breaks the connections of calls in flight.
func (f *Fleet) Restart(info worker.Info) { f.add(info, true) }

func (f *Fleet) add(info worker.Info, breakCalls bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.workers[info.ID]
	f.workers[info.ID] = &simulatedWorker{
		info: info, runs: map[runKey]*run{}, barred: map[job.TaskRef]int{}, startedAt: f.now(), former: old,
		clockStart: f.drawClockStart(old), clockRate: f.drawClockRate(), broken: make(chan struct{}),
	}
	if old != nil {
		f.kill(old)
		if breakCalls {
			old.breakCalls()
		}
	}
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

// SetHoldFault sets the function that chooses the fault of each hold; nil for none. A hold
// for which it returns [NoFault] has the fault that the function of SetFault chooses.
func (f *Fleet) SetHoldFault(choose func(worker.ID, worker.Hold) Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chooseHoldFault = choose
}

// AddOwner announces the first fence of a next owner of the workers. The fences up to that of
// the owner after it are those of its orders. Without owners, each fence counts as an owner.
func (f *Fleet) AddOwner(firstFence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.owners = append(f.owners, firstFence)
}

// ownerOf returns the first fence of the owner that has a fence.
func (f *Fleet) ownerOf(fence uint64) (first uint64) {
	if len(f.owners) == 0 {
		return fence
	}
	for _, owner := range f.owners {
		if owner <= fence {
			first = max(first, owner)
		}
	}
	return first
}

// SetDelay sets the function that returns the time until a delayed order is executed; nil
// for Delay.
func (f *Fleet) SetDelay(delay func(id worker.ID, order string) time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chooseDelay = delay
}

// SetReplyDelay sets the function that returns how long the replies to the holds of a
// worker are on their way; nil for no delay.
func (f *Fleet) SetReplyDelay(delay func(worker.ID) time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replyDelay = delay
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

// CheckCapacity records a violation when a start brings a worker over its capacity.
// reservedBy returns the resources that a task reserves. A run that is being stopped
// counts until its end is listed.
func (f *Fleet) CheckCapacity(reservedBy func(job.TaskRef) job.Resources) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reservedBy = reservedBy
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

// RunningTasks returns the tasks of the runs in progress on all workers.
func (f *Fleet) RunningTasks() (tasks []job.TaskRef) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		for key := range w.runs {
			tasks = append(tasks, key.task)
		}
	}
	return tasks
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

func (f *Fleet) kill(w *simulatedWorker) {
	f.voidUnackedRunEnds(w)
	w.terminated = true
	runs := w.runs
	w.runs = map[runKey]*run{}
	for _, r := range runs {
		r.timer.Stop()
		f.noteEnd(r)
		f.leaveGang(r)
	}
}
