package admintest

import (
	"context"
	"sync"
	"time"

	"peridotcrank.dev/admin"
	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
)

// Backend holds a small fleet in memory. Its methods are safe for concurrent use;
// tests must set its fields before they call methods.
type Backend struct {
	mu sync.Mutex

	// Err is the error that methods return, if set.
	Err error
	// BeforeChange is called at the start of each change, if set.
	BeforeChange func(ctx context.Context, w admin.Write)

	// Writes records the changes that were carried out.
	Writes []admin.Write

	IntentList []fleet.Intent
	PlanList   []fleet.Plan
	PoolList   []admin.Pool
	VMList     []fleet.VM
	Config     fleet.Configuration
	Status     admin.ConfigurationStatus
	MemberList []admin.Member
	Events     []eventlog.Event
}

var _ admin.Backend = (*Backend)(nil)

// New returns a backend with two pools, three VMs, two plans and two members.
func New() *Backend {
	capacity := fleet.Intent{ID: "intent-1", Kind: fleet.IntentPoolCapacity, Operator: "ana", Pool: "webshop", Capacity: 2, Version: 20}
	service := fleet.Service{Name: "orders", PathPrefix: "/orders", Pool: "webshop", Timeout: 2 * time.Second,
		MaxBodyBytes: 1 << 20, MaxQueue: 256, AvailabilityTarget: 0.999}
	configure := fleet.Intent{ID: "intent-2", Kind: fleet.IntentConfigure, Operator: "cy", Service: &service, Version: 21}
	return &Backend{
		IntentList: []fleet.Intent{capacity, configure},
		PlanList: []fleet.Plan{
			{ID: "plan-1", Intent: capacity, State: fleet.PlanProposed, Width: 1, Version: 22,
				Moves:    []fleet.MoveStep{{VM: "vm-3", From: "backoffice", To: "webshop", Generation: 4, Reason: "spare VM in another rack"}},
				Warnings: []string{"backoffice has no VM left"}},
			{ID: "plan-2", Intent: configure, State: fleet.PlanProposed, Version: 23},
		},
		PoolList: []admin.Pool{
			{ID: "webshop", Version: 10, Services: []fleet.ServiceName{"orders"}, VMs: 2, Routable: 1, Moving: 1, Slots: 8},
			{ID: "backoffice", Version: 11, VMs: 1, Routable: 1, Slots: 8},
		},
		VMList: []fleet.VM{
			{ID: "vm-2", Address: "10.1.0.2:80", Rack: "rack-1", Zone: "zone-a", Slots: 8, Connections: 64, Pool: "webshop", Generation: 2, Phase: fleet.PhaseDraining, Plan: "plan-9", Version: 13},
			{ID: "vm-1", Address: "10.1.0.1:80", Rack: "rack-1", Zone: "zone-a", Slots: 8, Connections: 64, Pool: "webshop", Generation: 1, Phase: fleet.PhaseServing, Version: 12},
			{ID: "vm-3", Address: "10.1.1.3:80", Rack: "rack-2", Zone: "zone-b", Slots: 8, Connections: 64, Pool: "backoffice", Generation: 4, Phase: fleet.PhaseServing, Leaving: true, Version: 14},
		},
		Config: fleet.Configuration{Version: 7, Services: []fleet.Service{service}},
		Status: admin.ConfigurationStatus{Version: 7, InForce: false, Members: []admin.ConfigurationMember{
			{Member: "entry-1", Version: 7}, {Member: "entry-2", Version: 6, Lag: 1, LagMS: 850}}},
		MemberList: []admin.Member{
			{Member: fleet.Member{ID: "entry-2", Zone: "zone-b", PeerAddress: "10.0.1.1:8081", AdminAddress: "127.0.0.1:1", Incarnation: 3}, State: admin.MemberSuspected, SilenceMS: 2100},
			{Member: fleet.Member{ID: "entry-1", Zone: "zone-a", PeerAddress: "10.0.0.1:8081", AdminAddress: "127.0.0.1:1", Incarnation: 1}, State: admin.MemberLive, Self: true},
		},
	}
}

