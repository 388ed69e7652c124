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
	Fence    uint64            // Fence of the ownership. Required.
	Loop     loop.Runner       // Required.
	Clock    loop.Clock        // Required.
	Wall     func() time.Time  // Time of day, for deadlines that outlive the process. Required.
	Orders   Orders            // Required.
	Owners   Owners            // Required.
	Store    rows.Store        // Required.
	Recorder eventlog.Recorder // Required.
	// HasRight reports whether this process may act for the fleet now. Required.
	HasRight func() bool
	// OwnerKey is the row whose version is the fence. Required.
	OwnerKey rows.Key
	// StatusRow returns the row that tells operators about a wave. Required.
	StatusRow func(wave int64, completed bool) rows.Row
	// MoveTime and UpkeepTime are how long a VM is away. Required.
	MoveTime   time.Duration
	UpkeepTime time.Duration
}

const (
	tickInterval  = 200 * time.Millisecond
	listInterval  = time.Second
	listGap       = 300 * time.Millisecond
	reportTimeout = 400 * time.Millisecond
	callTimeout   = 1500 * time.Millisecond
	storeTimeout  = time.Second
	retryPause    = 500 * time.Millisecond
	// returnSlack is added to the time that a VM is away until its worker is expected back.
	returnSlack = 1500 * time.Millisecond
	// moveVacateLimit is how long a move waits for its VM to be vacated.
	moveVacateLimit = 2500 * time.Millisecond
	// fenceShift leaves room for the numbers of orders below the version of the ownership.
	fenceShift = 20
	// formerOrders is how long after a takeover orders that the former owner had under
	// way may still begin.
	formerOrders = 400 * time.Millisecond
	// backoff is how long a VM is left alone after an order was refused.
	backoff = time.Second
)

type phase uint8

const (
	vacating phase = iota
	ordering
	returning
)

// operation is a decision being carried out.
type operation struct {
	Decision
	machine Machine
	phase   phase
	since   time.Duration
	fence   uint64
	until   time.Duration // End of the phase returning.
	calling bool
}

// Manager carries out moves and waves. All its methods run on the loop.
type Manager struct {
	o       Options
	stopped bool
	closed  bool          // Nothing new begins.
	began   time.Duration // When this process became the owner.

	pools    []string
	spare    string
	waves    map[int64]*waveRecord
	machines []Machine
	listedAt time.Duration
	listSent time.Duration // When the list was asked for.
	listing  bool
	demands  map[string]Demand
	asking   map[string]bool
	// unaccountedAt is when an owner first reported the last of its unaccounted workers.
	unaccountedAt map[string]time.Duration
	operations    map[string]*operation
	rest          map[string]time.Duration // VMs left alone until a time.
	orders        uint64
}

// New returns a manager; Start begins its work.
func New(o Options) (*Manager, error) {
	if o.Fence == 0 || o.Loop == nil || o.Clock == nil || o.Wall == nil || o.Orders == nil || o.Owners == nil || o.Store == nil ||
		o.Recorder == nil || o.HasRight == nil || o.StatusRow == nil {
		return nil, errors.New("maintenance: a dependency is missing")
	}
	return &Manager{
		o: o, waves: map[int64]*waveRecord{}, demands: map[string]Demand{}, asking: map[string]bool{}, unaccountedAt: map[string]time.Duration{},
		operations: map[string]*operation{}, rest: map[string]time.Duration{},
	}, nil
}

// Start begins the work.
func (m *Manager) Start() {
	m.began = m.o.Clock()
	m.tick()
}

// Close ends the planning; answers to orders under way are still taken and recorded.
func (m *Manager) Close() { m.closed = true }

// Idle reports whether no order is under way and all progress is recorded.
func (m *Manager) Idle() bool {
	for _, op := range m.operations {
		if op.calling {
			return false
		}
	}
	for _, w := range m.waves {
		if w.loaded && (w.saving || w.changed) {
			return false
		}
	}
	return true
}

// Stop ends the work; orders under way are settled by the next owner.
func (m *Manager) Stop() { m.stopped = true }

// SetPools takes the pools of the configuration and the one whose VMs are switched off.
func (m *Manager) SetPools(pools []string, spare string) {
	m.pools, m.spare = pools, spare
}

// SetWaves takes the waves that operators asked for.
func (m *Manager) SetWaves(waves []Wave) {
	for _, w := range waves {
		if m.waves[w.Number] == nil {
			m.waves[w.Number] = &waveRecord{Wave: w, done: map[string]bool{}}
			m.loadWave(m.waves[w.Number])
		}
	}
}

