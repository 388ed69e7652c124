package worker

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"peridotcrank.dev/jobs/job"
)

// ID identifies a worker.
type ID string

// State is the state that a worker reports to the registry.
type State uint8

// States of a worker.
const (
	Ready State = iota + 1
	Draining
)

// Info is the entry of a worker in the platform's registry.
type Info struct {
	ID       ID
	Pool     string
	Address  string
	Zone     string
	State    State
	Capacity job.Resources
	Labels   []string
	// StartedUnixMs is when the worker process started. It distinguishes
	// incarnations of a worker with the same ID.
	StartedUnixMs int64 // Unix milliseconds.
}

// Equal reports whether all fields of two entries are equal, including the order of
// labels.
func (i Info) Equal(o Info) bool {
	return i.ID == o.ID && i.Pool == o.Pool && i.Address == o.Address && i.Zone == o.Zone && i.State == o.State &&
		i.Capacity == o.Capacity && slices.Equal(i.Labels, o.Labels) && i.StartedUnixMs == o.StartedUnixMs
}

// ClockTime is a time on a worker's own monotonic clock.
type ClockTime = time.Duration

// Start is an order to run a task. Run numbers the runs of the task. A worker
// refuses orders with a lower Fence than it has seen before.
type Start struct {
	Task job.TaskRef
	Run  int
	Spec string
	// LeaseExpiry is when the worker's lease expires unless it is renewed.
	LeaseExpiry ClockTime
	Fence       uint64
	// SavedCheckpoint is the progress to resume from; empty for none.
	SavedCheckpoint string
	// Ticket permits the start on queues with advice; empty for none.
	Ticket string
}

// RunningTask is a run that is in progress on a worker.
type RunningTask struct {
	Task            job.TaskRef
	Run             int
	SavedCheckpoint string
	Percent         int
	// Measure is the latency in milliseconds of a serving task, or the CPU usage of
	// another task.
	Measure float64
}

// Outcome is the reason why a run ended.
type Outcome uint8

// Outcomes of a run.
const (
	Done Outcome = iota + 1
	Failed
	Stopped
	LeaseExpired   // The worker's lease expired.
	GangBroken     // Another member of the gang ended.
	GangIncomplete // The other members of the gang did not start in time.
)

// String returns the name that workers use for the outcome.
func (o Outcome) String() string {
	return [...]string{"none", "done", "failed", "stopped", "lapsed", "broken", "alone"}[o]
}

// RunEnd reports that a run ended, and how. A worker keeps and repeats it until a [Hold]
// acknowledges it.
type RunEnd struct {
	Number          uint64 // Counts from 1 in each incarnation of a worker.
	Task            job.TaskRef
	Run             int
	Outcome         Outcome
	SavedCheckpoint string
}

// Hold is an order that renews the lease of a worker and acknowledges its ended runs
// up to AckedUpTo. It is a long poll: the worker replies as soon as it has ended runs to
// report, or after Wait.
type Hold struct {
	Fence       uint64
	AckedUpTo   uint64
	LeaseExpiry ClockTime // 0 leaves the lease unchanged.
	Wait        time.Duration
}

// IsQuery reports whether the hold changes nothing on the worker but its fence.
func (h Hold) IsQuery() bool { return h.LeaseExpiry == 0 && h.AckedUpTo == 0 }

// Status is the reply of a worker to [Hold].
type Status struct {
	ClockTime     ClockTime
	StartedUnixMs int64 // 0 when the worker does not report it.
	Running       []RunningTask
	EndedRuns     []RunEnd
}

// Errors which prove that an order was not executed and never will be.
var (
	ErrFenced         = errors.New("the worker has seen a higher fence")
	ErrStaleRun       = errors.New("the worker has already seen this run or a later one of the task")
	ErrLeaseExpired   = errors.New("the worker's lease had expired when the order arrived")
	ErrNoCapacity     = errors.New("the worker has not enough free capacity")
	ErrTicketRejected = errors.New("the worker rejected the ticket")
	ErrInvalidOrder   = errors.New("the worker rejected the order as invalid")
	ErrUnhealthy      = errors.New("the worker is unhealthy and did not execute the order")
	ErrReplaced       = errors.New("the worker was replaced by another one")
	ErrRestarted      = errors.New("the worker has started again under its ID")
)

// RestartedError is an [ErrRestarted] that names the incarnation that has answered.
type RestartedError struct {
	AnsweredUnixMs int64 // When that incarnation started, in Unix milliseconds.
}

func (e *RestartedError) Error() string {
	return fmt.Sprintf("%v at %d", ErrRestarted, e.AnsweredUnixMs)
}

func (e *RestartedError) Unwrap() error { return ErrRestarted }

// Refused reports whether err proves that an order was not executed and never will be.
func Refused(err error) bool {
	for _, known := range []error{ErrFenced, ErrStaleRun, ErrLeaseExpired, ErrNoCapacity, ErrTicketRejected, ErrInvalidOrder, ErrUnhealthy, ErrReplaced, ErrRestarted} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// Target addresses one incarnation of a worker.
type Target struct {
	ID      ID
	Address string
	// StartedUnixMs is when the incarnation started; 0 for any incarnation.
	StartedUnixMs int64 // Unix milliseconds.
	// Report is called with each status by which the client has learned which incarnation it
	// has reached, before the order that needed to know returns. It is called from any
	// goroutine. Nil for no calls.
	Report func(Status)
}

// Client sends orders to workers. After an error for which [Refused] reports false,
// the order may or may not have been executed.
//
// An order is sent only to the incarnation that its target names. If another one has been
// reached, the order is not sent and the error is [ErrRestarted]. A hold that neither renews
// the lease nor acknowledges ends is a query: it returns the status of any incarnation.
type Client interface {
	// Start starts a run of a task and returns the worker's clock.
	Start(ctx context.Context, to Target, order Start) (ClockTime, error)
	// Stop stops a run of a task and returns the worker's clock.
	Stop(ctx context.Context, to Target, task job.TaskRef, run int, fence uint64) (ClockTime, error)
	// Hold renews the worker's lease and returns its running tasks and ended runs.
	Hold(ctx context.Context, to Target, hold Hold) (Status, error)
	// Pace limits the speed of a run to a percentage of its full speed.
	Pace(ctx context.Context, to Target, task job.TaskRef, run, percent int, fence uint64) error
}
