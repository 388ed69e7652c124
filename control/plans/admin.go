package plans

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/google/uuid"

	"peridotcrank.dev/control/fleetrows"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/planner"
	"peridotcrank.dev/store"
)

// Errors of Admin.
var (
	// ErrNotFound means that a plan does not exist.
	ErrNotFound = errors.New("plan not found")
	// ErrIntentExists means that an intent with this ID already exists.
	ErrIntentExists = errors.New("intent exists")
	// ErrWrongState means that a plan's state does not permit the call.
	ErrWrongState = errors.New("not possible in this state of the plan")
)

// maxUpdateAttempts limits the attempts to change a plan row that its driver
// changes concurrently.
const maxUpdateAttempts = 20

// Admin implements the operators' calls on intents and plans. Its methods may be
// called concurrently.
type Admin struct {
	Table   store.Table
	Planner planner.Options
	// RetainPlans is the number of ended plans that stay in the table. Default 200.
	RetainPlans int
}

// CreateIntent computes a plan for an intent and stores both. It assigns an ID to
// an intent without one. For an intent that cannot be met it stores nothing and
// returns a *planner.UnmetError.
func (a *Admin) CreateIntent(ctx context.Context, s *fleet.Snapshot, intent fleet.Intent) (fleet.Plan, error) {
	if intent.ID == "" {
		intent.ID = fleet.IntentID(uuid.NewString())
	}
	if strings.ContainsAny(string(intent.ID), "/ ") {
		return fleet.Plan{}, fmt.Errorf("intent ID %q contains a slash or a space", intent.ID)
	}
	plan, err := planner.Plan(s, intent, a.Planner)
	if err != nil {
		return fleet.Plan{}, err
	}
	result, err := a.commit(ctx, []rowWrite{{fleet.IntentKey(intent.ID), 0, intent}, {fleet.PlanKey(plan.ID), 0, plan}})
	if err != nil {
		return fleet.Plan{}, fmt.Errorf("create intent %s: %w", intent.ID, err)
	}
	if !result.Applied() {
		return fleet.Plan{}, fmt.Errorf("create intent %s: %w", intent.ID, ErrIntentExists)
	}
	plan.Version = result.Revision
	a.pruneEndedPlans(ctx, s)
	return plan, nil
}

// Confirm confirms a proposed plan and reserves its VMs and pools in one
// transaction. It returns a *RefusedError if one of these rows has changed since
// the plan was computed.
func (a *Admin) Confirm(ctx context.Context, id fleet.PlanID) (fleet.Plan, error) {
	for range maxUpdateAttempts {
		s, err := LoadSnapshot(ctx, a.Table)
		if err != nil {
			return fleet.Plan{}, fmt.Errorf("confirm plan %s: %w", id, err)
		}
		plan, ok := s.Plans[id]
		if !ok {
			return fleet.Plan{}, fmt.Errorf("confirm plan %s: %w", id, ErrNotFound)
		}
		if plan.State != fleet.PlanProposed {
			return plan, fmt.Errorf("confirm plan %s, which is %s: %w", id, plan.State, ErrWrongState)
		}
		if refused := checkPreconditions(s, plan); refused != nil {
			return plan, refused
		}
		plan.State = fleet.PlanConfirmed
		result, err := a.commit(ctx, reservationRows(s, plan))
		if err != nil {
			return plan, fmt.Errorf("confirm plan %s: %w", id, err)
		}
		if result.Applied() {
			plan.Version = result.Revision
			return plan, nil
		}
		// A row has changed since the snapshot was read. The next attempt finds out which.
	}
	return fleet.Plan{}, fmt.Errorf("confirm plan %s: its rows keep changing", id)
}

