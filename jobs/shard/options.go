package shard

import (
	"errors"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/advice"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/loop"
	"peridotcrank.dev/jobs/memory"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/worker"
)

// Options configure a [Shard].
type Options struct {
	// Pool is the pool whose workers and jobs the shard manages. Required.
	Pool string
	// Owner identifies this process and this term of ownership in the head row.
	// Required.
	Owner string
	// Fence is the fencing token of this ownership. Workers refuse orders with a lower
	// one. Required.
	Fence uint64
	// Acquisition counts the shards with the same pool that this process has created. Only the log
	// shows it.
	Acquisition int
	// LeaseDuration is the duration of the leases granted to workers. Required.
	LeaseDuration time.Duration
	// MaxLease is the longest lease that a worker accepts. A worker that has restarted may
	// shorten an order for its former incarnation to it. Default LeaseDuration.
	MaxLease time.Duration
	// KeepEnded is how long the state of ended jobs is kept. Required.
	KeepEnded time.Duration
	// StopTime is the maximum time that a worker takes to stop a run. Required.
	StopTime time.Duration

	Store   rows.Store    // Required.
	Workers worker.Client // Required.
	Advice  *advice.Queue // For queues with advice; nil for none.
	// JobMemory bounds the jobs that the shards of this process keep, TaskMemory the states of their tasks;
	// nil for no limit.
	JobMemory, TaskMemory *memory.Budget
	Loop                  loop.Runner       // Required.
	Recorder              eventlog.Recorder // Required.
	// OwnsShard reports whether this process owns the shard and its lease has not
	// expired, so that it is allowed to act for the shard. Required.
	OwnsShard func() bool
	// OnLost is called on the loop after another owner was noticed. Required.
	OnLost func()
	// OnExcess is called on the loop for each job in excess of the weight of its
	// workspace; nil for no calls.
	OnExcess func(job.Workspace, ExcessOutcome)
	// Clock is the clock for leases. Required.
	Clock loop.Clock
	// WallClock returns the time of day, used for due times. Default time.Now.
	WallClock func() time.Time
	// AttemptRecords places attempts by the records of the workers in queues with an
	// attempts limit.
	AttemptRecords bool
	// LearnedDurations replaces the regression over declared estimates by distributions
	// that are learned from finished runs.
	LearnedDurations bool
	// Counts counts what an operator watches; nil for none.
	Counts Counts
	// PredictionObserved is called on the loop with the predicted and the actual duration
	// of a task; nil for none.
	PredictionObserved func(predicted, actual time.Duration)
}

// Validate returns an error if a required option is missing or a duration is not
// positive.
func (o Options) Validate() error {
	switch {
	case o.Pool == "" || o.Owner == "" || o.Fence == 0:
		return errors.New("shard: pool, owner and fence are required")
	case o.LeaseDuration <= 0 || o.KeepEnded <= 0 || o.StopTime <= 0:
		return errors.New("shard: the lease duration, the time to keep ended jobs and the stop time must be positive")
	case o.Store == nil || o.Workers == nil || o.Loop == nil || o.Recorder == nil || o.OwnsShard == nil || o.OnLost == nil || o.Clock == nil:
		return errors.New("shard: a required dependency is missing")
	}
	return nil
}

// Queue is the configuration of one queue.
type Queue struct {
	// Attempts is the number of failed runs of one task that makes its job fail.
	Attempts int
	// Priority orders queues; 0 comes first.
	Priority int
	// Stretch and Objective define the time within which a job should complete: Stretch
	// times its longest chain of dependent steps, plus Objective.
	Stretch   float64
	Objective time.Duration
	// Advice is set for queues whose starts require a ticket from the adviser.
	Advice worker.AdvicePolicy
	// Address is where callers find the queue.
	Address job.QueueAddress
}

// Queues maps each queue to its configuration.
type Queues map[job.Queue]Queue

