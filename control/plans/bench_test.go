package plans

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/fleettest"
	"peridotcrank.dev/store/storetest"
	"peridotcrank.dev/testbed/platform"
)

var benchSizes = []int{49, 500, 1500, 4100}

// benchDriver returns a driver that has taken the lease of a confirmed plan
// that moves four VMs.
func benchDriver(b *testing.B, workers int) (*Driver, *time.Time) {
	b.Helper()
	table, ctx := storetest.New(), context.Background()
	assert.NilError(b, platform.Seed(table, fleettest.Fleet(fleettest.Sized(workers))))
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
	for d.Drives() == 0 {
		assert.NilError(b, d.Tick(ctx))
		now = now.Add(100 * time.Millisecond)
	}
	return d, &now
}

// BenchmarkScaleStep is one decision on a plan whose lease is held.
func BenchmarkScaleStep(b *testing.B) {
	for _, workers := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			d, now := benchDriver(b, workers)
			b.ReportAllocs()
			for b.Loop() {
				d.Decide(*now)
			}
		})
	}
}

// BenchmarkScaleIdleTick is a refresh without changes and a decision that has nothing to do.
func BenchmarkScaleIdleTick(b *testing.B) {
	for _, workers := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			d, now := benchDriver(b, workers)
			d.options.Limits.Renew, d.options.Limits.Poll = time.Hour, time.Hour
			_ = now
			b.ReportAllocs()
			for b.Loop() {
				if err := d.Tick(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkScaleLoadSnapshot is the first refresh of a process.
func BenchmarkScaleLoadSnapshot(b *testing.B) {
	for _, workers := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			d, _ := benchDriver(b, workers)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := LoadSnapshot(context.Background(), d.options.Table); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
