package plans

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/fleettest"
	"peridotcrank.dev/store/storetest"
	"peridotcrank.dev/testbed/platform"
)

// benchDriver returns a driver that has taken the lease of a confirmed plan
// that moves four VMs.
func benchDriver(b *testing.B, workers int) (*Driver, *time.Time) {
	b.Helper()
	table, ctx := storetest.New(), context.Background()
	assert.NilError(b, platform.Seed(table, fleettest.Fleet(fleettest.SizesFor(workers))))
	a := &Admin{Table: table.Client("admin")}
	s, err := LoadSnapshot(ctx, a.Table)
	assert.NilError(b, err)
	plan, err := a.CreateIntent(ctx, s, fleet.Intent{ID: "i", Kind: fleet.IntentPoolCapacity, Pool: "pool-00", Capacity: s.Pools["pool-00"].Capacity + 4})
	assert.NilError(b, err)
	_, err = a.Confirm(ctx, plan.ID)
	assert.NilError(b, err)
	now := time.Unix(0, 0)
	d, err := NewDriver(Options{Self: "m", Table: table.Client("m"), Environment: simEnvironment{}, Now: func() time.Time { return now }, Go: func(func()) {}})
	assert.NilError(b, err)
	for d.DrivenPlanCount() == 0 {
		assert.NilError(b, d.Tick(ctx))
		now = now.Add(100 * time.Millisecond)
	}
	return d, &now
}

// benchmark runs f with a driver at each size.
func benchmark(b *testing.B, f func(b *testing.B, d *Driver, now time.Time)) {
	for _, workers := range []int{49, 500, 1500, 4100} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			d, now := benchDriver(b, workers)
			b.ReportAllocs()
			f(b, d, *now)
		})
	}
}

// BenchmarkScaleStep measures one decision on a plan whose lease is held.
func BenchmarkScaleStep(b *testing.B) {
	benchmark(b, func(b *testing.B, d *Driver, now time.Time) {
		for b.Loop() {
			d.Decide(now)
		}
	})
}

// BenchmarkScaleIdleTick measures a refresh without changes and a decision without actions.
func BenchmarkScaleIdleTick(b *testing.B) {
	benchmark(b, func(b *testing.B, d *Driver, _ time.Time) {
		d.options.Limits.RenewAfter, d.options.Limits.ActInterval = time.Hour, time.Hour
		for b.Loop() {
			assert.NilError(b, d.Tick(context.Background()))
		}
	})
}

// BenchmarkScaleLoadSnapshot measures the first refresh of a process. retained-B is
// the heap that the snapshot holds.
func BenchmarkScaleLoadSnapshot(b *testing.B) {
	benchmark(b, func(b *testing.B, d *Driver, _ time.Time) {
		var s *fleet.Snapshot
		before := heap()
		for b.Loop() {
			s = nil
			var err error
			s, err = LoadSnapshot(context.Background(), d.options.Table)
			assert.NilError(b, err)
		}
		b.ReportMetric(float64(heap())-float64(before), "retained-B")
		runtime.KeepAlive(s)
		runtime.KeepAlive(d)
	})
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // Empties the victim caches of pools.
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
