package plans

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/fleettest"
	"peridotcrank.dev/fleet/move"
	"peridotcrank.dev/store"
	"peridotcrank.dev/store/storetest"
	"peridotcrank.dev/testbed/platform"
)

// calm is an environment in which every drain is confirmed at once. Reboots go
// to a platform, or are done at once without one.
type calm struct{ store.Platform }

func (calm) QueryDrain(_ context.Context, _ fleet.VMID, _, revision uint64) (DrainEvidence, error) {
	return DrainEvidence{Members: []move.MemberDrain{{Member: "m", Revision: revision}}, EvictedExpired: true}, nil
}

func (calm) Probe(context.Context, fleet.VM) error { return nil }

func (c calm) RebootState(ctx context.Context, vm fleet.VMID, operation string) (fleet.RebootState, error) {
	if c.Platform == nil {
		return fleet.RebootDone, nil
	}
	return c.Platform.RebootState(ctx, vm, operation)
}

// stuck is an environment in which no drain is ever confirmed.
type stuck struct{ calm }

func (stuck) QueryDrain(context.Context, fleet.VMID, uint64, uint64) (DrainEvidence, error) {
	return DrainEvidence{Missing: []fleet.MemberID{"m"}}, nil
}

// run starts a driver with the clients that processes use, and returns its end.
func run(t *testing.T, table *storetest.Table, name string, e Environment) context.CancelFunc {
	t.Helper()
	c, err := store.NewClient(table.Transport(name), store.Options{})
	assert.NilError(t, err)
	d, err := NewDriver(Options{Self: fleet.MemberID(name), Table: c, Environment: e})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	go d.Run(ctx)
	return cancel
}

func confirmed(t *testing.T, a *Admin, intent fleet.Intent) fleet.PlanID {
	t.Helper()
	plan := create(t, a, intent)
	_, err := a.Confirm(context.Background(), plan.ID)
	assert.NilError(t, err)
	return plan.ID
}

func row0(t *testing.T, a *Admin, id fleet.PlanID) fleet.Plan {
	t.Helper()
	plan, err := a.plan(context.Background(), id)
	assert.NilError(t, err)
	return plan
}

var rack = fleet.Intent{ID: "i", Kind: fleet.IntentEmptyRack, Rack: "rack-0000"}

// Guards against a plan that stays without a driver, and against a takeover
// before the lease has lapsed.
func TestTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, table := newAdmin(t)
		id := confirmed(t, a, rack)
		stop := map[fleet.MemberID]context.CancelFunc{"a": run(t, table, "a", stuck{}), "b": run(t, table, "b", stuck{})}
		time.Sleep(10 * time.Second)
		first := row0(t, a, id)
		assert.Equal(t, first.Epoch, uint64(1))
		stop[first.Driver]()
		died := time.Now()
		for row0(t, a, id).Epoch == 1 {
			time.Sleep(10 * time.Millisecond)
		}
		took := time.Since(died)
		// The last renewal was up to 1.5 s and a tick before the driver died. The
		// other process watches every 0.5 s, with a jitter of a quarter.
		assert.Assert(t, took > DefaultLease-2*time.Second && took < DefaultLease+DefaultSpread+1250*time.Millisecond, "%s", took)
	})
}

// Guards against takeovers caused by an outage that stops every process alike.
func TestOutageDoesNotMoveLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, table := newAdmin(t)
		id := confirmed(t, a, rack)
		run(t, table, "a", stuck{})
		run(t, table, "b", stuck{})
		time.Sleep(10 * time.Second)
		table.SetFaults(storetest.Fault{Kind: storetest.Down})
		time.Sleep(time.Minute)
		table.SetFaults()
		time.Sleep(20 * time.Second)
		assert.Equal(t, row0(t, a, id).Epoch, uint64(1))
	})
}

// Guards against a drain that never ends and takes the VM out of service, and
// against a blocked plan that cannot be cancelled.
func TestStuckDrainBlocksThePlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, table := newAdmin(t)
		id := confirmed(t, a, rack)
		run(t, table, "a", stuck{})
		time.Sleep(move.DefaultDrainLimit + time.Minute)
		plan := row0(t, a, id)
		assert.Equal(t, plan.State, fleet.PlanBlocked)
		assert.Assert(t, plan.Reason != "")
		_, err := a.Cancel(context.Background(), id, "enough")
		assert.NilError(t, err)
		time.Sleep(10 * time.Second)
		assert.Equal(t, row0(t, a, id).State, fleet.PlanCancelled)
		s, err := LoadSnapshot(context.Background(), a.Table)
		assert.NilError(t, err)
		for _, vm := range s.VMs {
			assert.Assert(t, vm.Routable() && vm.Plan == "", "%+v", vm)
		}
	})
}

// Guards against a plan that waits for ever for a pool that has lost VMs, and
// against a driver that counts VMs that are leaving as serving.
func TestPoolBelowItsFloorBlocksThePlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, table := newAdmin(t)
		id := confirmed(t, a, fleet.Intent{ID: "i", Kind: fleet.IntentPoolCapacity, Pool: "webshop", Capacity: 10})
		d, err := NewDriver(Options{Self: "a", Table: table.Client("a"), Environment: calm{}, Leaving: func() map[fleet.VMID]bool {
			return map[fleet.VMID]bool{"vm-0027": true, "vm-0028": true}
		}})
		assert.NilError(t, err)
		go d.Run(t.Context())
		time.Sleep(DefaultStall + time.Minute)
		plan := row0(t, a, id)
		assert.Equal(t, plan.State, fleet.PlanBlocked)
		assert.Assert(t, strings.HasSuffix(plan.Reason, "pool webshop has 9 serving VMs and the plan keeps 10"), plan.Reason)
	})
}

// Guards against a driver that works only with the in-memory table: one plan
// over HTTP, with reboots of the platform's stand-in and with lost replies.
func TestPlanOverHTTP(t *testing.T) {
	now := time.Unix(0, 0)
	clock := func() time.Time { return now }
	s := fleettest.Fleet(fleettest.WASouth())
	table := storetest.New()
	assert.NilError(t, platform.Seed(table, s))
	var vms []fleet.VM
	for _, vm := range s.VMs {
		vms = append(vms, vm)
	}
	server := httptest.NewServer(platform.New(platform.Options{Table: table, VMs: vms, Now: clock}))
	defer server.Close()
	c, err := store.New(server.URL, "a", store.Options{WritesPerSecond: 1000, RetryMin: time.Millisecond, RetryMax: time.Millisecond})
	assert.NilError(t, err)
	p, err := store.NewHTTPPlatform(server.URL, "a", 0)
	assert.NilError(t, err)
	a := &Admin{Table: c}
	id := confirmed(t, a, rack)
	table.SetFaults(storetest.Fault{Kind: storetest.ReplyLost, Method: storetest.Commits, Count: 3})
	d, err := NewDriver(Options{Self: "a", Table: c, Environment: calm{p}, Now: clock, Go: func(f func()) { f() }})
	assert.NilError(t, err)
	for range 200 {
		assert.NilError(t, d.Tick(context.Background()))
		now = now.Add(250 * time.Millisecond)
	}
	plan := row0(t, a, id)
	assert.Equal(t, plan.State, fleet.PlanDone)
	reboots := 0
	for _, m := range plan.Moves {
		if m.Reboot {
			reboots++
		}
	}
	assert.Equal(t, reboots, fleettest.WorkersPerRack)
}
