package plans

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/fleettest"
	"peridotcrank.dev/store"
	"peridotcrank.dev/store/storetest"
	"peridotcrank.dev/testbed/platform"
)

// plantedFault selects a fault that the simulation's checks must find.
type plantedFault uint8

const (
	noPlantedFault plantedFault = iota
	plantedNoEpochCondition
	plantedNoDrainCheck
)

// sim runs two drivers on one table, with entry processes that route by old
// snapshots. All random choices come from draw.
type sim struct {
	draw           func(n int) int
	plantedFault   plantedFault
	table          *storetest.Table
	now            time.Time
	drivers        [2]*simDriver
	members        []*simMember
	reboots        map[string]*simReboot // By operation.
	failingReboots int                   // Number of next reboots that fail.
	checkReplica   *Replica              // Copy of the rows for the checks, read without faults.
	committing     *simDriver            // Driver that is committing.
	epoch          uint64                // Lease epoch in the rows from which the committing driver decided.
	err            error                 // First violation.
	starts         int                   // Number of drivers started.
	// cancelled reports that an operator has cancelled a plan.
	cancelled bool
	plans     []fleet.Plan // The first is confirmed at the start, the second possibly later.
}

type simDriver struct {
	*Driver
	name    string
	pending []Action // Decided but not applied: the driver is paused.
	epochs  map[fleet.PlanID]uint64
	fault   string // Fault of the next commit.
}

type simReboot struct {
	vm        fleet.VMID
	pollsLeft int // Polls until the reboot has ended.
	fails     bool
}

type simMember struct {
	id       fleet.MemberID
	snapshot *fleet.Snapshot
	inFlight map[fleet.VMID][]fleet.PoolID // Pools for which requests were sent.
}

var errCrash = errors.New("driver crashed")

func newSim(draw func(int) int, planted plantedFault) *sim {
	w := &sim{draw: draw, plantedFault: planted, table: storetest.New(), now: time.Unix(0, 0), reboots: map[string]*simReboot{}}
	sizes := []fleettest.PoolSize{{ID: "till", Workers: 3}, {ID: "web", Workers: 3}, {ID: "spare", Workers: 2 + draw(2), Spare: true}}
	w.recordViolation(platform.Seed(w.table, fleettest.Fleet(sizes)))
	w.checkReplica = NewReplica(w.table.Client("check"))
	w.recordViolation(w.checkReplica.Refresh(context.Background()))
	for i := range 3 {
		m := &simMember{id: fleet.MemberID(fmt.Sprint("m", i)), inFlight: map[fleet.VMID][]fleet.PoolID{}}
		m.snapshot = w.checkReplica.Snapshot()
		w.members = append(w.members, m)
	}
	w.table.OnCommit(w.onCommit)
	for i := range w.drivers {
		w.restart(i)
	}
	return w
}

func (w *sim) recordViolation(err error) {
	if err != nil && w.err == nil {
		w.err = err
	}
}

// restart replaces a driver by a new process, with the same name or a new one.
func (w *sim) restart(i int) {
	name := fmt.Sprint("driver-", i)
	if w.starts++; w.draw(2) == 0 {
		name = fmt.Sprint("driver-", i, "-", w.starts)
	}
	d := &simDriver{name: name, epochs: map[fleet.PlanID]uint64{}}
	var err error
	d.Driver, err = NewDriver(Options{
		Self: fleet.MemberID(name), Table: &simTable{w, d, w.table.Client(name)}, Environment: simEnvironment{w},
		Now: func() time.Time { return w.now }, Go: func(f func()) { f() },
	})
	w.recordViolation(err)
	w.drivers[i] = d
}

// simTable injects the faults of one driver's commits.
type simTable struct {
	sim    *sim
	driver *simDriver
	store.Table
}

func (t *simTable) Commit(ctx context.Context, tx store.Transaction) (store.Result, error) {
	fault := t.driver.fault
	t.driver.fault = ""
	if fault == "crash before" {
		return store.Result{}, errCrash
	}
	if t.sim.plantedFault == plantedNoEpochCondition {
		tx.Conditions = slices.DeleteFunc(slices.Clone(tx.Conditions), func(c store.Condition) bool {
			return strings.HasPrefix(c.Key, fleet.PrefixPlan)
		})
	}
	if fault == "lost" {
		t.sim.table.SetFaults(storetest.Fault{Kind: storetest.ReplyLost, Count: 1 + t.sim.draw(4)})
	}
	t.sim.committing = t.driver
	result, err := t.Table.Commit(ctx, tx)
	t.sim.committing = nil
	t.sim.table.SetFaults()
	if fault == "crash after" {
		return store.Result{}, errCrash
	}
	return result, err
}

