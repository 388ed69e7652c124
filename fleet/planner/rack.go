package planner

import (
	"maps"
	"slices"

	"peridotcrank.dev/fleet"
)

// emptyRack plans to drain and reboot each VM of a rack. A pool that would fall
// below its capacity gets replacements from the spare pool first; as many of
// its VMs in the rack join the spare pool, so that no replacement moves twice.
func (b *builder) emptyRack() error {
	rack := b.plan.Intent.Rack
	byPool, err := b.rackMembers(rack)
	if err != nil {
		return err
	}
	pools := slices.Sorted(maps.Keys(byPool))
	replacements := b.replacements(rack, pools, byPool)
	total := 0
	for _, pool := range pools {
		got := replacements[pool]
		total += len(got)
		b.emptyRackOf(pool, byPool[pool], got)
	}
	b.warnSpare(total)
	return nil
}

// rackMembers returns the VMs of a rack by pool.
func (b *builder) rackMembers(rack fleet.RackID) (map[fleet.PoolID][]fleet.VM, error) {
	byPool := map[fleet.PoolID][]fleet.VM{}
	for _, vm := range b.vms {
		if vm.Rack != rack {
			continue
		}
		if vm.Plan != "" {
			return nil, b.unmet("plan %s is moving VM %s of rack %s", vm.Plan, vm.ID, rack)
		}
		if vm.Phase != fleet.PhaseServing {
			return nil, b.unmet("VM %s of rack %s is %s", vm.ID, rack, vm.Phase)
		}
		if err := b.changeable(vm.Pool); err != nil {
			return nil, err
		}
		byPool[vm.Pool] = append(byPool[vm.Pool], vm)
	}
	if len(byPool) == 0 {
		return nil, b.unmet("rack %s holds no VM", rack)
	}
	return byPool, nil
}

// replacements assigns spare VMs outside the rack to the pools that would fall
// below their capacity. When there are too few, each pool gets one in turn.
func (b *builder) replacements(rack fleet.RackID, pools []fleet.PoolID, byPool map[fleet.PoolID][]fleet.VM) map[fleet.PoolID][]fleet.VM {
	var spares []fleet.VM
	for _, vm := range b.vms {
		if vm.Pool == b.spare && vm.Rack != rack && b.free(vm) && !vm.Leaving {
			spares = append(spares, vm)
		}
	}
	got := map[fleet.PoolID][]fleet.VM{}
	for granted := true; granted; {
		granted = false
		for _, pool := range pools {
			if len(got[pool]) >= b.deficit(pool, byPool[pool]) {
				continue
			}
			vm, ok := b.pick(spares, pool)
			if !ok {
				return got
			}
			b.reserved[vm.ID] = true
			got[pool] = append(got[pool], vm)
			b.spread.add(vm, pool, 1) // Counted here for the next pick; step counts it for good.
			granted = true
		}
	}
	return got
}

// deficit is the number of VMs that a pool lacks while its VMs in the rack are away.
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

// emptyRackOf adds the steps for the VMs of one pool in the rack. VMs that
// leave the pool come last: until then the replacements cover the others.
func (b *builder) emptyRackOf(pool fleet.PoolID, away, got []fleet.VM) {
	var arrivals []int
	for _, vm := range got {
		b.spread.add(vm, pool, -1)
		arrivals = append(arrivals, b.step(vm, pool, false, "replaces a VM of rack "+string(b.plan.Intent.Rack)))
		b.held[b.spare]--
	}
	var inPlace []int
	for _, vm := range away[:len(away)-len(got)] {
		inPlace = append(inPlace, b.step(vm, pool, true, "maintenance of rack "+string(vm.Rack)))
	}
	for i, vm := range away[len(away)-len(got):] {
		after := append(slices.Clone(inPlace), arrivals[i])
		b.step(vm, b.spare, true, "maintenance of rack "+string(vm.Rack)+"; replaced in pool "+string(pool), after...)
		b.held[b.spare]++
	}
	b.rackFloor(pool, routable(away), len(got))
}

// rackFloor sets the floor of a pool and warns when it is below the capacity.
func (b *builder) rackFloor(id fleet.PoolID, away, got int) {
	pool := b.fleet.Pools[id]
	if pool.Spare || away == 0 {
		return
	}
	// Without a replacement one VM is away at a time. With replacements the pool
	// ends with as many VMs as it had.
	floor := min(pool.Capacity, b.held[id]-1)
	if got > 0 {
		floor = min(pool.Capacity, b.held[id])
	} else if b.surplus(id) > 0 {
		floor = pool.Capacity
	}
	b.plan.Floors[id] = floor
	if floor < pool.Capacity {
		b.warn("pool %s would fall to %d serving VMs, below its capacity of %d: %d of its VMs are in rack %s and %d replacements are free in the spare pool",
			id, floor, pool.Capacity, away, b.plan.Intent.Rack, got)
	} else if missing := away - got - b.surplus(id); missing > 0 {
		b.warn("pool %s: %d replacements for %d VMs in rack %s; its VMs are moved one after the other", id, got, away, b.plan.Intent.Rack)
	}
}
