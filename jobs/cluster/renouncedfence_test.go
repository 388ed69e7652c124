package cluster

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a second owner object under a renounced fence: a read that was taken before the takeover of a
// shard arrives after this process has renounced it.
func TestRenouncedFenceIsNotAcquiredAgain(t *testing.T) {
	withGroup(t, 2, func(g *group) {
		next := g.loseOwnerBesideStaleReads()
		var renounced uint64
		for end := time.Now().Add(2 * takeoverLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
			g.runOnLoop(func() {
				next.refreshBesideTakeover()
				if fence, owns := next.Fence("a"); owns && renounced == 0 {
					renounced = fence
					next.Renounce("a", fence) // As after a worker has refused an order.
				}
			})
		}
		assert.Assert(t, renounced > 0)
		fences := next.acquiredFences["a"]
		assert.Equal(t, len(slices.Compact(slices.Clone(fences))), len(fences), "fences of the acquisitions: %v", fences)
	})
}
