package maintenance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"peridotcrank.dev/jobs/job"
)

// Kind is the kind of a decision.
type Kind uint8

// Kinds of decisions.
const (
	Move Kind = iota + 1
	Upkeep
)

// Decision is an order for one VM.
type Decision struct {
	Machine string
	Kind    Kind
	Pool    string // Target of a move.
	Wave    int64  // Wave of an upkeep.
	Reason  string
}

// Snapshot is what the planner decides from.
type Snapshot struct {
	Now      time.Duration
	Machines []Machine
	// Spare is the pool of VMs that are switched off; empty for none.
	Spare   string
	Demands map[string]Demand
	// Pending are decisions that are being carried out, by VM.
	Pending map[string]Decision
	Waves   []WaveState
}

// WaveState is a wave with what has been done of it.
type WaveState struct {
	Wave
	Done     map[string]bool
	Deadline time.Duration
	// Underway counts VMs whose upkeep was ordered and has not ended.
	Underway int
}

const (
	// utilization is the share of a pool's room that can be filled in practice.
	utilization = 0.9
	// lateShare is the part of the room for late jobs that a pool asks for; they
	// are served when jobs in time leave room.
	lateShare = 0.25
	// minPoolVMs stay in each pool for long-running tasks and single jobs.
	minPoolVMs = 3
	// maxMovesShare bounds the moves under way, as a share of all VMs, and
	// leastMoves from below.
	maxMovesShare = 0.4
	leastMoves    = 24
	// upkeepCycle is about how long a VM takes to be vacated and serviced.
	upkeepCycle = 5 * time.Second
	// emptyingShare is the share of a pool's VMs with long-running tasks that are
	// emptied for a wave at the same time, ahead of what the wave's time requires.
	// Few tasks of a step may be away at once, so that VMs which share its tasks
	// are emptied one after the other.
	emptyingShare = 0.06
	// deadlineReserve is the time before a wave's deadline at which it should be done.
	deadlineReserve = 6 * time.Second
)

