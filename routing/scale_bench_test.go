package routing

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/fleettest"
)

func scaleRouter(s *fleet.Snapshot, members int) (*Router, fleet.MemberView) {
	r, view := New(Options{}), fleettest.Members(members)
	r.SetValidity(func() bool { return true })
	r.SetView(s, view, view.Members[0])
	return r, view
}

// BenchmarkScaleViewAll measures the first view of a process. heap-B is the size of
// the resulting state.
func BenchmarkScaleViewAll(b *testing.B) {
	fleettest.BenchWorkers(b, func(b *testing.B, s *fleet.Snapshot) {
		before := fleettest.HeapBytes()
		r, _ := scaleRouter(s, 9)
		state := fleettest.HeapBytes() - before
		assert.Assert(b, len(r.backends) == len(s.VMs))
		for b.Loop() {
			scaleRouter(s, 9)
		}
		b.ReportMetric(float64(state), "heap-B")
	})
}

// BenchmarkScaleViewOne measures a view in which one VM has changed.
func BenchmarkScaleViewOne(b *testing.B) {
	fleettest.BenchWorkers(b, func(b *testing.B, s *fleet.Snapshot) {
		r, view := scaleRouter(s, 9)
		next := [2]*fleet.Snapshot{fleettest.WithDrainingVM(s, "vm-0007"), s}
		i := 0
		for b.Loop() {
			snapshot := *next[i%2]
			snapshot.Revision = uint64(i + 2)
			snapshot.Delta = &fleet.Delta{From: uint64(i), To: uint64(i + 1), VMs: []fleet.VMID{"vm-0007"}}
			r.SetView(&snapshot, view, view.Members[0])
			i++
		}
	})
}

// BenchmarkScaleViewMember measures a view in which a member has left or joined, with
// 4,100 workers.
func BenchmarkScaleViewMember(b *testing.B) {
	fleettest.BenchSizes(b, "members", fleettest.ScaleMembers, func(b *testing.B, n int) {
		r, view := scaleRouter(fleettest.Fleet(fleettest.SizesFor(4100)), n)
		for b.Loop() {
			next := view
			next.Version = r.ledger.Version() + 1
			next.Members = view.Members[:n-int(next.Version%2)]
			r.SetView(nil, next, view.Members[0])
		}
	})
}

// BenchmarkScaleAdmit measures the admission of one request, the choice of its backend
// server and the release of its slot.
func BenchmarkScaleAdmit(b *testing.B) {
	fleettest.BenchWorkers(b, func(b *testing.B, s *fleet.Snapshot) {
		r, _ := scaleRouter(s, 1)
		r.ledger.SetMembers(time.Now().Add(time.Hour), fleettest.Members(1), fleettest.Members(1).Members[0], true)
		r.options.Now = func() time.Time { return time.Now().Add(time.Hour) }
		for b.Loop() {
			held, err := r.Acquire(context.Background(), Request{Pool: "pool-01", Service: "s", Customer: "c"})
			assert.NilError(b, err)
			held.Done(ResultAnswered)
		}
	})
}

// BenchmarkScaleIdleSlots measures the counting of idle slots for a heartbeat.
func BenchmarkScaleIdleSlots(b *testing.B) {
	fleettest.BenchWorkers(b, func(b *testing.B, s *fleet.Snapshot) {
		r, _ := scaleRouter(s, 9)
		for b.Loop() {
			r.IdleSlots()
		}
	})
}
