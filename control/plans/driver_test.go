package plans

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
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
		{Kind: fleet.IntentPoolCapacity, Pool: "till", Capacity: 4}, {Kind: fleet.IntentPoolCapacity, Pool: "web", Capacity: 1},
		{Kind: fleet.IntentEmptyRack, Rack: "rack-0000"}, {Kind: fleet.IntentEmptyRack, Rack: "rack-0001"},
	}
	for _, id := range []fleet.IntentID{"i", "j"} {
		intent := intents[draw(len(intents))]
		intent.ID = id
		plan, err := admin.CreateIntent(ctx, w.load(), intent)
		w.check(err)
		w.plans = append(w.plans, plan)
	}
	w.confirm(admin, 0)
	w.fails = draw(5)
	smooth := w.fails == 0
	for range 20 + draw(200) {
		if w.event(admin); w.err != nil {
			return w.err
		}
	}
	for i, plan := range w.plans {
		w.end(admin, plan, i == 0)
	}
	if state := w.load().Plans["plan-i"].State; smooth && !w.cancelled && state != fleet.PlanDone {
		w.check(fmt.Errorf("nothing stood in the way of plan-i, and it is %s", state))
	}
	w.released()
	return w.err
}

// end settles a plan. A plan that is blocked or was not confirmed is cancelled.
func (w *sim) end(admin *Admin, plan fleet.Plan, mustRun bool) {
	state := w.settle(plan.ID)
	if state.Ended() {
		return
	}
	if state == fleet.PlanProposed && mustRun {
		w.check(fmt.Errorf("plan %s was confirmed and is proposed", plan.ID))
	}
	_, err := admin.Cancel(context.Background(), plan.ID, "test")
	w.check(err)
	if state = w.settle(plan.ID); state != fleet.PlanCancelled {
		w.check(fmt.Errorf("plan %s was cancelled and is %s", plan.ID, state))
	}
}

// released checks that the plans have left every VM serving and unreserved, and
// no pool below its capacity without a warning.
func (w *sim) released() {
	s := w.load()
	for id, vm := range s.VMs {
		if vm.Phase != fleet.PhaseServing || vm.Plan != "" || vm.Pool == "" {
			w.check(fmt.Errorf("all plans have ended and VM %s is left as %+v", id, vm))
		}
	}
	for id, pool := range s.Pools {
		if pool.Plan != "" {
			w.check(fmt.Errorf("all plans have ended and pool %s is still reserved", id))
		}
	}
	for _, p := range w.plans {
		intent := p.Intent
		if s.Plans[p.ID].State == fleet.PlanDone && intent.Kind == fleet.IntentPoolCapacity && s.Pools[intent.Pool].Capacity != intent.Capacity {
			w.check(fmt.Errorf("plan %s is done and pool %s has capacity %d", p.ID, intent.Pool, s.Pools[intent.Pool].Capacity))
		}
	}
	for id, pool := range s.Pools {
		warned := slices.ContainsFunc(w.plans, func(p fleet.Plan) bool {
			return strings.Contains(strings.Join(s.Plans[p.ID].Warnings, "\n"), "cancelled: pool "+string(id)+" is left")
		})
		if n := serving(s)[id]; !pool.Spare && !warned && n < pool.Capacity {
			w.check(fmt.Errorf("pool %s ends with %d serving VMs, below its capacity of %d", id, n, pool.Capacity))
		}
	}
}

// Guards against a VM in two pools, a write after a takeover, a cut-off
// request, a pool below its floor and a plan that never ends, with crashes, lost
// replies, pauses and two drivers at every step.
func TestDriverUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Choices by rapid can be made smaller when a check fails, but favour small
		// numbers; choices by seed are spread evenly.
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		if rapid.Bool().Draw(t, "by seed") {
			draw = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)).IntN
		}
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
		"no epoch condition": {plantNoEpoch, "VM vm-.* written by .* under epoch .* the lease is"},
		"no drain check":     {plantNoDrainCheck, "is in 2 pools|while it reboots|cuts off a request"},
	} {
		t.Run(name, func(t *testing.T) {
			var found error
			for seed := uint64(1); seed <= 2000 && found == nil; seed++ {
				found = simulate(rand.New(rand.NewPCG(seed, 0)).IntN, test.plant)
			}
			assert.Assert(t, found != nil)
			assert.Assert(t, cmp.Regexp(test.want, found.Error()))
		})
	}
}
