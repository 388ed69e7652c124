package cluster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/rows/rowstest"
)

// Guards against a second owner object under one fence: a read that was taken before a takeover arrives after it.
func TestShardIsAcquiredOnceBesideStaleRead(t *testing.T) {
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
		for end := time.Now().Add(2 * takeoverLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
			g.runOnLoop(func() {
				if next.takeoverPending["a"] {
					next.Refresh() // As a caller of a shard without an owner requests it.
				}
			})
		}
		assert.Assert(t, next.owns["a"])
		assert.DeepEqual(t, next.acquiredTwice, []string(nil))
	})
}

// Guards against a lease that lapses because reads for callers, requested without a pause, keep the renewals waiting.
func TestRequestedReadsDoNotDelayRenewals(t *testing.T) {
	withGroup(t, 1, func(g *group) {
		g.checkSingleOwnerFor(4 * time.Second)
		m := g.members[0]
		m.store.readReplyTime.Store(int64(80 * time.Millisecond))
		for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			g.runOnLoop(func() {
				m.Refresh()
				assert.Assert(t, m.HasLease(), "the lease has lapsed")
			})
		}
	})
}