const (
	// tickInterval is the time between two periodic checks of leases and due times.
	tickInterval = 100 * time.Millisecond
	// minCommitInterval is the minimum time between two transactions. It lets changes
	// that arrive close together share a transaction.
	minCommitInterval = 35 * time.Millisecond
	// commitTimeout bounds one attempt to commit a transaction.
	commitTimeout = time.Second
	// commitRetryDelay is the delay before a transaction is sent again.
	commitRetryDelay = 100 * time.Millisecond
	// maxCommitRows bounds the rows and expectations of a transaction; the store accepts 100.
	maxCommitRows = 80
	// maxCommitBytes bounds the size of the values in a transaction; the store accepts
	// 1 MB in base64.
	maxCommitBytes = 600_000
	// maxRowBytes bounds a value; the store accepts 64 KiB in base64.
	maxRowBytes = 48 << 10
	// slowCommitAge is the age of an unanswered transaction from which new jobs are
	// refused.
	slowCommitAge = 700 * time.Millisecond

	// orderTimeout is many times the time that a worker takes to reply to an order.
	orderTimeout    = 400 * time.Millisecond
	orderRetryDelay = 250 * time.Millisecond
	// maxProcessDelay bounds how late this process may run its periodic checks. If they are
	// later, the process itself was stalled, and the silence of a worker proves nothing.
	maxProcessDelay = 500 * time.Millisecond
	// maxOrderDelay is the longest time after which an unanswered order may still be
	// carried out.
	maxOrderDelay = 15 * time.Second
	// removedWorkerRetention is how long the fence of a removed worker is kept. It covers the longest
	// delay of an order and a cut.
	removedWorkerRetention = 4 * maxOrderDelay
	// holdWait is how long a worker may delay its reply to a hold while no run ends.
	// holdWaitIdle applies to a worker without runs.
	holdWait       = 800 * time.Millisecond
	holdWaitIdle   = 2 * time.Second
	holdTimeout    = 600 * time.Millisecond // In addition to the wait.
	holdRetryDelay = 200 * time.Millisecond
	// lateReplyLimit bounds the time, in addition to the wait, in which the reply to a hold is
	// awaited and applied although it is late.
	lateReplyLimit = 3 * time.Second
	// maxRenewalInterval is the time since the last hold after which a lease is renewed
	// even if the ends of runs are not committed yet.
	maxRenewalInterval = 700 * time.Millisecond
	// minRestartAndRun is less than the time that a worker takes to restart and to complete a
	// run.
	minRestartAndRun = 100 * time.Millisecond
	// maxConfirmationAge is the age up to which the answered request for a confirmation is
	// enough. Without it, a process that handles replies late would never acknowledge.
	maxConfirmationAge = 500 * time.Millisecond
	// minClockRate is the slowest rate of a worker's clock relative to real time.
	minClockRate = 0.98
	// minUnansweredHolds is the number of consecutive holds without a reply from which a
	// new owner takes a worker whose leases have expired for unreachable. A worker that
	// replies may list ends of runs, however long ago its leases expired.
	minUnansweredHolds = 2
	// leaseMargin is added to a lease before it counts as expired.
	leaseMargin = 100 * time.Millisecond
	// maxUnansweredStarts is the number of consecutive starts without a reply after
	// which a worker gets no tasks for the backoff period. A single lost reply does
	// not indicate a faulty worker.
	maxUnansweredStarts = 3
	// backoffPeriod is how long a worker gets no tasks after it refused orders or did
	// not reply to them.
	backoffPeriod = time.Second
	// minFailedJobs is the number of jobs with failed runs, without a successful run in
	// between, from which a worker counts as faulty. Jobs that can never succeed fail
	// on healthy workers too, but rarely this many in a row.
	minFailedJobs = 3
	// faultyBackoff is how long a faulty worker gets no tasks. It doubles each time, at
	// most maxFaultyBackoffShift times, until a run succeeds on the worker.
	faultyBackoff         = 1500 * time.Millisecond
	maxFaultyBackoffShift = 2
	// runsPerOwner is the distance between the run number ranges of consecutive owners.
	runsPerOwner = 1000
)
