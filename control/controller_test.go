package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/store"
	"peridotcrank.dev/store/storetest"
)

const (
	// validFor is the longest time without a confirmation for which a process may
	// send requests by its view.
	validFor = 3 * time.Second
	// leavingBound is the time within which every process must know that a backend
	// server is leaving.
	leavingBound = 3 * time.Second
)

// Guards against processes that never join the same view or never hold a valid one.
func TestMembersJoinAndViewsAreValid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 3)
		for i := range 3 {
			state := cluster.controller(i).State()
			assert.Equal(t, len(state.Members.Members), 3)
			assert.Assert(t, cluster.controller(i).Valid())
			assert.Assert(t, state.InView)
		}
	})
}

// Guards against a process that keeps sending by an old view after it has lost
// its connections to the table service and to all peers.
func TestIsolatedProcessStopsWithinValidity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 3)
		cluster.network.isolate("entry-3", true)
		cluster.cutOffStore("entry-3")
		cluster.sleep(validFor)
		assert.Assert(t, !cluster.controller(2).Valid())
		assert.Assert(t, cluster.controller(0).Valid())
		cluster.sleep(time.Minute)
		assert.Assert(t, !cluster.controller(2).Valid())
		assert.Equal(t, len(cluster.controller(0).State().Members.Members), 2, "the silent member is evicted")

		cluster.network.isolate("entry-3", false)
		cluster.cutOffStore()
		cluster.sleep(5 * time.Second)
		assert.Assert(t, cluster.controller(2).Valid(), "the process rejoins")
		assert.Equal(t, len(cluster.controller(0).State().Members.Members), 3)
	})
}

// Guards against views that become invalid, and requests that stop, during an
// outage of the table service.
func TestStoreOutageOfAnHourKeepsViewsValid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 3)
		cluster.table.SetFaults(storetest.Fault{Kind: storetest.Down})
		for range 60 {
			cluster.sleep(time.Minute)
			for i := range 3 {
				assert.Assert(t, cluster.controller(i).Valid())
			}
		}
	})
}

// Guards against a minority that confirms its own old view while the majority and
// the table service have changed theirs.
func TestMinorityWithoutStoreStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 5)
		for _, a := range []int{3, 4} {
			for c := range 3 {
				cluster.network.setCut(memberID(a), memberID(c), true)
			}
		}
		cluster.cutOffStore("entry-4", "entry-5")
		cluster.sleep(validFor)
		assert.Assert(t, !cluster.controller(3).Valid())
		assert.Assert(t, !cluster.controller(4).Valid())
		assert.Assert(t, cluster.controller(0).Valid())
	})
}

// Guards against a process that loses only the table service and then routes by
// rows that other processes have replaced.
func TestProcessCutOffFromStoreLearnsRowsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 3)
		cluster.cutOffStore("entry-3")
		cluster.sleep(10 * time.Second)
		cluster.putRow(fleet.VMKey("vm-1"), fleet.VM{ID: "vm-1", Pool: "webshop", Generation: 1, Phase: fleet.PhaseDraining})
		cluster.sleep(leavingBound)
		assert.Assert(t, cluster.controller(2).Valid())
		assert.Equal(t, cluster.controller(2).State().Fleet.VMs["vm-1"].Phase, fleet.PhaseDraining)
		assert.Equal(t, cluster.traffic["entry-3"].snapshot.VMs["vm-1"].Phase, fleet.PhaseDraining)
	})
}

// Guards against a process that never requests rows again after a peer timed out.
func TestRowsAreFetchedAgainAfterTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 3)
		cluster.cutOffStore("entry-3")
		cluster.network.rowsHang.Store(true)
		cluster.sleep(10 * time.Second)
		cluster.putRow(fleet.VMKey("vm-1"), fleet.VM{ID: "vm-1", Pool: "webshop", Generation: 1, Phase: fleet.PhaseDraining})
		cluster.sleep(20 * time.Second)
		assert.Assert(t, !cluster.controller(2).Valid(), "the newest rows are missing")
		cluster.network.rowsHang.Store(false)
		cluster.sleep(2 * time.Second)
		assert.Equal(t, cluster.controller(2).State().Fleet.VMs["vm-1"].Phase, fleet.PhaseDraining)
		assert.Assert(t, cluster.controller(2).Valid())
	})
}

// Guards against new requests to a leaving backend server when only one process
// reads the current VM list.
func TestLeavingVMIsKnownEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 3)
		cluster.lists["entry-1"].mu.Lock()
		cluster.lists["entry-1"].leaving = []fleet.VMID{"vm-1"}
		cluster.lists["entry-1"].mu.Unlock()
		cluster.sleep(leavingBound)
		for i := range 3 {
			assert.Assert(t, !cluster.traffic[memberID(i)].snapshot.VMs["vm-1"].Routable(), memberID(i))
		}
	})
}

