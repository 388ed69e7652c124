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

func memberDrain(m *simMember, vm fleet.VMID) move.MemberDrain {
	return move.MemberDrain{Member: m.id, Revision: m.snapshot.Revision, InFlight: len(m.inFlight[vm])}
}

// simulate runs two plans with random faults and returns the first violation. The
// first plan is confirmed at the start.
func simulate(draw func(int) int, planted plantedFault) error {
	w := newSim(draw, planted)
	admin := &Admin{Table: w.table.Client("admin")}
	ctx := context.Background()
	intents := []fleet.Intent{
		{Kind: fleet.IntentPoolCapacity, Pool: "till", Capacity: 4}, {Kind: fleet.IntentPoolCapacity, Pool: "web", Capacity: 1},
		{Kind: fleet.IntentEmptyRack, Rack: "rack-0000"}, {Kind: fleet.IntentEmptyRack, Rack: "rack-0001"},
	}
	for _, id := range []fleet.IntentID{"i", "j"} {
		intent := intents[draw(len(intents))]
		intent.ID = id
		plan, err := admin.CreateIntent(ctx, w.refreshedSnapshot(), intent)
		w.recordViolation(err)
		w.plans = append(w.plans, plan)
	}
	w.confirm(admin, 0)
	w.failingReboots = draw(5)
	noFailures := w.failingReboots == 0
	for range 20 + draw(200) {
		if w.randomEvent(admin); w.err != nil {
			return w.err
		}
	}
	for i, plan := range w.plans {
		w.endPlan(admin, plan, i == 0)
	}
	if state := w.refreshedSnapshot().Plans["plan-i"].State; noFailures && !w.cancelled && state != fleet.PlanDone {
		w.recordViolation(fmt.Errorf("plan-i met no obstacle, but is %s instead of done", state))
	}
	w.checkReleased()
	return w.err
}

// endPlan runs a plan until it ends, and cancels it if it is blocked or was not confirmed.
func (w *sim) endPlan(admin *Admin, plan fleet.Plan, mustRun bool) {
	state := w.runUntilEnded(plan.ID)
	if state.Ended() {
		return
	}
	if state == fleet.PlanProposed && mustRun {
		w.recordViolation(fmt.Errorf("plan %s was confirmed and is proposed", plan.ID))
	}
	_, err := admin.Cancel(context.Background(), plan.ID, "test")
	w.recordViolation(err)
	if state = w.runUntilEnded(plan.ID); state != fleet.PlanCancelled {
		w.recordViolation(fmt.Errorf("plan %s was cancelled and is %s", plan.ID, state))
	}
}

// checkReleased checks that the plans have left every VM serving and unreserved, and
// no pool below its capacity without a warning.
func (w *sim) checkReleased() {
	s := w.refreshedSnapshot()
	for id, vm := range s.VMs {
		if vm.Phase != fleet.PhaseServing || vm.Plan != "" || vm.Pool == "" {
			w.recordViolation(fmt.Errorf("all plans have ended and VM %s is left as %+v", id, vm))
		}
	}
	for id, pool := range s.Pools {
		if pool.Plan != "" {
			w.recordViolation(fmt.Errorf("all plans have ended and pool %s is still reserved", id))
		}
	}
	for _, p := range w.plans {
		intent := p.Intent
		if s.Plans[p.ID].State == fleet.PlanDone && intent.Kind == fleet.IntentPoolCapacity && s.Pools[intent.Pool].Capacity != intent.Capacity {
			w.recordViolation(fmt.Errorf("plan %s is done and pool %s has capacity %d", p.ID, intent.Pool, s.Pools[intent.Pool].Capacity))
		}
	}
	for id, pool := range s.Pools {
		warned := slices.ContainsFunc(w.plans, func(p fleet.Plan) bool {
			return strings.Contains(strings.Join(s.Plans[p.ID].Warnings, "\n"), "cancelled: pool "+string(id)+" is left")
		})
		if n := servingCounts(s)[id]; !pool.Spare && !warned && n < pool.Capacity {
			w.recordViolation(fmt.Errorf("pool %s ends with %d serving VMs, below its capacity of %d", id, n, pool.Capacity))
		}
	}
}

// Guards against a VM in two pools, a write after a takeover, an interrupted
// request, a pool below its floor and a plan that never ends. Two drivers suffer
// crashes, lost replies and pauses at every step.
func TestDriverUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Rapid can shrink its own choices when a check fails, but it favours small
		// numbers. Choices by seed are uniformly distributed.
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		if rapid.Bool().Draw(t, "by seed") {
			choose = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)).IntN
		}
		if err := simulate(choose, noPlantedFault); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a simulation that cannot detect a fault: it must find a violation
// without the epoch condition, and without the revision check of a drain.
func TestSimulationFindsPlantedFaults(t *testing.T) {
	for name, test := range map[string]struct {
		plantedFault plantedFault
		want         string
	}{
		"no epoch condition": {plantedNoEpochCondition, "VM vm-.* written by .* under epoch .* the lease is"},
		"no drain check":     {plantedNoDrainCheck, "is in 2 pools|while it reboots|cuts off a request"},
	} {
		t.Run(name, func(t *testing.T) {
			var found error
			for seed := uint64(1); seed <= 2000 && found == nil; seed++ {
				found = simulate(rand.New(rand.NewPCG(seed, 0)).IntN, test.plantedFault)
			}
			assert.Assert(t, found != nil)
			assert.Assert(t, cmp.Regexp(test.want, found.Error()))
		})
	}
}
