package routing

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/limits/slots"
)

// Guards against a pool that alternates between its own and other zones when its
// load is slightly above its local slots. The pool must start to spill once and
// continue until the load falls.
func TestSpillDoesNotFlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var events []EventKind
		r := newRouter(snapshot(9), Options{Notify: func(e Event) { events = append(events, e.Kind) }})
		var held []Reservation
		for range 6 {
			held = append(held, acquire(t, r, Request{}))
			assert.Equal(t, held[len(held)-1].Target().Zone, self.Zone)
		}
		for i := range 500 {
			held = append(held, acquire(t, r, Request{}))
			if i%2 == 0 {
				held = append(held, acquire(t, r, Request{}))
			}
			time.Sleep(10 * time.Millisecond)
			for len(held) > 6 {
				held[0].Done(ResultAnswered)
				held = held[1:]
			}
		}
		assert.DeepEqual(t, events, []EventKind{EventSpill})
		for _, h := range held {
			h.Done(ResultAnswered)
		}
		for range 200 {
			acquire(t, r, Request{}).Done(ResultAnswered)
			time.Sleep(10 * time.Millisecond)
		}
		assert.DeepEqual(t, events, []EventKind{EventSpill, EventLocal})
		assert.Equal(t, acquire(t, r, Request{}).Target().Zone, self.Zone)
	})
}

// Guards against a flood of requests of one customer that delays the requests of
// another one. All requests of the other customer must be answered within 200 ms.
func TestFloodLeavesOthersInsideTheirBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouter(snapshot(6), Options{})
		var mu sync.Mutex
		answered, shed := map[fleet.CustomerID]int{}, map[fleet.CustomerID]int{}
		var all sync.WaitGroup
		send := func(customer fleet.CustomerID, budget time.Duration) {
			all.Go(func() {
				h, err := r.Acquire(t.Context(), Request{
					Pool: testPool, Customer: customer, Deadline: time.Now().Add(budget), MaxQueue: 100,
				})
				if err == nil {
					time.Sleep(20 * time.Millisecond)
					h.Done(ResultAnswered)
				}
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					shed[customer]++
				} else {
					answered[customer]++
				}
			})
		}
		// 12 slots serve 600 requests per second; the flood sends 3,000.
		for i := range 3000 {
			send("flood", 150*time.Millisecond) // Earlier deadlines than those of the other customer.
			if i%30 == 0 {
				send("quiet", 200*time.Millisecond)
			}
			time.Sleep(time.Second / 3000)
		}
		all.Wait()
		assert.Equal(t, shed["quiet"], 0)
		assert.Equal(t, answered["quiet"], 100)
		assert.Assert(t, shed["flood"] > 1000 && answered["flood"] > 400, "%v %v", answered, shed)
	})
}

// mesh connects routers by direct calls, with a delay per message.
type mesh map[fleet.MemberID]*Router

func (m mesh) Borrow(_ context.Context, id fleet.MemberID, q slots.BorrowRequest) (slots.BorrowReply, error) {
	time.Sleep(time.Millisecond)
	defer time.Sleep(time.Millisecond)
	return m[id].Lend(q), nil
}

func (m mesh) Return(_ context.Context, id fleet.MemberID, q slots.ReturnRequest) error {
	time.Sleep(time.Millisecond)
	m[id].TakeBack(q)
	return nil
}

func (m mesh) heartbeat() {
	for id, from := range m {
		idle := from.IdleSlots()
		for other, to := range m {
			if other != id {
				to.ReportIdle(id, idle)
			}
		}
	}
}

// newMesh returns n routers over the same fleet, distributed over three zones.
func newMesh(s *fleet.Snapshot, n int) (mesh, fleet.MemberView) {
	m, view := mesh{}, fleet.MemberView{Version: 1}
	for i := range n {
		zone := fleet.ZoneID("abc"[i%3 : i%3+1])
		view.Members = append(view.Members, fleet.Member{ID: fleet.MemberID(fmt.Sprint("entry-", i)), Zone: zone})
	}
	for _, member := range view.Members {
		r := New(Options{Peers: m})
		r.SetValidity(func() bool { return true })
		r.SetView(s, view, member)
		m[member.ID] = r
	}
	return m, view
}

