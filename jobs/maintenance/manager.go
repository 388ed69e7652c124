package maintenance

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/loop"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/worker"
)

// Options configure a [Manager].
type Options struct {
	Fence          uint64            // Fencing token of this ownership of the shard. Required.
	Loop           loop.Runner       // Required.
	Clock          loop.Clock        // Required.
	WallClock      func() time.Time  // Wall clock, for deadlines that outlive the process. Required.
	MachineService MachineService    // Required.
	PoolOwners     PoolOwners        // Required.
	Store          rows.Store        // Required.
	Recorder       eventlog.Recorder // Required.
	// OwnsShard reports whether this process owns the fleet's shard and its lease has
	// not expired. Required.
	OwnsShard func() bool
	// OwnerKey is the key of the row whose version is the fence. Required.
	OwnerKey rows.Key
	// StatusRow returns the row that shows the state of a wave to operators. Required.
	StatusRow func(wave int64, completed bool) rows.Row
	// MoveDuration and MaintenanceDuration are the times for which a VM is unavailable. Required.
	MoveDuration        time.Duration
	MaintenanceDuration time.Duration
}

const (
	tickInterval    = 200 * time.Millisecond
	listInterval    = time.Second
	minListInterval = 300 * time.Millisecond
	reportTimeout   = 400 * time.Millisecond
	callTimeout     = 1500 * time.Millisecond
	storeTimeout    = time.Second
	retryDelay      = 500 * time.Millisecond
	// returnMargin is added to the expected unavailability of a VM before its operation
	// counts as ended.
	returnMargin = 1500 * time.Millisecond
	// moveVacateTimeout is how long a move waits for its VM to be vacated before it is dropped.
	moveVacateTimeout = 2500 * time.Millisecond
	// orderNumberBits is the number of low bits of a VM fence that number the orders of
	// one owner. The upper bits hold the fence of the ownership.
	orderNumberBits = 20
	// formerOrderWindow is how long after a takeover the platform may still start
	// orders that the former owner sent.
	formerOrderWindow = 400 * time.Millisecond
	// backoff is how long a VM gets no new operation after an order was rejected or
	// the VM was not vacated in time.
	backoff = time.Second
)

type phase uint8

const (
	vacating phase = iota
	ordering
	awaitingReturn
)

// operation is a decision that is being carried out.
type operation struct {
	Decision
	machine        Machine
	phase          phase
	startedAt      time.Duration
	fence          uint64
	returnDeadline time.Duration // End of the phase awaitingReturn.
	inFlight       bool
}

// Manager plans and carries out moves and maintenance waves. Its methods must be
// called on the loop.
type Manager struct {
	o          Options
	stopped    bool
	draining   bool          // No new operation starts.
	ownerSince time.Duration // When this process became the owner.

	pools           []string
	sparePool       string
	waves           map[int64]*waveProgress
	machines        []Machine
	listedAt        time.Duration
	listRequestedAt time.Duration // When the latest successful list was requested.
	listInFlight    bool
	demands         map[string]Demand
	reportInFlight  map[string]bool
	// unaccountedAt is when a pool's owner last reported a new unaccounted worker.
	unaccountedAt map[string]time.Duration
	operations    map[string]*operation
	backoffUntil  map[string]time.Duration // Time before which a VM gets no new operation.
	orderCount    uint64
}

// New returns a manager, or an error if a required option is missing. The manager is
// idle until Start.
func New(o Options) (*Manager, error) {
	if o.Fence == 0 || o.Loop == nil || o.Clock == nil || o.WallClock == nil || o.MachineService == nil || o.PoolOwners == nil || o.Store == nil ||
		o.Recorder == nil || o.OwnsShard == nil || o.StatusRow == nil {
		return nil, errors.New("maintenance: a required option is not set")
	}
	return &Manager{
		o: o, waves: map[int64]*waveProgress{}, demands: map[string]Demand{}, reportInFlight: map[string]bool{}, unaccountedAt: map[string]time.Duration{},
		operations: map[string]*operation{}, backoffUntil: map[string]time.Duration{},
	}, nil
}

// Start begins the periodic planning.
func (m *Manager) Start() {
	m.ownerSince = m.o.Clock()
	m.tick()
}

