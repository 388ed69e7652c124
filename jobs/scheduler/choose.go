package scheduler

import (
	"slices"

	"peridotcrank.dev/jobs/job"
)

// Node is the scheduler's snapshot of one worker.
type Node struct {
	Free     job.Resources
	Capacity job.Resources
	Rack     string
	Labels   []string
	// MaintenanceDue is set when the worker's VM is due for maintenance. Long-running
	// tasks avoid such a worker, because they would have to be moved soon.
	MaintenanceDue bool
	// Doubtful is set for a worker that is slow, or on which no run has succeeded recently.
	Doubtful bool
}

// Constraint describes the step of a task and restricts the nodes that may run it.
type Constraint struct {
	Step *job.Step
	// TasksOnNode returns the number of the step's tasks that a node already runs.
	TasksOnNode func(node int) int
	// Rack restricts the choice to one rack; empty for any rack.
	Rack string
	// Permits reports whether a node is allowed to run the step; nil allows all nodes.
	Permits func(node int) bool
	// TasksOnRack returns the number of the step's tasks on a node's rack. If set,
	// spreading tasks over racks takes precedence over packing workers tightly.
	TasksOnRack func(node int) int
	// Tier returns a preference that precedes all others, the lowest first; nil if there
	// is none.
	Tier func(node int) int
	// Long is set for tasks that are expected to take long. They avoid nodes that are due
	// for maintenance, as long-running tasks do.
	Long bool
	// Critical is set for tasks that may determine when their job ends. They avoid
	// doubtful nodes.
	Critical bool
}

// None is the index that ChooseNode returns when no node can run the task.
const None = -1

// ChooseNode returns the index of the node for one task of a step, or None.
//
// Among the eligible nodes it prefers, in this order: the lowest tier, if Tier is set;
// the step's preferred rack, where its data is; for a long-running or long task, nodes
// that are not due for maintenance; for a critical task, nodes that are not doubtful; if
// TasksOnRack is set, racks with fewer tasks of the step; and the
// tightest fit, which keeps large blocks of capacity free for large tasks.
func ChooseNode(nodes []Node, c Constraint) int {
	best := None
	var bestRank rank
	for i := range nodes {
		if !IsEligible(&nodes[i], c, i) {
			continue
		}
		r := rankNode(&nodes[i], c, i)
		if best == None || r.less(bestRank) {
			best, bestRank = i, r
		}
	}
	return best
}

// IsEligible reports whether the node with index i has the free resources for a task and
// meets the step's rack, permission, label and per-worker limit.
func IsEligible(n *Node, c Constraint, i int) bool {
	s := c.Step
	reserved := s.ReservedResources()
	switch {
	case !reserved.Fits(n.Free):
		return false
	case c.Rack != "" && n.Rack != c.Rack:
		return false
	case c.Permits != nil && !c.Permits(i):
		return false
	case s.RequiredLabel != "" && !slices.Contains(n.Labels, s.RequiredLabel):
		return false
	case s.MaxPerWorker > 0 && c.TasksOnNode(i) >= s.MaxPerWorker:
		return false
	}
	return true
}

// rank holds the preference criteria for a node, the most important first.
type rank struct {
	tier             int
	offPreferredRack bool
	maintenanceDue   bool
	doubtful         bool
	tasksOnRack      int
	cpuLeft          int64 // Free CPU after the placement, in thousandths of a core.
	memoryLeft       int64 // Free memory after the placement, in MB.
}

func rankNode(n *Node, c Constraint, i int) rank {
	reserved := c.Step.ReservedResources()
	r := rank{
		offPreferredRack: c.Step.PreferredRack != "" && n.Rack != c.Step.PreferredRack,
		maintenanceDue:   (c.Step.LongRunning || c.Long) && n.MaintenanceDue,
		doubtful:         c.Critical && n.Doubtful,
		cpuLeft:          n.Free.CPU - reserved.CPU,
		memoryLeft:       n.Free.MemoryMB - reserved.MemoryMB,
	}
	if c.Tier != nil {
		r.tier = c.Tier(i)
	}
	if c.TasksOnRack != nil {
		r.tasksOnRack = c.TasksOnRack(i)
	}
	return r
}

// less reports whether r is preferred over o.
func (r rank) less(o rank) bool {
	switch {
	case r.tier != o.tier:
		return r.tier < o.tier
	case r.offPreferredRack != o.offPreferredRack:
		return !r.offPreferredRack
	case r.maintenanceDue != o.maintenanceDue:
		return !r.maintenanceDue
	case r.doubtful != o.doubtful:
		return !r.doubtful
	case r.tasksOnRack != o.tasksOnRack:
		return r.tasksOnRack < o.tasksOnRack
	case r.cpuLeft != o.cpuLeft:
		return r.cpuLeft < o.cpuLeft
	}
	return r.memoryLeft < o.memoryLeft
}

// ChooseGangNodes returns the nodes for count tasks of a gang, or nil when they do
// not all fit at the same time. A gang with SameRack is placed on one rack if any
// rack can take all of it, and on several racks otherwise.
func ChooseGangNodes(nodes []Node, s *job.Step, count int, permits func(node int) bool) []int {
	if s.SameRack {
		for _, rack := range rackNames(nodes) {
			if chosen := assignGang(nodes, s, count, rack, permits); chosen != nil {
				return chosen
			}
		}
	}
	return assignGang(nodes, s, count, "", permits)
}

func rackNames(nodes []Node) (names []string) {
	for i := range nodes {
		if !slices.Contains(names, nodes[i].Rack) {
			names = append(names, nodes[i].Rack)
		}
	}
	return names
}

// assignGang places count tasks one by one on a copy of the nodes, and returns the
// chosen nodes, or nil when not all tasks fit. An empty rack allows all racks.
func assignGang(nodes []Node, s *job.Step, count int, rack string, permits func(node int) bool) []int {
	trial := slices.Clone(nodes)
	assigned := make([]int, len(nodes))
	c := Constraint{Step: s, Rack: rack, Permits: permits, TasksOnNode: func(i int) int { return assigned[i] }}
	var chosen []int
	for len(chosen) < count {
		i := ChooseNode(trial, c)
		if i == None {
			return nil
		}
		trial[i].Free = trial[i].Free.Minus(s.ReservedResources())
		assigned[i]++
		chosen = append(chosen, i)
	}
	return chosen
}
