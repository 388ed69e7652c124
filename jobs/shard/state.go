package shard

import (
	"slices"
	"time"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/memory"
	"peridotcrank.dev/jobs/scheduler"
	"peridotcrank.dev/jobs/worker"
)

// jobState is the state of a job that has not ended, or whose end is not committed yet.
type jobState struct {
	job      *job.Job
	sequence uint64 // Order of arrival at this owner.
	// stored is set once the job's row is committed.
	stored bool
	// inherited is set for jobs of a former owner, whose tasks may still be running.
	inherited bool
	// accountingRecorded is set once the log tells how the workers of former owners were accounted for before
	// a task of an inherited job was started.
	accountingRecorded bool
	// begun is set once a worker is known to have begun a task. An order to start one shows nothing.
	begun                  bool
	longRunning            bool // Has a step that runs until the job is cancelled.
	excessRound            int  // See [scheduler.SortKey]; 0 for a job within its workspace's weight.
	submitted              time.Duration
	remainingWork          scheduler.RemainingWork // As of remainingWorkOpenSteps open steps.
	remainingWorkOpenSteps int
	remainingWorkUntil     time.Duration // When it is computed again, with learned durations.
	// outcome is the state in which the job ends, or 0. Callers see it only after it is
	// committed.
	outcome job.State
	// steps are those of the open occurrences, in their order: all steps of one, then all of the next one.
	steps          []*stepState
	nextOccurrence int           // The first one that has not been opened.
	openSteps      int           // Steps of all occurrences with tasks that are not done.
	keptTasks      *memory.Share // Memory of the states of tasks.
	record         scheduler.JobRecord
	submitWaiters  []func(Result)
	cancelWaiters  []func(Result)
	// cap is the cap of the job's workspace, or nil, as of capGeneration.
	cap           *workspaceCap
	capGeneration uint64
}

// newJobState returns the state of a job of which no occurrence has begun. The states of its tasks count in share.
func newJobState(j *job.Job, share *memory.Share) *jobState {
	js := &jobState{job: j, longRunning: j.LongRunning(), keptTasks: share, openSteps: j.Occurrences() * len(j.Steps)}
	js.openOccurrence()
	return js
}

// awaitsCapacity reports whether no task of the job has begun or is ordered to start.
func (js *jobState) awaitsCapacity() bool {
	return !js.begun && !slices.ContainsFunc(js.steps, func(step *stepState) bool { return step.pending < step.spec.Count })
}

// openState returns the state that callers see of a job that has not ended.
func (js *jobState) openState() job.State {
	if js.begun {
		return job.Running
	}
	return job.Queued
}

// canStartTasks reports whether tasks of the job are allowed to start.
func (js *jobState) canStartTasks() bool { return js.stored && js.outcome == 0 }

// stepState is the state of a step in one occurrence of a job.
type stepState struct {
	job        *jobState
	spec       *job.Step
	occurrence int
	number     int
	tasks      []*task // See [stepState.peek]; nil until the first is kept.
	doneTasks  []byte  // A bit for each task that is done; nil if there is none.
	doneRuns   []int32 // See task.doneRun; nil if there is none.
	done       int     // Tasks that succeeded.
	loadedDone int     // Tasks that were done in the rows that this owner has loaded.
	pending    int     // Tasks that are not done and have no attempt.
	released   bool
	releasedAt time.Duration // When its tasks could first start.
	due        time.Time
	failedRuns map[int]bool // Run numbers of failed gang runs.
	held       bool         // A last attempt waits for a proven worker.
	advice     stepAdvice
	// heldBackSince is when the cap of the workspace first held the step back, or 0.
	heldBackSince  time.Duration
	heldBackLogged bool
}

func newStepState(js *jobState, occurrence, number int) *stepState {
	spec := &js.job.Steps[number]
	return &stepState{job: js, spec: spec, occurrence: occurrence, number: number, pending: spec.Count, due: js.job.Due(occurrence)}
}

func (s *stepState) complete() bool { return s.done == s.spec.Count }

// dependenciesDone reports whether all steps that this one depends on are complete.
func (s *stepState) dependenciesDone() bool {
	for _, before := range s.spec.After {
		if !s.job.step(s.occurrence, before).complete() {
			return false
		}
	}
	return true
}

