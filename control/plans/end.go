package plans

import (
	"fmt"
	"slices"
	"strings"

	"peridotcrank.dev/fleet"
)

// endIfSettled ends or blocks the plan when no step needs another action. unsettled
// is the number of steps that still need one.
func (d *planDecider) endIfSettled(unsettled int) {
	if unsettled > 0 {
		return
	}
	switch {
	case d.hasFailedStep:
		d.blockPlan()
	case d.plan.State == fleet.PlanCancelling:
		d.finishPlan(fleet.PlanCancelled)
	default:
		d.finishPlan(fleet.PlanDone)
	}
}

// blockPlan stops the plan until an operator cancels it. A blocked plan keeps its
// reservations; its cancellation returns the VMs to service.
func (d *planDecider) blockPlan() {
	next := d.nextPlanRow()
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

// finishPlan ends the plan and releases its pools. The capacity in a pool's row
// changes only when the plan is done, so that the pool is never below it during the
// moves.
func (d *planDecider) finishPlan(state fleet.PlanState) {
	next := d.nextPlanRow()
	next.State, next.Driver = state, ""
	for _, id := range reservedPools(d.plan) {
		pool, ok := d.input.Snapshot.Pools[id]
		if !ok || pool.Plan != d.plan.ID {
			continue
		}
		pool.Plan = ""
		if intent := d.plan.Intent; state == fleet.PlanDone && intent.Kind == fleet.IntentPoolCapacity && intent.Pool == id {
			pool.Capacity = intent.Capacity
		}
		d.rows = append(d.rows, rowWrite{fleet.PoolKey(id), pool.Version, pool})
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