// onCommit checks each transaction of a driver against the rows before it.
func (w *sim) onCommit(tx store.Transaction, _ store.Version) {
	if w.committing == nil {
		return
	}
	for _, write := range tx.Writes {
		id, ok := strings.CutPrefix(write.Key, fleet.PrefixVM)
		if !ok {
			continue
		}
		plan := w.checkReplica.Snapshot().Plans[w.checkReplica.Snapshot().VMs[fleet.VMID(id)].Plan]
		if plan.Driver != fleet.MemberID(w.committing.name) || plan.Epoch != w.epoch {
			w.recordViolation(fmt.Errorf("VM %s written by %s under epoch %d; the lease is %s's under epoch %d", id, w.committing.name, w.epoch, plan.Driver, plan.Epoch))
		}
	}
}

// simEnvironment performs acts on the simulated members and platform.
type simEnvironment struct{ sim *sim }

func (e simEnvironment) QueryDrain(_ context.Context, vm fleet.VMID, _, _ uint64) (DrainEvidence, error) {
	evidence := DrainEvidence{DepartedViewsExpired: true}
	for _, m := range e.sim.members {
		d := memberDrain(m, vm)
		if e.sim.plantedFault == plantedNoDrainCheck {
			d.Revision = 1 << 40
		}
		evidence.Members = append(evidence.Members, d)
	}
	return evidence, nil
}

func (e simEnvironment) Reboot(_ context.Context, vm fleet.VMID, operation string) error {
	if _, known := e.sim.reboots[operation]; known {
		return nil
	}
	e.sim.reboots[operation] = &simReboot{vm, e.sim.draw(12), e.sim.failingReboots > 0}
	e.sim.failingReboots--
	for _, m := range e.sim.members {
		if len(m.inFlight[vm]) > 0 {
			e.sim.recordViolation(fmt.Errorf("reboot of VM %s cuts off a request of member %s", vm, m.id))
		}
	}
	return nil
}

func (e simEnvironment) RebootState(_ context.Context, _ fleet.VMID, operation string) (fleet.RebootState, error) {
	reboot, known := e.sim.reboots[operation]
	switch {
	case !known:
		return fleet.RebootUnknown, nil
	case reboot.pollsLeft > 0:
		reboot.pollsLeft--
		return fleet.RebootRunning, nil
	case reboot.fails:
		return fleet.RebootFailed, nil
	}
	return fleet.RebootDone, nil
}

func (e simEnvironment) Probe(context.Context, fleet.VM) error { return nil }

// randomEvent performs one random event and checks the invariants.
func (w *sim) randomEvent(admin *Admin) {
	i := w.draw(2)
	w.now = w.now.Add(time.Duration(w.draw(5)) * 100 * time.Millisecond)
	switch w.draw(12) {
	case 0, 1, 2, 3:
		w.tick(i, []string{"", "", "", "", "", "lost", "crash before", "crash after"}[w.draw(8)])
	case 4: // The driver is paused between its decision and its transaction.
		w.decide(i)
	case 5:
		w.apply(i)
	case 6:
		w.now = w.now.Add(time.Duration(1+w.draw(3)) * time.Second)
	case 7:
		w.members[w.draw(3)].snapshot = w.refreshedSnapshot()
	case 8, 9:
		w.toggleRequest(w.members[w.draw(3)])
	case 10:
		w.takeover(i)
	case 11:
		w.operatorCall(admin)
	}
	w.checkInvariants()
}

// takeover pauses one driver until the other has taken its leases. The other driver
// may continue the plan before the first one resumes.
func (w *sim) takeover(i int) {
	w.decide(i)
	for range 5 + w.draw(4) {
		w.now = w.now.Add(time.Second)
		w.tick(1-i, "")
	}
	w.apply(i)
}

// operatorCall cancels a plan or confirms the second one.
func (w *sim) operatorCall(admin *Admin) {
	switch w.draw(20) {
	case 0, 1:
		w.cancelled = true
		if _, err := admin.Cancel(context.Background(), w.plans[w.draw(2)].ID, "test"); err != nil && !errors.Is(err, ErrWrongState) {
			w.recordViolation(err)
		}
	case 2, 3, 4:
		w.confirm(admin, 1)
	}
}

