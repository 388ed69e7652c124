package maintenance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker"
)

var vmCapacity = job.Resources{CPU: 32000, MemoryMB: 65536}

// newFleet returns a snapshot of pools with the given numbers of VMs, all up and idle.
func newFleet(sizes map[string]int) Snapshot {
	s := Snapshot{Demands: map[string]Demand{}, Pending: map[string]Decision{}, SparePool: "spare"}
	for _, pool := range []string{"a", "b", "c", "spare"} {
		d := Demand{Workers: map[worker.ID]WorkerUsage{}}
		for i := range sizes[pool] {
			id := worker.ID(fmt.Sprintf("w-%s-%d", pool, i))
			s.Machines = append(s.Machines, Machine{
				Name: fmt.Sprintf("%s-%d", pool, i), Pool: pool, State: Up, Capacity: vmCapacity, Worker: id,
			})
			d.Workers[id] = WorkerUsage{}
		}
		if pool != "spare" {
			s.Demands[pool] = d
		}
	}
	return s
}

func setWaitingCores(s Snapshot, pool string, cores int64) {
	d := s.Demands[pool]
	d.Waiting = job.Resources{CPU: cores * 1000}
	s.Demands[pool] = d
}

func countDecisions(decisions []Decision, kind Kind, pool string) (n int) {
	for _, d := range decisions {
		if d.Kind == kind && d.Pool == pool {
			n++
		}
	}
	return n
}

// Guards against a surge that gets no idle VMs from other pools.
func TestSurgeGetsIdleVMs(t *testing.T) {
	s := newFleet(map[string]int{"a": 9, "b": 9, "c": 9, "spare": 8})
	setWaitingCores(s, "a", 700)
	decisions := Plan(s)
	assert.Equal(t, countDecisions(decisions, Move, "spare"), 0)
	assert.Equal(t, countDecisions(decisions, Move, "a"), 15) // 700 cores fill 24.3 VMs at 90 %.
	for _, d := range decisions {
		assert.Assert(t, d.Machine[0] != 'a')
	}
}

// Guards against idle VMs that all remain in one pool after its surge has ended.
func TestIdleVMsAreSpread(t *testing.T) {
	s := newFleet(map[string]int{"a": 20, "b": 3, "c": 4})
	left := map[string]int{"a": 20, "b": 3, "c": 4}
	for _, d := range Plan(s) {
		left[d.Machine[:1]]--
		left[d.Pool]++
	}
	assert.Assert(t, left["a"] < 12 && left["b"] > 7 && left["c"] > 7, "%v", left)
}

// Guards against pools that give away the VMs they need.
func TestPoolsKeepWhatTheyNeed(t *testing.T) {
	s := newFleet(map[string]int{"a": 9, "b": 9, "c": 9})
	setWaitingCores(s, "a", 700)
	setWaitingCores(s, "b", 250)
	left := map[string]int{"b": 9, "c": 9}
	for _, d := range Plan(s) {
		left[d.Machine[:1]]--
	}
	assert.Equal(t, left["b"], 9)
	assert.Equal(t, left["c"], minPoolVMs)
}

// Guards against moves of VMs that run long-running tasks or whose usage is not known.
func TestVMsInUseStay(t *testing.T) {
	s := newFleet(map[string]int{"a": 2, "b": 9})
	setWaitingCores(s, "a", 900)
	for i := range 9 {
		id := worker.ID(fmt.Sprintf("w-b-%d", i))
		s.Demands["b"].Workers[id] = WorkerUsage{Tasks: 1, LongRunning: 1}
	}
	assert.Equal(t, len(Plan(s)), 0)
	delete(s.Demands["b"].Workers, "w-b-0")
	assert.Equal(t, len(Plan(s)), 0)
}

// Guards against more VMs of a wave in maintenance at once than its cap, and against
// servicing VMs in use before the wave's deadline requires it.
func TestWaveKeepsItsCap(t *testing.T) {
	s := newFleet(map[string]int{"a": 9, "b": 9})
	names := []string{}
	for i, m := range s.Machines {
		names = append(names, m.Name)
		if m.Pool == "a" {
			s.Demands["a"].Workers[worker.ID(fmt.Sprintf("w-a-%d", i))] = WorkerUsage{Tasks: 3}
		}
	}
	w := WaveState{Wave: Wave{Number: 1, Machines: names, Cap: 4}, Done: map[string]bool{}, Deadline: time.Hour}
	s.Waves = []WaveState{w}
	decisions := Plan(s)
	assert.Equal(t, countDecisions(decisions, Maintain, ""), 4)
	for _, d := range decisions {
		assert.Equal(t, d.Machine[0], byte('b'))
	}
	s.Waves[0].InProgress = 3
	assert.Equal(t, countDecisions(Plan(s), Maintain, ""), 1)
	s.Waves[0].InProgress, s.Waves[0].Deadline = 0, deadlineMargin
	assert.Equal(t, countDecisions(Plan(s), Maintain, ""), 4)
}

// Guards against a wave that vacates VMs with long-running tasks only near its
// deadline and misses it, because few of their tasks may be disrupted at once; against
// vacating too many of them at once; and against vacating in a pool without headroom.
func TestWaveVacatesVMsEarly(t *testing.T) {
	s := newFleet(map[string]int{"a": 50, "b": 50})
	names := []string{}
	for _, m := range s.Machines {
		names = append(names, m.Name)
		s.Demands[m.Pool].Workers[m.Worker] = WorkerUsage{Tasks: 2, LongRunning: 2}
	}
	s.Waves = []WaveState{{Wave: Wave{Number: 1, Machines: names, Cap: 40}, Done: map[string]bool{}, Deadline: time.Hour}}
	perPool := map[byte]int{}
	for _, d := range Plan(s) {
		perPool[d.Machine[0]]++
		s.Pending[d.Machine] = d
	}
	assert.DeepEqual(t, perPool, map[byte]int{'a': 3, 'b': 3})
	s.Waves[0].InProgress = 6
	assert.Equal(t, len(Plan(s)), 0)
	s.Pending, s.Waves[0].InProgress = map[string]Decision{}, 0
	setWaitingCores(s, "a", 5000)
	assert.Equal(t, countDecisions(Plan(s), Maintain, ""), 3)
}

// Guards against a second order for a VM while an earlier one is being carried out.
func TestPendingVMsAreLeftAlone(t *testing.T) {
	s := newFleet(map[string]int{"a": 1, "b": 4})
	setWaitingCores(s, "a", 60)
	s.Pending["b-0"] = Decision{Machine: "b-0", Kind: Move, Pool: "a"}
	decisions := Plan(s)
	assert.Equal(t, len(decisions), 0, "%v", decisions) // The VM being moved is enough for a, and b keeps three.
}
