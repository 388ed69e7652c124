package shard

import (
	"errors"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/loop"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/worker"
)

// Options configure a [Shard].
type Options struct {
	// Pool is the pool whose workers and jobs the shard has. Required.
	Pool string
	// Owner names this process and its ownership in the head row. Required.
	Owner string
	// Fence is the fence of the ownership; workers refuse lower ones. Required.
	Fence uint64
	// HoldFor is the lease that workers get. Required.
	HoldFor time.Duration
	// KeepEnded is how long ended jobs are shown. Required.
	KeepEnded time.Duration
	// StopTime is how long a worker takes to stop a run, at most. Required.
	StopTime time.Duration

	Store    rows.Store        // Required.
	Workers  worker.Client     // Required.
	Adviser  worker.Adviser    // For queues with advice; nil for none.
	Loop     loop.Runner       // Required.
	Recorder eventlog.Recorder // Required.
	// HasRight reports whether this process may act for the shard now. Required.
	HasRight func() bool
	// Lost is called on the loop when another owner was noticed. Required.
	Lost func()
	// Clock measures leases. Required.
	Clock loop.Clock
	// Wall is the time of day, for due times. Default time.Now.
	Wall func() time.Time
}

// Validate reports options that cannot be used.
func (o Options) Validate() error {
	switch {
	case o.Pool == "" || o.Owner == "" || o.Fence == 0:
		return errors.New("shard: pool, owner and fence are required")
	case o.HoldFor <= 0 || o.KeepEnded <= 0 || o.StopTime <= 0:
		return errors.New("shard: leases, the time to keep ended jobs and the time of a stop must be positive")
	case o.Store == nil || o.Workers == nil || o.Loop == nil || o.Recorder == nil || o.HasRight == nil || o.Lost == nil || o.Clock == nil:
		return errors.New("shard: a dependency is missing")
	}
	return nil
}

// Queue is what the configuration says of a queue.
type Queue struct {
	// Attempts is the number of failed runs of a task after which its job has failed.
	Attempts int
	// Priority orders queues; 0 comes first.
	Priority int
	// Stretch and Objective give the time in which a job should complete:
	// Stretch times its longest chain of work, and Objective more.
	Stretch   float64
	Objective time.Duration
	// Advice is set where starts need a ticket.
	Advice worker.AdvicePolicy
}

// Queues is the configuration of all queues.
type Queues map[job.Queue]Queue

const (
	// tickInterval is the time between checks of leases and due times.
	tickInterval = 100 * time.Millisecond
	// commitGap is the least time between two transactions, so that ends and
	// jobs that come together share one.
	commitGap = 35 * time.Millisecond
	// commitTimeout bounds one attempt of a transaction.
	commitTimeout = time.Second
	// commitRetry is the pause before a transaction is sent again.
	commitRetry = 100 * time.Millisecond
	// commitLimit bounds the rows of a transaction; the store takes 100.
	commitLimit = 80
	// commitBytes bounds the values of a transaction; the store takes 1 MB in base64.
	commitBytes = 600_000
	// storeSlow is the age of an unanswered transaction from which new jobs are refused.
	storeSlow = 700 * time.Millisecond

	// orderTimeout is many times what a worker takes to answer an order.
	orderTimeout = 400 * time.Millisecond
	orderRetry   = 250 * time.Millisecond
	// stallLimit is the delay of this process from which it has noticed silence late.
	stallLimit = 500 * time.Millisecond
	// lateOrderLimit is how late an order without an answer may be carried out.
	lateOrderLimit = 15 * time.Second
	// holdWait is how long a worker may wait for an end before it answers a hold.
	holdWait     = 800 * time.Millisecond
	holdWaitIdle = 2 * time.Second
	holdTimeout  = 600 * time.Millisecond // Beyond the wait.
	holdRetry    = 200 * time.Millisecond
	// holdRenew is the age of a lease from which it is renewed although ends
	// are not committed yet.
	holdRenew = 700 * time.Millisecond
	// clockRate is the slowest rate of a worker's clock against the real time.
	clockRate = 0.98
	// leaseMargin is added to a lease before it is taken as passed.
	leaseMargin = 100 * time.Millisecond
	// maxUnanswered is how many starts in a row a worker may leave without an
	// answer before it rests. Single answers get lost while a worker is sound.
	maxUnanswered = 3
	// restPeriod is how long a worker that refused orders or did not answer them gets no further ones.
	restPeriod = time.Second
	// faultyJobs is the number of jobs with failed runs, and none that ended as done
	// between them, from which a worker counts as faulty: jobs that can never be done
	// fail on sound workers, too, but rarely so many in a row.
	faultyJobs = 3
	// faultyRest is how long a faulty worker gets no tasks. It doubles, mostFaultShift
	// times at most, until a run ends as done there.
	faultyRest     = 1500 * time.Millisecond
	mostFaultShift = 2
	// runsPerOwner separates the run numbers of consecutive owners.
	runsPerOwner = 1000
)
