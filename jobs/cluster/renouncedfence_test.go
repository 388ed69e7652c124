package cluster

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/rows/rowstest"
)

// Guards against a second owner object under a renounced fence: a read that was taken before the takeover of a
// shard arrives after this process has renounced it.
func TestRenouncedFenceIsNotAcquiredAgain(t *testing.T) {
	const readReplyTime = 80 * time.Millisecond
	withGroup(t, 2, func(g *group) {
		g.checkSingleOwnerFor(4 * time.Second)
		former := g.activeOwner("a")
		former.store.setFault(rowstest.RequestLost)
		next := g.members[0]
		if next == former {
			next = g.members[1]
		}
		next.store.readReplyTime.Store(int64(readReplyTime))
		var renounced uint64
		for end := time.Now().Add(2 * takeoverLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
			g.runOnLoop(func() {
				if next.takeoverPending["a"] {
					next.Refresh() // As a caller of a shard without an owner requests it.
				}
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