// recordWrite appends the write to Writes, or returns Err.
func (b *Backend) recordWrite(ctx context.Context, w admin.Write) error {
	if b.BeforeChange != nil {
		b.BeforeChange(ctx, w)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Err != nil {
		return b.Err
	}
	b.Writes = append(b.Writes, w)
	return nil
}

// CreateIntent implements [admin.Backend].
func (b *Backend) CreateIntent(ctx context.Context, w admin.Write, intent fleet.Intent) (fleet.Plan, error) {
	intent.ID = fleet.IntentID("intent-" + w.RequestID)
	plan := fleet.Plan{ID: fleet.PlanID("plan-" + w.RequestID), Intent: intent, State: fleet.PlanProposed, Width: 1, Version: 30}
	return plan, b.recordWrite(ctx, w)
}

// Intents implements [admin.Backend].
func (b *Backend) Intents(context.Context) ([]fleet.Intent, error) { return b.IntentList, b.Err }

// CreatePlan implements [admin.Backend].
func (b *Backend) CreatePlan(ctx context.Context, w admin.Write, intent fleet.IntentID) (fleet.Plan, error) {
	return fleet.Plan{ID: "plan-3", Intent: fleet.Intent{ID: intent}, State: fleet.PlanProposed, Version: 31}, b.recordWrite(ctx, w)
}

// Plan implements [admin.Backend].
func (b *Backend) Plan(_ context.Context, id fleet.PlanID) (fleet.Plan, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.PlanList {
		if p.ID == id {
			return p, b.Err
		}
	}
	return fleet.Plan{}, admin.Errorf(admin.CodeNotFound, "plan", "there is no plan %s", id)
}

// Plans implements [admin.Backend].
func (b *Backend) Plans(context.Context) ([]fleet.Plan, error) { return b.PlanList, b.Err }

// WatchPlan implements [admin.Backend].
func (b *Backend) WatchPlan(ctx context.Context, id fleet.PlanID, after uint64) (fleet.Plan, error) {
	plan, err := b.Plan(ctx, id)
	if err == nil && plan.Version <= after {
		<-ctx.Done()
	}
	return plan, err
}

// setPlanState changes the state, reason and version of a plan.
func (b *Backend) setPlanState(ctx context.Context, w admin.Write, id fleet.PlanID, state fleet.PlanState, reason string) (fleet.Plan, error) {
	if _, err := b.Plan(ctx, id); err != nil {
		return fleet.Plan{}, err
	}
	if err := b.recordWrite(ctx, w); err != nil {
		return fleet.Plan{}, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.PlanList {
		if p := &b.PlanList[i]; p.ID == id {
			p.State, p.Reason = state, reason
			p.Version += 100
			return *p, nil
		}
	}
	return fleet.Plan{}, nil
}

// ConfirmPlan implements [admin.Backend].
func (b *Backend) ConfirmPlan(ctx context.Context, w admin.Write, id fleet.PlanID) (fleet.Plan, error) {
	return b.setPlanState(ctx, w, id, fleet.PlanConfirmed, "")
}

// RejectPlan implements [admin.Backend].
func (b *Backend) RejectPlan(ctx context.Context, w admin.Write, id fleet.PlanID, reason string) (fleet.Plan, error) {
	return b.setPlanState(ctx, w, id, fleet.PlanRejected, reason)
}

// CancelPlan implements [admin.Backend].
func (b *Backend) CancelPlan(ctx context.Context, w admin.Write, id fleet.PlanID, reason string) (fleet.Plan, error) {
	return b.setPlanState(ctx, w, id, fleet.PlanCancelled, reason)
}

// Pools implements [admin.Backend].
func (b *Backend) Pools(context.Context) ([]admin.Pool, error) { return b.PoolList, b.Err }

// VMs implements [admin.Backend].
func (b *Backend) VMs(context.Context) ([]fleet.VM, error) { return b.VMList, b.Err }

// Configuration implements [admin.Backend].
func (b *Backend) Configuration(context.Context) (fleet.Configuration, error) { return b.Config, b.Err }

// SetConfiguration implements [admin.Backend].
func (b *Backend) SetConfiguration(ctx context.Context, w admin.Write, base uint64, services []fleet.Service) (fleet.Configuration, error) {
	if base != b.Config.Version {
		return fleet.Configuration{}, &admin.Error{Code: admin.CodeConflict, Step: "commit", Peer: "store", Message: "the base version is old",
			Conflict: &admin.Conflict{Changed: []fleet.RowVersion{{Key: fleet.KeyConfiguration, Version: b.Config.Version}}}}
	}
	return fleet.Configuration{Version: base + 1, Services: services}, b.recordWrite(ctx, w)
}

// ConfigurationStatus implements [admin.Backend].
func (b *Backend) ConfigurationStatus(context.Context) (admin.ConfigurationStatus, error) {
	return b.Status, b.Err
}

// Members implements [admin.Backend].
func (b *Backend) Members(context.Context) ([]admin.Member, error) { return b.MemberList, b.Err }

// Timeline implements [admin.Backend].
func (b *Backend) Timeline(_ context.Context, after uint64, limit int) ([]eventlog.Event, error) {
	var events []eventlog.Event
	for _, e := range b.Events {
		if e.Time > after && len(events) < limit {
			events = append(events, e)
		}
	}
	return events, b.Err
}
