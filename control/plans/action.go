package plans

import (
	"fmt"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/move"
	"peridotcrank.dev/store"
)

// Action is one thing that a driver does: a transaction, or an act on a VM.
type Action struct {
	Plan fleet.PlanID
	// Reason describes the action for logs.
	Reason string

	// Transaction is set for a write; Acquire is then the epoch of the lease
	// that the transaction takes, or 0.
	Transaction *store.Transaction
	Acquire     uint64

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

// Limits bound the work of a driver. Zero fields take their defaults.
type Limits struct {
	// Lease is the time for which an unchanged plan row keeps its driver. Default 5 s.
	Lease time.Duration
	// Renew is the age of the plan row at which its driver renews the lease. Default 1.5 s.
	Renew time.Duration
	// Spread is the greatest delay before a process tries to take a lease; each
	// process has its own delay per plan. Default 500 ms.
	Spread time.Duration
	// Poll is the time between two acts on one VM. Default 250 ms.
	Poll time.Duration
	// Stall is the time after which a plan that can start no step is blocked. Default 15 min.
	Stall time.Duration
	Move  move.Limits
}

// Defaults of Limits.
const (
	DefaultLease  = 5 * time.Second
	DefaultRenew  = 1500 * time.Millisecond
	DefaultSpread = 500 * time.Millisecond
	DefaultPoll   = 250 * time.Millisecond
	DefaultStall  = 15 * time.Minute
)

// WithDefaults returns l with defaults in place of zero fields.
func (l Limits) WithDefaults() Limits {
	def(&l.Lease, DefaultLease)
	def(&l.Renew, DefaultRenew)
	def(&l.Spread, DefaultSpread)
	def(&l.Poll, DefaultPoll)
	def(&l.Stall, DefaultStall)
	l.Move = l.Move.WithDefaults()
	return l
}

// Validate reports a lease that would lapse between two renewals.
func (l Limits) Validate() error {
	l = l.WithDefaults()
	if min(l.Lease, l.Renew, l.Spread, l.Poll, l.Stall) < 0 {
		return fmt.Errorf("plan driver limits: a duration is negative")
	}
	if l.Renew*2 > l.Lease {
		return fmt.Errorf("plan driver limits: renewal after %s is more than half of the lease of %s", l.Renew, l.Lease)
	}
	return nil
}

func def[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
