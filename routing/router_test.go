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

// snapshot returns n serving VMs with two slots each in three zones, in racks of
// four VMs.
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

// withChangedVM returns the next snapshot, in which f has changed one VM.
func withChangedVM(s *fleet.Snapshot, id fleet.VMID, f func(*fleet.VM)) *fleet.Snapshot {
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

func acquire(t *testing.T, r *Router, request Request) Reservation {
	t.Helper()
	request.Pool = testPool
	held, err := r.Acquire(t.Context(), request)
	assert.NilError(t, err)
	return held
}

func shedReason(err error) ShedReason {
	var shed *ShedError
	if errors.As(err, &shed) {
		return shed.Reason
	}
	return ShedReason(fmt.Sprint(err))
}

// Guards against new requests to a VM that leaves, drains, has another generation
// or is gone, and against an InFlight that grows after such a view.
func TestLeavingVMGetsNothingNew(t *testing.T) {
	s := snapshot(2)
	for name, next := range map[string]*fleet.Snapshot{
		"reported": nil,
		"listed":   withChangedVM(s, "vm-00", func(vm *fleet.VM) { vm.Leaving = true }),
		"draining": withChangedVM(s, "vm-00", func(vm *fleet.VM) { vm.Phase = fleet.PhaseDraining }),
		"moved":    withChangedVM(s, "vm-00", func(vm *fleet.VM) { vm.Pool, vm.Generation = "q", 1 }),
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
			assert.Equal(t, shedReason(err), ShedDeadline)
			held.Done(ResultNotWritten)
			held.Done(ResultNotWritten)
			assert.Equal(t, r.InFlight("vm-00", 0), 0)
		})
	}
}

// Guards against a leaving mark that remains after the VM's assignment has ended, so
// that the VM gets no requests in its next one.
func TestLeavingReportEndsWithTheMove(t *testing.T) {
	s := snapshot(1)
	r := newRouter(s, Options{})
	r.ReportLeaving([]fleet.VMID{"vm-00"})
	_, err := r.Acquire(t.Context(), Request{Pool: testPool})
	assert.Equal(t, shedReason(err), ShedNoTarget)
	s = withChangedVM(s, "vm-00", func(vm *fleet.VM) { vm.Phase = fleet.PhaseDraining })
	r.SetView(s, singleMember(), self)
	r.SetView(withChangedVM(s, "vm-00", func(vm *fleet.VM) { vm.Phase = fleet.PhaseServing }), singleMember(), self)
	acquire(t, r, Request{})
}

// Guards against the use of a slot after its home has moved to another member.
func TestSlotIsUnusableAfterHomeChange(t *testing.T) {
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
	assert.Equal(t, shedReason(err), ShedDeadline)
	assert.Equal(t, r.ledger.Version(), uint64(2))
}

// Guards against waiting requests that are served out of order or never, and
// against a slot that leaks when its waiting request was cancelled.
func TestWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouter(snapshot(1), Options{})
		held := []Reservation{acquire(t, r, Request{}), acquire(t, r, Request{})}
		order := make(chan string, 4)
		wait := func(ctx context.Context, name string, urgency int, deadline time.Duration) {
			go func() {
				h, err := r.Acquire(ctx, Request{Pool: testPool, Urgency: urgency, Deadline: time.Now().Add(deadline)})
				if err != nil {
					order <- name + ": " + string(shedReason(err))
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

// Guards against a retry in the failure domain of an earlier attempt although
// another one has free slots.
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

// Guards against a slot that leaks when it is granted at the moment at which the
// request is abandoned.
func TestSlotGrantedToAbandonedRequestIsReleased(t *testing.T) {
	r := newRouter(snapshot(1), Options{})
	held := []Reservation{acquire(t, r, Request{}), acquire(t, r, Request{})}
	_, entry, err := r.reserveOrQueue(Request{Pool: testPool})
	assert.NilError(t, err)
	held[0].Done(ResultAnswered)
	r.abandon(entry)
	assert.Equal(t, r.InFlight("vm-00", 0), 1)
	acquire(t, r, Request{})
}
