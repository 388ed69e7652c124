package shard

import (
	"math/rand/v2"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/memory"
	"peridotcrank.dev/jobs/scheduler"
	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/jobs/workspaces"
)

// Shard schedules and runs the jobs of one pool. All its methods must be called on the
// control loop.
type Shard struct {
	opts Options
	// object is a random number that tells this owner object from others with the same name.
	object  uint64
	journal journal
	queues  Queues
	// storedQueues are the queues with a row, as the row describes them.
	storedQueues map[job.Queue]storedQueue
	// workspaces is nil on a site without workspaces.
	workspaces *workspaces.Table
	fair       fairShares
	caps       workspaceCaps

	active   bool // The rows are loaded.
	stopped  bool
	draining bool // Set during a handover: no new jobs or tasks are started.
	// ownerSince is when this process became the owner.
	ownerSince time.Duration
	// inheritedLease is the longest lease that former owners have granted.
	inheritedLease time.Duration

	lastSequence uint64
	jobs         map[job.ID]*jobState
	// unopenedJobs have occurrences that are due and wait for memory.
	unopenedJobs map[*jobState]struct{}
	// keptJobs is the memory of the jobs and of the ended ones, keptTasks that of the states of tasks.
	keptJobs, keptTasks *memory.Share
	ended               map[job.ID]endedJob
	// unreadable are the jobs with a row that cannot be decoded. Calls about them are
	// answered with Unknown.
	unreadable map[job.ID]struct{}
	workers    map[worker.ID]*workerState
	// removedWorkers are the workers that were removed lately.
	removedWorkers map[worker.ID]removedWorker
	// startableSteps are the steps whose tasks are allowed to start, in no particular
	// order.
	startableSteps map[*stepState]struct{}
	// delayedSteps are the released steps whose due time is still in the future.
	delayedSteps map[*stepState]struct{}
	// unaccountedWorkers counts the workers of former owners that may still run tasks
	// which this owner does not know.
	unaccountedWorkers int
	placementScheduled bool
	placementNeeded    bool           // Something has changed since the last placement pass.
	adviceRequest      *adviceRequest // Waiting or in flight; nil for none.
	starts             startWindow
	replies            replyMonitor
	registry           []worker.Info
	registryRead       bool // The registry was read since this process became the owner.
	lastSweep          time.Duration
	// lastLogicalTime is the last value that nextLogicalTime returned.
	lastLogicalTime logicalTime
	// unansweredStarts holds, by worker, the start orders without a reply. Such an order
	// may still be carried out, even by a later incarnation of the worker.
	unansweredStarts map[worker.ID]map[runKey]unansweredStart
	// idHomes are the parts of the rows of IDs by the address of the queue, and homeRequests the
	// requests for those that are not known yet.
	idHomes      map[job.QueueAddress]string
	homeRequests map[job.QueueAddress]homeRequest
	// statusCalls are the requests for a status without a reply.
	statusCalls    map[worker.ID]map[logicalTime]struct{}
	predictors     map[job.Queue]*scheduler.DurationPredictor
	recentArrivals []arrival // Oldest first.
	// lastFailure is when a run of a queue with an attempts limit last failed, or 0.
	lastFailure time.Duration
	learning    *learning // nil unless durations are learned.
	trace       shardTrace
}

// New returns a shard that is not active yet; Start activates it. It returns an error
// if the options are incomplete.
func New(opts Options) (*Shard, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	if opts.Counts == nil {
		opts.Counts = noCounts{}
	}
	if opts.WallClock == nil {
		opts.WallClock = time.Now
	}
	s := &Shard{
		opts: opts, object: rand.Uint64(), queues: Queues{}, storedQueues: map[job.Queue]storedQueue{}, jobs: map[job.ID]*jobState{}, ended: map[job.ID]endedJob{},
		workers: map[worker.ID]*workerState{}, removedWorkers: map[worker.ID]removedWorker{}, unansweredStarts: map[worker.ID]map[runKey]unansweredStart{}, statusCalls: map[worker.ID]map[logicalTime]struct{}{}, startableSteps: map[*stepState]struct{}{}, delayedSteps: map[*stepState]struct{}{},
		predictors: map[job.Queue]*scheduler.DurationPredictor{}, starts: newStartWindow(),
		unopenedJobs: map[*jobState]struct{}{}, keptJobs: memory.NewShare(opts.JobMemory), keptTasks: memory.NewShare(opts.TaskMemory),
		idHomes: map[job.QueueAddress]string{}, homeRequests: map[job.QueueAddress]homeRequest{},
	}
	if opts.LearnedDurations {
		s.learning = newLearning()
	}
	s.journal.init()
	return s, nil
}

