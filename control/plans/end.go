package plans

import (
	"fmt"
	"slices"
	"strings"

	"peridotcrank.dev/fleet"
)

// end ends the plan when no step needs anything more. waiting is the number of
// steps that are not settled.
func (d *driving) end(waiting int) {
	if waiting > 0 {
		return
	}
	switch {
	case d.failing:
		d.block()
	case d.plan.State == fleet.PlanCancelling:
		d.finish(fleet.PlanCancelled)
	default:
		d.finish(fleet.PlanDone)
	}
}

// block hands the plan to an operator. It keeps its reservations; cancelling it
// returns the VMs to service.
func (d *driving) block() {
	next := d.planRow()
	next.State, next.Driver = fleet.PlanBlocked, ""
	var reasons []string
	for _, m := range next.Moves {
		if m.Failed != "" {
			reasons = append(reasons, m.Failed)
		}
	}
	next.Reason = strings.Join(reasons, "; ")
	d.reasons = append(d.reasons, "blocked: "+next.Reason)
}

// finish ends the plan and releases its pools. A pool takes its intended
// capacity when the plan is done, so that it is never below it on the way.
func (d *driving) finish(state fleet.PlanState) {
	next := d.planRow()
	next.State, next.Driver = state, ""
	for _, id := range reservedPools(d.plan) {
		pool, ok := d.view.Snapshot.Pools[id]
		if !ok || pool.Plan != d.plan.ID {
			continue
		}
		pool.Plan = ""
		if intent := d.plan.Intent; state == fleet.PlanDone && intent.Kind == fleet.IntentPoolCapacity && intent.Pool == id {
			pool.Capacity = intent.Capacity
		}
		d.rows = append(d.rows, row{fleet.PoolKey(id), pool.Version, pool})
		if n := d.serving[id]; state == fleet.PlanCancelled && n < pool.Capacity {
			next.Warnings = append(slices.Clip(next.Warnings), fmt.Sprintf("cancelled: pool %s is left with %d serving VMs, below its capacity of %d", id, n, pool.Capacity))
		}
	}
	d.reasons = append(d.reasons, "the plan is "+string(state))
}

// reservedPools returns the pools in the plan's preconditions.
func reservedPools(plan fleet.Plan) []fleet.PoolID {
	var ids []fleet.PoolID
	for _, p := range plan.Preconditions {
		if id, ok := strings.CutPrefix(p.Key, fleet.PrefixPool); ok {
			ids = append(ids, fleet.PoolID(id))
		}
	}
	slices.Sort(ids)
	return ids
}