// Guards against configurations that revert, are skipped, or are reported in
// force too early.
func TestConfigurationMovesForwardEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 3)
		cluster.commitAndRollOut(0, 1)
		cluster.sleep(100 * time.Millisecond)
		for i := range 3 {
			assert.Equal(t, cluster.controller(i).State().Config.Version, uint64(1))
		}
		cluster.network.isolate("entry-3", true)
		cluster.cutOffStore("entry-3")
		cluster.commitAndRollOut(1, 2)
		cluster.sleep(100 * time.Millisecond)
		assert.Equal(t, cluster.controller(0).State().Config.Version, uint64(2))
		assert.Equal(t, cluster.controller(0).State().Peers["entry-3"].ConfigVersion, uint64(1))
		cluster.network.isolate("entry-3", false)
		cluster.sleep(2 * time.Second)
		assert.Equal(t, cluster.controller(2).State().Config.Version, uint64(2))
		cluster.commitAndRollOut(0, 1)
		cluster.sleep(5 * time.Second)
		assert.Equal(t, cluster.controller(2).State().Config.Version, uint64(2), "an older version is ignored")
	})
}

// Guards against a restarted process that is credited with the configuration that
// its former incarnation confirmed, and against two entries of it in the view.
func TestRestartedProcessReplacesItsFormerIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 3)
		cluster.commitAndRollOut(0, 1)
		cluster.sleep(time.Second)
		before := incarnationIn(cluster.controller(0).State().Members, "entry-3")
		cluster.network.isolate("entry-3", true) // The former process receives nothing any more.
		cluster.cutOffStore("entry-3")
		cluster.sleep(10 * time.Second)
		cluster.network.isolate("entry-3", false)
		cluster.cutOffStore()
		cluster.start("entry-3")
		cluster.sleep(5 * time.Second)
		state := cluster.controller(0).State()
		assert.Equal(t, len(state.Members.Members), 3)
		assert.Assert(t, incarnationIn(state.Members, "entry-3") > before)
		assert.Equal(t, cluster.controller(2).State().Config.Version, uint64(1))
	})
}

// Guards against a confirmation of a configuration that counts for the next incarnation of its process.
func TestLateConfirmationIsOfFormerIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 3)
		pusher := cluster.controller(0)
		former := incarnationIn(pusher.State().Members, "entry-3")
		pusher.send(t.Context(), configurationConfirmed{member: "entry-3", incarnation: former - 1, version: 7})
		pusher.send(t.Context(), configurationConfirmed{member: "entry-9", incarnation: 1, version: 7})
		cluster.sleep(time.Second)
		assert.Equal(t, pusher.State().Peers["entry-3"].ConfigVersion, uint64(0))
		_, known := pusher.State().Peers["entry-9"]
		assert.Assert(t, !known)
		pusher.send(t.Context(), configurationConfirmed{member: "entry-3", incarnation: former, version: 7})
		cluster.sleep(100 * time.Millisecond)
		assert.Equal(t, pusher.State().Peers["entry-3"].ConfigVersion, uint64(7))
	})
}

// Guards against a process that confirms a drain before it routes by the drain's revision.
func TestDrainReplyHoldsRevisionInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 2)
		cluster.putRow(fleet.VMKey("vm-1"), fleet.VM{ID: "vm-1", Pool: "webshop", Generation: 1, Phase: fleet.PhaseDraining})
		cluster.traffic["entry-2"].inFlight = 2
		cluster.sleep(2 * time.Second)
		reply, err := cluster.controller(0).QueryDrain(t.Context(), "entry-2", drainQuery("vm-1", 1))
		assert.NilError(t, err)
		assert.Equal(t, reply.GetInFlight(), uint32(2))
		assert.Equal(t, reply.GetFleetRevision(), cluster.traffic["entry-2"].snapshot.Revision)
	})
}

// Guards against a member that takes a planned stop for a crash, because it misses
// the view between the stop and the restart of the process.
func TestLeaveReturnsOnceAllMembersHaveSeenIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 3)
		before := cluster.controller(0).State().Members.Version
		assert.NilError(t, cluster.controller(2).Leave(t.Context(), func(context.Context) {}))
		for i := range 2 {
			assert.Equal(t, cluster.controller(i).State().Members.Version, before+1)
		}
	})
}

// Guards against a planned stop that waits for an unreachable member beyond its limit.
func TestLeaveDoesNotWaitForUnreachableMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 3)
		cluster.network.isolate("entry-1", true)
		started := time.Now()
		assert.NilError(t, cluster.controller(2).Leave(t.Context(), func(context.Context) {}))
		assert.Assert(t, time.Since(started) <= announceTimeout)
	})
}

// Guards against a transaction that is sent during a known outage of the table
// service and takes effect when the service returns, after the operator was told
// that its outcome is unknown.
func TestCommitIsRefusedDuringAKnownOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 1)
		table := NewCachedTable(cluster.controller(0))
		write, err := store.Put("pool/x", fleet.Pool{ID: "x"})
		assert.NilError(t, err)
		cluster.table.SetFaults(storetest.Fault{Kind: storetest.Down})
		cluster.sleep(2 * time.Second)
		_, err = table.Commit(t.Context(), store.Transaction{Writes: []store.Write{write}})
		assert.ErrorIs(t, err, store.ErrUnavailable)
		cluster.table.SetFaults()
		cluster.sleep(10 * time.Second)
		assert.Equal(t, len(cluster.controller(0).State().Fleet.Pools), 0)
		_, err = table.Commit(t.Context(), store.Transaction{Writes: []store.Write{write}})
		assert.NilError(t, err)
		cluster.sleep(2 * time.Second)
		assert.Equal(t, len(cluster.controller(0).State().Fleet.Pools), 1)
	})
}
