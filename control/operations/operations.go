// Package operations implements the calls of the administration API on the control
// loop and the table service.
package operations

import (
	"context"
	"errors"
	"time"

	"peridotcrank.dev/admin"
	"peridotcrank.dev/control"
	"peridotcrank.dev/control/plans"
	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/planner"
	"peridotcrank.dev/store"
)

const tableServicePeer = "table service"

// Options configures a Backend.
type Options struct {
	Controller *control.Controller
	Table      store.Table
	Log        *eventlog.Log
	Planner    planner.Options
	// Now is the clock of the controller.
	Now func() time.Duration
}

// Backend implements admin.Backend.
type Backend struct {
	options Options
	plans   *plans.Admin
}

var _ admin.Backend = (*Backend)(nil)

// New returns a backend.
func New(o Options) *Backend {
	return &Backend{options: o, plans: &plans.Admin{Table: o.Table, Planner: o.Planner}}
}

func (b *Backend) state() *control.State { return b.options.Controller.State() }

// CreateIntent implements admin.Backend. The intent's ID is the operation, so
// that a repetition finds the plan of the first attempt.
func (b *Backend) CreateIntent(ctx context.Context, w admin.Write, intent fleet.Intent) (fleet.Plan, error) {
	intent.ID, intent.Operator = fleet.IntentID(w.Operation), w.Operator
	plan, err := b.plans.CreateIntent(ctx, b.state().Fleet, intent)
	if errors.Is(err, plans.ErrIntentExists) {
		return b.awaitPlan(ctx, planner.PlanID(intent.ID))
	}
	if err != nil {
		return fleet.Plan{}, toAPIError("create intent", err)
	}
	b.record(eventlog.IntentCreated, eventlog.Fields{"intent": intent.ID, "kind": intent.Kind, "operator": w.Operator})
	b.record(eventlog.PlanProposed, eventlog.Fields{"plan": plan.ID, "moves": len(plan.Moves)})
	return plan, nil
}

// CreatePlan implements admin.Backend. The new plan belongs to a copy of the
// intent, because a plan row is never computed again in place.
func (b *Backend) CreatePlan(ctx context.Context, w admin.Write, id fleet.IntentID) (fleet.Plan, error) {
	intent, ok := b.state().Fleet.Intents[id]
	if !ok {
		return fleet.Plan{}, admin.Errorf(admin.CodeNotFound, "create plan", "there is no intent %s", id)
	}
	return b.CreateIntent(ctx, w, intent)
}

// Intents implements admin.Backend.
func (b *Backend) Intents(context.Context) ([]fleet.Intent, error) {
	return values(b.state().Fleet.Intents), nil
}

// Plan implements admin.Backend.
func (b *Backend) Plan(ctx context.Context, id fleet.PlanID) (fleet.Plan, error) {
	if plan, ok := b.state().Fleet.Plans[id]; ok {
		return plan, nil
	}
	// Another process may have created it since the last read.
	b.options.Controller.Refresh()
	ctx, cancel := context.WithTimeout(ctx, planReadTimeout)
	defer cancel()
	return b.awaitPlan(ctx, id)
}

// planReadTimeout limits the wait for a plan row that another process may have written.
const planReadTimeout = 500 * time.Millisecond

func (b *Backend) awaitPlan(ctx context.Context, id fleet.PlanID) (fleet.Plan, error) {
	var plan fleet.Plan
	err := b.options.Controller.Await(ctx, func(s *control.State) bool {
		found := false
		plan, found = s.Fleet.Plans[id]
		return found
	})
	if err != nil {
		return fleet.Plan{}, admin.Errorf(admin.CodeNotFound, "read plan", "there is no plan %s", id)
	}
	return plan, nil
}

// Plans implements admin.Backend.
func (b *Backend) Plans(context.Context) ([]fleet.Plan, error) {
	return values(b.state().Fleet.Plans), nil
}

// WatchPlan implements admin.Backend.
func (b *Backend) WatchPlan(ctx context.Context, id fleet.PlanID, after uint64) (fleet.Plan, error) {
	plan, err := b.Plan(ctx, id)
	if err != nil {
		return plan, err
	}
	// If ctx ends first, the watch returns the unchanged plan.
	_ = b.options.Controller.Await(ctx, func(s *control.State) bool {
		plan = s.Fleet.Plans[id]
		return plan.Version > after
	})
	return plan, nil
}

// ConfirmPlan implements admin.Backend.
func (b *Backend) ConfirmPlan(ctx context.Context, w admin.Write, id fleet.PlanID) (fleet.Plan, error) {
	plan, err := b.plans.Confirm(ctx, id)
	return b.recordPlanChange("confirm plan", eventlog.PlanConfirmed, w, plan, err)
}

// RejectPlan implements admin.Backend.
func (b *Backend) RejectPlan(ctx context.Context, w admin.Write, id fleet.PlanID, reason string) (fleet.Plan, error) {
	plan, err := b.plans.Reject(ctx, id, reason)
	return b.recordPlanChange("reject plan", eventlog.PlanRejected, w, plan, err)
}

// CancelPlan implements admin.Backend.
func (b *Backend) CancelPlan(ctx context.Context, w admin.Write, id fleet.PlanID, reason string) (fleet.Plan, error) {
	plan, err := b.plans.Cancel(ctx, id, reason)
	return b.recordPlanChange("cancel plan", eventlog.PlanCancelled, w, plan, err)
}

// recordPlanChange records the outcome of a plan change, and translates its error.
func (b *Backend) recordPlanChange(step string, code eventlog.Code, w admin.Write, plan fleet.Plan, err error) (fleet.Plan, error) {
	if err != nil {
		var refused *plans.RefusedError
		if errors.As(err, &refused) {
			b.record(eventlog.PlanRefused, eventlog.Fields{"plan": refused.Plan, "error": err.Error(), "operator": w.Operator})
		}
		return fleet.Plan{}, toAPIError(step, err)
	}
	b.record(code, eventlog.Fields{"plan": plan.ID, "operator": w.Operator})
	return plan, nil
}

// Timeline implements admin.Backend.
func (b *Backend) Timeline(_ context.Context, after uint64, limit int) ([]eventlog.Event, error) {
	return b.options.Log.Timeline(after, limit), nil
}

func (b *Backend) record(code eventlog.Code, fields eventlog.Fields) {
	b.options.Log.Record(code, fields)
}

func values[K comparable, V any](m map[K]V) []V {
	list := make([]V, 0, len(m))
	for _, v := range m {
		list = append(list, v)
	}
	return list
}
