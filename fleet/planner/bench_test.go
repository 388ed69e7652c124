package planner_test

import (
	"fmt"
	"testing"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/fleettest"
	"peridotcrank.dev/fleet/planner"
)

// BenchmarkScalePlan measures planning for fleets from today's size to that expected in
// two years.
func BenchmarkScalePlan(b *testing.B) {
	for _, workers := range []int{49, 500, 1500, 4100} {
		s := fleettest.Fleet(fleettest.SizesFor(workers))
		for name, intent := range map[string]fleet.Intent{
			"capacity": capacity("pool-00", s.Pools["pool-00"].Capacity+4), "rack": emptyRack("rack-0000"),
		} {
			b.Run(fmt.Sprintf("intent=%s/workers=%d", name, workers), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if _, err := planner.Plan(s, intent, planner.Options{}); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
