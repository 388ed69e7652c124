package maintenance

import (
	"errors"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/loop"
	"peridotcrank.dev/jobs/rows"
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
	tickInterval = 200 * time.Millisecond
	callTimeout  = 1500 * time.Millisecond
	storeTimeout = time.Second
	retryDelay   = 500 * time.Millisecond
)

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
	// reportRequestedAt is when the report in demands was requested, by pool.
	reportRequestedAt map[string]time.Duration
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
		o: o, waves: map[int64]*waveProgress{}, demands: map[string]Demand{}, reportInFlight: map[string]bool{}, reportRequestedAt: map[string]time.Duration{}, unaccountedAt: map[string]time.Duration{},
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
			m.waves[w.Number] = newWaveProgress(w)
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

// planAndBegin runs the planner and starts the operations that it decides.
func (m *Manager) planAndBegin(now time.Duration) {
	if len(m.machines) == 0 {
		return
	}
	var active []*waveProgress
	for _, w := range m.waves {
		// The list shows which orders of former owners were carried out, the progress which
		// may be carried out later.
		if w.loaded && !w.completed && m.listIsCurrent() {
			active = append(active, w)
			m.repeatUnanswered(w, now)
		}
	}
	s := Snapshot{
		Now: now, Machines: m.machines, SparePool: m.sparePool, Demands: m.demands, Pending: map[string]Decision{},
	}
	for name, op := range m.operations {
		s.Pending[name] = op.Decision
	}
	for _, w := range active {
		s.Waves = append(s.Waves, m.waveState(w, now))
	}
	for _, d := range Plan(s) {
		m.startOperation(d, now)
	}
}
