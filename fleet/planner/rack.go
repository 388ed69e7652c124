package planner

import (
	"maps"
	"slices"

	"peridotcrank.dev/fleet"
)

// planEmptyRack adds steps that drain and reboot each VM of a rack. A pool that would
// fall below its capacity first gets replacements from the spare pool. The same number
// of its VMs in the rack join the spare pool, so that no replacement moves twice.
func (b *builder) planEmptyRack() error {
	rack := b.plan.Intent.Rack
	byPool, err := b.rackVMsByPool(rack)
	if err != nil {
		return err
	}
	pools := slices.Sorted(maps.Keys(byPool))
	replacements := b.replacements(rack, pools, byPool)
	total := 0
	for _, pool := range pools {
		assigned := replacements[pool]
		total += len(assigned)
		b.addRackSteps(pool, byPool[pool], assigned)
	}
	b.warnSpare(total)
	return nil
}

// rackVMsByPool returns the VMs of a rack by pool. It returns an *UnmetError if the rack
// is empty, a VM is not serving, or another plan has reserved a VM or its pool.
func (b *builder) rackVMsByPool(rack fleet.RackID) (map[fleet.PoolID][]fleet.VM, error) {
	byPool := map[fleet.PoolID][]fleet.VM{}
	for _, vm := range b.vms {
		if vm.Rack != rack {
			continue
		}
		if vm.Plan != "" {
			return nil, b.unmetError("plan %s is moving VM %s of rack %s", vm.Plan, vm.ID, rack)
		}
		if vm.Phase != fleet.PhaseServing {
			return nil, b.unmetError("VM %s of rack %s is %s", vm.ID, rack, vm.Phase)
		}
		if err := b.checkNotReserved(vm.Pool); err != nil {
			return nil, err
		}
		byPool[vm.Pool] = append(byPool[vm.Pool], vm)
	}
	if len(byPool) == 0 {
		return nil, b.unmetError("rack %s holds no VM", rack)
	}
	return byPool, nil
}

// replacements assigns spare VMs outside the rack to the pools that would fall below
// their capacity, one VM per pool in turn until no spare VM is left.
func (b *builder) replacements(rack fleet.RackID, pools []fleet.PoolID, byPool map[fleet.PoolID][]fleet.VM) map[fleet.PoolID][]fleet.VM {
	var spares []fleet.VM
	for _, vm := range b.vms {
		if vm.Pool == b.sparePool && vm.Rack != rack && b.isFree(vm) && !vm.Leaving {
			spares = append(spares, vm)
		}
	}
	assigned := map[fleet.PoolID][]fleet.VM{}
	for progress := true; progress; {
		progress = false
		for _, pool := range pools {
			if len(assigned[pool]) >= b.deficit(pool, byPool[pool]) {
				continue
			}
			vm, ok := b.pickSource(spares, pool)
			if !ok {
				return assigned
			}
			b.reserved[vm.ID] = true
			assigned[pool] = append(assigned[pool], vm)
			b.spread.add(vm, pool, 1) // Provisional, for the next pick; addStep counts the move.
			progress = true
		}
	}
	return assigned
}

// deficit returns the number of VMs that a pool lacks while its VMs in the rack are
// out of service.
func (b *builder) deficit(pool fleet.PoolID, away []fleet.VM) int {
	if b.fleet.Pools[pool].Spare {
		return 0
	}
	serving := routable(away)
	return min(serving, max(0, serving-b.surplus(pool)))
}

func routable(vms []fleet.VM) int {
	n := 0
	for _, vm := range vms {
		if vm.Routable() {
			n++
		}
	}
	return n
}

// addRackSteps adds the steps for the VMs of one pool in the rack. VMs that leave the
// pool come last, so that the replacements cover the VMs that are rebooted in place.
func (b *builder) addRackSteps(pool fleet.PoolID, away, assigned []fleet.VM) {
	var arrivals []int
	for _, vm := range assigned {
		b.spread.add(vm, pool, -1)
		arrivals = append(arrivals, b.addStep(vm, pool, false, "replaces a VM of rack "+string(b.plan.Intent.Rack)))
		b.serving[b.sparePool]--
	}
	var inPlace []int
	for _, vm := range away[:len(away)-len(assigned)] {
		inPlace = append(inPlace, b.addStep(vm, pool, true, "maintenance of rack "+string(vm.Rack)))
	}
	for i, vm := range away[len(away)-len(assigned):] {
		after := append(slices.Clone(inPlace), arrivals[i])
		b.addStep(vm, b.sparePool, true, "maintenance of rack "+string(vm.Rack)+"; replaced in pool "+string(pool), after...)
		b.serving[b.sparePool]++
	}
	b.setRackFloor(pool, routable(away), len(assigned))
}

// setRackFloor sets the floor of a pool. It adds a warning if the floor is below the
// pool's capacity, or if replacements are missing and VMs move one after the other.
func (b *builder) setRackFloor(id fleet.PoolID, away, assigned int) {
	pool := b.fleet.Pools[id]
	if pool.Spare || away == 0 {
		return
	}
	// Without replacements one VM at a time is out of service. With replacements the
	// pool keeps its number of VMs.
	floor := min(pool.Capacity, b.serving[id]-1)
	if assigned > 0 {
		floor = min(pool.Capacity, b.serving[id])
	} else if b.surplus(id) > 0 {
		floor = pool.Capacity
	}
	b.plan.Floors[id] = floor
	if floor < pool.Capacity {
		b.addWarning("pool %s would fall to %d serving VMs, below its capacity of %d: %d of its VMs are in rack %s and %d replacements are free in the spare pool",
			id, floor, pool.Capacity, away, b.plan.Intent.Rack, assigned)
	} else if missing := away - assigned - b.surplus(id); missing > 0 {
		b.addWarning("pool %s: %d replacements for %d VMs in rack %s; its VMs are moved one after the other", id, assigned, away, b.plan.Intent.Rack)
	}
}