func (m *Manager) tick() {
	if m.stopped {
		return
	}
	m.o.Loop.After(tickInterval, m.tick)
	if !m.o.HasRight() {
		return
	}
	now := m.o.Clock()
	if !m.listing && (now-m.listedAt > listInterval || m.wantsList(now)) {
		m.list()
	}
	if !m.closed {
		for _, pool := range m.pools {
			if pool != m.spare {
				m.ask(pool)
			}
		}
		m.advance(now)
		m.plan(now)
	}
	for _, w := range m.waves {
		m.saveWave(w)
	}
}

// wantsList reports whether owners wait to hear which workers have ended.
func (m *Manager) wantsList(now time.Duration) bool {
	if now-m.listedAt < listGap {
		return false
	}
	if !m.knowsFormerOrders() && now-m.began >= formerOrders {
		return true
	}
	for pool, d := range m.demands {
		if len(d.Unaccounted) > 0 && m.listSent < m.unaccountedAt[pool] {
			return true
		}
	}
	return false
}

// knowsFormerOrders reports whether the list shows what former owners ordered.
func (m *Manager) knowsFormerOrders() bool { return m.listSent >= m.began+formerOrders }

func (m *Manager) list() {
	m.listing = true
	sent := m.o.Clock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		machines, err := m.o.Orders.List(ctx)
		m.o.Loop.Post(func() {
			m.listing, m.listedAt = false, m.o.Clock()
			if err != nil {
				m.o.Recorder.Record(eventlog.MachineListFailed, eventlog.Fields{"error": err})
				return
			}
			m.machines, m.listSent = machines, sent
		})
	}()
}

// ask asks a pool's owner for its demand and has workers vacated.
func (m *Manager) ask(pool string) {
	if m.asking[pool] {
		return
	}
	m.asking[pool] = true
	var vacate []worker.ID
	for _, op := range m.operations {
		if op.machine.Pool == pool && op.machine.Worker != "" && op.phase != returning {
			vacate = append(vacate, op.machine.Worker)
		}
	}
	orders := PoolOrders{Vacate: vacate, Ended: m.ended(pool), Due: m.due(pool)}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		demand, err := m.o.Owners.Report(ctx, pool, orders)
		m.o.Loop.Post(func() {
			m.asking[pool] = false
			if err != nil {
				delete(m.demands, pool) // Nothing is decided for a pool without an owner.
				return
			}
			m.noteUnaccounted(pool, demand.Unaccounted)
			m.demands[pool] = demand
		})
	}()
}

func (m *Manager) noteUnaccounted(pool string, ids []worker.ID) {
	for _, id := range ids {
		if !slices.Contains(m.demands[pool].Unaccounted, id) {
			m.unaccountedAt[pool] = m.o.Clock()
			return
		}
	}
}

