package worker

import (
	"context"
	"errors"
	"time"
)

// AdviceTerms are the terms on which a queue's policy says which workers may
// run a step. The zero value means that every worker may.
type AdviceTerms struct {
	// Decide is how long each call takes, and Each what each worker adds.
	Decide, Each time.Duration
	// Valid is how long a ticket lasts.
	Valid time.Duration
}

// Required reports whether starts need a ticket.
func (t AdviceTerms) Required() bool { return t.Valid > 0 }

// Advice holds tickets for workers that may run a step. Other workers that were
// asked about may not.
type Advice map[ID]string

// ErrAdviserBusy means that too many calls wait at the adviser.
var ErrAdviserBusy = errors.New("the adviser has too many calls waiting")

// MaxAdvised is the largest number of workers in one call for advice.
const MaxAdvised = 100

// Adviser knows which workers may run a step.
type Adviser interface {
	Advise(ctx context.Context, step string, workers []ID) (Advice, error)
}
