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

// plant selects a fault that the simulation's checks must find.
type plant uint8

const (
	noPlant plant = iota
	plantNoEpoch
	plantNoDrainCheck
)

// sim runs two drivers against one table, with entry processes that route by
// old snapshots. All choices come from draw.
type sim struct {
	draw    func(n int) int
	plant   plant
	table   *storetest.Table
	now     time.Time
	drivers [2]*simDriver
	members []*simMember
	reboots map[string]*simReboot // By operation.
	fails   int                   // Reboots that will still fail.
	rows    *Replica              // Fault-free view for the checks.
	writer  *simDriver            // Driver that is committing.
	epoch   uint64                // Epoch under which the writer decided.
	err     error                 // First violation.
	starts  int                   // Number of drivers started.
	// cancelled reports that an operator has cancelled a plan.
	cancelled bool
	plans     []fleet.Plan // The first is confirmed, the second perhaps later.
}

type simDriver struct {
	*Driver
	name    string
	pending []Action // Decided but not applied: the driver is paused.
	epochs  map[fleet.PlanID]uint64
	fault   string // Fault of the next commit.
}

type simReboot struct {
	vm    fleet.VMID
	left  int // Polls until it has ended.
	fails bool
}

type simMember struct {
	id       fleet.MemberID
	snapshot *fleet.Snapshot
	inFlight map[fleet.VMID][]fleet.PoolID // Pools for which requests were sent.
}

var errCrash = errors.New("driver crashed")

func newSim(draw func(int) int, p plant) *sim {
	w := &sim{draw: draw, plant: p, table: storetest.New(), now: time.Unix(0, 0), reboots: map[string]*simReboot{}}
	sizes := []fleettest.PoolSize{{ID: "till", Workers: 3}, {ID: "web", Workers: 3}, {ID: "spare", Workers: 2 + draw(2), Spare: true}}
	w.check(platform.Seed(w.table, fleettest.Fleet(sizes)))
	w.rows = NewReplica(w.table.Client("check"))
	w.check(w.rows.Refresh(context.Background()))
	for i := range 3 {
		m := &simMember{id: fleet.MemberID(fmt.Sprint("m", i)), inFlight: map[fleet.VMID][]fleet.PoolID{}}
		m.snapshot = w.rows.Snapshot()
		w.members = append(w.members, m)
	}
	w.table.OnCommit(w.onCommit)
	for i := range w.drivers {
		w.restart(i)
	}
	return w
}

func (w *sim) check(err error) {
	if err != nil && w.err == nil {
		w.err = err
	}
}

// restart replaces a driver by a new process, under the same name or a new one.
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
	w.check(err)
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
	if t.sim.plant == plantNoEpoch {
		tx.Conditions = slices.DeleteFunc(slices.Clone(tx.Conditions), func(c store.Condition) bool {
			return strings.HasPrefix(c.Key, fleet.PrefixPlan)
		})
	}
	if fault == "lost" {
		t.sim.table.SetFaults(storetest.Fault{Kind: storetest.ReplyLost, Count: 1 + t.sim.draw(4)})
	}
	t.sim.writer = t.driver
	result, err := t.Table.Commit(ctx, tx)
	t.sim.writer = nil
	t.sim.table.SetFaults()
	if fault == "crash after" {
		return store.Result{}, errCrash
	}
	return result, err
}

// onCommit checks each transaction of a driver against the rows before it.
func (w *sim) onCommit(tx store.Transaction, _ store.Version) {
	if w.writer == nil {
		return
	}
	for _, write := range tx.Writes {
		id, ok := strings.CutPrefix(write.Key, fleet.PrefixVM)
		if !ok {
			continue
		}
		plan := w.rows.Snapshot().Plans[w.rows.Snapshot().VMs[fleet.VMID(id)].Plan]
		if plan.Driver != fleet.MemberID(w.writer.name) || plan.Epoch != w.epoch {
			w.check(fmt.Errorf("VM %s written by %s under epoch %d; the lease is %s's under epoch %d", id, w.writer.name, w.epoch, plan.Driver, plan.Epoch))
		}
	}
}

// simEnvironment answers from the simulated members and platform.
type simEnvironment struct{ sim *sim }

