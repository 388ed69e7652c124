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

// instantDrain is an environment in which every drain is confirmed at once. Reboots
// are passed to the platform, or are done at once if there is none.
type instantDrain struct{ store.Platform }

func (instantDrain) QueryDrain(_ context.Context, _ fleet.VMID, _, revision uint64) (DrainEvidence, error) {
	return DrainEvidence{Members: []move.MemberDrain{{Member: "m", Revision: revision}}, DepartedViewsExpired: true}, nil
}

func (instantDrain) Probe(context.Context, fleet.VM) error { return nil }

func (c instantDrain) RebootState(ctx context.Context, vm fleet.VMID, operation string) (fleet.RebootState, error) {
	if c.Platform == nil {
		return fleet.RebootDone, nil
	}
	return c.Platform.RebootState(ctx, vm, operation)
}

// neverDrained is an environment in which no drain is ever confirmed.
type neverDrained struct{ instantDrain }

func (neverDrained) QueryDrain(context.Context, fleet.VMID, uint64, uint64) (DrainEvidence, error) {
	return DrainEvidence{Missing: []fleet.MemberID{"m"}}, nil
}

// startDriver starts a driver with the client that processes use, and returns a
// function that stops it.
func startDriver(t *testing.T, table *storetest.Table, name string, e Environment) context.CancelFunc {
	t.Helper()
	c, err := store.NewClient(table.Transport(name), store.Options{})
	assert.NilError(t, err)
	d, err := NewDriver(Options{Self: fleet.MemberID(name), Table: c, Environment: e})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	go d.Run(ctx)
	return cancel
}

func confirmedPlan(t *testing.T, a *Admin, intent fleet.Intent) fleet.PlanID {
	t.Helper()
	plan := createPlan(t, a, intent)
	_, err := a.Confirm(context.Background(), plan.ID)
	assert.NilError(t, err)
	return plan.ID
}

func planRow(t *testing.T, a *Admin, id fleet.PlanID) fleet.Plan {
	t.Helper()
	plan, err := a.readPlan(context.Background(), id)
	assert.NilError(t, err)
	return plan
}

var emptyRackIntent = fleet.Intent{ID: "i", Kind: fleet.IntentEmptyRack, Rack: "rack-0000"}

// Guards against a plan that stays without a driver, and against a takeover
// before the lease has expired.
func TestTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, table := newAdmin(t)
		id := confirmedPlan(t, a, emptyRackIntent)
		stop := map[fleet.MemberID]context.CancelFunc{"a": startDriver(t, table, "a", neverDrained{}), "b": startDriver(t, table, "b", neverDrained{})}
		time.Sleep(10 * time.Second)
		first := planRow(t, a, id)
		assert.Equal(t, first.Epoch, uint64(1))
		stop[first.Driver]()
		died := time.Now()
		for planRow(t, a, id).Epoch == 1 {
			time.Sleep(10 * time.Millisecond)
		}
		took := time.Since(died)
		// The last renewal was up to 1.5 s and a tick before the driver stopped. The
		// other process reads every 0.5 s, with a jitter of a quarter.
		assert.Assert(t, took > DefaultLease-2*time.Second && took < DefaultLease+DefaultMaxAcquireDelay+1250*time.Millisecond, "%s", took)
	})
}

// Guards against takeovers caused by an outage of the table service, during which
// no process can renew its leases.
func TestOutageDoesNotMoveLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, table := newAdmin(t)
		id := confirmedPlan(t, a, emptyRackIntent)
		startDriver(t, table, "a", neverDrained{})
		startDriver(t, table, "b", neverDrained{})
		time.Sleep(10 * time.Second)
		table.SetFaults(storetest.Fault{Kind: storetest.Down})
		time.Sleep(time.Minute)
		table.SetFaults()
		time.Sleep(20 * time.Second)
		assert.Equal(t, planRow(t, a, id).Epoch, uint64(1))
	})
}

// Guards against a VM that stays out of service because its drain never ends, and
// against a blocked plan that cannot be cancelled.
func TestStuckDrainBlocksThePlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, table := newAdmin(t)
		id := confirmedPlan(t, a, emptyRackIntent)
		startDriver(t, table, "a", neverDrained{})
		time.Sleep(move.DefaultDrainLimit + time.Minute)
		plan := planRow(t, a, id)
		assert.Equal(t, plan.State, fleet.PlanBlocked)
		assert.Assert(t, plan.Reason != "")
		_, err := a.Cancel(context.Background(), id, "enough")
		assert.NilError(t, err)
		time.Sleep(10 * time.Second)
		assert.Equal(t, planRow(t, a, id).State, fleet.PlanCancelled)
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
		id := confirmedPlan(t, a, fleet.Intent{ID: "i", Kind: fleet.IntentPoolCapacity, Pool: "webshop", Capacity: 10})
		d, err := NewDriver(Options{Self: "a", Table: table.Client("a"), Environment: instantDrain{}, Leaving: func() map[fleet.VMID]bool {
			return map[fleet.VMID]bool{"vm-0027": true, "vm-0028": true}
		}})
		assert.NilError(t, err)
		go d.Run(t.Context())
		time.Sleep(DefaultStallAfter + time.Minute)
		plan := planRow(t, a, id)
		assert.Equal(t, plan.State, fleet.PlanBlocked)
		assert.Assert(t, strings.HasSuffix(plan.Reason, "pool webshop has 9 serving VMs and the plan keeps 10"), plan.Reason)
	})
}

// Guards against a driver that works only with the in-memory table. One plan runs
// over HTTP, with reboots by the simulated platform and with lost replies.
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
	id := confirmedPlan(t, a, emptyRackIntent)
	table.SetFaults(storetest.Fault{Kind: storetest.ReplyLost, Method: storetest.Commits, Count: 3})
	d, err := NewDriver(Options{Self: "a", Table: c, Environment: instantDrain{p}, Now: clock, Go: func(f func()) { f() }})
	assert.NilError(t, err)
	for range 200 {
		assert.NilError(t, d.Tick(context.Background()))
		now = now.Add(250 * time.Millisecond)
	}
	plan := planRow(t, a, id)
	assert.Equal(t, plan.State, fleet.PlanDone)
	reboots := 0
	for _, m := range plan.Moves {
		if m.Reboot {
			reboots++
		}
	}
	assert.Equal(t, reboots, fleettest.WorkersPerRack)
}