// Need returns how many VMs of a capacity a pool's demand fills: what runs and
// waits now, or the rate at which work comes, which rises first.
func Need(d Demand, capacity job.Resources) float64 {
	return max(vms(d.Used.Plus(d.Waiting), capacity)+lateShare*vms(d.Late, capacity), vms(d.Arriving, capacity)) / utilization
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// vms returns the number of VMs that an amount fills.
func vms(r, capacity job.Resources) float64 {
	if capacity.CPU <= 0 || capacity.MemoryMB <= 0 {
		return 0
	}
	return max(float64(r.CPU)/float64(capacity.CPU), float64(r.MemoryMB)/float64(capacity.MemoryMB))
}

// Plan returns the orders to begin now, the upkeeps first.
func Plan(s Snapshot) []Decision {
	p := newPlan(s)
	for i := range s.Waves {
		p.planWave(&s.Waves[i])
	}
	p.planMoves()
	return p.decisions
}

type pool struct {
	name string
	have float64 // VMs that serve it, or will after their move.
	need float64
	// free are VMs that can be given away, idle ones first.
	free []*Machine
}

func (p *pool) deficit() float64 { return p.need - p.have }

// idleRoom is the number of VMs that the pool does not need now.
func (p *pool) idleRoom() float64 { return p.have - p.need }

// surplus is the number of VMs that the pool can give away.
func (p *pool) surplus() float64 { return p.have - max(p.need, minPoolVMs) }

type plan struct {
	s         Snapshot
	pools     map[string]*pool
	byName    map[string]*Machine
	decisions []Decision
	taken     map[string]bool
}

func newPlan(s Snapshot) *plan {
	p := &plan{s: s, pools: map[string]*pool{}, byName: map[string]*Machine{}, taken: map[string]bool{}}
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
		pl.need = Need(d, capacity)
	}
	for _, pl := range p.pools {
		slices.SortStableFunc(pl.free, func(a, b *Machine) int { return cmp.Compare(p.tasks(a), p.tasks(b)) })
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

func (p *plan) addMachine(m *Machine) {
	pending, busy := p.s.Pending[m.Name]
	switch {
	case busy && pending.Kind == Move:
		p.pool(pending.Pool).have++
	case busy || m.State == Down:
		// It serves nobody for now.
	default:
		pl := p.pool(m.Pool)
		pl.have++
		if m.State == Up && p.tasks(m) != unknownTasks {
			pl.free = append(pl.free, m)
		}
	}
}

func (p *plan) isIdle(m *Machine) bool { return p.tasks(m) == 0 }

// unknownTasks marks VMs whose use is not known or that have long-running tasks.
const unknownTasks = -1

// tasks returns the number of tasks on a VM.
func (p *plan) tasks(m *Machine) int {
	if m.Pool == p.s.Spare {
		return 0
	}
	use, ok := p.s.Demands[m.Pool].Workers[m.Worker]
	if !ok || use.Lasting > 0 {
		return unknownTasks
	}
	return use.Tasks
}

// planWave begins upkeeps of a wave: VMs in use only when time requires it.
func (p *plan) planWave(w *WaveState) {
	var left []*Machine
	underway := w.Underway
	for _, name := range w.Machines {
		if pending, ok := p.s.Pending[name]; ok && pending.Kind == Upkeep {
			continue
		}
		m := p.byName[name]
		if m == nil || w.Done[name] || m.State != Up || p.taken[name] {
			continue
		}
		if _, ok := p.s.Pending[name]; !ok {
			left = append(left, m)
		}
	}
	slices.SortStableFunc(left, func(a, b *Machine) int { return cmp.Compare(p.cost(a), p.cost(b)) })
	emptying := p.emptying(w)
	allowed := w.Cap - underway
	due := p.dueNow(w, len(left)) - underway
	waitingFor := 0 // VMs that may take long to empty; those without long-running tasks go on beside them.
	for _, n := range emptying {
		waitingFor += n
	}
	for _, m := range left {
		if allowed <= 0 {
			return
		}
		required := due
		if p.lasting(m) == 0 {
			required += waitingFor
		}
		early := p.mayEmpty(m, emptying)
		if p.cost(m) > 0 && required <= 0 && !early {
			continue
		}
		if early {
			emptying[m.Pool]++
		}
		allowed--
		due--
		p.decide(Decision{Machine: m.Name, Kind: Upkeep, Wave: w.Number, Reason: "due for maintenance"})
	}
}

// lasting returns the number of long-running tasks on a VM.
func (p *plan) lasting(m *Machine) int { return p.s.Demands[m.Pool].Workers[m.Worker].Lasting }

// emptying counts the VMs of a wave, by pool, whose long-running tasks are being moved.
func (p *plan) emptying(w *WaveState) map[string]int {
	n := map[string]int{}
	for _, name := range w.Machines {
		m := p.byName[name]
		if pending, ok := p.s.Pending[name]; ok && pending.Kind == Upkeep && m != nil && p.lasting(m) > 0 {
			n[m.Pool]++
		}
	}
	return n
}

// mayEmpty reports whether a VM with long-running tasks may be emptied ahead of time.
func (p *plan) mayEmpty(m *Machine, emptying map[string]int) bool {
	if p.lasting(m) == 0 || p.isPressed(m) {
		return false
	}
	return emptying[m.Pool] < max(1, int(math.Round(emptyingShare*p.pool(m.Pool).have)))
}

// isPressed reports whether a VM's pool lacks room without it.
func (p *plan) isPressed(m *Machine) bool {
	pl := p.pool(m.Pool)
	return m.Pool != p.s.Spare && pl.have-1 < pl.need
}

// dueNow returns how many VMs of a wave must be under way now to be in time.
func (p *plan) dueNow(w *WaveState, left int) int {
	remaining := w.Deadline - deadlineReserve - p.s.Now
	if remaining <= upkeepCycle {
		return w.Cap
	}
	return int(math.Ceil(float64(left+w.Underway) * float64(upkeepCycle) / float64(remaining)))
}

// cost orders VMs by how much their absence hurts: 0 for idle ones in pools
// with room, then those in use, then those of pools under pressure.
func (p *plan) cost(m *Machine) int {
	cost := 0
	if p.isPressed(m) {
		cost += 4
	}
	if !p.isIdle(m) {
		cost++
		if p.lasting(m) > 0 {
			cost++
		}
	}
	return cost
}

func (p *plan) decide(d Decision) {
	p.decisions = append(p.decisions, d)
	p.taken[d.Machine] = true
	m := p.byName[d.Machine]
	p.pool(m.Pool).have--
	if d.Kind == Move {
		p.pool(d.Pool).have++
	}
}

// planMoves gives VMs to pools whose demand exceeds their room, the greatest
// lack first. A VM with short tasks is vacated first, which takes about a second.
func (p *plan) planMoves() {
	moves := 0
	for _, pending := range p.s.Pending {
		if pending.Kind == Move {
			moves++
		}
	}
	limit := max(leastMoves, int(maxMovesShare*float64(len(p.s.Machines))))
	for ; moves < limit; moves++ {
		to := p.neediest()
		if to == nil {
			p.level(limit - moves)
			return
		}
		m := p.donate(to)
		if m == nil {
			return
		}
		p.decide(Decision{Machine: m.Name, Kind: Move, Pool: to.name, Reason: "demand exceeds the pool's room"})
	}
}

// A pool gives an idle VM to another that has fewer of them by levelShare of its
// size, and by leastLevelGap at least.
const (
	levelShare    = 0.3
	leastLevelGap = 4
)

// level spreads idle VMs over the pools while none lacks room, since the next
// surge may come to any of them and a move takes longer than a job may wait.
func (p *plan) level(limit int) {
	for range limit {
		var most, least *pool
		for _, name := range sortedKeys(p.pools) {
			pl := p.pools[name]
			if name == p.s.Spare {
				continue
			}
			if least == nil || pl.idleRoom() < least.idleRoom() {
				least = pl
			}
			if m := p.nextFree(pl); m != nil && p.isIdle(m) && (most == nil || pl.idleRoom() > most.idleRoom()) {
				most = pl
			}
		}
		if most == nil || most.idleRoom()-least.idleRoom() < max(leastLevelGap, levelShare*most.have) {
			return
		}
		m := p.nextFree(most)
		p.decide(Decision{Machine: m.Name, Kind: Move, Pool: least.name, Reason: "idle VMs are spread over the pools"})
	}
}

// leastDeficit is the lack, in VMs, from which a pool gets one more.
const leastDeficit = 0.5

func (p *plan) neediest() *pool {
	var best *pool
	for _, pl := range p.pools {
		if pl.name == p.s.Spare || pl.deficit() < leastDeficit {
			continue
		}
		if best == nil || pl.deficit() > best.deficit() || pl.deficit() == best.deficit() && pl.name < best.name {
			best = pl
		}
	}
	return best
}

// donate returns the VM with the fewest tasks of the pool with the greatest surplus; VMs that are
// switched off come last, since they cost nothing there.
func (p *plan) donate(to *pool) *Machine {
	var best *pool
	for _, pl := range p.pools {
		if pl == to || pl.name == p.s.Spare || pl.surplus() < 1 || p.nextFree(pl) == nil {
			continue
		}
		if best == nil || pl.surplus() > best.surplus() || pl.surplus() == best.surplus() && pl.name < best.name {
			best = pl
		}
	}
	if best == nil && p.s.Spare != "" {
		best = p.pool(p.s.Spare)
	}
	if best == nil {
		return nil
	}
	return p.nextFree(best)
}

func (p *plan) nextFree(pl *pool) *Machine {
	for _, m := range pl.free {
		if !p.taken[m.Name] {
			return m
		}
	}
	return nil
}
