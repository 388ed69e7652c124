package planner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"peridotcrank.dev/fleet"
)

// PlanID returns the ID of the plan for an intent.
func PlanID(id fleet.IntentID) fleet.PlanID { return fleet.PlanID("plan-" + string(id)) }

// Plan computes the plan for an intent. It returns an *UnmetError when the
// intent cannot be met.
func Plan(s *fleet.Snapshot, intent fleet.Intent, o Options) (fleet.Plan, error) {
	if err := o.Validate(); err != nil {
		return fleet.Plan{}, err
	}
	b := newBuilder(s, intent, o.withDefaults())
	var err error
	switch intent.Kind {
	case fleet.IntentPoolCapacity:
		err = b.poolCapacity()
	case fleet.IntentEmptyRack:
		err = b.emptyRack()
	default:
		err = b.unmet("no plan moves VMs for intents of kind %q", intent.Kind)
	}
	if err != nil {
		return fleet.Plan{}, err
	}
	return b.finish(), nil
}

// builder collects the steps of one plan.
type builder struct {
	fleet    *fleet.Snapshot
	options  Options
	plan     fleet.Plan
	vms      []fleet.VM           // Sorted by ID.
	held     map[fleet.PoolID]int // Serving VMs that are not leaving.
	spare    fleet.PoolID         // Empty when there is none.
	touched  map[fleet.PoolID]bool
	reserved map[fleet.VMID]bool // VMs that have a step in this plan.
	spread   spread
}

func newBuilder(s *fleet.Snapshot, intent fleet.Intent, o Options) *builder {
	b := &builder{
		fleet: s, options: o, held: map[fleet.PoolID]int{},
		touched: map[fleet.PoolID]bool{}, reserved: map[fleet.VMID]bool{},
		plan: fleet.Plan{
			ID: PlanID(intent.ID), Intent: intent, State: fleet.PlanProposed,
			Width: o.Width, RackWidth: o.RackWidth, ZoneWidth: o.ZoneWidth,
			Floors: map[fleet.PoolID]int{},
		},
	}
	b.vms = slices.SortedFunc(maps.Values(s.VMs), func(x, y fleet.VM) int { return cmp.Compare(x.ID, y.ID) })
	for _, vm := range b.vms {
		if vm.Routable() {
			b.held[vm.Pool]++
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.Pools)) {
		if s.Pools[id].Spare && b.spare == "" {
			b.spare = id
		}
	}
	b.spread = newSpread(b.vms)
	return b
}

func (b *builder) unmet(format string, args ...any) error {
	return &UnmetError{Intent: b.plan.Intent.ID, Reason: fmt.Sprintf(format, args...)}
}

func (b *builder) warn(format string, args ...any) {
	b.plan.Warnings = append(b.plan.Warnings, fmt.Sprintf(format, args...))
}

// free reports whether a VM may get a step: it serves and no plan has reserved it.
func (b *builder) free(vm fleet.VM) bool {
	return vm.Phase == fleet.PhaseServing && vm.Plan == "" && !b.reserved[vm.ID]
}

// changeable checks that no other plan changes the pool.
func (b *builder) changeable(id fleet.PoolID) error {
	pool, ok := b.fleet.Pools[id]
	if !ok {
		return b.unmet("pool %s does not exist", id)
	}
	if pool.Plan != "" {
		return b.unmet("plan %s is changing pool %s", pool.Plan, id)
	}
	return nil
}

// surplus is the number of VMs that a pool holds beyond its capacity.
func (b *builder) surplus(id fleet.PoolID) int { return b.held[id] - b.fleet.Pools[id].Capacity }

// step adds a step and returns its index.
func (b *builder) step(vm fleet.VM, to fleet.PoolID, reboot bool, reason string, after ...int) int {
	b.reserved[vm.ID] = true
	b.touched[vm.Pool], b.touched[to] = true, true
	if vm.Pool != to {
		b.spread.move(vm, to)
	}
	b.plan.Moves = append(b.plan.Moves, fleet.MoveStep{
		VM: vm.ID, From: vm.Pool, To: to, Generation: vm.Generation, Reboot: reboot, Reason: reason, After: after,
	})
	return len(b.plan.Moves) - 1
}

// finish adds the preconditions and the warnings on the resulting placement.
func (b *builder) finish() fleet.Plan {
	for _, id := range slices.Sorted(maps.Keys(b.touched)) {
		b.plan.Preconditions = append(b.plan.Preconditions, fleet.RowVersion{Key: fleet.PoolKey(id), Version: b.fleet.Pools[id].Version})
		if !b.fleet.Pools[id].Spare {
			b.warnConcentration(id)
		}
	}
	for _, m := range b.plan.Moves {
		b.plan.Preconditions = append(b.plan.Preconditions, fleet.RowVersion{Key: fleet.VMKey(m.VM), Version: b.fleet.VMs[m.VM].Version})
	}
	return b.plan
}
