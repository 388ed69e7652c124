package maintenance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"peridotcrank.dev/jobs/job"
)

// Kind is the type of order that a decision asks for.
type Kind uint8

// Kinds of decisions.
const (
	Move Kind = iota + 1
	Maintain
)

// Decision says which order to give for one VM, and why.
type Decision struct {
	Machine string
	Kind    Kind
	Pool    string // Target of a move.
	Wave    int64  // Wave that the maintenance belongs to.
	Reason  string
}

// Snapshot is the input of the planner.
type Snapshot struct {
	Now      time.Duration
	Machines []Machine
	// SparePool is the pool of switched-off VMs. It is empty if there is none.
	SparePool string
	Demands   map[string]Demand
	// Pending holds the decisions that are being carried out, by VM name.
	Pending map[string]Decision
	Waves   []WaveState
}

// WaveState is a wave and its progress.
type WaveState struct {
	Wave
	Done     map[string]bool
	Deadline time.Duration
	// InProgress counts the VMs whose maintenance was decided and has not ended.
	InProgress int
}

const (
	// usableShare is the share of a pool's capacity that tasks can fill in practice.
	usableShare = 0.9
	// lateDemandWeight is the share of the demand of late jobs that counts towards a
	// pool's requirement. Late jobs run on capacity that jobs still in time do
	// not use.
	lateDemandWeight = 0.25
	// minPoolVMs remain in each pool for long-running tasks and single jobs.
	minPoolVMs = 3
	// moveLimitShare limits the moves in progress to a share of all VMs. The limit is at
	// least minMoveLimit.
	moveLimitShare = 0.4
	minMoveLimit   = 24
	// maintenanceCycle is the approximate time to vacate and service a VM.
	maintenanceCycle = 5 * time.Second
	// earlyVacateShare is the share of a pool's VMs that are vacated of long-running
	// tasks at the same time, earlier than the wave's deadline requires. Only a few
	// tasks of a step may be disrupted at once, so VMs that run tasks of the same
	// step are vacated one after the other.
	earlyVacateShare = 0.06
	// deadlineMargin is how long before its deadline a wave is planned to end.
	deadlineMargin = 6 * time.Second
)

