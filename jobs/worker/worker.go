package worker

import (
	"context"
	"errors"
	"slices"
	"time"

	"peridotcrank.dev/jobs/job"
)

// ID identifies a worker.
type ID string

// State is what a worker says of itself.
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
	// Born is the time of the worker's start; it tells two lives under one id apart.
	Born int64 // Unix milliseconds.
}

// Equal reports whether two entries say the same.
func (i Info) Equal(o Info) bool {
	return i.ID == o.ID && i.Pool == o.Pool && i.Address == o.Address && i.Zone == o.Zone && i.State == o.State &&
		i.Capacity == o.Capacity && slices.Equal(i.Labels, o.Labels) && i.Born == o.Born
}

// Clock is a time on a worker's own steady clock.
type Clock = time.Duration

// Start orders a worker to run a task.
type Start struct {
	Task  job.TaskRef
	Run   int
	Spec  string
	Due   Clock
	Fence uint64
	Saved string
	// Ticket permits the start on queues with advice; empty for none.
	Ticket string
}

// RunningTask is a run that a worker has.
type RunningTask struct {
	Task    job.TaskRef
	Run     int
	Saved   string
	Percent int
	// Measure is the latency of a serving task in milliseconds, or the processor in use of others.
	Measure float64
}

// How says how a run ended.
type How uint8

// Ends of a run.
const (
	Done How = iota + 1
	Failed
	Stopped
	Lapsed // The lease of the worker passed.
	Broken // Another member of the gang ended.
	Alone  // The other members of the gang did not come in time.
)

// String returns the name of the end.
func (h How) String() string {
	return [...]string{"none", "done", "failed", "stopped", "lapsed", "broken", "alone"}[h]
}

// End is the end of a run.
type End struct {
	Number uint64 // From 1 in each life of a worker.
	Task   job.TaskRef
	Run    int
	How    How
	Saved  string
}

// Hold renews the lease of a worker and acknowledges ends.
type Hold struct {
	Fence     uint64
	AckedUpTo uint64
	Due       Clock // 0 to leave the lease as it is.
	Wait      time.Duration
}

// Status is what a worker answers to a hold.
type Status struct {
	Clock   Clock
	Born    int64 // Unix milliseconds; 0 when the worker does not say.
	Running []RunningTask
	Ended   []End
}

// Errors that prove that an order was not carried out and will not be.
var (
	ErrFenced   = errors.New("the worker has seen a higher fence")
	ErrOldRun   = errors.New("the worker has seen this run or a later one")
	ErrTooLate  = errors.New("the lease had passed when the order arrived")
	ErrNoRoom   = errors.New("the worker has no room")
	ErrTicket   = errors.New("the worker does not accept the ticket")
	ErrInvalid  = errors.New("the worker refused the order as invalid")
	ErrSick     = errors.New("the worker is unhealthy and did nothing")
	ErrReplaced = errors.New("another life of the worker answered")
)

// Refused reports whether err proves that an order was not carried out.
func Refused(err error) bool {
	for _, known := range []error{ErrFenced, ErrOldRun, ErrTooLate, ErrNoRoom, ErrTicket, ErrInvalid, ErrSick, ErrReplaced} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// Target addresses one life of a worker.
type Target struct {
	ID      ID
	Address string
}

// Client gives orders to workers. An error that [Refused] does not report
// leaves the outcome unknown.
type Client interface {
	Start(ctx context.Context, to Target, order Start) (Clock, error)
	Stop(ctx context.Context, to Target, task job.TaskRef, run int, fence uint64) (Clock, error)
	Hold(ctx context.Context, to Target, hold Hold) (Status, error)
	Pace(ctx context.Context, to Target, task job.TaskRef, run, percent int, fence uint64) error
}