// Drain ends the planning, so that no operation starts any more. The results of orders
// in flight are still processed and stored.
func (m *Manager) Drain() { m.draining = true }

// Drained reports whether no order is in flight and the progress of all waves is stored.
func (m *Manager) Drained() bool {
	for _, op := range m.operations {
		if op.inFlight {
			return false
		}
	}
	for _, w := range m.waves {
		if w.loaded && (w.saving || w.unsaved) {
			return false
		}
	}
	return true
}

// Stop ends all work. The next owner determines the outcome of orders in flight.
func (m *Manager) Stop() { m.stopped = true }

// SetPools sets the configured pools and the pool of switched-off VMs, empty for none.
func (m *Manager) SetPools(pools []string, sparePool string) {
	m.pools, m.sparePool = pools, sparePool
}

// SetWaves adds the waves that operators requested. Known waves are not changed.
func (m *Manager) SetWaves(waves []Wave) {
	for _, w := range waves {
		if m.waves[w.Number] == nil {
			m.waves[w.Number] = &waveProgress{Wave: w, done: map[string]bool{}}
			m.loadWave(m.waves[w.Number])
		}
	}
}

func (m *Manager) tick() {
	if m.stopped {
		return
	}
	m.o.Loop.After(tickInterval, m.tick)
	if !m.o.OwnsShard() {
		return
	}
	now := m.o.Clock()
	if !m.listInFlight && (now-m.listedAt > listInterval || m.needsFreshList(now)) {
		m.refreshMachines()
	}
	if !m.draining {
		for _, pool := range m.pools {
			if pool != m.sparePool {
				m.requestReport(pool)
			}
		}
		m.advanceOperations(now)
		m.planAndBegin(now)
	}
	for _, w := range m.waves {
		m.saveWave(w)
	}
}

// needsFreshList reports whether the VM list must be fetched before its regular
// interval: after a takeover, or because a pool's owner waits to learn which
// unaccounted workers have ended.
func (m *Manager) needsFreshList(now time.Duration) bool {
	if now-m.listedAt < minListInterval {
		return false
	}
	if !m.listIsCurrent() && now-m.ownerSince >= formerOrderWindow {
		return true
	}
	for pool, d := range m.demands {
		if len(d.Unaccounted) > 0 && m.listRequestedAt < m.unaccountedAt[pool] {
			return true
		}
	}
	return false
}

// listIsCurrent reports whether the VM list includes the effects of all orders
// of former owners.
func (m *Manager) listIsCurrent() bool { return m.listRequestedAt >= m.ownerSince+formerOrderWindow }

// refreshMachines requests the platform's VM list.
func (m *Manager) refreshMachines() {
	m.listInFlight = true
	sent := m.o.Clock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		machines, err := m.o.MachineService.List(ctx)
		m.o.Loop.Post(func() {
			m.listInFlight, m.listedAt = false, m.o.Clock()
			if err != nil {
				m.o.Recorder.Record(eventlog.MachineListFailed, eventlog.Fields{"error": err})
				return
			}
			m.machines, m.listRequestedAt = machines, sent
		})
	}()
}

// requestReport sends instructions to a pool's owner and stores the demand that it
// reports. At most one request per pool is in flight.
func (m *Manager) requestReport(pool string) {
	if m.reportInFlight[pool] {
		return
	}
	m.reportInFlight[pool] = true
	var vacate []worker.ID
	for _, op := range m.operations {
		if op.machine.Pool == pool && op.machine.Worker != "" && op.phase != awaitingReturn {
			vacate = append(vacate, op.machine.Worker)
		}
	}
	instructions := PoolInstructions{Vacate: vacate, Ended: m.endedWorkers(pool), MaintenanceDue: m.workersDue(pool)}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		demand, err := m.o.PoolOwners.RequestReport(ctx, pool, instructions)
		m.o.Loop.Post(func() {
			m.reportInFlight[pool] = false
			if err != nil {
				delete(m.demands, pool) // Without a report nothing is decided for the pool.
				return
			}
			m.trackUnaccounted(pool, demand.Unaccounted)
			m.demands[pool] = demand
		})
	}()
}

