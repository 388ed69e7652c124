package routing

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet"
)

const testPool = fleet.PoolID("p")

var self = fleet.Member{ID: "entry-0", Zone: "a"}

// snapshot returns n serving VMs in three zones, with racks of four and two slots each.
func snapshot(n int) *fleet.Snapshot {
	s := &fleet.Snapshot{VMs: map[fleet.VMID]fleet.VM{}}
	for i := range n {
		id := fleet.VMID(fmt.Sprintf("vm-%02d", i))
		zone := fleet.ZoneID("abc"[i%3 : i%3+1])
		s.VMs[id] = fleet.VM{
			ID: id, Pool: testPool, Slots: 2, Phase: fleet.PhaseServing, Zone: zone,
			Rack: fleet.RackID(fmt.Sprintf("%s%d", zone, i/12)),
		}
	}
	return s
}

// change returns a snapshot with one VM changed.
func change(s *fleet.Snapshot, id fleet.VMID, f func(*fleet.VM)) *fleet.Snapshot {
	next := &fleet.Snapshot{Revision: s.Revision + 1, VMs: map[fleet.VMID]fleet.VM{}}
	for other, vm := range s.VMs {
		if other == id {
			f(&vm)
		}
		next.VMs[other] = vm
	}
	return next
}

func singleMember() fleet.MemberView {
	return fleet.MemberView{Version: 1, Members: []fleet.Member{self}}
}

func newRouter(s *fleet.Snapshot, o Options) *Router {
	o.Random = rand.NewPCG(1, 2)
	r := New(o)
	r.SetValidity(func() bool { return true })
	r.SetView(s, singleMember(), self)
	return r
}

func acquire(t *testing.T, r *Router, q Request) Reservation {
	t.Helper()
	q.Pool = testPool
	held, err := r.Acquire(t.Context(), q)
	assert.NilError(t, err)
	return held
}

func reason(err error) ShedReason {
	var shed *ShedError
	if errors.As(err, &shed) {
		return shed.Reason
	}
	return ShedReason(fmt.Sprint(err))
}

// Guards against sending to a VM that leaves, drains, or has another
// generation, and against InFlight growing after the view says so.
func TestLeavingVMGetsNothingNew(t *testing.T) {
	s := snapshot(2)
	for name, next := range map[string]*fleet.Snapshot{
		"reported": nil,
		"listed":   change(s, "vm-00", func(vm *fleet.VM) { vm.Leaving = true }),
		"draining": change(s, "vm-00", func(vm *fleet.VM) { vm.Phase = fleet.PhaseDraining }),
		"moved":    change(s, "vm-00", func(vm *fleet.VM) { vm.Pool, vm.Generation = "q", 1 }),
		"gone":     {Revision: 1, VMs: map[fleet.VMID]fleet.VM{"vm-01": s.VMs["vm-01"]}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(s, Options{})
			held := acquire(t, r, Request{})
			assert.Equal(t, held.Target().VM, fleet.VMID("vm-00"), "zone-local first")
			assert.Assert(t, held.Valid())
			r.SetView(next, singleMember(), self)
			if next == nil {
				r.ReportLeaving([]fleet.VMID{"vm-00"})
			}
			assert.Assert(t, !held.Valid())
			assert.Equal(t, r.InFlight("vm-00", 0), 1)
			for range 2 {
				assert.Equal(t, acquire(t, r, Request{}).Target().VM, fleet.VMID("vm-01"))
			}
			_, err := r.Acquire(t.Context(), Request{Pool: testPool, Deadline: time.Now()})
			assert.Equal(t, reason(err), ShedDeadline)
			held.Done(ResultNotWritten)
			held.Done(ResultNotWritten)
			assert.Equal(t, r.InFlight("vm-00", 0), 0)
		})
	}
}

// Guards against a report of leaving that outlives the stay it is about.
func TestLeavingMarkEndsWithTheMove(t *testing.T) {
	s := snapshot(1)
	r := newRouter(s, Options{})
	r.ReportLeaving([]fleet.VMID{"vm-00"})
	_, err := r.Acquire(t.Context(), Request{Pool: testPool})
	assert.Equal(t, reason(err), ShedNoTarget)
	s = change(s, "vm-00", func(vm *fleet.VM) { vm.Phase = fleet.PhaseDraining })
	r.SetView(s, singleMember(), self)
	r.SetView(change(s, "vm-00", func(vm *fleet.VM) { vm.Phase = fleet.PhaseServing }), singleMember(), self)
	acquire(t, r, Request{})
}

