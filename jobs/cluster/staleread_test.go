package cluster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/rows/rowstest"
)

// staleReadTime is how long the replies to reads are on their way, while transactions are answered in time.
const staleReadTime = 80 * time.Millisecond

// loseOwnerBesideStaleReads partitions the owner of shard a, and returns the other process, which takes
// the shard over while its reads are late.
func (g *group) loseOwnerBesideStaleReads() *member {
	g.checkSingleOwnerFor(4 * time.Second)
	former := g.activeOwner("a")
	former.store.setFault(rowstest.RequestLost)
	next := g.members[0]
	if next == former {
		next = g.members[1]
	}
	next.store.readReplyTime.Store(int64(staleReadTime))
	return next
}

// refreshBesideTakeover requests a read while the takeover of shard a is on its way, as a caller of a
// shard without an owner does.
func (m *member) refreshBesideTakeover() {
	if m.takeoverPending["a"] {
		m.Refresh()
	}
}

// Guards against a second owner object under one fence: a read that was taken before a takeover arrives after it.
func TestShardIsAcquiredOnceBesideStaleRead(t *testing.T) {
	withGroup(t, 2, func(g *group) {
		next := g.loseOwnerBesideStaleReads()
		for end := time.Now().Add(2 * takeoverLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
			g.runOnLoop(next.refreshBesideTakeover)
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
		m.store.readReplyTime.Store(int64(staleReadTime))
		for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			g.runOnLoop(func() {
				m.Refresh()
				assert.Assert(t, m.HasLease(), "the lease has lapsed")
			})
		}
	})
}