// Guards against idle slots of peers that are never borrowed, borrowed slots that
// are not returned, and one slot that two requests hold.
func TestBorrowsAndReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, _ := newMesh(snapshot(9), 3)
		m.heartbeat()
		held := map[slots.Slot]Reservation{}
		var mu sync.Mutex
		for range 15 {
			go func() {
				h, err := m["entry-0"].Acquire(t.Context(), Request{Pool: testPool})
				mu.Lock()
				defer mu.Unlock()
				assert.Check(t, err)
				key := slots.Slot{VM: h.Target().VM, Index: h.Target().Slot}
				assert.Check(t, held[key] == nil, "%v is held twice", key)
				held[key] = h
			}()
		}
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, len(held), 15, "6 of its own slots and 9 borrowed ones")
		for key, h := range held {
			if len(held) > 10 {
				h.Done(ResultAnswered)
				delete(held, key)
			}
		}
		time.Sleep(2 * BorrowOptions{}.withDefaults().IdleTimeout)
		status := m["entry-0"].Status()[0]
		assert.Assert(t, status.Borrowed < 9, "idle borrowed slots go back before their lease ends")
		assert.Equal(t, m["entry-1"].Status()[0].Lent+m["entry-2"].Status()[0].Lent, status.Borrowed)
		for _, h := range held {
			assert.Assert(t, h.Valid())
		}
		time.Sleep(slots.DefaultLease) // The leases end while the slots are busy.
		for _, h := range held {
			h.Done(ResultAnswered)
		}
		time.Sleep(100 * time.Millisecond)
		for id, r := range m {
			assert.Equal(t, r.IdleSlots()[testPool], 6, string(id))
		}
	})
}

// Guards against members that wait the full time for slots after a join or a
// planned departure, although the previous homes are alive and hand them over, and
// against slots that no member ever uses again after an eviction.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := snapshot(9)
		m, _ := newMesh(s, 2)
		joiner := fleet.Member{ID: "entry-2", Zone: "c"}
		view := fleet.MemberView{Version: 2, Members: []fleet.Member{{ID: "entry-0", Zone: "a"}, {ID: "entry-1", Zone: "b"}, joiner}}
		m["entry-2"] = New(Options{Peers: m})
		m["entry-2"].SetValidity(func() bool { return true })
		m["entry-2"].SetView(s, view, joiner)
		assert.Equal(t, m["entry-2"].IdleSlots()[testPool], 0)
		assert.Assert(t, !m["entry-2"].Ready(), "the process must not report ready")
		for _, other := range view.Members[:2] {
			m[other.ID].SetView(s, view, other)
		}
		time.Sleep(10 * time.Millisecond)
		for id, r := range m {
			assert.Equal(t, r.IdleSlots()[testPool], 6, string(id))
			assert.Assert(t, r.Ready(), string(id))
		}
		for _, other := range view.Members {
			m[other.ID].SetView(s, fleet.MemberView{Version: 3, Members: view.Members[:2]}, other)
		}
		assert.NilError(t, m["entry-2"].Flush(t.Context()))
		assert.Equal(t, m["entry-0"].IdleSlots()[testPool]+m["entry-1"].IdleSlots()[testPool], 18)
		m["entry-0"].SetView(s, fleet.MemberView{Version: 4, Members: view.Members[:1]}, view.Members[0])
		time.Sleep(slots.DefaultViewValidity + slots.DefaultInFlightTime - time.Nanosecond)
		assert.Assert(t, m["entry-0"].IdleSlots()[testPool] < 18)
		time.Sleep(time.Nanosecond)
		assert.Equal(t, m["entry-0"].IdleSlots()[testPool], 18)
	})
}

// Guards against a process in an availability zone without workers that never
// becomes ready or gets a slot, because it has no home slots.
func TestZoneWithoutWorkersBorrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := snapshot(9)
		m, view := newMesh(s, 3)
		outside := fleet.Member{ID: "entry-3", Zone: "d"}
		view.Version, view.Members = 2, append(view.Members, outside)
		m[outside.ID] = New(Options{Peers: m})
		m[outside.ID].SetValidity(func() bool { return true })
		assert.Assert(t, !m[outside.ID].Ready(), "no view yet")
		for _, member := range view.Members {
			m[member.ID].SetView(s, view, member)
		}
		assert.Assert(t, m[outside.ID].Ready())
		m.heartbeat()
		h := acquire(t, m[outside.ID], Request{Deadline: time.Now().Add(time.Second)})
		assert.Assert(t, h.Valid())
		h.Done(ResultAnswered)
	})
}

