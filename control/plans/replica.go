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
	current atomic.Pointer[replicaState]
}

type replicaState struct {
	snapshot *fleet.Snapshot
	asOf     time.Time
}

// readOrder is the order in which Refresh reads the prefixes. Plans come last, so
// that the VM rows of a step can be older, but not newer, than the plan row that
// marks the step as done.
var readOrder = []string{fleet.PrefixVM, fleet.PrefixPool, fleet.PrefixIntent, fleet.PrefixPlan}

// NewReplica returns an empty replica.
func NewReplica(table store.Table) *Replica {
	r := &Replica{table: table, since: map[string]store.Version{}}
	r.current.Store(&replicaState{snapshot: &fleet.Snapshot{
		VMs: map[fleet.VMID]fleet.VM{}, Pools: map[fleet.PoolID]fleet.Pool{},
		Plans: map[fleet.PlanID]fleet.Plan{}, Intents: map[fleet.IntentID]fleet.Intent{},
	}})
	return r
}

// LoadSnapshot reads all rows of the fleet once.
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

// Refresh reads the rows that have changed. On an error it keeps the old snapshot.
func (r *Replica) Refresh(ctx context.Context) error {
	var asOf time.Time
	changes := map[string]store.Snapshot{}
	for _, prefix := range readOrder {
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
	for _, prefix := range readOrder {
		if err := errors.Join(fleetrows.Apply(&next, prefix, changes[prefix].Rows)...); err != nil {
			return err
		}
	}
	for prefix, snap := range changes {
		r.since[prefix] = snap.Revision
	}
	// All prefixes are known up to the revision of the first read.
	next.Revision = changes[readOrder[0]].Revision
	r.current.Store(&replicaState{&next, asOf})
	return nil
}
