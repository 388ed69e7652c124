package planner

import (
	"cmp"
	"slices"

	"peridotcrank.dev/fleet"
)

// poolCapacity plans for a pool to hold the intended number of VMs.
func (b *builder) poolCapacity() error {
	intent := b.plan.Intent
	if err := b.changeable(intent.Pool); err != nil {
		return err
	}
	pool := b.fleet.Pools[intent.Pool]
	if pool.Spare {
		return b.unmet("pool %s is the spare pool; it holds what the other pools do not need", pool.ID)
	}
	if intent.Capacity < 0 {
		return b.unmet("capacity %d is negative", intent.Capacity)
	}
	b.touched[pool.ID] = true
	missing := intent.Capacity - b.held[pool.ID]
	if missing >= 0 {
		return b.grow(pool.ID, missing)
	}
	return b.shrink(pool.ID, -missing)
}

// grow takes VMs from the spare pool, then from pools with a surplus.
func (b *builder) grow(pool fleet.PoolID, missing int) error {
	sources := b.sources(pool)
	spares, surplus := b.available(sources, pool)
	if spares+surplus < missing {
		return b.unmet("pool %s needs %d more VMs; %d are free in the spare pool and %d are surplus in other pools", pool, missing, spares, surplus)
	}
	for range missing {
		vm, ok := b.pick(sources, pool)
		if !ok {
			return b.unmet("pool %s needs more VMs than can be taken from other pools", pool)
		}
		b.step(vm, pool, false, "pool "+string(pool)+" grows to its capacity")
		b.held[vm.Pool]--
		b.floor(vm.Pool)
	}
	b.warnSpare(missing)
	return nil
}

// floor keeps a pool that gives VMs away at its capacity.
func (b *builder) floor(id fleet.PoolID) {
	if pool := b.fleet.Pools[id]; !pool.Spare {
		b.plan.Floors[id] = pool.Capacity
	}
}

// sources returns the free VMs that may be taken for a pool: those of the
// spare pool and those of pools that no other plan changes.
func (b *builder) sources(pool fleet.PoolID) []fleet.VM {
	var vms []fleet.VM
	for _, vm := range b.vms {
		if vm.Pool != pool && b.free(vm) && !vm.Leaving && b.fleet.Pools[vm.Pool].Plan == "" {
			vms = append(vms, vm)
		}
	}
	return vms
}

func (b *builder) available(sources []fleet.VM, pool fleet.PoolID) (spares, surplus int) {
	inPool := map[fleet.PoolID]int{}
	for _, vm := range sources {
		inPool[vm.Pool]++
	}
	for id, n := range inPool {
		switch {
		case id == pool:
		case id == b.spare:
			spares += n
		default:
			surplus += max(0, min(n, b.surplus(id)))
		}
	}
	return spares, surplus
}

// pick returns the source that spreads the pool best. Spare VMs come first.
func (b *builder) pick(sources []fleet.VM, pool fleet.PoolID) (fleet.VM, bool) {
	var best fleet.VM
	found := false
	for _, vm := range sources {
		if b.reserved[vm.ID] || (vm.Pool != b.spare && b.surplus(vm.Pool) <= 0) {
			continue
		}
		if !found || b.better(vm, best, pool) {
			best, found = vm, true
		}
	}
	return best, found
}

func (b *builder) better(x, y fleet.VM, pool fleet.PoolID) bool {
	xSpare, ySpare := x.Pool == b.spare, y.Pool == b.spare
	if xSpare != ySpare {
		return xSpare
	}
	xZone, xRack := b.spread.crowding(x, pool)
	yZone, yRack := b.spread.crowding(y, pool)
	return cmp.Or(cmp.Compare(xZone, yZone), cmp.Compare(xRack, yRack), cmp.Compare(x.ID, y.ID)) < 0
}

// shrink returns VMs to the spare pool, those in the most crowded domains first.
func (b *builder) shrink(pool fleet.PoolID, excess int) error {
	if b.spare == "" {
		return b.unmet("pool %s has %d VMs too many and there is no spare pool to take them", pool, excess)
	}
	var members []fleet.VM
	for _, vm := range b.vms {
		if vm.Pool == pool && b.free(vm) && !vm.Leaving {
			members = append(members, vm)
		}
	}
	if len(members) < excess {
		return b.unmet("pool %s has %d VMs too many and only %d of them are free to move", pool, excess, len(members))
	}
	for range excess {
		i := b.mostCrowded(members, pool)
		b.step(members[i], b.spare, false, "pool "+string(pool)+" shrinks to its capacity")
		members = slices.Delete(members, i, i+1)
	}
	b.plan.Floors[pool] = b.plan.Intent.Capacity
	return nil
}

func (b *builder) mostCrowded(vms []fleet.VM, pool fleet.PoolID) int {
	best := 0
	for i, vm := range vms {
		zone, rack := b.spread.crowding(vm, pool)
		bestZone, bestRack := b.spread.crowding(vms[best], pool)
		if cmp.Or(cmp.Compare(zone, bestZone), cmp.Compare(rack, bestRack)) > 0 {
			best = i
		}
	}
	return best
}

// warnSpare warns when the plan uses up the spare pool.
func (b *builder) warnSpare(taken int) {
	if taken == 0 || b.spare == "" {
		return
	}
	if left := b.held[b.spare]; left < b.options.SpareReserve {
		b.warn("spare pool %s would hold %d VMs; a VM that fails could not be replaced", b.spare, left)
	}
}