// ended returns the unaccounted workers of a pool that no VM has, by a list
// that was made after they were reported. A worker is one life of a VM.
func (m *Manager) ended(pool string) (ids []worker.ID) {
	unaccounted := m.demands[pool].Unaccounted
	if len(unaccounted) == 0 || m.listSent < m.unaccountedAt[pool] || len(m.machines) == 0 {
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

// due returns the workers of a pool whose VMs still wait for their upkeep.
func (m *Manager) due(pool string) (ids []worker.ID) {
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

// advance carries operations on.
func (m *Manager) advance(now time.Duration) {
	for name, op := range m.operations {
		if current, ok := m.machine(name); ok && op.phase == vacating {
			op.machine = current
		}
		switch op.phase {
		case vacating:
			m.checkVacated(op, now)
		case returning:
			if now > op.until {
				delete(m.operations, name)
			}
		}
	}
}

func (m *Manager) checkVacated(op *operation, now time.Duration) {
	if op.machine.State != Up {
		delete(m.operations, op.Machine)
		return
	}
	if op.machine.Pool == m.spare || m.demands[op.machine.Pool].Workers[op.machine.Worker].Vacated {
		m.order(op)
		return
	}
	if op.Kind == Move && now-op.since > moveVacateLimit {
		delete(m.operations, op.Machine)
		m.rest[op.Machine] = now + backoff
	}
}

// order gives the order for a vacated VM.
func (m *Manager) order(op *operation) {
	if op.phase != ordering {
		m.orders++
		op.phase, op.fence = ordering, m.o.Fence<<fenceShift+m.orders
	}
	op.calling = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var err error
		if op.Kind == Move {
			err = m.o.Orders.Move(ctx, op.Machine, op.Pool, op.fence)
		} else {
			err = m.o.Orders.Upkeep(ctx, op.Machine, op.Wave, op.fence)
		}
		m.o.Loop.Post(func() { m.ordered(op, err) })
	}()
}

func (m *Manager) ordered(op *operation, err error) {
	op.calling = false
	if m.stopped {
		return
	}
	now := m.o.Clock()
	fields := eventlog.Fields{"machine": op.Machine, "pool": op.machine.Pool, "target": op.Pool, "wave": op.Wave, "reason": op.Reason}
	switch {
	case err == nil:
		m.o.Recorder.Record(eventlog.MachineOrdered, fields)
		m.carriedOut(op, now)
	case errors.Is(err, ErrLimited):
		m.o.Loop.After(retryPause, func() { m.repeat(op) })
	case errors.Is(err, ErrBusy), errors.Is(err, ErrFenced), errors.Is(err, ErrNotDue), errors.Is(err, ErrInvalid):
		fields["error"] = err
		m.o.Recorder.Record(eventlog.MachineOrderRefused, fields)
		delete(m.operations, op.Machine)
		m.rest[op.Machine] = now + backoff
		m.listedAt = 0
	default:
		// The order may have been carried out. It is repeated with the same
		// fence; later orders for the VM carry a higher one.
		fields["error"] = err
		m.o.Recorder.Record(eventlog.MachineOrderUnanswered, fields)
		m.o.Loop.After(retryPause, func() { m.repeat(op) })
	}
}

func (m *Manager) repeat(op *operation) {
	if m.stopped || m.closed || op.calling || m.operations[op.Machine] != op {
		return
	}
	if !m.o.HasRight() {
		m.o.Loop.After(retryPause, func() { m.repeat(op) })
		return
	}
	m.order(op)
}

// carriedOut notes that a VM is away because of an order.
func (m *Manager) carriedOut(op *operation, now time.Duration) {
	op.phase = returning
	away := m.o.MoveTime
	if op.Kind == Upkeep {
		away = m.o.UpkeepTime
		if w := m.waves[op.Wave]; w != nil {
			w.done[op.Machine] = true
			w.changed = true
			m.saveWave(w)
		}
	}
	op.until = now + away + returnSlack
	for i := range m.machines {
		if m.machines[i].Name == op.Machine {
			m.machines[i].State = Moving
			if op.Kind == Move {
				m.machines[i].Pool = op.Pool
			}
		}
	}
}

func (m *Manager) plan(now time.Duration) {
	if len(m.machines) == 0 {
		return
	}
	s := Snapshot{
		Now: now, Machines: m.machines, Spare: m.spare, Demands: m.demands, Pending: map[string]Decision{},
	}
	for name, op := range m.operations {
		s.Pending[name] = op.Decision
	}
	for _, w := range m.waves {
		if w.loaded && !w.completed && m.knowsFormerOrders() {
			s.Waves = append(s.Waves, m.waveState(w, now))
		}
	}
	for _, d := range Plan(s) {
		m.begin(d, now)
	}
}

// begin rechecks a decision and starts to carry it out.
func (m *Manager) begin(d Decision, now time.Duration) {
	machine, ok := m.machine(d.Machine)
	if !ok || machine.State != Up || m.operations[d.Machine] != nil || now < m.rest[d.Machine] {
		return
	}
	op := &operation{Decision: d, machine: machine, since: now}
	m.operations[d.Machine] = op
	if machine.Pool == m.spare {
		m.order(op)
	}
}

// waveState returns what the planner needs of a wave.
func (m *Manager) waveState(w *waveRecord, now time.Duration) WaveState {
	state := WaveState{Wave: w.Wave, Done: w.done, Deadline: now + w.started.Add(w.Period).Sub(m.o.Wall())}
	for _, op := range m.operations {
		if op.Kind == Upkeep && op.Wave == w.Number {
			state.Underway++
		}
	}
	for _, name := range w.Machines {
		// Ordered by a former owner, or away for longer than expected.
		if v, ok := m.machine(name); ok && v.State == InUpkeep && m.operations[name] == nil {
			state.Underway++
		}
	}
	return state
}

var errNotOwner = errors.New("another process owns the fleet")

func (m *Manager) commit(ctx context.Context, set []rows.Row) error {
	result, err := m.o.Store.Commit(ctx, rows.Tx{
		Expect: []rows.Expectation{{Key: m.o.OwnerKey, Version: m.o.Fence}}, Set: set,
	})
	if err != nil {
		return fmt.Errorf("write wave: %w", err)
	}
	if !result.Applied {
		return fmt.Errorf("write wave: %w", errNotOwner)
	}
	return nil
}
