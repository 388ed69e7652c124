package slots

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/fleettest"
)

// site returns the workers, with 8 slots each, and the members of a site with
// three availability zones.
func site(workers, members int) (map[fleet.VMID]fleet.VM, []fleet.Member) {
	vms := map[fleet.VMID]fleet.VM{}
	for i := range workers {
		id := fleet.VMID(fmt.Sprintf("vm-%02d", i))
		vms[id] = fleet.VM{ID: id, Pool: "p", Zone: zone(i), Slots: 8, Phase: fleet.PhaseServing}
	}
	var ms []fleet.Member
	for i := range members {
		ms = append(ms, fleet.Member{ID: fleet.MemberID(fmt.Sprintf("entry-%d", i)), Zone: zone(i), Incarnation: 1})
	}
	return vms, ms
}

func zone(i int) fleet.ZoneID { return fleet.ZoneID(string(rune('a' + i%3))) }

func assignHomes(vms map[fleet.VMID]fleet.VM, members []fleet.Member) *Homes {
	h := NewHomes()
	for id, vm := range vms {
		h.PutWorker(id, vm.Zone, vm.Slots)
	}
	h.SetMembers(members)
	return h
}

// Guards against a change of the hash, which would let two versions of the
// program compute different homes, and against homes in another zone.
func TestHomesAreStable(t *testing.T) {
	want := map[int][]int{
		3: {136, 128, 128},
		5: {69, 76, 128, 67, 52},
		7: {42, 76, 64, 43, 52, 64, 51},
		9: {42, 55, 47, 43, 39, 42, 51, 34, 39},
	}
	for n, counts := range want {
		vms, members := site(49, n)
		h, got := assignHomes(vms, members), make([]int, n)
		for id, vm := range vms {
			for i := range vm.Slots {
				home, ok := h.Home(Slot{id, i})
				assert.Assert(t, ok)
				assert.Equal(t, home.Zone, vm.Zone)
				got[home.ID[len(home.ID)-1]-'0']++
			}
		}
		assert.DeepEqual(t, got, counts)
	}
}

// Guards against incremental changes whose result differs from a computation from
// scratch, and against slots that move between unaffected members.
func TestHomesIncremental(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms, all := site(12, 9)
		h := NewHomes()
		for id, vm := range vms {
			h.PutWorker(id, vm.Zone, vm.Slots)
		}
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			var members []fleet.Member
			for _, m := range all {
				if rapid.Bool().Draw(t, string(m.ID)) {
					m.Zone = zone(rapid.IntRange(0, 2).Draw(t, "zone"))
					members = append(members, m)
				}
			}
			id := fleet.VMID(fmt.Sprintf("vm-%02d", rapid.IntRange(0, 11).Draw(t, "vm")))
			if vm, ok := vms[id]; ok && rapid.Bool().Draw(t, "remove") {
				delete(vms, id)
				h.RemoveWorker(id)
			} else {
				vm = fleet.VM{ID: id, Zone: zone(rapid.IntRange(0, 3).Draw(t, "zone")), Slots: rapid.IntRange(0, 9).Draw(t, "slots")}
				vms[id] = vm
				h.PutWorker(id, vm.Zone, vm.Slots)
			}
			h.SetMembers(members)
			fresh := assignHomes(vms, members)
			for id, vm := range vms {
				for i := range vm.Slots {
					got, _ := h.Home(Slot{id, i})
					want, _ := fresh.Home(Slot{id, i})
					assert.Equal(t, got, want)
				}
			}
		}
	})
}

// BenchmarkScaleHomesMember measures a member that leaves and joins with 4,100
// workers.
func BenchmarkScaleHomesMember(b *testing.B) {
	fleettest.BenchSizes(b, "members", fleettest.ScaleMembers, func(b *testing.B, n int) {
		vms, members := site(4100, n)
		h := assignHomes(vms, members)
		for b.Loop() {
			h.SetMembers(members[1:])
			h.SetMembers(members)
		}
	})
}

// Guards against a handover with the version of a later view: the home of the slot
// may have changed again, and the home in between may have started to use it.
func TestHandoverCarriesTheViewOfTheLoss(t *testing.T) {
	vms, members := site(9, 9)
	l, err := NewLedger(Options{})
	assert.NilError(t, err)
	adopt := func(version uint64, n int) {
		l.SetMembers(time.Unix(1000, 0), fleet.MemberView{Version: version, Members: members[:n]}, members[0], true)
	}
	adopt(1, 1)
	w := l.PutWorker(time.Unix(1000, 0), vms["vm-00"])
	forEachFlag(w.Free(), func(i int) { l.Take(w, i) })
	adopt(2, 4)
	lost := w.handoverDue
	adopt(3, 9)
	l.DrainHandovers()
	forEachFlag(lost, func(i int) { l.Release(w, i) })
	after := assignHomes(vms, members)
	moved := 0
	for _, h := range l.DrainHandovers() {
		assert.Equal(t, h.ViewVersion, uint64(2))
		for _, s := range h.Slots {
			if home, _ := after.Home(s); home.ID != h.To {
				moved++
			}
		}
	}
	assert.Assert(t, moved > 0, "no slot has moved twice")
}