type task struct {
	step                *stepState
	index               int
	done                bool
	lastRun             int // Highest run number used so far.
	failedRuns          map[int]bool
	checkpoint          string
	savedWork           time.Duration // How long the progress in the checkpoint took; 0 if unknown.
	attempts            []*attempt
	failedOn            []worker.ID // Workers on which a run has failed.
	restartedAfterStall bool        // A stalled run of the task was stopped.
	held                bool        // Its last attempt waits for a proven worker.
	heldSince           time.Duration
	doneRun             int      // The run whose end made the task done; 0 if it was done before this owner.
	lostRun             *lostRun // The last run if it no longer counts and no start has followed.
	// notBefore is the earliest time of the next start, on the shard's clock.
	notBefore time.Duration
}

func (t *task) ref() job.TaskRef {
	return job.TaskRef{Job: t.step.job.job.ID, Occurrence: t.step.occurrence, Step: t.step.number, Index: t.index}
}

func (t *task) removeAttempt(a *attempt) {
	for i, other := range t.attempts {
		if other == a {
			t.attempts = append(t.attempts[:i], t.attempts[i+1:]...)
			break
		}
	}
	switch {
	case len(t.attempts) > 0:
	case t.done:
		t.step.release(t)
	default:
		t.step.pending++
	}
}

func (t *task) addAttempt(a *attempt) {
	if len(t.attempts) == 0 && !t.done {
		t.step.pending--
	}
	t.step.keep(t)
	t.attempts = append(t.attempts, a)
	t.lastRun = max(t.lastRun, a.run)
}

// phase is the stage of an attempt.
type phase uint8

const (
	starting phase = iota
	running
	stopping
)

// logicalTime orders the events of a shard. The clock cannot, because several events
// may have the same clock time.
type logicalTime uint64

// runKey identifies a run of a task.
type runKey struct {
	task job.TaskRef
	run  int
}

// attempt is a run of a task that was ordered or discovered on a worker. It exists
// until the run certainly no longer executes.
type attempt struct {
	task     *task // nil for a run of an unknown job.
	ref      job.TaskRef
	run      int
	worker   *workerState
	reserved job.Resources
	phase    phase
	// answeredAt is when the worker answered the last order about the run, or 0 before.
	answeredAt logicalTime
	sentAt     time.Duration // When the last order about the run was sent.
	startedAt  time.Duration // When its start was ordered.
	// uncertainSince is when a start timed out without a reply, or 0 before.
	uncertainSince logicalTime
	firstSeenAt    time.Duration // When the run was first known to be running.
	// stopInFlight is set while a stop order awaits its reply.
	stopInFlight bool
	percent      int
	measure      float64 // Last reported [worker.RunningTask.Measure].
	pace         attemptPace
	timing       runTiming
	found        bool // Not started by this owner.
	// movedFrom is the incarnation to which the start was sent, if the worker has restarted
	// since; nil otherwise.
	movedFrom *workerState
	countedIn *workspaceCap // The cap in whose use the run is counted, or nil.
	// probeUntil is when the lease of a probe expires, see [quarantine]; 0 for other runs.
	probeUntil worker.ClockTime
	former     *lostRun // The run that this one replaces, or nil.
	// orderedFrom is when the incarnation started for which the start was meant, in Unix milliseconds; 0 if
	// this owner has not ordered the run.
	orderedFrom int64
}

func (a *attempt) key() runKey { return runKey{a.ref, a.run} }

