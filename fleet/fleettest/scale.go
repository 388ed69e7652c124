package fleettest

import (
	"fmt"
	"maps"
	"runtime"
	"testing"

	"peridotcrank.dev/fleet"
)

// ScaleWorkers are the numbers of workers in the scale benchmarks: today's site, two
// intermediate sizes, and the fleet expected in two years.
var ScaleWorkers = []int{49, 500, 1500, 4100}

// ScaleMembers are the numbers of entry processes in the scale benchmarks.
var ScaleMembers = []int{3, 9, 30, 60}

// BenchWorkers runs a benchmark on a fleet of each size in ScaleWorkers.
func BenchWorkers(b *testing.B, run func(b *testing.B, s *fleet.Snapshot)) {
	for _, workers := range ScaleWorkers {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := Fleet(SizesFor(workers))
			b.ReportAllocs()
			run(b, s)
		})
	}
}

// BenchSizes runs a benchmark for each of the given sizes; kind names the sub-benchmarks.
func BenchSizes(b *testing.B, kind string, sizes []int, run func(b *testing.B, n int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("%s=%d", kind, n), func(b *testing.B) {
			b.ReportAllocs()
			run(b, n)
		})
	}
}

// Members returns a view of n entry processes, distributed over the same availability
// zones as the VMs of Fleet.
func Members(n int) fleet.MemberView {
	view := fleet.MemberView{Version: uint64(n)}
	for i := range n {
		view.Members = append(view.Members, fleet.Member{
			ID: fleet.MemberID(fmt.Sprintf("entry-%d", i+1)), Zone: fleet.ZoneID(fmt.Sprintf("zone-%c", 'a'+i%ZonesPerSite)), Incarnation: 1,
		})
	}
	return view
}

// WithDrainingVM returns a copy of a snapshot at the next revision, with one VM draining.
func WithDrainingVM(s *fleet.Snapshot, id fleet.VMID) *fleet.Snapshot {
	next := *s
	next.Revision++
	next.VMs = maps.Clone(s.VMs)
	vm := next.VMs[id]
	vm.Phase, vm.Version = fleet.PhaseDraining, next.Revision
	next.VMs[id] = vm
	return &next
}

// Services returns a configuration of n services.
func Services(n int) fleet.Configuration {
	c := fleet.Configuration{Version: 1}
	for i := range n {
		c.Services = append(c.Services, fleet.Service{
			Name: fleet.ServiceName(fmt.Sprintf("service-%03d", i)), PathPrefix: fmt.Sprintf("/service-%03d/", i),
			Pool: fleet.PoolID(fmt.Sprintf("pool-%02d", i%5)), Timeout: 2e9, MaxBodyBytes: 1 << 20, MaxQueue: 256, AvailabilityTarget: 0.999,
		})
	}
	return c
}

// HeapBytes runs a garbage collection and returns the bytes of live heap objects.
func HeapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
