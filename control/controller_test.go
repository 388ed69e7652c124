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
	// validFor is the design's bound on sending without a confirmed view.
	validFor = 3 * time.Second
	// leavingBound is the guarantee for backend servers that are leaving.
	leavingBound = 3 * time.Second
)

// Guards against processes that never see each other or are never ready.
func TestMembersJoinAndViewsAreValid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 3)
		for i := range 3 {
			state := b.controller(i).State()
			assert.Equal(t, len(state.Members.Members), 3)
			assert.Assert(t, b.controller(i).Valid())
			assert.Assert(t, state.InView)
		}
	})
}

// Guards against a process that keeps sending on an old view after it has lost
// the table service and all peers.
func TestIsolatedProcessStopsWithinValidity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 3)
		b.network.isolate("entry-3", true)
		b.cutStore("entry-3")
		b.sleep(validFor)
		assert.Assert(t, !b.controller(2).Valid())
		assert.Assert(t, b.controller(0).Valid())
		b.sleep(time.Minute)
		assert.Assert(t, !b.controller(2).Valid())
		assert.Equal(t, len(b.controller(0).State().Members.Members), 2, "the silent member is evicted")

		b.network.isolate("entry-3", false)
		b.cutStore()
		b.sleep(5 * time.Second)
		assert.Assert(t, b.controller(2).Valid(), "the process rejoins")
		assert.Equal(t, len(b.controller(0).State().Members.Members), 3)
	})
}

// Guards against an outage of the table service that stops all requests.
func TestStoreOutageOfAnHourKeepsViewsValid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 3)
		b.table.SetFaults(storetest.Fault{Kind: storetest.Down})
		for range 60 {
			b.sleep(time.Minute)
			for i := range 3 {
				assert.Assert(t, b.controller(i).Valid())
			}
		}
	})
}

// Guards against a minority that confirms its own view while the majority and
// the table service move on.
func TestMinorityWithoutStoreStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 5)
		for _, a := range []int{3, 4} {
			for c := range 3 {
				b.network.setCut(memberID(a), memberID(c), true)
			}
		}
		b.cutStore("entry-4", "entry-5")
		b.sleep(validFor)
		assert.Assert(t, !b.controller(3).Valid())
		assert.Assert(t, !b.controller(4).Valid())
		assert.Assert(t, b.controller(0).Valid())
	})
}

// Guards against a process that is cut off from the table service only and
// routes by rows that others have replaced.
func TestProcessCutOffFromStoreLearnsRowsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 3)
		b.cutStore("entry-3")
		b.sleep(10 * time.Second)
		b.put(fleet.VMKey("vm-1"), fleet.VM{ID: "vm-1", Pool: "webshop", Generation: 1, Phase: fleet.PhaseDraining})
		b.sleep(leavingBound)
		assert.Assert(t, b.controller(2).Valid())
		assert.Equal(t, b.controller(2).State().Fleet.VMs["vm-1"].Phase, fleet.PhaseDraining)
		assert.Equal(t, b.traffic["entry-3"].snapshot.VMs["vm-1"].Phase, fleet.PhaseDraining)
	})
}

// Guards against a timeout of a peer after which rows are never asked for again.
func TestRowsAreFetchedAgainAfterTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 3)
		b.cutStore("entry-3")
		b.network.rowsHang.Store(true)
		b.sleep(10 * time.Second)
		b.put(fleet.VMKey("vm-1"), fleet.VM{ID: "vm-1", Pool: "webshop", Generation: 1, Phase: fleet.PhaseDraining})
		b.sleep(20 * time.Second)
		assert.Assert(t, !b.controller(2).Valid(), "the newest rows are missing")
		b.network.rowsHang.Store(false)
		b.sleep(2 * time.Second)
		assert.Equal(t, b.controller(2).State().Fleet.VMs["vm-1"].Phase, fleet.PhaseDraining)
		assert.Assert(t, b.controller(2).Valid())
	})
}

// Guards against new work for a leaving backend server when only one process
// sees the current VM list.
func TestLeavingVMIsKnownEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 3)
		b.lists["entry-1"].mu.Lock()
		b.lists["entry-1"].leaving = []fleet.VMID{"vm-1"}
		b.lists["entry-1"].mu.Unlock()
		b.sleep(leavingBound)
		for i := range 3 {
			assert.Assert(t, !b.traffic[memberID(i)].snapshot.VMs["vm-1"].Routable(), memberID(i))
		}
	})
}

