package control

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

// inspectController is an event that calls a function on the control goroutine.
type inspectController func(c *Controller)

func (f inspectController) apply(c *Controller) { f(c) }

// heartbeatTo returns the heartbeat that a controller would send now.
func (tc *testCluster) heartbeatTo(from int, to fleet.MemberID) (m *peerpb.Heartbeat) {
	tc.controller(from).send(tc.t.Context(), inspectController(func(c *Controller) { m = c.newHeartbeat(tc.clock(), to) }))
	synctest.Wait()
	return m
}

// Guards against heartbeats that repeat a report which the peer has acknowledged,
// and against a peer that never gets a report because one heartbeat was lost.
func TestReportIsSentUntilHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 2)
		traffic := cluster.traffic["entry-1"]
		set := func(n int) {
			traffic.mu.Lock()
			defer traffic.mu.Unlock()
			traffic.idle = map[fleet.PoolID]int{"webshop": n}
		}
		set(7)
		cluster.sleep(time.Second)
		assert.Equal(t, cluster.traffic["entry-2"].reportedIdleSlots("entry-1"), 7)
		assert.Assert(t, !cluster.heartbeatTo(0, "entry-2").GetReportIncluded())
		cluster.network.isolate("entry-2", true)
		set(2)
		cluster.sleep(time.Second)
		assert.Assert(t, cluster.heartbeatTo(0, "entry-2").GetReportIncluded())
		cluster.network.isolate("entry-2", false)
		cluster.sleep(time.Second)
		assert.Equal(t, cluster.traffic["entry-2"].reportedIdleSlots("entry-1"), 2)
	})
}

// Guards against reports that change with each heartbeat under load, and against
// a peer that sees idle slots where there are none, or none where there are some.
func TestReportedIdleCountsAreDamped(t *testing.T) {
	for _, c := range []struct{ now, reported, want uint32 }{
		{5, 7, 7}, {14, 7, 7}, {4, 7, 7}, {15, 7, 15}, {3, 7, 3}, {0, 7, 0}, {1, 0, 1}, {0, 0, 0}, {1, 2, 2},
	} {
		assert.Equal(t, dampIdleCount(c.now, c.reported), c.want, "%+v", c)
	}
}

// Guards against a process that accepts an acknowledgement meant for its former
// incarnation, which may have sent another report and held another view.
func TestAcknowledgementOfFormerIncarnationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 2)
		incarnation := incarnationIn(cluster.controller(0).State().Members, "entry-1")
		for _, own := range []bool{false, true} {
			m := cluster.heartbeatTo(1, "entry-1")
			m.ReportHeld, m.EchoIncarnation = 99, incarnation+1
			if own {
				m.EchoIncarnation = incarnation
			}
			cluster.controller(0).send(t.Context(), heartbeatReceived{message: m})
			cluster.controller(0).send(t.Context(), inspectController(func(c *Controller) {
				assert.Check(t, (c.exchanges["entry-2"].confirmedReport == 99) == own)
			}))
			synctest.Wait()
		}
	})
}

// Guards against a view that is kept valid by heartbeats without acknowledgements:
// their sender may not have received a heartbeat of this process for a long time.
func TestOnlyAcknowledgementsConfirmTheView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 3)
		cluster.cutOffStore("entry-1", "entry-2", "entry-3")
		cluster.network.mu.Lock()
		for _, other := range []fleet.MemberID{"entry-2", "entry-3"} {
			cluster.network.cut[[2]fleet.MemberID{"entry-1", other}] = true // One direction only.
		}
		cluster.network.mu.Unlock()
		cluster.sleep(validFor + time.Second)
		assert.Assert(t, !cluster.controller(0).Valid())
		assert.Assert(t, cluster.controller(1).Valid())
	})
}