// RequiredVMs returns the number of VMs of the given capacity that a pool needs. It is
// the larger of two demands: running and waiting jobs, and the arrival rate, which
// rises first in a surge.
func RequiredVMs(d Demand, capacity job.Resources) float64 {
	return max(vmEquivalents(d.Used.Plus(d.Waiting), capacity)+lateDemandWeight*vmEquivalents(d.Late, capacity), vmEquivalents(d.ArrivalRate, capacity)) / usableShare
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// vmEquivalents returns how many VMs of the given capacity the resources fill.
func vmEquivalents(r, capacity job.Resources) float64 {
	if capacity.CPU <= 0 || capacity.MemoryMB <= 0 {
		return 0
	}
	return max(float64(r.CPU)/float64(capacity.CPU), float64(r.MemoryMB)/float64(capacity.MemoryMB))
}

// Plan returns the decisions to start now, maintenance before moves.
func Plan(s Snapshot) []Decision {
	p := newPlan(s)
	for i := range s.Waves {
		p.planWave(&s.Waves[i])
	}
	p.planMoves()
	return p.decisions
}

type pool struct {
	name     string
	assigned float64 // VMs that serve the pool or are moving to it.
	required float64
	// movable lists the VMs that another pool can take, idle ones first.
	movable []*Machine
}

func (p *pool) deficit() float64 { return p.required - p.assigned }

// headroom returns the number of VMs beyond the pool's current requirement.
func (p *pool) headroom() float64 { return p.assigned - p.required }

// surplus returns the number of VMs that other pools can take.
func (p *pool) surplus() float64 { return p.assigned - max(p.required, minPoolVMs) }

type plan struct {
	s         Snapshot
	pools     map[string]*pool
	byName    map[string]*Machine
	decisions []Decision
	decided   map[string]bool // VMs that have a decision in this plan.
}

func newPlan(s Snapshot) *plan {
	p := &plan{s: s, pools: map[string]*pool{}, byName: map[string]*Machine{}, decided: map[string]bool{}}
	for name := range s.Demands {
		p.pool(name)
	}
	var capacity job.Resources
	for i := range s.Machines {
		m := &s.Machines[i]
		p.byName[m.Name] = m
		capacity = m.Capacity
		p.addMachine(m)
	}
	for name, d := range s.Demands {
		pl := p.pool(name)
		pl.required = RequiredVMs(d, capacity)
	}
	for _, pl := range p.pools {
		slices.SortStableFunc(pl.movable, func(a, b *Machine) int { return cmp.Compare(p.taskCount(a), p.taskCount(b)) })
	}
	return p
}

func (p *plan) pool(name string) *pool {
	pl := p.pools[name]
	if pl == nil {
		pl = &pool{name: name}
		p.pools[name] = pl
	}
	return pl
}

// addMachine counts a VM for the pool that it serves or moves to.
func (p *plan) addMachine(m *Machine) {
	pending, busy := p.s.Pending[m.Name]
	switch {
	case busy && pending.Kind == Move:
		p.pool(pending.Pool).assigned++
	case busy || m.State == Down:
		// The VM serves no pool while it is in maintenance or down.
	default:
		pl := p.pool(m.Pool)
		pl.assigned++
		if m.State == Up && p.taskCount(m) != notMovable {
			pl.movable = append(pl.movable, m)
		}
	}
}

func (p *plan) isIdle(m *Machine) bool { return p.taskCount(m) == 0 }

// notMovable is the task count of VMs that must not move: their usage is not known,
// or they run long-running tasks.
const notMovable = -1

// taskCount returns the number of tasks on a VM, or notMovable.
func (p *plan) taskCount(m *Machine) int {
	if m.Pool == p.s.SparePool {
		return 0
	}
	usage, ok := p.s.Demands[m.Pool].Workers[m.Worker]
	if !ok || usage.LongRunning > 0 {
		return notMovable
	}
	return usage.Tasks
}

// planWave decides which VMs of a wave to service now. VMs in use are selected only
// when the wave would otherwise miss its deadline, or to vacate a few VMs with
// long-running tasks early.
func (p *plan) planWave(w *WaveState) {
	var candidates []*Machine
	inProgress := w.InProgress
	for _, name := range w.Machines {
		if pending, ok := p.s.Pending[name]; ok && pending.Kind == Maintain {
			continue
		}
		m := p.byName[name]
		if m == nil || w.Done[name] || m.State != Up || p.decided[name] {
			continue
		}
		if _, ok := p.s.Pending[name]; !ok {
			candidates = append(candidates, m)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *Machine) int { return cmp.Compare(p.disruptionRank(a), p.disruptionRank(b)) })
	vacatingByPool := p.vacatingByPool(w)
	freeSlots := w.Cap - inProgress
	shortfall := p.requiredInProgress(w, len(candidates)) - inProgress
	// VMs with long-running tasks may take long to vacate. They do not count as in
	// progress for the other VMs, so that these are serviced meanwhile.
	slowVacating := 0
	for _, n := range vacatingByPool {
		slowVacating += n
	}
	for _, m := range candidates {
		if freeSlots <= 0 {
			return
		}
		missing := shortfall
		if p.longRunning(m) == 0 {
			missing += slowVacating
		}
		early := p.canVacateEarly(m, vacatingByPool)
		if p.disruptionRank(m) > 0 && missing <= 0 && !early {
			continue
		}
		if early {
			vacatingByPool[m.Pool]++
		}
		freeSlots--
		shortfall--
		p.addDecision(Decision{Machine: m.Name, Kind: Maintain, Wave: w.Number, Reason: "due for maintenance"})
	}
}

// longRunning returns the number of long-running tasks on a VM, 0 if not known.
func (p *plan) longRunning(m *Machine) int { return p.s.Demands[m.Pool].Workers[m.Worker].LongRunning }

// vacatingByPool counts, by pool, the VMs of a wave that are being vacated and still
// run long-running tasks.
func (p *plan) vacatingByPool(w *WaveState) map[string]int {
	n := map[string]int{}
	for _, name := range w.Machines {
		m := p.byName[name]
		if pending, ok := p.s.Pending[name]; ok && pending.Kind == Maintain && m != nil && p.longRunning(m) > 0 {
			n[m.Pool]++
		}
	}
	return n
}

// canVacateEarly reports whether a VM with long-running tasks can be vacated before
// the wave's deadline requires it.
func (p *plan) canVacateEarly(m *Machine, vacatingByPool map[string]int) bool {
	if p.longRunning(m) == 0 || p.isNeeded(m) {
		return false
	}
	return vacatingByPool[m.Pool] < max(1, int(math.Round(earlyVacateShare*p.pool(m.Pool).assigned)))
}

// isNeeded reports whether the VM's pool would have too little capacity without it.
func (p *plan) isNeeded(m *Machine) bool {
	pl := p.pool(m.Pool)
	return m.Pool != p.s.SparePool && pl.assigned-1 < pl.required
}

// requiredInProgress returns how many VMs of a wave must be in progress now for the
// wave to meet its deadline.
func (p *plan) requiredInProgress(w *WaveState, outstanding int) int {
	timeLeft := w.Deadline - deadlineMargin - p.s.Now
	if timeLeft <= maintenanceCycle {
		return w.Cap
	}
	return int(math.Ceil(float64(outstanding+w.InProgress) * float64(maintenanceCycle) / float64(timeLeft)))
}

// disruptionRank ranks a VM by the disruption that its absence causes: 0 for idle VMs
// of pools with enough capacity, then VMs in use, then VMs that their pool needs.
func (p *plan) disruptionRank(m *Machine) int {
	disruptionRank := 0
	if p.isNeeded(m) {
		disruptionRank += 4
	}
	if !p.isIdle(m) {
		disruptionRank++
		if p.longRunning(m) > 0 {
			disruptionRank++
		}
	}
	return disruptionRank
}

// addDecision adds a decision and updates the VM counts of the pools.
func (p *plan) addDecision(d Decision) {
	p.decisions = append(p.decisions, d)
	p.decided[d.Machine] = true
	m := p.byName[d.Machine]
	p.pool(m.Pool).assigned--
	if d.Kind == Move {
		p.pool(d.Pool).assigned++
	}
}

// planMoves assigns VMs to pools whose demand exceeds their capacity, the largest
// deficit first. A VM with short tasks is vacated before its move, which takes
// about a second.
func (p *plan) planMoves() {
	moves := 0
	for _, pending := range p.s.Pending {
		if pending.Kind == Move {
			moves++
		}
	}
	limit := max(minMoveLimit, int(moveLimitShare*float64(len(p.s.Machines))))
	for ; moves < limit; moves++ {
		to := p.largestDeficit()
		if to == nil {
			p.balanceIdleVMs(limit - moves)
			return
		}
		m := p.selectDonorVM(to)
		if m == nil {
			return
		}
		p.addDecision(Decision{Machine: m.Name, Kind: Move, Pool: to.name, Reason: "demand exceeds the capacity of the target pool"})
	}
}

// An idle VM moves to another pool when the difference in headroom, in VMs, is at
// least balanceShare of the giving pool's size and at least minBalanceGap.
const (
	balanceShare  = 0.3
	minBalanceGap = 4
)

// balanceIdleVMs spreads idle VMs over the pools while no pool has a deficit. The next
// surge can hit any pool, and a move takes longer than a job can wait.
func (p *plan) balanceIdleVMs(limit int) {
	for range limit {
		var most, least *pool
		for _, name := range sortedKeys(p.pools) {
			pl := p.pools[name]
			if name == p.s.SparePool {
				continue
			}
			if least == nil || pl.headroom() < least.headroom() {
				least = pl
			}
			if m := p.nextMovable(pl); m != nil && p.isIdle(m) && (most == nil || pl.headroom() > most.headroom()) {
				most = pl
			}
		}
		if most == nil || most.headroom()-least.headroom() < max(minBalanceGap, balanceShare*most.assigned) {
			return
		}
		m := p.nextMovable(most)
		p.addDecision(Decision{Machine: m.Name, Kind: Move, Pool: least.name, Reason: "idle VMs are balanced across the pools"})
	}
}

// minDeficit is the deficit, in VMs, from which a pool gets one more.
const minDeficit = 0.5

// largestDeficit returns the pool with the largest deficit of at least minDeficit VMs,
// or nil.
func (p *plan) largestDeficit() *pool {
	var best *pool
	for _, pl := range p.pools {
		if pl.name == p.s.SparePool || pl.deficit() < minDeficit {
			continue
		}
		if best == nil || pl.deficit() > best.deficit() || pl.deficit() == best.deficit() && pl.name < best.name {
			best = pl
		}
	}
	return best
}

// selectDonorVM returns the VM with the fewest tasks of the pool with the largest
// surplus. Switched-off VMs come last, because they cost nothing in the spare pool.
func (p *plan) selectDonorVM(to *pool) *Machine {
	var best *pool
	for _, pl := range p.pools {
		if pl == to || pl.name == p.s.SparePool || pl.surplus() < 1 || p.nextMovable(pl) == nil {
			continue
		}
		if best == nil || pl.surplus() > best.surplus() || pl.surplus() == best.surplus() && pl.name < best.name {
			best = pl
		}
	}
	if best == nil && p.s.SparePool != "" {
		best = p.pool(p.s.SparePool)
	}
	if best == nil {
		return nil
	}
	return p.nextMovable(best)
}

// nextMovable returns the first movable VM of a pool that has no decision yet, or nil.
func (p *plan) nextMovable(pl *pool) *Machine {
	for _, m := range pl.movable {
		if !p.decided[m.Name] {
			return m
		}
	}
	return nil
}
