package worker

import (
	"context"
	"errors"
	"time"
)

// AdvicePolicy configures the placement advice of a queue: an external adviser
// decides which workers are allowed to run a step. With the zero value no advice is
// needed and every worker is allowed.
type AdvicePolicy struct {
	// CallDuration is the expected duration of each advice call, and
	// DurationPerWorker is added to it for each worker in the call.
	CallDuration, DurationPerWorker time.Duration
	// TicketValidity is the time for which a ticket is valid.
	TicketValidity time.Duration
}

// TicketRequired reports whether a start order needs a ticket.
func (p AdvicePolicy) TicketRequired() bool { return p.TicketValidity > 0 }

// Advice maps the workers that are allowed to run a step to their tickets. Workers
// of the call that are missing from it are not allowed to run the step.
type Advice map[ID]string

// ErrAdviserBusy means that the adviser rejected a call because too many others are waiting.
var ErrAdviserBusy = errors.New("the adviser has too many waiting calls")

// MaxWorkersPerAdvice is the largest number of workers in one advice call.
const MaxWorkersPerAdvice = 100

// Adviser decides which of the given workers are allowed to run a step.
type Adviser interface {
	Advise(ctx context.Context, step string, workers []ID) (Advice, error)
}