// lateMesh fails to deliver returns and handovers until the time sessions.
type lateMesh struct {
	mesh
	sessions time.Time
}

func (m lateMesh) Return(ctx context.Context, id fleet.MemberID, q slots.ReturnRequest) error {
	if time.Now().Before(m.sessions) {
		return errors.New("no session")
	}
	return m.mesh.Return(ctx, id, q)
}

// Guards against a joining member that waits until the validity of the previous
// homes ends, because the handover failed for lack of a session and was not
// retried. In the first seconds of three processes the p99 was then 200 ms instead
// of 66 ms.
func TestHandoverIsRepeatedUntilDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, m := snapshot(9), mesh{}
		late := lateMesh{m, time.Now().Add(time.Second)}
		first, joiner := fleet.Member{ID: "entry-0", Zone: "a"}, fleet.Member{ID: "entry-1", Zone: "b"}
		for _, member := range []fleet.Member{first, joiner} {
			m[member.ID] = New(Options{Peers: late})
			m[member.ID].SetValidity(func() bool { return true })
		}
		m["entry-0"].SetView(s, fleet.MemberView{Version: 1, Members: []fleet.Member{first}}, first)
		view := fleet.MemberView{Version: 2, Members: []fleet.Member{first, joiner}}
		m["entry-1"].SetView(s, view, joiner)
		m["entry-0"].SetView(s, view, first)
		time.Sleep(1500 * time.Millisecond)
		assert.Assert(t, m["entry-1"].IdleSlots()[testPool] > 0)
	})
}

// Guards against data races, lost wake-ups and leaked slots when requests,
// heartbeats and view changes run concurrently. The clock is real, and the requests
// end immediately.
func TestConcurrentUse(t *testing.T) {
	s := snapshot(9)
	m, view := newMesh(s, 3)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var all sync.WaitGroup
	for i := range 24 {
		r := m[view.Members[i%3].ID]
		all.Go(func() {
			for n := range 200 {
				h, err := r.Acquire(ctx, Request{Pool: testPool, Customer: fleet.CustomerID(fmt.Sprint(i)), Deadline: time.Now().Add(10 * time.Second)})
				if err != nil {
					t.Errorf("request %d: %v", n, err)
					return
				}
				h.Valid()
				h.Done(ResultAnswered)
			}
		})
	}
	all.Go(func() {
		for n := range 100 {
			m.heartbeat()
			next := s
			if n%2 == 0 {
				next = withChangedVM(s, "vm-03", func(vm *fleet.VM) { vm.Phase = fleet.PhaseDraining })
			}
			next.Revision = 0
			for _, member := range view.Members {
				m[member.ID].SetView(next, view, member)
				m[member.ID].InFlight("vm-03", 0)
			}
		}
	})
	all.Wait()
	for id := range s.VMs {
		for member, r := range m {
			assert.Equal(t, r.InFlight(id, 0), 0, string(member))
		}
	}
}

// Guards against a process that continues to send requests to a failing
// availability zone, because all slots that it holds are in that zone.
func TestTrafficLeavesFailingZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := snapshot(12)
		bad := map[fleet.VMID]bool{}
		for id, vm := range s.VMs {
			bad[id] = vm.Zone == "a"
		}
		m, _ := newMesh(s, 3)
		time.Sleep(10 * time.Second) // All slots are usable at their homes.
		m.heartbeat()
		onBad := 0
		for range 300 {
			h := acquire(t, m["entry-0"], Request{})
			time.Sleep(10 * time.Millisecond)
			if bad[h.Target().VM] {
				onBad++
				h.Done(ResultServerError)
				continue
			}
			h.Done(ResultAnswered)
		}
		assert.Check(t, onBad < 60, "%d of 300 requests", onBad)
		time.Sleep(time.Second) // Requests for slots in progress end.
	})
}
