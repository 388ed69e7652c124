package plans

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/fleettest"
	"peridotcrank.dev/fleet/planner"
	"peridotcrank.dev/store"
	"peridotcrank.dev/store/storetest"
	"peridotcrank.dev/testbed/platform"
)

func newAdmin(t *testing.T) (*Admin, *storetest.Table) {
	t.Helper()
	table := storetest.New()
	assert.NilError(t, platform.Seed(table, fleettest.Fleet(fleettest.WASouth())))
	return &Admin{Table: table.Client("admin")}, table
}

func createPlan(t *testing.T, a *Admin, intent fleet.Intent) fleet.Plan {
	t.Helper()
	s, err := LoadSnapshot(context.Background(), a.Table)
	assert.NilError(t, err)
	plan, err := a.CreateIntent(context.Background(), s, intent)
	assert.NilError(t, err)
	return plan
}

// Guards against two conflicting plans that are both confirmed or both refused when
// they are confirmed at the same time, and against a refusal that does not name the
// conflicting plan and step.
func TestSimultaneousConfirmations(t *testing.T) {
	for range 20 {
		a, _ := newAdmin(t)
		plans := []fleet.Plan{
			createPlan(t, a, fleet.Intent{ID: "grow", Kind: fleet.IntentPoolCapacity, Pool: "counterdesk", Capacity: 16}),
			createPlan(t, a, fleet.Intent{ID: "rack", Kind: fleet.IntentEmptyRack, Rack: "rack-0002"}),
		}
		errs := make([]error, len(plans))
		var confirmations sync.WaitGroup
		for i, plan := range plans {
			confirmations.Go(func() { _, errs[i] = a.Confirm(context.Background(), plan.ID) })
		}
		confirmations.Wait()
		loser := 0
		if errs[0] == nil {
			loser = 1
		}
		assert.NilError(t, errs[1-loser])
		var refused *RefusedError
		assert.Assert(t, errors.As(errs[loser], &refused), "%v", errs[loser])
		for _, c := range refused.Changes {
			assert.Equal(t, c.Conflict, plans[1-loser].ID)
			assert.Assert(t, c.Step >= 0)
			assert.DeepEqual(t, c.Move, plans[1-loser].Moves[c.Step])
		}
	}
}

// Guards against a refusal that names a conflicting plan when a row was deleted for
// another reason.
func TestRefusalNamesTheChange(t *testing.T) {
	a, table := newAdmin(t)
	plan := createPlan(t, a, fleet.Intent{ID: "i", Kind: fleet.IntentPoolCapacity, Pool: "webshop", Capacity: 12})
	key := fleet.VMKey(plan.Moves[0].VM)
	table.Apply(store.Transaction{Writes: []store.Write{store.Delete(key)}})
	_, err := a.Confirm(context.Background(), plan.ID)
	assert.Error(t, err, "plan plan-i refused: "+key+" is gone")
}

// Guards against intents and plans that are stored twice, changed in the wrong
// state, or reported as stored when they are not.
func TestAdminStates(t *testing.T) {
	a, table := newAdmin(t)
	ctx := context.Background()
	intent := fleet.Intent{ID: "i", Kind: fleet.IntentPoolCapacity, Pool: "webshop", Capacity: 12}
	plan := createPlan(t, a, intent)
	s, err := LoadSnapshot(ctx, a.Table)
	assert.NilError(t, err)
	_, err = a.CreateIntent(ctx, s, intent)
	assert.Assert(t, errors.Is(err, ErrIntentExists))
	_, err = a.Reject(ctx, plan.ID, "not now")
	assert.NilError(t, err)
	_, err = a.Confirm(ctx, plan.ID)
	assert.Assert(t, errors.Is(err, ErrWrongState))
	_, err = a.Cancel(ctx, plan.ID, "")
	assert.Assert(t, errors.Is(err, ErrWrongState))
	_, err = a.Confirm(ctx, "plan-other")
	assert.Assert(t, errors.Is(err, ErrNotFound))
	var unmet *planner.UnmetError
	_, err = a.CreateIntent(ctx, s, fleet.Intent{ID: "j", Kind: fleet.IntentPoolCapacity, Pool: "webshop", Capacity: 100})
	assert.Assert(t, errors.As(err, &unmet))
	table.SetFaults(storetest.Fault{Kind: storetest.Down})
	_, err = a.CreateIntent(ctx, s, fleet.Intent{ID: "k", Kind: fleet.IntentPoolCapacity, Pool: "webshop", Capacity: 12})
	assert.Assert(t, errors.Is(err, store.ErrOutcomeUnknown) || errors.Is(err, store.ErrUnavailable), "%v", err)
	table.SetFaults()
	s, err = LoadSnapshot(ctx, a.Table)
	assert.NilError(t, err)
	assert.Equal(t, len(s.Intents), 1)
}

// Guards against ended plans that accumulate, plans that are deleted before they
// have ended, and a replica that does not follow the deletions.
func TestEndedPlansArePruned(t *testing.T) {
	a, _ := newAdmin(t)
	a.RetainPlans = 2
	r := NewReplica(a.Table)
	for i := range 6 {
		plan := createPlan(t, a, fleet.Intent{ID: fleet.IntentID(fmt.Sprint(i)), Kind: fleet.IntentEmptyRack, Rack: "rack-0000"})
		if i != 0 {
			_, err := a.Reject(context.Background(), plan.ID, "")
			assert.NilError(t, err)
		}
		assert.NilError(t, r.Refresh(context.Background()))
	}
	s := r.Snapshot()
	assert.DeepEqual(t, slices.Sorted(maps.Keys(s.Plans)), []fleet.PlanID{"plan-0", "plan-3", "plan-4", "plan-5"})
	assert.Equal(t, len(s.Intents), 4)
}