// Guards against a slot being used after its home has changed.
func TestLostHomeStopsAtOnce(t *testing.T) {
	s := snapshot(1)
	r := newRouter(s, Options{})
	held := []Reservation{acquire(t, r, Request{}), acquire(t, r, Request{})}
	r.SetView(s, fleet.MemberView{Version: 2, Members: []fleet.Member{{ID: "other", Zone: "a"}}}, self)
	for _, h := range held {
		assert.Assert(t, !h.Valid())
		h.Done(ResultNotWritten)
	}
	r.SetView(s, singleMember(), self) // An old member view does not bring the slots back.
	_, err := r.Acquire(t.Context(), Request{Pool: testPool, Deadline: time.Now().Add(time.Millisecond)})
	assert.Equal(t, reason(err), ShedDeadline)
	assert.Equal(t, r.ledger.Version(), uint64(2))
}

// Guards against waiters that are served out of order, forgotten or never
// woken, and against a slot that leaks when its waiter has given up.
func TestWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouter(snapshot(1), Options{})
		held := []Reservation{acquire(t, r, Request{}), acquire(t, r, Request{})}
		order := make(chan string, 4)
		wait := func(ctx context.Context, name string, urgency int, deadline time.Duration) {
			go func() {
				h, err := r.Acquire(ctx, Request{Pool: testPool, Urgency: urgency, Deadline: time.Now().Add(deadline)})
				if err != nil {
					order <- name + ": " + string(reason(err))
					return
				}
				order <- name
				h.Done(ResultAnswered)
			}()
			synctest.Wait()
		}
		ctx, cancel := context.WithCancel(t.Context())
		wait(t.Context(), "late", 0, 2*time.Second)
		wait(t.Context(), "soon", 0, time.Second)
		wait(t.Context(), "urgent", 1, 3*time.Second)
		wait(ctx, "cancelled", 2, 3*time.Second)
		cancel()
		assert.Equal(t, <-order, "cancelled: admission: pool p: context canceled")
		wait(t.Context(), "unservable", -1, 100*time.Millisecond)
		assert.Equal(t, <-order, "unservable: "+string(ShedDeadline))
		held[0].Done(ResultAnswered)
		for _, want := range []string{"urgent", "soon", "late"} {
			assert.Equal(t, <-order, want)
		}
		wait(t.Context(), "last", 0, time.Minute)
		held[1].Done(ResultAnswered)
		assert.Equal(t, <-order, "last")
		synctest.Wait()
		assert.Equal(t, r.InFlight("vm-00", 0), 0)
		acquire(t, r, Request{})
		acquire(t, r, Request{})
		wait(t.Context(), "stopped", 0, time.Minute)
		r.Close()
		assert.Equal(t, <-order, "stopped: "+string(ShedStopping))
	})
}

// Guards against a retry in the failure domain of the attempts before it.
func TestAvoidsFailureDomains(t *testing.T) {
	r := newRouter(snapshot(36), Options{})
	var avoid []Target
	racks, zones := map[fleet.RackID]bool{}, map[fleet.ZoneID]bool{}
	for n := range 9 {
		target := acquire(t, r, Request{Avoid: avoid}).Target()
		avoid = append(avoid, target)
		racks[target.Rack], zones[target.Zone] = true, true
		assert.Equal(t, len(zones), min(n+1, 3))
		assert.Equal(t, len(racks), n+1)
	}
}

// Guards against a slot that leaks when it is granted to a request that has
// given up at the same moment.
func TestGrantToRequestThatGivesUp(t *testing.T) {
	r := newRouter(snapshot(1), Options{})
	held := []Reservation{acquire(t, r, Request{}), acquire(t, r, Request{})}
	_, entry, err := r.enter(Request{Pool: testPool})
	assert.NilError(t, err)
	held[0].Done(ResultAnswered)
	r.abandon(entry)
	assert.Equal(t, r.InFlight("vm-00", 0), 1)
	acquire(t, r, Request{})
}
