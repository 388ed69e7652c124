package planner

import (
	"maps"
	"slices"

	"peridotcrank.dev/fleet"
)

// spread counts the VMs of each pool per rack and per availability zone, including the
// effect of the plan's steps.
type spread struct {
	total   map[fleet.PoolID]int
	racks   map[rackKey]int
	zones   map[zoneKey]int
	changed map[fleet.PoolID]bool
}

type rackKey struct {
	pool fleet.PoolID
	rack fleet.RackID
}

type zoneKey struct {
	pool fleet.PoolID
	zone fleet.ZoneID
}

func newSpread(vms []fleet.VM) spread {
	s := spread{map[fleet.PoolID]int{}, map[rackKey]int{}, map[zoneKey]int{}, map[fleet.PoolID]bool{}}
	for _, vm := range vms {
		s.add(vm, vm.Pool, 1)
	}
	return s
}

func (s spread) add(vm fleet.VM, pool fleet.PoolID, n int) {
	s.total[pool] += n
	s.racks[rackKey{pool, vm.Rack}] += n
	s.zones[zoneKey{pool, vm.Zone}] += n
}

func (s spread) move(vm fleet.VM, to fleet.PoolID) {
	s.add(vm, vm.Pool, -1)
	s.add(vm, to, 1)
	s.changed[vm.Pool], s.changed[to] = true, true
}

// domainCounts returns how many VMs of the pool are in the VM's availability zone and in
// its rack.
func (s spread) domainCounts(vm fleet.VM, pool fleet.PoolID) (zone, rack int) {
	return s.zones[zoneKey{pool, vm.Zone}], s.racks[rackKey{pool, vm.Rack}]
}

// warnConcentration adds a warning if the plan leaves more than the configured share of
// a pool in one rack or availability zone.
func (b *builder) warnConcentration(pool fleet.PoolID) {
	total := b.spread.total[pool]
	if !b.spread.changed[pool] || total < 2 {
		return
	}
	for _, key := range sortedKeys(b.spread.racks, func(k rackKey) (fleet.PoolID, string) { return k.pool, string(k.rack) }, pool) {
		if n := b.spread.racks[key]; n > 1 && float64(n) > b.options.RackShare*float64(total) {
			b.addWarning("pool %s: rack %s would hold %d of %d VMs; its failure would leave %d", pool, key.rack, n, total, total-n)
		}
	}
	for _, key := range sortedKeys(b.spread.zones, func(k zoneKey) (fleet.PoolID, string) { return k.pool, string(k.zone) }, pool) {
		if n := b.spread.zones[key]; n > 1 && float64(n) > b.options.ZoneShare*float64(total) {
			b.addWarning("pool %s: availability zone %s would hold %d of %d VMs; its failure would leave %d", pool, key.zone, n, total, total-n)
		}
	}
}

// sortedKeys returns the keys of one pool, sorted by the name of the failure domain.
func sortedKeys[K comparable](counts map[K]int, parts func(K) (fleet.PoolID, string), pool fleet.PoolID) []K {
	return slices.SortedFunc(func(yield func(K) bool) {
		for k := range maps.Keys(counts) {
			if p, _ := parts(k); p == pool && !yield(k) {
				return
			}
		}
	}, func(a, b K) int {
		_, x := parts(a)
		_, y := parts(b)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
}