// trackUnaccounted records the time when a pool reports a new unaccounted worker.
func (m *Manager) trackUnaccounted(pool string, ids []worker.ID) {
	for _, id := range ids {
		if !slices.Contains(m.demands[pool].Unaccounted, id) {
			m.unaccountedAt[pool] = m.o.Clock()
			return
		}
	}
}

// endedWorkers returns the unaccounted workers of a pool that no VM runs any more,
// according to a list that was requested after the pool reported them. A worker
// corresponds to one incarnation of a VM.
func (m *Manager) endedWorkers(pool string) (ids []worker.ID) {
	unaccounted := m.demands[pool].Unaccounted
	if len(unaccounted) == 0 || m.listRequestedAt < m.unaccountedAt[pool] || len(m.machines) == 0 {
		return nil
	}
	current := map[worker.ID]bool{}
	for i := range m.machines {
		current[m.machines[i].Worker] = true
	}
	for _, id := range unaccounted {
		if !current[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// workersDue returns the workers of a pool whose VMs still wait for maintenance.
func (m *Manager) workersDue(pool string) (ids []worker.ID) {
	waiting := map[string]bool{}
	for _, w := range m.waves {
		if !w.loaded || w.completed {
			continue
		}
		for _, name := range w.Machines {
			waiting[name] = waiting[name] || !w.done[name]
		}
	}
	for i := range m.machines {
		if v := &m.machines[i]; v.Pool == pool && v.Worker != "" && waiting[v.Name] {
			ids = append(ids, v.Worker)
		}
	}
	return ids
}

func (m *Manager) machine(name string) (Machine, bool) {
	for _, machine := range m.machines {
		if machine.Name == name {
			return machine, true
		}
	}
	return Machine{}, false
}

// advanceOperations orders the operations whose VM is vacated and removes those that
// have ended or timed out.
func (m *Manager) advanceOperations(now time.Duration) {
	for name, op := range m.operations {
		if current, ok := m.machine(name); ok && op.phase == vacating {
			op.machine = current
		}
		switch op.phase {
		case vacating:
			m.checkVacated(op, now)
		case awaitingReturn:
			if now > op.returnDeadline {
				delete(m.operations, name)
			}
		}
	}
}

// checkVacated orders an operation once its VM is vacated, and drops it if the VM is
// no longer up or a move waits too long.
func (m *Manager) checkVacated(op *operation, now time.Duration) {
	if op.machine.State != Up {
		delete(m.operations, op.Machine)
		return
	}
	if op.machine.Pool == m.sparePool || m.demands[op.machine.Pool].Workers[op.machine.Worker].Vacated {
		m.sendOrder(op)
		return
	}
	if op.Kind == Move && now-op.startedAt > moveVacateTimeout {
		delete(m.operations, op.Machine)
		m.backoffUntil[op.Machine] = now + backoff
	}
}

// sendOrder sends the order of an operation to the platform. Retries of the same
// operation carry the same fence.
func (m *Manager) sendOrder(op *operation) {
	if op.phase != ordering {
		m.orderCount++
		op.phase, op.fence = ordering, m.o.Fence<<orderNumberBits+m.orderCount
	}
	op.inFlight = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var err error
		if op.Kind == Move {
			err = m.o.MachineService.Move(ctx, op.Machine, op.Pool, op.fence)
		} else {
			err = m.o.MachineService.Maintain(ctx, op.Machine, op.Wave, op.fence)
		}
		m.o.Loop.Post(func() { m.handleOrderResult(op, err) })
	}()
}

// handleOrderResult handles the platform's response to an order.
func (m *Manager) handleOrderResult(op *operation, err error) {
	op.inFlight = false
	if m.stopped {
		return
	}
	now := m.o.Clock()
	fields := eventlog.Fields{"machine": op.Machine, "pool": op.machine.Pool, "target": op.Pool, "wave": op.Wave, "reason": op.Reason}
	switch {
	case err == nil:
		m.o.Recorder.Record(eventlog.MachineOrdered, fields)
		m.recordCarriedOut(op, now)
	case errors.Is(err, ErrThrottled):
		m.o.Loop.After(retryDelay, func() { m.retryOrder(op) })
	case errors.Is(err, ErrBusy), errors.Is(err, ErrFenced), errors.Is(err, ErrNotDue), errors.Is(err, ErrInvalid):
		fields["error"] = err
		m.o.Recorder.Record(eventlog.MachineOrderRefused, fields)
		delete(m.operations, op.Machine)
		m.backoffUntil[op.Machine] = now + backoff
		m.listedAt = 0
	default:
		// The order may have been carried out. It is retried with the same fence;
		// later orders for the VM carry a higher one.
		fields["error"] = err
		m.o.Recorder.Record(eventlog.MachineOrderUnanswered, fields)
		m.o.Loop.After(retryDelay, func() { m.retryOrder(op) })
	}
}

func (m *Manager) retryOrder(op *operation) {
	if m.stopped || m.draining || op.inFlight || m.operations[op.Machine] != op {
		return
	}
	if !m.o.OwnsShard() {
		m.o.Loop.After(retryDelay, func() { m.retryOrder(op) })
		return
	}
	m.sendOrder(op)
}

// recordCarriedOut records that the platform carries out an order, so that the VM is
// unavailable for a while.
func (m *Manager) recordCarriedOut(op *operation, now time.Duration) {
	op.phase = awaitingReturn
	away := m.o.MoveDuration
	if op.Kind == Maintain {
		away = m.o.MaintenanceDuration
		if w := m.waves[op.Wave]; w != nil {
			w.done[op.Machine] = true
			w.unsaved = true
			m.saveWave(w)
		}
	}
	op.returnDeadline = now + away + returnMargin
	for i := range m.machines {
		if m.machines[i].Name == op.Machine {
			m.machines[i].State = Moving
			if op.Kind == Move {
				m.machines[i].Pool = op.Pool
			}
		}
	}
}

// planAndBegin runs the planner and starts the operations that it decides.
func (m *Manager) planAndBegin(now time.Duration) {
	if len(m.machines) == 0 {
		return
	}
	s := Snapshot{
		Now: now, Machines: m.machines, SparePool: m.sparePool, Demands: m.demands, Pending: map[string]Decision{},
	}
	for name, op := range m.operations {
		s.Pending[name] = op.Decision
	}
	for _, w := range m.waves {
		if w.loaded && !w.completed && m.listIsCurrent() {
			s.Waves = append(s.Waves, m.waveState(w, now))
		}
	}
	for _, d := range Plan(s) {
		m.startOperation(d, now)
	}
}

// startOperation checks a decision against the current state and starts to carry it
// out. VMs of the spare pool need not be vacated.
func (m *Manager) startOperation(d Decision, now time.Duration) {
	machine, ok := m.machine(d.Machine)
	if !ok || machine.State != Up || m.operations[d.Machine] != nil || now < m.backoffUntil[d.Machine] {
		return
	}
	op := &operation{Decision: d, machine: machine, startedAt: now}
	m.operations[d.Machine] = op
	if machine.Pool == m.sparePool {
		m.sendOrder(op)
	}
}

// waveState returns the planner's view of a wave.
func (m *Manager) waveState(w *waveProgress, now time.Duration) WaveState {
	state := WaveState{Wave: w.Wave, Done: w.done, Deadline: now + w.started.Add(w.Period).Sub(m.o.WallClock())}
	for _, op := range m.operations {
		if op.Kind == Maintain && op.Wave == w.Number {
			state.InProgress++
		}
	}
	for _, name := range w.Machines {
		// A former owner ordered the maintenance, or it takes longer than expected.
		if v, ok := m.machine(name); ok && v.State == InMaintenance && m.operations[name] == nil {
			state.InProgress++
		}
	}
	return state
}

var errNotOwner = errors.New("another process has taken over the fleet's shard")

// commit stores rows on the condition that this process still owns the fleet's shard.
func (m *Manager) commit(ctx context.Context, set []rows.Row) error {
	result, err := m.o.Store.Commit(ctx, rows.Tx{
		Expect: []rows.Expectation{{Key: m.o.OwnerKey, Version: m.o.Fence}}, Set: set,
	})
	if err != nil {
		return fmt.Errorf("store the progress of the maintenance wave: %w", err)
	}
	if !result.Applied {
		return fmt.Errorf("store the progress of the maintenance wave: %w", errNotOwner)
	}
	return nil
}
