package planner_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/fleettest"
	"peridotcrank.dev/fleet/planner"
)

func capacity(pool fleet.PoolID, n int) fleet.Intent {
	return fleet.Intent{ID: "i", Kind: fleet.IntentPoolCapacity, Pool: pool, Capacity: n}
}

func emptyRack(rack fleet.RackID) fleet.Intent {
	return fleet.Intent{ID: "i", Kind: fleet.IntentEmptyRack, Rack: rack}
}

// Guards against growth that takes VMs from a pool that needs them, and against an
// error that does not state the missing number of VMs.
func TestGrow(t *testing.T) {
	s := fleettest.Fleet(fleettest.WASouth())
	plan, err := planner.Plan(s, capacity("counterdesk", 12), planner.Options{})
	assert.NilError(t, err)
	assert.Equal(t, len(plan.Moves), 3)
	for _, m := range plan.Moves {
		assert.Equal(t, m.From, fleet.PoolID("backoffice"))
	}
	_, err = planner.Plan(s, capacity("counterdesk", 18), planner.Options{})
	var unmet *planner.UnmetError
	assert.Assert(t, errors.As(err, &unmet))
	assert.Equal(t, unmet.Reason, "pool counterdesk needs 9 more VMs; 8 are free in the spare pool and 0 are surplus in other pools")
	plan, err = planner.Plan(s, capacity("counterdesk", 17), planner.Options{})
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(strings.Join(plan.Warnings, "\n"), "spare pool backoffice would hold 0 VMs"))
}

// Guards against emptying a rack without a warning that a pool falls below its capacity.
func TestEmptyRackWithoutSpares(t *testing.T) {
	sizes := fleettest.WASouth()
	sizes[4].Workers = 0
	s := fleettest.Fleet(sizes)
	plan, err := planner.Plan(s, emptyRack("rack-0000"), planner.Options{})
	assert.NilError(t, err)
	assert.Assert(t, len(plan.Warnings) > 0)
	assert.Assert(t, strings.Contains(plan.Warnings[0], "below its capacity of"), plan.Warnings[0])
}

// Guards against a plan that moves a VM or changes a pool reserved by another plan.
func TestReservedByAnotherPlan(t *testing.T) {
	s := fleettest.Fleet(fleettest.WASouth())
	vm := s.VMs["vm-0000"]
	vm.Plan = "plan-other"
	s.VMs[vm.ID] = vm
	_, err := planner.Plan(s, emptyRack(vm.Rack), planner.Options{})
	assert.ErrorContains(t, err, "plan plan-other is moving VM vm-0000")
	pool := s.Pools["webshop"]
	pool.Plan = "plan-other"
	s.Pools[pool.ID] = pool
	_, err = planner.Plan(s, capacity("webshop", 12), planner.Options{})
	assert.ErrorContains(t, err, "plan plan-other is changing pool webshop")
}

// Guards against plans that cannot complete, that violate a floor, that omit a VM of
// the rack, or that go below a capacity without a warning.
func TestPlansFinishWithinTheirFloors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawFleet(t)
		intent := drawIntent(t, s)
		plan, err := planner.Plan(s, intent, planner.Options{})
		if err != nil {
			return
		}
		execute(t, s, plan)
		if intent.Kind == fleet.IntentPoolCapacity {
			assert.Equal(t, countServing(s, intent.Pool), intent.Capacity)
		}
		for id, floor := range plan.Floors {
			if intent.Kind == fleet.IntentEmptyRack && floor < s.Pools[id].Capacity {
				assert.Assert(t, slices.ContainsFunc(plan.Warnings, func(w string) bool { return strings.HasPrefix(w, "pool "+string(id)) }), "no warning for pool %s", id)
			}
		}
	})
}

func drawFleet(t *rapid.T) *fleet.Snapshot {
	sizes := fleettest.WASouth()
	for i := range sizes {
		sizes[i].Workers = rapid.IntRange(0, 14).Draw(t, "workers")
	}
	s := fleettest.Fleet(sizes)
	for _, id := range slices.Sorted(maps.Keys(s.Pools)) {
		pool := s.Pools[id]
		pool.Capacity = max(0, pool.Capacity+rapid.IntRange(-3, 2).Draw(t, "capacity"))
		if pool.Spare {
			pool.Capacity = 0
		}
		s.Pools[id] = pool
	}
	for _, id := range slices.Sorted(maps.Keys(s.VMs)) {
		vm := s.VMs[id]
		vm.Leaving = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
		vm.Rack = fleet.RackID(fmt.Sprint("rack-", rapid.IntRange(0, 5).Draw(t, "rack")))
		s.VMs[id] = vm
	}
	return s
}

func drawIntent(t *rapid.T, s *fleet.Snapshot) fleet.Intent {
	if rapid.Bool().Draw(t, "rack intent") {
		return emptyRack(fleet.RackID(fmt.Sprint("rack-", rapid.IntRange(0, 5).Draw(t, "rack"))))
	}
	pools := slices.Sorted(maps.Keys(s.Pools))
	return capacity(rapid.SampledFrom(pools).Draw(t, "pool"), rapid.IntRange(0, 20).Draw(t, "capacity"))
}

// execute runs the steps one at a time in a random order that the plan allows.
func execute(t *rapid.T, s *fleet.Snapshot, plan fleet.Plan) {
	for left := len(plan.Moves); left > 0; left-- {
		var ready []int
		for i, m := range plan.Moves {
			blocked := slices.ContainsFunc(m.After, func(j int) bool { return !plan.Moves[j].Done })
			drop := 0
			if s.VMs[m.VM].Routable() {
				drop = 1
			}
			if !m.Done && !blocked && (drop == 0 || countServing(s, m.From)-drop >= plan.Floors[m.From]) {
				ready = append(ready, i)
			}
		}
		if len(ready) == 0 {
			t.Fatalf("no step can start: %+v", plan)
		}
		i := rapid.SampledFrom(ready).Draw(t, "step")
		vm := s.VMs[plan.Moves[i].VM]
		assert.Equal(t, vm.Pool, plan.Moves[i].From)
		vm.Pool = plan.Moves[i].To
		s.VMs[vm.ID] = vm
		plan.Moves[i].Done = true
	}
}

func countServing(s *fleet.Snapshot, pool fleet.PoolID) int {
	n := 0
	for _, vm := range s.VMs {
		if vm.Pool == pool && vm.Routable() {
			n++
		}
	}
	return n
}
