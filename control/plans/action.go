package plans

import (
	"fmt"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/move"
	"peridotcrank.dev/store"
)

// Action is one action of a driver: a transaction, or an act on a VM.
type Action struct {
	Plan fleet.PlanID
	// Reason describes the action for logs.
	Reason string

	// Transaction is set for a write. AcquiredEpoch is the epoch of the lease that
	// the transaction takes, or 0 if it takes none.
	Transaction   *store.Transaction
	AcquiredEpoch uint64

	// Act and VM are set for an act. VM is the row that the act is based on.
	Act move.Act
	VM  fleet.VM
}

// String describes the action for logs.
func (a Action) String() string {
	if a.Transaction != nil {
		return fmt.Sprintf("plan %s: commit: %s", a.Plan, a.Reason)
	}
	return fmt.Sprintf("plan %s: %s of VM %s: %s", a.Plan, a.Act, a.VM.ID, a.Reason)
}

// Limits holds the time limits of a driver. Zero fields take their defaults.
type Limits struct {
	// Lease is the time without a change of the plan row after which another process
	// may take over the plan. Default 5 s.
	Lease time.Duration
	// RenewAfter is the age of the plan row at which its driver renews the lease. Default 1.5 s.
	RenewAfter time.Duration
	// MaxAcquireDelay is the longest delay before a process tries to take a lease that
	// is free. Each process has its own delay per plan. Default 500 ms.
	MaxAcquireDelay time.Duration
	// ActInterval is the minimum time between two acts on one VM. Default 250 ms.
	ActInterval time.Duration
	// StallAfter is the time without progress after which a plan that cannot start a
	// step is blocked. Default 15 min.
	StallAfter time.Duration
	Move       move.Limits
}

// Defaults of Limits.
const (
	DefaultLease           = 5 * time.Second
	DefaultRenewAfter      = 1500 * time.Millisecond
	DefaultMaxAcquireDelay = 500 * time.Millisecond
	DefaultActInterval     = 250 * time.Millisecond
	DefaultStallAfter      = 15 * time.Minute
)

// WithDefaults returns l with defaults in place of zero fields.
func (l Limits) WithDefaults() Limits {
	setDefault(&l.Lease, DefaultLease)
	setDefault(&l.RenewAfter, DefaultRenewAfter)
	setDefault(&l.MaxAcquireDelay, DefaultMaxAcquireDelay)
	setDefault(&l.ActInterval, DefaultActInterval)
	setDefault(&l.StallAfter, DefaultStallAfter)
	l.Move = l.Move.WithDefaults()
	return l
}

// Validate returns an error for a negative duration, and for a renewal that is due
// after more than half of the lease.
func (l Limits) Validate() error {
	l = l.WithDefaults()
	if min(l.Lease, l.RenewAfter, l.MaxAcquireDelay, l.ActInterval, l.StallAfter) < 0 {
		return fmt.Errorf("plan driver limits: a duration is negative")
	}
	if l.RenewAfter*2 > l.Lease {
		return fmt.Errorf("plan driver limits: renewal after %s is more than half of the lease of %s", l.RenewAfter, l.Lease)
	}
	return nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
