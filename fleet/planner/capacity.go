package planner

import (
	"cmp"
	"slices"

	"peridotcrank.dev/fleet"
)

// planPoolCapacity adds the steps that bring a pool to its intended number of VMs.
func (b *builder) planPoolCapacity() error {
	intent := b.plan.Intent
	if err := b.checkNotReserved(intent.Pool); err != nil {
		return err
	}
	pool := b.fleet.Pools[intent.Pool]
	if pool.Spare {
		return b.unmetError("pool %s is the spare pool; it holds what the other pools do not need", pool.ID)
	}
	if intent.Capacity < 0 {
		return b.unmetError("capacity %d is negative", intent.Capacity)
	}
	b.affectedPools[pool.ID] = true
	missing := intent.Capacity - b.serving[pool.ID]
	if missing >= 0 {
		return b.grow(pool.ID, missing)
	}
	return b.shrink(pool.ID, -missing)
}

// grow adds VMs to a pool, from the spare pool first, then from pools with a surplus.
func (b *builder) grow(pool fleet.PoolID, missing int) error {
	sources := b.sources(pool)
	spares, surplus := b.countAvailable(sources, pool)
	if spares+surplus < missing {
		return b.unmetError("pool %s needs %d more VMs; %d are free in the spare pool and %d are surplus in other pools", pool, missing, spares, surplus)
	}
	for range missing {
		vm, ok := b.pickSource(sources, pool)
		if !ok {
			return b.unmetError("pool %s needs more VMs than can be taken from other pools", pool)
		}
		b.addStep(vm, pool, false, "pool "+string(pool)+" grows to its capacity")
		b.serving[vm.Pool]--
		b.keepAtCapacity(vm.Pool)
	}
	b.warnSpare(missing)
	return nil
}

// keepAtCapacity sets the floor of a pool that gives VMs away to its capacity.
func (b *builder) keepAtCapacity(id fleet.PoolID) {
	if pool := b.fleet.Pools[id]; !pool.Spare {
		b.plan.Floors[id] = pool.Capacity
	}
}

// sources returns the free VMs of all other pools that no other plan is changing,
// including the spare pool.
func (b *builder) sources(pool fleet.PoolID) []fleet.VM {
	var vms []fleet.VM
	for _, vm := range b.vms {
		if vm.Pool != pool && b.isFree(vm) && !vm.Leaving && b.fleet.Pools[vm.Pool].Plan == "" {
			vms = append(vms, vm)
		}
	}
	return vms
}

// countAvailable returns how many spare VMs and surplus VMs of other pools the sources
// provide.
func (b *builder) countAvailable(sources []fleet.VM, pool fleet.PoolID) (spares, surplus int) {
	inPool := map[fleet.PoolID]int{}
	for _, vm := range sources {
		inPool[vm.Pool]++
	}
	for id, n := range inPool {
		switch {
		case id == pool:
		case id == b.sparePool:
			spares += n
		default:
			surplus += max(0, min(n, b.surplus(id)))
		}
	}
	return spares, surplus
}

// pickSource returns the source VM that leaves the pool spread most evenly over its
// failure domains. Spare VMs are preferred. It returns false if no source is left.
func (b *builder) pickSource(sources []fleet.VM, pool fleet.PoolID) (fleet.VM, bool) {
	var best fleet.VM
	found := false
	for _, vm := range sources {
		if b.reserved[vm.ID] || (vm.Pool != b.sparePool && b.surplus(vm.Pool) <= 0) {
			continue
		}
		if !found || b.isBetterSource(vm, best, pool) {
			best, found = vm, true
		}
	}
	return best, found
}

// isBetterSource reports whether x is a better source for the pool than y. The ID
// decides between equal ones, so that plans are deterministic.
func (b *builder) isBetterSource(x, y fleet.VM, pool fleet.PoolID) bool {
	xSpare, ySpare := x.Pool == b.sparePool, y.Pool == b.sparePool
	if xSpare != ySpare {
		return xSpare
	}
	xZone, xRack := b.spread.domainCounts(x, pool)
	yZone, yRack := b.spread.domainCounts(y, pool)
	return cmp.Or(cmp.Compare(xZone, yZone), cmp.Compare(xRack, yRack), cmp.Compare(x.ID, y.ID)) < 0
}

// shrink returns VMs to the spare pool, first those in the failure domains that hold
// the most VMs of the pool.
func (b *builder) shrink(pool fleet.PoolID, excess int) error {
	if b.sparePool == "" {
		return b.unmetError("pool %s has %d VMs too many and there is no spare pool to take them", pool, excess)
	}
	var members []fleet.VM
	for _, vm := range b.vms {
		if vm.Pool == pool && b.isFree(vm) && !vm.Leaving {
			members = append(members, vm)
		}
	}
	if len(members) < excess {
		return b.unmetError("pool %s has %d VMs too many and only %d of them are free to move", pool, excess, len(members))
	}
	for range excess {
		i := b.mostCrowded(members, pool)
		b.addStep(members[i], b.sparePool, false, "pool "+string(pool)+" shrinks to its capacity")
		members = slices.Delete(members, i, i+1)
	}
	b.plan.Floors[pool] = b.plan.Intent.Capacity
	return nil
}

// mostCrowded returns the index of the VM whose failure domains hold the most VMs of
// the pool.
func (b *builder) mostCrowded(vms []fleet.VM, pool fleet.PoolID) int {
	best := 0
	for i, vm := range vms {
		zone, rack := b.spread.domainCounts(vm, pool)
		bestZone, bestRack := b.spread.domainCounts(vms[best], pool)
		if cmp.Or(cmp.Compare(zone, bestZone), cmp.Compare(rack, bestRack)) > 0 {
			best = i
		}
	}
	return best
}

// warnSpare adds a warning if the plan leaves fewer VMs in the spare pool than the
// reserve.
func (b *builder) warnSpare(taken int) {
	if taken == 0 || b.sparePool == "" {
		return
	}
	if left := b.serving[b.sparePool]; left < b.options.SpareReserve {
		b.addWarning("spare pool %s would hold %d VMs; a VM that fails could not be replaced", b.sparePool, left)
	}
}
