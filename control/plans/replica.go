package plans

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"peridotcrank.dev/control/fleetrows"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/store"
)

// Replica keeps a copy of the fleet's rows. Refresh must not be called
// concurrently. The snapshots are immutable and may be read from any goroutine.
type Replica struct {
	table   store.Table
	since   map[string]store.Version
	current atomic.Pointer[state]
}

type state struct {
	snapshot *fleet.Snapshot
	asOf     time.Time
}

// prefixes is the order of the reads. Plans come last: the VM rows of a step
// that a plan row names as done are then at most older than the plan row.
var prefixes = []string{fleet.PrefixVM, fleet.PrefixPool, fleet.PrefixIntent, fleet.PrefixPlan}

// NewReplica returns an empty replica.
func NewReplica(table store.Table) *Replica {
	r := &Replica{table: table, since: map[string]store.Version{}}
	r.current.Store(&state{snapshot: &fleet.Snapshot{
		VMs: map[fleet.VMID]fleet.VM{}, Pools: map[fleet.PoolID]fleet.Pool{},
		Plans: map[fleet.PlanID]fleet.Plan{}, Intents: map[fleet.IntentID]fleet.Intent{},
	}})
	return r
}

// LoadSnapshot reads the fleet's rows.
func LoadSnapshot(ctx context.Context, table store.Table) (*fleet.Snapshot, error) {
	r := NewReplica(table)
	err := r.Refresh(ctx)
	return r.Snapshot(), err
}

// Snapshot returns the rows as of the last refresh.
func (r *Replica) Snapshot() *fleet.Snapshot { return r.current.Load().snapshot }

// AsOf returns the local time at which the last complete refresh started, or
// the zero time.
func (r *Replica) AsOf() time.Time { return r.current.Load().asOf }

// Refresh reads the rows that have changed. On an error the snapshot stays as it was.
func (r *Replica) Refresh(ctx context.Context) error {
	var asOf time.Time
	changes := map[string]store.Snapshot{}
	for _, prefix := range prefixes {
		snap, err := r.table.Read(ctx, prefix, r.since[prefix])
		if err != nil {
			return fmt.Errorf("refresh the fleet: %w", err)
		}
		changes[prefix] = snap
		if asOf.IsZero() {
			asOf = snap.AsOf
		}
	}
	next := *r.Snapshot()
	for _, prefix := range prefixes {
		if err := errors.Join(fleetrows.Apply(&next, prefix, changes[prefix].Rows)...); err != nil {
			return err
		}
	}
	for prefix, snap := range changes {
		r.since[prefix] = snap.Revision
	}
	// The revision up to which all prefixes are known.
	next.Revision = changes[prefixes[0]].Revision
	r.current.Store(&state{&next, asOf})
	return nil
}
