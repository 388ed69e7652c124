package cluster

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/rowstest"
)

// Guards against two owners: a late copy of the renewal that created the member row of a process creates it
// again after a takeover has deleted it, and the process renews its lapsed lease.
func TestLateCreationOfMemberRowDoesNotRestoreLease(t *testing.T) {
	const lateBy = 12 * time.Second
	withGroup(t, 1, func(g *group) {
		g.store.Delay = lateBy
		var created atomic.Bool
		g.store.SetFault(func(tx rows.Tx) rowstest.Fault {
			if isCreation(tx, memberKey("m1")) && created.CompareAndSwap(false, true) {
				return rowstest.Delayed
			}
			return rowstest.NoFault
		})
		began := time.Now()
		former := g.add()
		g.checkSingleOwnerFor(5 * time.Second)
		g.runOnLoop(func() { g.members[0].Leave(func() {}) })
		g.checkSingleOwnerFor(time.Second)
		assert.Assert(t, created.Load() && g.activeOwner("a") == former)
		g.add()
		g.checkSingleOwnerFor(500 * time.Millisecond)

		former.store.setFault(rowstest.RequestLost)
		g.checkSingleOwnerFor(time.Until(began.Add(lateBy)) + 500*time.Millisecond)
		assert.Assert(t, g.activeOwner("a") == g.members[2])
		former.store.failReads.Store(true) // Only its renewals reach the store again.
		former.store.setFault(rowstest.NoFault)
		g.checkSingleOwnerFor(takeoverLimit)
	})
}

// isCreation reports whether a transaction creates a row.
func isCreation(tx rows.Tx, key rows.Key) bool {
	return len(tx.Expect) > 0 && tx.Expect[0] == rows.Expectation{Key: key}
}
