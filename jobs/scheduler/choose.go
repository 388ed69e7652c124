package scheduler

import (
	"slices"

	"peridotcrank.dev/jobs/job"
)

// Node is a worker as the scheduler sees it.
type Node struct {
	Free     job.Resources
	Capacity job.Resources
	Rack     string
	Labels   []string
	// Due is set for a worker whose VM is due for maintenance. Long-running tasks
	// avoid it, since they would have to be moved soon.
	Due bool
}

// Constraint narrows the choice for one task.
type Constraint struct {
	Step *job.Step
	// OnNode returns the tasks of the step that a node already has.
	OnNode func(node int) int
	// Rack restricts the choice to one rack; empty for any.
	Rack string
	// Permits reports whether a node may run the step; nil for all.
	Permits func(node int) bool
	// Spread prefers racks with few tasks of the step over full workers.
	Spread func(node int) int
}

// None is returned when no worker fits.
const None = -1

// Choose returns the worker for one task of a step, or None.
//
// Among the workers that fit, it prefers those near the data, then, for a
// long-running task, those that are not due for maintenance, then few tasks of the
// step on the rack where that matters, and then the tightest fit, so that large
// tasks find room elsewhere.
func Choose(nodes []Node, c Constraint) int {
	best := None
	var bestRank rank
	for i := range nodes {
		if !fits(&nodes[i], c, i) {
			continue
		}
		r := rankOf(&nodes[i], c, i)
		if best == None || r.less(bestRank) {
			best, bestRank = i, r
		}
	}
	return best
}

func fits(n *Node, c Constraint, i int) bool {
	s := c.Step
	charge := s.ReservedResources()
	switch {
	case !charge.Fits(n.Free):
		return false
	case c.Rack != "" && n.Rack != c.Rack:
		return false
	case c.Permits != nil && !c.Permits(i):
		return false
	case s.RequiredLabel != "" && !slices.Contains(n.Labels, s.RequiredLabel):
		return false
	case s.MaxPerWorker > 0 && c.OnNode(i) >= s.MaxPerWorker:
		return false
	}
	return true
}

type rank struct {
	far    bool
	due    bool
	spread int
	left   int64 // Processor left after the placement, in thousandths of a core.
	memory int64 // Memory left after the placement, in MB.
}

func rankOf(n *Node, c Constraint, i int) rank {
	charge := c.Step.ReservedResources()
	r := rank{
		far:    c.Step.PreferredRack != "" && n.Rack != c.Step.PreferredRack,
		due:    c.Step.LongRunning && n.Due,
		left:   n.Free.CPU - charge.CPU,
		memory: n.Free.MemoryMB - charge.MemoryMB,
	}
	if c.Spread != nil {
		r.spread = c.Spread(i)
	}
	return r
}

func (r rank) less(o rank) bool {
	switch {
	case r.far != o.far:
		return !r.far
	case r.due != o.due:
		return !r.due
	case r.spread != o.spread:
		return r.spread < o.spread
	case r.left != o.left:
		return r.left < o.left
	}
	return r.memory < o.memory
}

// ChooseAll returns workers for count tasks of a gang, or nil when they do not
// all fit at once. Tasks that belong on one rack are placed there where possible.
func ChooseAll(nodes []Node, s *job.Step, count int, permits func(node int) bool) []int {
	if s.SameRack {
		for _, rack := range racks(nodes) {
			if chosen := fill(nodes, s, count, rack, permits); chosen != nil {
				return chosen
			}
		}
	}
	return fill(nodes, s, count, "", permits)
}

func racks(nodes []Node) (names []string) {
	for i := range nodes {
		if !slices.Contains(names, nodes[i].Rack) {
			names = append(names, nodes[i].Rack)
		}
	}
	return names
}

func fill(nodes []Node, s *job.Step, count int, rack string, permits func(node int) bool) []int {
	trial := slices.Clone(nodes)
	taken := make([]int, len(nodes))
	c := Constraint{Step: s, Rack: rack, Permits: permits, OnNode: func(i int) int { return taken[i] }}
	var chosen []int
	for len(chosen) < count {
		i := Choose(trial, c)
		if i == None {
			return nil
		}
		trial[i].Free = trial[i].Free.Minus(s.ReservedResources())
		taken[i]++
		chosen = append(chosen, i)
	}
	return chosen
}
