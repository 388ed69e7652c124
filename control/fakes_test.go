package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
	"peridotcrank.dev/store"
	"peridotcrank.dev/store/storetest"
)

var errCut = errors.New("no session")

// network connects controllers in one process. Cut members neither send nor receive.
type network struct {
	mu          sync.Mutex
	controllers map[fleet.MemberID]*Controller
	cut         map[[2]fleet.MemberID]bool
	latency     time.Duration
	rowsHang    atomic.Bool     // Requests for rows get no reply.
	ctx         context.Context // Ends with the test.
}

func (n *network) setCut(a, b fleet.MemberID, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]fleet.MemberID{a, b}], n.cut[[2]fleet.MemberID{b, a}] = cut, cut
}

// isolate cuts a member off from all others.
func (n *network) isolate(id fleet.MemberID, cut bool) {
	for other := range n.controllers {
		n.setCut(id, other, cut)
	}
}

func (n *network) reach(ctx context.Context, from, to fleet.MemberID) (*Controller, error) {
	n.mu.Lock()
	target, cut := n.controllers[to], n.cut[[2]fleet.MemberID{from, to}]
	n.mu.Unlock()
	if target == nil || cut {
		return nil, errCut
	}
	select {
	case <-time.After(n.latency):
		return target, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type fakePeers struct {
	network *network
	self    fleet.MemberID
}

func (p *fakePeers) SetMembers(fleet.MemberView) {}

func (p *fakePeers) Heartbeat(_ context.Context, to fleet.MemberID, h *peerpb.Heartbeat) error {
	go func() { // A queued heartbeat outlives the call.
		ctx := p.network.ctx
		if target, err := p.network.reach(ctx, p.self, to); err == nil {
			target.ReceiveHeartbeat(ctx, h)
		}
	}()
	return nil
}

func (p *fakePeers) PushConfiguration(ctx context.Context, to fleet.MemberID, push *peerpb.ConfigPush) error {
	target, err := p.network.reach(ctx, p.self, to)
	if err != nil {
		return err
	}
	return target.ReceiveConfiguration(ctx, push)
}

func (p *fakePeers) FetchRows(ctx context.Context, to fleet.MemberID, r *peerpb.RowsRequest) (*peerpb.RowsPush, error) {
	target, err := p.network.reach(ctx, p.self, to)
	if err != nil {
		return nil, err
	}
	if p.network.rowsHang.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return target.ReceiveRowsRequest(ctx, r)
}

func (p *fakePeers) QueryDrain(ctx context.Context, to fleet.MemberID, q *peerpb.DrainQuery) (*peerpb.DrainReply, error) {
	target, err := p.network.reach(ctx, p.self, to)
	if err != nil {
		return nil, err
	}
	return target.ReceiveDrainQuery(q), nil
}

// fakeTraffic records the view that it is given.
type fakeTraffic struct {
	mu       sync.Mutex
	snapshot *fleet.Snapshot
	inFlight int
	idle     map[fleet.PoolID]int                    // Own idle slots.
	reported map[fleet.MemberID]map[fleet.PoolID]int // Idle slots of peers.
}

func (t *fakeTraffic) SetView(s *fleet.Snapshot, _ fleet.MemberView, _ fleet.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.snapshot = s
}

func (t *fakeTraffic) ReportIdle(member fleet.MemberID, idle map[fleet.PoolID]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reported[member] = idle
}

// idleOf returns the idle slots that a peer has reported for the pool webshop.
func (t *fakeTraffic) idleOf(member fleet.MemberID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reported[member]["webshop"]
}

func (t *fakeTraffic) IdleSlots() map[fleet.PoolID]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idle
}

func (t *fakeTraffic) InFlight(fleet.VMID, uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight
}

// vmList is the platform's VM list.
type vmList struct {
	mu      sync.Mutex
	leaving []fleet.VMID
}

func (l *vmList) VMs(context.Context) (store.VMList, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list store.VMList
	for _, id := range l.leaving {
		list.VMs = append(list.VMs, store.VMInfo{ID: id, State: store.VMLeaving})
	}
	return list, nil
}

// bench is a set of controllers on one table, inside a synctest bubble.
type bench struct {
	t       *testing.T
	table   *storetest.Table
	network *network
	lists   map[fleet.MemberID]*vmList
	traffic map[fleet.MemberID]*fakeTraffic
	clock   func() time.Duration
}

func newBench(t *testing.T, members int) *bench {
	start := time.Now()
	b := &bench{
		t: t, table: storetest.New(),
		network: &network{
			controllers: make(map[fleet.MemberID]*Controller), cut: make(map[[2]fleet.MemberID]bool), latency: time.Millisecond, ctx: t.Context(),
		},
		lists: make(map[fleet.MemberID]*vmList), traffic: make(map[fleet.MemberID]*fakeTraffic),
		// Time since an earlier moment, so that no confirmation is at time 0.
		clock: func() time.Duration { return time.Since(start) + time.Hour },
	}
	b.put(fleet.VMKey("vm-1"), fleet.VM{ID: "vm-1", Pool: "webshop", Generation: 1, Phase: fleet.PhaseServing})
	for i := range members {
		b.start(memberID(i))
	}
	b.sleep(5 * time.Second)
	return b
}

func memberID(i int) fleet.MemberID { return fleet.MemberID(fmt.Sprintf("entry-%d", i+1)) }

func (b *bench) start(id fleet.MemberID) *Controller {
	b.lists[id], b.traffic[id] = &vmList{}, &fakeTraffic{reported: make(map[fleet.MemberID]map[fleet.PoolID]int)}
	c, err := New(Options{
		Self: fleet.Member{ID: id}, Table: b.table.Client(string(id)), Platform: b.lists[id],
		Peers: &fakePeers{network: b.network, self: id}, Traffic: b.traffic[id], Log: eventlog.Discard, Now: b.clock,
	})
	assert.NilError(b.t, err)
	b.network.mu.Lock()
	b.network.controllers[id] = c
	b.network.mu.Unlock()
	ctx, cancel := context.WithCancel(b.t.Context())
	b.t.Cleanup(cancel)
	go c.Run(ctx)
	return c
}

func (b *bench) sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (b *bench) controller(i int) *Controller { return b.network.controllers[memberID(i)] }

func (b *bench) put(key string, value any) {
	write, err := store.Put(key, value)
	assert.NilError(b.t, err)
	b.table.Apply(store.Transaction{Writes: []store.Write{write}})
}

// accept commits a configuration and spreads it from a member.
func (b *bench) accept(from int, version uint64) {
	config := fleet.Configuration{Version: version, Services: []fleet.Service{{Name: "webshop", Pool: "webshop"}}}
	b.put(fleet.KeyConfiguration, config)
	b.controller(from).Spread(b.t.Context(), config)
}

func (b *bench) cutStore(ids ...fleet.MemberID) {
	var faults []storetest.Fault
	for _, id := range ids {
		faults = append(faults, storetest.Fault{Kind: storetest.Down, Client: string(id)})
	}
	b.table.SetFaults(faults...)
}

func drainQuery(vm fleet.VMID, generation uint64) *peerpb.DrainQuery {
	return &peerpb.DrainQuery{Vm: string(vm), Generation: generation}
}
