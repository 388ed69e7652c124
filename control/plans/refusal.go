package plans

import (
	"fmt"
	"slices"
	"strings"

	"peridotcrank.dev/fleet"
)

// Change is a row that has changed since a plan was computed.
type Change struct {
	Key            string
	Planned, Found uint64 // Versions. Found is 0 when the row does not exist.
	// Conflict is the plan that has reserved the row, if any.
	Conflict fleet.PlanID
	// Step is the index of the conflicting step in that plan: the one that moves the
	// VM, or the first one that changes the pool. -1 when there is none.
	Step int
	// Move is the conflicting step, when Step is not -1.
	Move fleet.MoveStep
}

// String describes the change for operators. Steps count from 1.
func (c Change) String() string {
	s := fmt.Sprintf("%s has changed (version %d when planned, %d now)", c.Key, c.Planned, c.Found)
	switch {
	case c.Found == 0:
		return fmt.Sprintf("%s is gone", c.Key)
	case c.Conflict == "":
		return s
	case c.Step < 0:
		return s + fmt.Sprintf(": plan %s is changing the pool", c.Conflict)
	}
	return s + fmt.Sprintf(": step %d of plan %s moves %s from %s to %s", c.Step+1, c.Conflict, c.Move.VM, c.Move.From, c.Move.To)
}

// RefusedError lists the changed rows because of which a plan was not confirmed.
type RefusedError struct {
	Plan    fleet.PlanID
	Changes []Change
}

// Error implements error.
func (e *RefusedError) Error() string {
	texts := make([]string, len(e.Changes))
	for i, c := range e.Changes {
		texts[i] = c.String()
	}
	return fmt.Sprintf("plan %s refused: %s", e.Plan, strings.Join(texts, "; "))
}

// checkPreconditions returns a *RefusedError if a row has another version than the
// plan's preconditions require, or nil.
func checkPreconditions(s *fleet.Snapshot, plan fleet.Plan) error {
	var changes []Change
	for _, p := range plan.Preconditions {
		found, owner := versionAndOwner(s, p.Key)
		if found == p.Version {
			continue
		}
		c := Change{Key: p.Key, Planned: p.Version, Found: found, Step: -1}
		if owner != plan.ID {
			c.Conflict = owner
		}
		if c.Conflict != "" {
			moves := s.Plans[c.Conflict].Moves
			if c.Step = slices.IndexFunc(moves, changesRow(p.Key)); c.Step >= 0 {
				c.Move = moves[c.Step]
			}
		}
		changes = append(changes, c)
	}
	if len(changes) == 0 {
		return nil
	}
	return &RefusedError{Plan: plan.ID, Changes: changes}
}

// changesRow returns a function that reports whether a step changes the VM or the
// pool with the key.
func changesRow(key string) func(fleet.MoveStep) bool {
	return func(m fleet.MoveStep) bool {
		return key == fleet.VMKey(m.VM) || (m.From != m.To && (key == fleet.PoolKey(m.From) || key == fleet.PoolKey(m.To)))
	}
}

// versionAndOwner returns the version of a VM or pool row and the plan that has
// reserved it. It returns 0 for a row that does not exist.
func versionAndOwner(s *fleet.Snapshot, key string) (uint64, fleet.PlanID) {
	if id, ok := strings.CutPrefix(key, fleet.PrefixVM); ok {
		vm := s.VMs[fleet.VMID(id)]
		return vm.Version, vm.Plan
	}
	if id, ok := strings.CutPrefix(key, fleet.PrefixPool); ok {
		pool := s.Pools[fleet.PoolID(id)]
		return pool.Version, pool.Plan
	}
	return 0, ""
}