// Start claims the head row and loads the rows of the shard.
func (s *Shard) Start() {
	s.ownerSince = s.opts.Clock()
	s.claimShard()
}

// Stop ends all activity of the shard. Callers that wait for a commit receive Unknown,
// or Refused if their job was never sent to the store.
func (s *Shard) Stop() {
	if s.stopped {
		return
	}
	s.stopped = true // First, so that the shard does not act on if a fault in its state strikes again.
	s.recordLastEndsStored()
	s.withdrawAdviceRequest()
	for _, js := range s.jobs {
		code := Unknown
		if !js.stored && !s.journal.mayHaveSentRow(js) {
			code = Refused
		}
		js.replyToSubmissions(Result{Code: code})
		js.replyToCancellations(Result{Code: Unknown})
	}
	s.keptJobs.Close()
	s.keptTasks.Close()
}

// Drain stops accepting jobs and starting tasks. Jobs accepted earlier are still
// committed.
func (s *Shard) Drain() { s.draining = true }

// Drained reports whether all changes are committed or the shard is stopped.
func (s *Shard) Drained() bool { return s.stopped || s.journal.idle() }

// SetQueues applies the configuration of the queues. A queue that was removed keeps its
// last configuration for the jobs that it still has.
func (s *Shard) SetQueues(queues Queues) {
	for name, q := range queues {
		s.queues[name] = q
	}
	if s.active {
		s.keepUsedQueues()
		s.flush()
	}
	s.schedulePlacement()
}

// SetWorkspaces applies the configuration of the workspaces; nil if there are none.
func (s *Shard) SetWorkspaces(table *workspaces.Table) {
	s.workspaces = table
	s.applyWeights()
	s.applyCaps(table)
	s.schedulePlacement()
}

// nextLogicalTime returns the logical time of a new event on the loop. It is greater
// than that of all earlier events.
func (s *Shard) nextLogicalTime() logicalTime {
	s.lastLogicalTime++
	return s.lastLogicalTime
}

// canAct reports whether this process may send orders and transactions now.
func (s *Shard) canAct() bool { return s.active && !s.stopped && s.opts.OwnsShard() }

func (s *Shard) recordEvent(code eventlog.Code, fields eventlog.Fields) {
	fields["shard"] = s.opts.Pool
	s.opts.Recorder.Record(code, fields)
}

// relinquish gives up the shard after the process has noticed another owner. evidence is what
// the log tells of that owner; nil if there is nothing.
func (s *Shard) relinquish(reason string, evidence eventlog.Fields) {
	if s.stopped {
		return
	}
	s.recordLost(reason, evidence)
	s.Stop()
	s.opts.OnLost()
}

func (s *Shard) runPeriodicChecks() {
	if s.stopped {
		return
	}
	s.opts.Loop.After(tickInterval, s.runPeriodicChecks)
	now := s.opts.Clock()
	s.replies.noteTick(now)
	s.tickLearning(now)
	s.releaseDelayedSteps()
	s.recordExcess(now)
	s.recordEndsStored(now)
	for _, w := range s.workers {
		s.checkWorker(w, now)
	}
	s.queryReferences(now)
	s.removeExpiredRecords(now)
	s.forgetRemovedWorkers(now)
	s.refuseUnsentJobs()
	s.checkCaps(now)
	s.schedulePlacement()
	s.flush()
}