// reservationRows returns the writes and conditions that confirm the plan and
// reserve its VMs and pools.
func reservationRows(s *fleet.Snapshot, plan fleet.Plan) []rowWrite {
	rows := []rowWrite{{fleet.PlanKey(plan.ID), plan.Version, plan}}
	for _, p := range plan.Preconditions {
		if id, ok := strings.CutPrefix(p.Key, fleet.PrefixPool); ok {
			if pool := s.Pools[fleet.PoolID(id)]; !pool.Spare {
				pool.Plan = plan.ID
				rows = append(rows, rowWrite{p.Key, p.Version, pool})
			} else {
				rows = append(rows, rowWrite{p.Key, p.Version, nil})
			}
		}
		if id, ok := strings.CutPrefix(p.Key, fleet.PrefixVM); ok {
			vm := s.VMs[fleet.VMID(id)]
			vm.Plan = plan.ID
			rows = append(rows, rowWrite{p.Key, p.Version, vm})
		}
	}
	return rows
}

// Reject ends a proposed plan. It returns ErrWrongState for any other plan.
func (a *Admin) Reject(ctx context.Context, id fleet.PlanID, reason string) (fleet.Plan, error) {
	return a.updatePlan(ctx, "reject", id, func(plan *fleet.Plan) bool {
		if plan.State != fleet.PlanProposed {
			return false
		}
		plan.State, plan.Reason = fleet.PlanRejected, reason
		return true
	})
}

// Cancel ends a proposed plan, or makes the driver of a confirmed or blocked plan
// return its VMs to service. It returns ErrWrongState for any other plan.
func (a *Admin) Cancel(ctx context.Context, id fleet.PlanID, reason string) (fleet.Plan, error) {
	return a.updatePlan(ctx, "cancel", id, func(plan *fleet.Plan) bool {
		switch plan.State {
		case fleet.PlanProposed:
			plan.State = fleet.PlanCancelled
		case fleet.PlanConfirmed, fleet.PlanBlocked:
			plan.State = fleet.PlanCancelling
			for i := range plan.Moves {
				plan.Moves[i].Failed = ""
			}
		default:
			return false
		}
		plan.Renewal++
		plan.Reason = reason
		return true
	})
}

// updatePlan edits a plan row, on condition that its version is unchanged. It
// retries when the row has changed, for example by the renewal of a lease. edit
// returns false if the state of the plan does not permit the change.
func (a *Admin) updatePlan(ctx context.Context, verb string, id fleet.PlanID, edit func(*fleet.Plan) bool) (fleet.Plan, error) {
	for range maxUpdateAttempts {
		plan, err := a.readPlan(ctx, id)
		if err != nil {
			return plan, fmt.Errorf("%s plan %s: %w", verb, id, err)
		}
		state := plan.State
		if !edit(&plan) {
			return plan, fmt.Errorf("%s plan %s, which is %s: %w", verb, id, state, ErrWrongState)
		}
		result, err := a.commit(ctx, []rowWrite{{fleet.PlanKey(id), plan.Version, plan}})
		if err != nil {
			return plan, fmt.Errorf("%s plan %s: %w", verb, id, err)
		}
		if result.Applied() {
			plan.Version = result.Revision
			return plan, nil
		}
	}
	return fleet.Plan{}, fmt.Errorf("%s plan %s: its row keeps changing", verb, id)
}

func (a *Admin) readPlan(ctx context.Context, id fleet.PlanID) (fleet.Plan, error) {
	snap, err := a.Table.Read(ctx, fleet.PlanKey(id), 0)
	if err != nil {
		return fleet.Plan{}, err
	}
	var found fleet.Snapshot
	if err := errors.Join(fleetrows.Apply(&found, fleet.PrefixPlan, snap.Rows)...); err != nil {
		return fleet.Plan{}, err
	}
	plan, ok := found.Plans[id]
	if !ok {
		return plan, ErrNotFound
	}
	return plan, nil
}

// commit writes rows on condition that their versions are unchanged. Version 0 means
// that the row must not exist. A row without a value is only a condition.
func (a *Admin) commit(ctx context.Context, rows []rowWrite) (store.Result, error) {
	tx := store.Transaction{Priority: store.PriorityOperator}
	for _, r := range rows {
		tx.Conditions = append(tx.Conditions, store.Condition{Key: r.key, Version: r.version})
		if r.value == nil {
			continue
		}
		w, err := store.Put(r.key, r.value)
		if err != nil {
			return store.Result{}, err
		}
		tx.Writes = append(tx.Writes, w)
	}
	return a.Table.Commit(ctx, tx)
}
