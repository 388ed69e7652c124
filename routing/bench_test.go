package routing

import (
	"context"
	"fmt"
	"testing"
	"time"

	"peridotcrank.dev/fleet"
)

// fleetOf returns a snapshot of VMs with 8 slots each, distributed over the pools.
func fleetOf(vms, pools int) *fleet.Snapshot {
	s := snapshot(vms)
	for i := range vms {
		id := fleet.VMID(fmt.Sprintf("vm-%02d", i))
		vm := s.VMs[id]
		vm.Slots, vm.Pool = 8, fleet.PoolID(fmt.Sprint("p", i%pools))
		s.VMs[id] = vm
	}
	return s
}

func BenchmarkAcquireDone(b *testing.B) {
	for _, size := range []struct{ vms, pools int }{{49, 5}, {4100, 25}} {
		r := newRouter(fleetOf(size.vms, size.pools), Options{})
		run := func() {
			h, err := r.Acquire(context.Background(), Request{Pool: "p1", Service: "s", Customer: "c", Deadline: time.Now().Add(time.Second)})
			if err == nil {
				h.Valid()
				h.Done(ResultAnswered)
			}
		}
		b.Run(fmt.Sprint(size.vms), func(b *testing.B) {
			for b.Loop() {
				run()
			}
		})
		b.Run(fmt.Sprint(size.vms, "/parallel"), func(b *testing.B) {
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					run()
				}
			})
		})
	}
}

func BenchmarkSetView(b *testing.B) {
	s := fleetOf(4100, 25)
	r := newRouter(s, Options{})
	draining := withChangedVM(s, "vm-07", func(vm *fleet.VM) { vm.Phase = fleet.PhaseDraining })
	draining.Revision = 0
	for b.Loop() {
		r.SetView(draining, singleMember(), self)
		r.SetView(s, singleMember(), self)
	}
}
