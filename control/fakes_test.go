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

var errNoSession = errors.New("no session")

// network connects controllers in one process. Messages between cut pairs of
// members are lost.
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

// connect returns the receiving controller after the latency, or an error when the
// pair is cut.
func (n *network) connect(ctx context.Context, from, to fleet.MemberID) (*Controller, error) {
	n.mu.Lock()
	target, cut := n.controllers[to], n.cut[[2]fleet.MemberID{from, to}]
	n.mu.Unlock()
	if target == nil || cut {
		return nil, errNoSession
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
	go func() { // A queued heartbeat is delivered after the call has returned.
		ctx := p.network.ctx
		if target, err := p.network.connect(ctx, p.self, to); err == nil {
			target.ReceiveHeartbeat(ctx, h)
		}
	}()
	return nil
}

func (p *fakePeers) PushConfiguration(ctx context.Context, to fleet.MemberID, push *peerpb.ConfigPush) error {
	target, err := p.network.connect(ctx, p.self, to)
	if err != nil {
		return err
	}
	return target.ReceiveConfiguration(ctx, push)
}

func (p *fakePeers) FetchRows(ctx context.Context, to fleet.MemberID, r *peerpb.RowsRequest) (*peerpb.RowsPush, error) {
	target, err := p.network.connect(ctx, p.self, to)
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
	target, err := p.network.connect(ctx, p.self, to)
	if err != nil {
		return nil, err
	}
	return target.ReceiveDrainQuery(q), nil
}

// fakeTraffic records the view and the reports that the controller passes to it.
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

// reportedIdleSlots returns the idle slots that a peer has reported for the pool webshop.
func (t *fakeTraffic) reportedIdleSlots(member fleet.MemberID) int {
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

// testCluster runs controllers that share one table, inside a synctest bubble.
type testCluster struct {
	t       *testing.T
	table   *storetest.Table
	network *network
	lists   map[fleet.MemberID]*vmList
	traffic map[fleet.MemberID]*fakeTraffic
	clock   func() time.Duration
}

func newTestCluster(t *testing.T, members int) *testCluster {
	start := time.Now()
	cluster := &testCluster{
		t: t, table: storetest.New(),
		network: &network{
			controllers: make(map[fleet.MemberID]*Controller), cut: make(map[[2]fleet.MemberID]bool), latency: time.Millisecond, ctx: t.Context(),
		},
		lists: make(map[fleet.MemberID]*vmList), traffic: make(map[fleet.MemberID]*fakeTraffic),
		// The clock starts at one hour, so that no confirmation is at time 0.
		clock: func() time.Duration { return time.Since(start) + time.Hour },
	}
	cluster.putRow(fleet.VMKey("vm-1"), fleet.VM{ID: "vm-1", Pool: "webshop", Generation: 1, Phase: fleet.PhaseServing})
	for i := range members {
		cluster.start(memberID(i))
	}
	cluster.sleep(5 * time.Second)
	return cluster
}

func memberID(i int) fleet.MemberID { return fleet.MemberID(fmt.Sprintf("entry-%d", i+1)) }

func (tc *testCluster) start(id fleet.MemberID) *Controller {
	tc.lists[id], tc.traffic[id] = &vmList{}, &fakeTraffic{reported: make(map[fleet.MemberID]map[fleet.PoolID]int)}
	c, err := New(Options{
		Self: fleet.Member{ID: id}, Table: tc.table.Client(string(id)), Platform: tc.lists[id],
		Peers: &fakePeers{network: tc.network, self: id}, Traffic: tc.traffic[id], Log: eventlog.Discard, Now: tc.clock,
	})
	assert.NilError(tc.t, err)
	tc.network.mu.Lock()
	tc.network.controllers[id] = c
	tc.network.mu.Unlock()
	ctx, cancel := context.WithCancel(tc.t.Context())
	tc.t.Cleanup(cancel)
	go c.Run(ctx)
	return c
}

func (tc *testCluster) sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (tc *testCluster) controller(i int) *Controller { return tc.network.controllers[memberID(i)] }

func (tc *testCluster) putRow(key string, value any) {
	write, err := store.Put(key, value)
	assert.NilError(tc.t, err)
	tc.table.Apply(store.Transaction{Writes: []store.Write{write}})
}

// commitAndRollOut commits a configuration and rolls it out from a member.
func (tc *testCluster) commitAndRollOut(from int, version uint64) {
	config := fleet.Configuration{Version: version, Services: []fleet.Service{{Name: "webshop", Pool: "webshop"}}}
	tc.putRow(fleet.KeyConfiguration, config)
	tc.controller(from).RollOutConfiguration(tc.t.Context(), config)
}

// cutOffStore makes the table service unreachable for the given members and reachable
// for all others.
func (tc *testCluster) cutOffStore(ids ...fleet.MemberID) {
	var faults []storetest.Fault
	for _, id := range ids {
		faults = append(faults, storetest.Fault{Kind: storetest.Down, Client: string(id)})
	}
	tc.table.SetFaults(faults...)
}

func drainQuery(vm fleet.VMID, generation uint64) *peerpb.DrainQuery {
	return &peerpb.DrainQuery{Vm: string(vm), Generation: generation}
}
