package plans

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/move"
)

func move0(m *simMember, vm fleet.VMID) move.MemberDrain {
	return move.MemberDrain{Member: m.id, Revision: m.snapshot.Revision, InFlight: len(m.inFlight[vm])}
}

// simulate runs one plan with drawn faults and returns the first violation.
func simulate(draw func(int) int, p plant) error {
	w := newSim(draw, p)
	admin := &Admin{Table: w.table.Client("admin")}
	ctx := context.Background()
	intents := []fleet.Intent{
		{ID: "i", Kind: fleet.IntentPoolCapacity, Pool: "till", Capacity: 4},
		{ID: "i", Kind: fleet.IntentPoolCapacity, Pool: "web", Capacity: 1},
		{ID: "i", Kind: fleet.IntentEmptyRack, Rack: "rack-0000"},
		{ID: "i", Kind: fleet.IntentEmptyRack, Rack: "rack-0001"},
	}
	plan, err := admin.CreateIntent(ctx, w.load(), intents[draw(len(intents))])
	w.check(err)
	_, err = admin.Confirm(ctx, plan.ID)
	w.check(err)
	w.fails = draw(5)
	for range 20 + draw(200) {
		if w.event(admin, plan.ID); w.err != nil {
			return w.err
		}
	}
	state := w.settle(plan.ID)
	if state == fleet.PlanBlocked {
		_, err = admin.Cancel(ctx, plan.ID, "blocked")
		w.check(err)
		if state = w.settle(plan.ID); state != fleet.PlanCancelled {
			w.check(fmt.Errorf("a blocked plan that was cancelled is %s", state))
		}
	}
	w.released(plan, state)
	return w.err
}

// released checks that an ended plan has left every VM serving and unreserved.
func (w *sim) released(plan fleet.Plan, state fleet.PlanState) {
	s := w.load()
	for id, vm := range s.VMs {
		if vm.Phase != fleet.PhaseServing || vm.Plan != "" || vm.Pool == "" {
			w.check(fmt.Errorf("plan is %s and VM %s is left as %+v", state, id, vm))
		}
	}
	for id, pool := range s.Pools {
		if pool.Plan != "" {
			w.check(fmt.Errorf("plan is %s and pool %s is still reserved", state, id))
		}
	}
	intent := plan.Intent
	if state == fleet.PlanDone && intent.Kind == fleet.IntentPoolCapacity && serving(s)[intent.Pool] != intent.Capacity {
		w.check(fmt.Errorf("the plan is done and pool %s holds %d VMs", intent.Pool, serving(s)[intent.Pool]))
	}
}

// Guards against a VM in two pools, a write after a takeover, a cut-off
// request, a pool below its floor and a plan that never ends, with crashes, lost
// replies, pauses and two drivers at every step.
func TestDriverUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		if err := simulate(draw, noPlant); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a check that cannot fail: without the epoch condition, and
// without the revision check of a drain, the same simulation must find a violation.
func TestSimulationFindsPlantedFaults(t *testing.T) {
	for name, test := range map[string]struct {
		plant plant
		want  string
	}{
		"no epoch condition": {plantNoEpoch, "the lease is"},
		"no drain check":     {plantNoDrainCheck, "is in 2 pools"},
	} {
		t.Run(name, func(t *testing.T) {
			var found error
			for seed := uint64(1); seed <= 2000 && found == nil; seed++ {
				found = simulate(rand.New(rand.NewPCG(seed, 0)).IntN, test.plant)
			}
			assert.ErrorContains(t, found, test.want)
		})
	}
}
