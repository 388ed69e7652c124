package eventlog

import (
	"fmt"
	"testing"

	"peridotcrank.dev/fleet/fleettest"
)

// BenchmarkScaleTimeline measures the merge of the full timelines of all entry
// processes, and the memory of each timeline.
func BenchmarkScaleTimeline(b *testing.B) {
	fleettest.BenchSizes(b, "members", fleettest.ScaleMembers, func(b *testing.B, n int) {
		before := fleettest.HeapBytes()
		timelines := make([][]Event, n)
		for i := range timelines {
			l := newTestLog(b, Options{Process: fmt.Sprintf("entry-%d", i)})
			for range DefaultCapacity {
				l.Record(MoveStep, Fields{"vm": "vm-0001", "phase": "draining"})
			}
			timelines[i] = l.Timeline(0, DefaultCapacity)
		}
		state := fleettest.HeapBytes() - before
		for b.Loop() {
			Merge(timelines...)
		}
		b.ReportMetric(float64(state)/float64(n), "heap-B/member")
	})
}
