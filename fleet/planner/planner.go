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
		err = b.planPoolCapacity()
	case fleet.IntentEmptyRack:
		err = b.planEmptyRack()
	default:
		err = b.unmetError("no plan moves VMs for intents of kind %q", intent.Kind)
	}
	if err != nil {
		return fleet.Plan{}, err
	}
	return b.finish(), nil
}

// builder collects the steps of one plan.
type builder struct {
	fleet         *fleet.Snapshot
	options       Options
	plan          fleet.Plan
	vms           []fleet.VM            // Sorted by ID.
	serving       map[fleet.PoolID]int  // Serving VMs that are not leaving.
	sparePool     fleet.PoolID          // Empty when there is none.
	affectedPools map[fleet.PoolID]bool // Pools that the plan changes.
	reserved      map[fleet.VMID]bool   // VMs that have a step in this plan.
	spread        spread
}

func newBuilder(s *fleet.Snapshot, intent fleet.Intent, o Options) *builder {
	b := &builder{
		fleet: s, options: o, serving: map[fleet.PoolID]int{},
		affectedPools: map[fleet.PoolID]bool{}, reserved: map[fleet.VMID]bool{},
		plan: fleet.Plan{
			ID: PlanID(intent.ID), Intent: intent, State: fleet.PlanProposed,
			Width: o.Width, RackWidth: o.RackWidth, ZoneWidth: o.ZoneWidth,
			Floors: map[fleet.PoolID]int{},
		},
	}
	b.vms = slices.SortedFunc(maps.Values(s.VMs), func(x, y fleet.VM) int { return cmp.Compare(x.ID, y.ID) })
	for _, vm := range b.vms {
		if vm.Routable() {
			b.serving[vm.Pool]++
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.Pools)) {
		if s.Pools[id].Spare && b.sparePool == "" {
			b.sparePool = id
		}
	}
	b.spread = newSpread(b.vms)
	return b
}

func (b *builder) unmetError(format string, args ...any) error {
	return &UnmetError{Intent: b.plan.Intent.ID, Reason: fmt.Sprintf(format, args...)}
}

func (b *builder) addWarning(format string, args ...any) {
	b.plan.Warnings = append(b.plan.Warnings, fmt.Sprintf(format, args...))
}

// isFree reports whether a step can be added for a VM: it is serving, and neither
// another plan nor this one has reserved it.
func (b *builder) isFree(vm fleet.VM) bool {
	return vm.Phase == fleet.PhaseServing && vm.Plan == "" && !b.reserved[vm.ID]
}

// checkNotReserved returns an *UnmetError if the pool does not exist or another plan
// is changing it.
func (b *builder) checkNotReserved(id fleet.PoolID) error {
	pool, ok := b.fleet.Pools[id]
	if !ok {
		return b.unmetError("pool %s does not exist", id)
	}
	if pool.Plan != "" {
		return b.unmetError("plan %s is changing pool %s", pool.Plan, id)
	}
	return nil
}

// surplus returns the number of serving VMs of a pool beyond its capacity. It is
// negative if the pool has too few.
func (b *builder) surplus(id fleet.PoolID) int { return b.serving[id] - b.fleet.Pools[id].Capacity }

// addStep adds a step that moves or reboots a VM, reserves the VM, and returns the
// index of the step. The steps with the indices in after must be done before it.
func (b *builder) addStep(vm fleet.VM, to fleet.PoolID, reboot bool, reason string, after ...int) int {
	b.reserved[vm.ID] = true
	b.affectedPools[vm.Pool], b.affectedPools[to] = true, true
	if vm.Pool != to {
		b.spread.move(vm, to)
	}
	b.plan.Moves = append(b.plan.Moves, fleet.MoveStep{
		VM: vm.ID, From: vm.Pool, To: to, Generation: vm.Generation, Reboot: reboot, Reason: reason, After: after,
	})
	return len(b.plan.Moves) - 1
}

// finish adds the preconditions and the warnings about the resulting placement, and
// returns the plan.
func (b *builder) finish() fleet.Plan {
	for _, id := range slices.Sorted(maps.Keys(b.affectedPools)) {
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
