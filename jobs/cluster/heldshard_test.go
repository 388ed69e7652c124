package cluster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against calls that are forwarded to the former owner: a read that was taken before a takeover arrives after it.
func TestOwnTakeoverStaysInDirectoryBesideStaleRead(t *testing.T) {
	withGroup(t, 2, func(g *group) {
		next := g.loseOwnerBesideStaleReads()
		for end := time.Now().Add(2 * takeoverLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
			g.runOnLoop(func() {
				next.refreshBesideTakeover()
				assert.Assert(t, !next.owns["a"] || next.directory["a"].Self, "the directory names %s", next.directory["a"].Member)
			})
		}
		assert.Assert(t, next.owns["a"])
	})
}

// Guards against a takeover of a shard by the process that holds it, while its member row is missing in a read.
func TestHeldShardIsNotVacantWithoutMemberRow(t *testing.T) {
	withGroup(t, 1, func(g *group) {
		g.checkSingleOwnerFor(4 * time.Second)
		m := g.members[0]
		g.runOnLoop(func() {
			assert.Assert(t, m.owns["a"])
			delete(m.members, m.name)
			assert.Assert(t, !m.isVacant("a", m.o.Clock()))
		})
	})
}

// Guards against two owner objects of a shard: an acquisition is reported while the former one lasts.
func TestAcquisitionEndsTheFormerOne(t *testing.T) {
	withGroup(t, 1, func(g *group) {
		g.checkSingleOwnerFor(4 * time.Second)
		m := g.members[0]
		g.runOnLoop(func() {
			fence, owns := m.Fence("a")
			assert.Assert(t, owns)
			m.acquire("a", fence)
			m.acquire("a", fence-1)
			assert.DeepEqual(t, m.acquiredFences["a"], []uint64{fence})
			m.acquire("a", fence+1)
			assert.DeepEqual(t, m.acquiredFences["a"], []uint64{fence, fence + 1})
			assert.DeepEqual(t, m.acquiredTwice, []string(nil))
		})
	})
}