// workerState is the state of one incarnation of a worker.
type workerState struct {
	info                worker.Info
	registered          bool        // Listed in the platform's registry.
	entry               worker.Info // Registry entry that was read last, maybe of another incarnation.
	rowCommitted        bool        // Its row is committed, so a later owner will query the worker.
	rowQueued           bool
	accountedFor        bool          // It replied to this owner, or it does not reply and its leases from former owners have expired.
	vacateUntil         time.Duration // It gets no new tasks until then.
	maintenanceDueUntil time.Duration // Its VM counts as due for maintenance until then.
	checkingSilence     bool          // A check of its silence is in progress.
	statusRequestedAt   time.Duration // When its status was last requested for a starting task.
	knownSince          time.Duration // When this incarnation became known.
	restarted           bool          // It may have carried out orders for the former incarnation.
	inherited           bool          // A former owner has recorded it.
	// fence is the fencing token of orders to this incarnation. formerFence is at least that of all
	// orders to former ones, 0 if this owner has sent none.
	fence, formerFence uint64
	fenceRaisedAt      logicalTime // When fence became higher than formerFence, or 0.
	used               job.Resources
	attempts           map[runKey]*attempt

	clock          worker.ClockTime // Last reading of the worker's clock.
	clockReadAt    time.Duration    // When that reading arrived, on the shard's clock.
	maxLeaseExpiry worker.ClockTime // Latest lease expiry that was sent to the worker.
	// formerLeaseExpiry is the latest lease expiry that an order for the former
	// incarnation may have set.
	formerLeaseExpiry worker.ClockTime

	lastAppliedEnd              uint64 // Number of the last end of a run that was applied.
	lastCommittedEnd            uint64 // Number of the last end of a run whose effects are committed.
	holdInFlight                *holdCall
	holdSentAt                  time.Duration
	failedHolds                 int // Consecutive holds without a reply.
	backoffUntil                time.Duration
	consecutiveUnansweredStarts int           // Reset by an answered start.
	lastRunEndedAt              time.Duration // When an ended run was last reported.
	// failedJobs are the jobs with a failed run on this worker since the last
	// successful run.
	failedJobs     map[job.ID]struct{}
	faultyBackoffs int // How often the worker was put into faulty backoff since then.
	record         scheduler.WorkerRecord
	standing       scheduler.Standing // As of the last placement pass that used it.
	// lastStatusClock is the worker's clock in the last status that was applied.
	lastStatusClock worker.ClockTime
	lastStatusAt    time.Duration // When that status was applied.
	lastStatusSent  logicalTime   // When the last request was sent that an applied status answers.
	statusTakenAt   time.Duration // When that status was taken at the earliest.
	firstReplyAt    time.Duration // When this owner got the first reply of this incarnation.
	clockOffset     time.Duration // Lower bound of the shard's clock minus the worker's clock.
	ackedEnd        uint64        // Number up to which the worker has confirmed an acknowledgement.
	confirmedAt     time.Duration // When a hold without an acknowledgement was last sent to confirm the incarnation.
	// openAcks are the acknowledgements that this incarnation has not answered, and formerAcks
	// those for former incarnations, which may be carried out by any later one. Oldest first.
	openAcks, formerAcks []sentAck
	quarantine           quarantine
	holdRepliedAt        time.Duration // When the last hold was answered.
	repliedAt            time.Duration // When the last status arrived, however late.
	// endWindow is how long before the clock of that status its ends may have happened.
	endWindow time.Duration
	// doubtful is set if the worker is slow or has not completed a run recently. It is
	// used only with learned durations.
	doubtful bool

	pace          int // Pace of the best-effort tasks, in percent.
	paceChangedAt time.Duration
	trace         workerTrace
	// holdRetryPending is set while a failed hold waits to be repeated.
	holdRetryPending bool
}

// minClockNow returns the lowest value that the worker's clock can show now.
func (w *workerState) minClockNow(now time.Duration) worker.ClockTime {
	return w.clock + time.Duration(float64(now-w.clockReadAt)*minClockRate)
}

// maxClockNow returns the highest value that the worker's clock can show now.
func (w *workerState) maxClockNow(now time.Duration) worker.ClockTime { return now - w.clockOffset }

// leaseExpiry returns the latest time at which the worker's lease expires, on the
// shard's clock.
func (w *workerState) leaseExpiry() time.Duration {
	left := max(w.maxLeaseExpiry-w.clock, w.formerLeaseExpiry-w.clock, 0)
	return w.clockReadAt + time.Duration(float64(left)/minClockRate) + leaseMargin
}

// leaseExpired reports whether a worker that does not reply has runs and its lease has
// expired.
func (w *workerState) leaseExpired(now time.Duration) bool {
	return w.failedHolds > 0 && len(w.attempts) > 0 && w.clock > 0 && now > w.leaseExpiry()
}

// hasCurrentEntry reports whether the registry lists this incarnation of the worker. Until
// then its capacity is unknown, since it may differ from that of the former incarnation.
func (w *workerState) hasCurrentEntry() bool {
	return w.registered && w.entry.StartedUnixMs == w.info.StartedUnixMs
}

func (w *workerState) free() job.Resources { return w.info.Capacity.Minus(w.used) }

// rack returns the worker's last label, which names its rack, or "" if the worker has
// fewer than two labels.
func (w *workerState) rack() string {
	if len(w.info.Labels) < 2 {
		return ""
	}
	return w.info.Labels[len(w.info.Labels)-1]
}

// endedJob is a job whose end is committed.
type endedJob struct {
	state     job.State
	queue     job.Queue
	workspace job.Workspace
	at        time.Time
	idPart    string // See [job.Job.IDPart].
}
