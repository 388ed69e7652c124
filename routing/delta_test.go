package routing

import (
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotcrank.dev/fleet"
)

// Guards against a router whose state after incremental updates differs from that
// of a router that compares all VMs. Some snapshots of a random sequence are not
// delivered.
func TestDeltaEqualsFullComparison(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := snapshot(6)
		incremental, full := newRouter(s, Options{}), newRouter(s, Options{})
		delta := fleet.Delta{}
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			next := &fleet.Snapshot{Revision: s.Revision + 1, VMs: maps.Clone(s.VMs)}
			delta = fleet.Delta{From: delta.To, To: delta.To + 1}
			for _, id := range rapid.SliceOfNDistinct(rapid.SampledFrom(slices.Sorted(maps.Keys(snapshot(8).VMs))), 0, 3, rapid.ID[fleet.VMID]).Draw(t, "changed") {
				delta.VMs = append(delta.VMs, id)
				vm, ok := next.VMs[id]
				if delete(next.VMs, id); !ok || rapid.Bool().Draw(t, "keep") {
					vm.ID, vm.Zone, vm.Slots = id, "a", 2
					vm.Pool = rapid.SampledFrom([]fleet.PoolID{testPool, "other"}).Draw(t, "pool")
					vm.Phase = rapid.SampledFrom([]fleet.Phase{fleet.PhaseServing, fleet.PhaseDraining}).Draw(t, "phase")
					vm.Generation += uint64(rapid.IntRange(0, 1).Draw(t, "generation"))
					next.VMs[id] = vm
				}
			}
			s = next
			if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
				with, d := *next, delta
				with.Delta = &d
				incremental.SetView(&with, singleMember(), self)
				full.SetView(next, singleMember(), self)
				assert.DeepEqual(t, poolContents(incremental), poolContents(full))
				assert.Equal(t, len(incremental.counters), len(incremental.backends), "counters of former generations are removed")
			}
		}
	})
}

// poolContents returns the routable VMs of each pool, and all VMs under the key "".
func poolContents(r *Router) map[fleet.PoolID]map[fleet.VMID]fleet.VM {
	all := map[fleet.PoolID]map[fleet.VMID]fleet.VM{"": {}}
	for id, b := range r.backends {
		all[""][id] = b.vm
	}
	for id, p := range r.pools {
		for _, b := range p.backends {
			if all[id] == nil {
				all[id] = map[fleet.VMID]fleet.VM{}
			}
			all[id][b.vm.ID] = b.vm
		}
	}
	return all
}