// Guards against configurations that revert, are skipped, or are reported in
// force too early.
func TestConfigurationMovesForwardEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 3)
		b.accept(0, 1)
		b.sleep(100 * time.Millisecond)
		for i := range 3 {
			assert.Equal(t, b.controller(i).State().Config.Version, uint64(1))
		}
		b.network.isolate("entry-3", true)
		b.cutStore("entry-3")
		b.accept(1, 2)
		b.sleep(100 * time.Millisecond)
		assert.Equal(t, b.controller(0).State().Config.Version, uint64(2))
		assert.Equal(t, b.controller(0).State().Peers["entry-3"].ConfigVersion, uint64(1))
		b.network.isolate("entry-3", false)
		b.sleep(2 * time.Second)
		assert.Equal(t, b.controller(2).State().Config.Version, uint64(2))
		b.accept(0, 1)
		b.sleep(5 * time.Second)
		assert.Equal(t, b.controller(2).State().Config.Version, uint64(2), "an older version is ignored")
	})
}

// Guards against a process that confirms the former incarnation's configuration
// and against a restart that leaves two entries in the view.
func TestRestartedProcessReplacesItsFormerIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 3)
		b.accept(0, 1)
		b.sleep(time.Second)
		before := incarnationIn(b.controller(0).State().Members, "entry-3")
		b.network.isolate("entry-3", true) // The former process hears nothing any more.
		b.cutStore("entry-3")
		b.sleep(10 * time.Second)
		b.network.isolate("entry-3", false)
		b.cutStore()
		b.start("entry-3")
		b.sleep(5 * time.Second)
		state := b.controller(0).State()
		assert.Equal(t, len(state.Members.Members), 3)
		assert.Assert(t, incarnationIn(state.Members, "entry-3") > before)
		assert.Equal(t, b.controller(2).State().Config.Version, uint64(1))
	})
}

// Guards against a drain that a process confirms before it routes by it.
func TestDrainReplyHoldsRevisionInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		b.put(fleet.VMKey("vm-1"), fleet.VM{ID: "vm-1", Pool: "webshop", Generation: 1, Phase: fleet.PhaseDraining})
		b.traffic["entry-2"].inFlight = 2
		b.sleep(2 * time.Second)
		reply, err := b.controller(0).QueryDrain(t.Context(), "entry-2", drainQuery("vm-1", 1))
		assert.NilError(t, err)
		assert.Equal(t, reply.GetInFlight(), uint32(2))
		assert.Equal(t, reply.GetFleetRevision(), b.traffic["entry-2"].snapshot.Revision)
	})
}

// Guards against a member that misses the view between a planned stop and the
// restart of a process, and takes the stop for a death.
func TestLeaveReturnsOnceAllMembersHaveSeenIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 3)
		before := b.controller(0).State().Members.Version
		assert.NilError(t, b.controller(2).Leave(t.Context(), func(context.Context) {}))
		for i := range 2 {
			assert.Equal(t, b.controller(i).State().Members.Version, before+1)
		}
	})
}

// Guards against a planned stop that waits for an unreachable member beyond its limit.
func TestLeaveDoesNotWaitForUnreachableMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 3)
		b.network.isolate("entry-1", true)
		started := time.Now()
		assert.NilError(t, b.controller(2).Leave(t.Context(), func(context.Context) {}))
		assert.Assert(t, time.Since(started) <= announceLimit)
	})
}

// Guards against a change that is sent into a known outage and takes effect when
// the store returns, after the operator was told that its outcome is unknown.
func TestCommitIsRefusedDuringAKnownOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		table := NewCachedTable(b.controller(0))
		write, err := store.Put("pool/x", fleet.Pool{ID: "x"})
		assert.NilError(t, err)
		b.table.SetFaults(storetest.Fault{Kind: storetest.Down})
		b.sleep(2 * time.Second)
		_, err = table.Commit(t.Context(), store.Transaction{Writes: []store.Write{write}})
		assert.ErrorIs(t, err, store.ErrUnavailable)
		b.table.SetFaults()
		b.sleep(10 * time.Second)
		assert.Equal(t, len(b.controller(0).State().Fleet.Pools), 0)
		_, err = table.Commit(t.Context(), store.Transaction{Writes: []store.Write{write}})
		assert.NilError(t, err)
		b.sleep(2 * time.Second)
		assert.Equal(t, len(b.controller(0).State().Fleet.Pools), 1)
	})
}