// confirm confirms a plan. The second may be refused, because it conflicts with
// the first or has been cancelled.
func (w *sim) confirm(admin *Admin, i int) {
	var refused *RefusedError
	_, err := admin.Confirm(context.Background(), w.plans[i].ID)
	if i == 0 || (!errors.As(err, &refused) && !errors.Is(err, ErrWrongState)) {
		w.recordViolation(err)
	}
}

func (w *sim) refreshedSnapshot() *fleet.Snapshot {
	w.recordViolation(w.checkReplica.Refresh(context.Background()))
	return w.checkReplica.Snapshot()
}

func (w *sim) tick(i int, fault string) {
	if len(w.drivers[i].pending) > 0 {
		return // Paused.
	}
	w.drivers[i].fault = fault
	w.decide(i)
	w.apply(i)
}

func (w *sim) decide(i int) {
	d := w.drivers[i]
	if len(d.pending) > 0 || d.replica.Refresh(context.Background()) != nil {
		return
	}
	d.pending = d.Decide(w.now)
	d.epochs = map[fleet.PlanID]uint64{}
	for id, plan := range d.Snapshot().Plans {
		d.epochs[id] = plan.Epoch
	}
}

func (w *sim) apply(i int) {
	d := w.drivers[i]
	pending := d.pending
	d.pending = nil
	for _, action := range pending {
		w.refreshedSnapshot()
		w.epoch = d.epochs[action.Plan]
		if err := d.applyAction(context.Background(), action); errors.Is(err, errCrash) {
			w.restart(i)
			return
		}
	}
}

// toggleRequest starts or ends a request according to the member's own snapshot.
func (w *sim) toggleRequest(m *simMember) {
	ids := slices.Sorted(maps.Keys(m.snapshot.VMs))
	vm := m.snapshot.VMs[ids[w.draw(len(ids))]]
	if n := len(m.inFlight[vm.ID]); n > 0 {
		m.inFlight[vm.ID] = m.inFlight[vm.ID][:n-1]
	} else if vm.Routable() {
		m.inFlight[vm.ID] = append(m.inFlight[vm.ID], vm.Pool)
	}
}

// checkInvariants checks that all members together use no VM in two pools, that none
// routes to a VM that reboots, and that no pool is below its floor.
func (w *sim) checkInvariants() {
	s := w.refreshedSnapshot()
	for id := range s.VMs {
		pools := map[fleet.PoolID]bool{}
		for _, m := range w.members {
			if vm := m.snapshot.VMs[id]; vm.Routable() {
				pools[vm.Pool] = true
			}
			for _, pool := range m.inFlight[id] {
				pools[pool] = true
			}
		}
		if len(pools) > 1 {
			w.recordViolation(fmt.Errorf("VM %s is in %d pools", id, len(pools)))
		}
	}
	for _, reboot := range w.reboots {
		for _, m := range w.members {
			if reboot.pollsLeft > 0 && m.snapshot.VMs[reboot.vm].Routable() {
				w.recordViolation(fmt.Errorf("member %s sends requests to VM %s while it reboots", m.id, reboot.vm))
			}
		}
	}
	counts := servingCounts(s)
	for _, plan := range s.Plans {
		for pool, floor := range plan.Floors {
			if plan.State.NeedsDriver() && counts[pool] < floor {
				w.recordViolation(fmt.Errorf("pool %s has %d serving VMs, below its floor of %d", pool, counts[pool], floor))
			}
		}
	}
}

// runUntilEnded runs without faults until the plan has ended or is blocked.
func (w *sim) runUntilEnded(plan fleet.PlanID) fleet.PlanState {
	w.failingReboots = 0
	for range 400 {
		w.now = w.now.Add(300 * time.Millisecond)
		for i := range w.drivers {
			w.apply(i)
			w.tick(i, "")
		}
		for _, m := range w.members {
			m.snapshot = w.refreshedSnapshot()
			clear(m.inFlight)
		}
		w.checkInvariants()
		if state := w.refreshedSnapshot().Plans[plan].State; !state.NeedsDriver() {
			return state
		}
	}
	w.recordViolation(fmt.Errorf("plan %s has not ended: %+v", plan, w.refreshedSnapshot().Plans[plan]))
	return ""
}

func servingCounts(s *fleet.Snapshot) map[fleet.PoolID]int {
	input := Input{Snapshot: s}
	return input.countServing()
}