func (e simEnvironment) QueryDrain(_ context.Context, vm fleet.VMID, _, _ uint64) (DrainEvidence, error) {
	evidence := DrainEvidence{EvictedExpired: true}
	for _, m := range e.sim.members {
		d := move0(m, vm)
		if e.sim.plant == plantNoDrainCheck {
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
	e.sim.reboots[operation] = &simReboot{vm, e.sim.draw(12), e.sim.fails > 0}
	e.sim.fails--
	for _, m := range e.sim.members {
		if len(m.inFlight[vm]) > 0 {
			e.sim.check(fmt.Errorf("reboot of VM %s cuts off a request of member %s", vm, m.id))
		}
	}
	return nil
}

func (e simEnvironment) RebootState(_ context.Context, _ fleet.VMID, operation string) (fleet.RebootState, error) {
	reboot, known := e.sim.reboots[operation]
	switch {
	case !known:
		return fleet.RebootUnknown, nil
	case reboot.left > 0:
		reboot.left--
		return fleet.RebootRunning, nil
	case reboot.fails:
		return fleet.RebootFailed, nil
	}
	return fleet.RebootDone, nil
}

func (e simEnvironment) Probe(context.Context, fleet.VM) error { return nil }

// event performs one drawn event and checks the invariants.
func (w *sim) event(admin *Admin) {
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
		w.members[w.draw(3)].snapshot = w.load()
	case 8, 9:
		w.request(w.members[w.draw(3)])
	case 10:
		w.takeover(i)
	case 11:
		w.operator(admin)
	}
	w.invariants()
}

// takeover pauses one driver until the other has taken its leases, which may
// continue the plan before the first one resumes.
func (w *sim) takeover(i int) {
	w.decide(i)
	for range 5 + w.draw(4) {
		w.now = w.now.Add(time.Second)
		w.tick(1-i, "")
	}
	w.apply(i)
}

// operator cancels a plan or confirms the second one.
func (w *sim) operator(admin *Admin) {
	switch w.draw(20) {
	case 0, 1:
		w.cancelled = true
		if _, err := admin.Cancel(context.Background(), w.plans[w.draw(2)].ID, "test"); err != nil && !errors.Is(err, ErrState) {
			w.check(err)
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
	if i == 0 || (!errors.As(err, &refused) && !errors.Is(err, ErrState)) {
		w.check(err)
	}
}

func (w *sim) load() *fleet.Snapshot {
	w.check(w.rows.Refresh(context.Background()))
	return w.rows.Snapshot()
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
		w.load()
		w.epoch = d.epochs[action.Plan]
		if err := d.apply(context.Background(), action); errors.Is(err, errCrash) {
			w.restart(i)
			return
		}
	}
}

// request starts or ends a request by the member's own snapshot.
func (w *sim) request(m *simMember) {
	ids := slices.Sorted(maps.Keys(m.snapshot.VMs))
	vm := m.snapshot.VMs[ids[w.draw(len(ids))]]
	if n := len(m.inFlight[vm.ID]); n > 0 {
		m.inFlight[vm.ID] = m.inFlight[vm.ID][:n-1]
	} else if vm.Routable() {
		m.inFlight[vm.ID] = append(m.inFlight[vm.ID], vm.Pool)
	}
}

// invariants checks that no VM is in two pools for the members taken together,
// and that no pool is below its floor.
func (w *sim) invariants() {
	s := w.load()
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
			w.check(fmt.Errorf("VM %s is in %d pools", id, len(pools)))
		}
	}
	for _, reboot := range w.reboots {
		for _, m := range w.members {
			if reboot.left > 0 && m.snapshot.VMs[reboot.vm].Routable() {
				w.check(fmt.Errorf("member %s sends requests to VM %s while it reboots", m.id, reboot.vm))
			}
		}
	}
	counts := serving(s)
	for _, plan := range s.Plans {
		for pool, floor := range plan.Floors {
			if plan.State.NeedsDriver() && counts[pool] < floor {
				w.check(fmt.Errorf("pool %s has %d serving VMs, below its floor of %d", pool, counts[pool], floor))
			}
		}
	}
}

// settle ends all faults and runs until the plan has ended or is blocked.
func (w *sim) settle(plan fleet.PlanID) fleet.PlanState {
	w.fails = 0
	for range 400 {
		w.now = w.now.Add(300 * time.Millisecond)
		for i := range w.drivers {
			w.apply(i)
			w.tick(i, "")
		}
		for _, m := range w.members {
			m.snapshot = w.load()
			clear(m.inFlight)
		}
		w.invariants()
		if state := w.load().Plans[plan].State; !state.NeedsDriver() {
			return state
		}
	}
	w.check(fmt.Errorf("plan %s has not ended: %+v", plan, w.load().Plans[plan]))
	return ""
}

func serving(s *fleet.Snapshot) map[fleet.PoolID]int {
	view := View{Snapshot: s}
	return view.serving()
}
