package watch

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/store"
)

// PollInterval is the time between two reads of the rows while waiting for a phase.
const PollInterval = 10 * time.Millisecond

// Move is a VM in a phase of its move, with the driver of the plan.
type Move struct {
	VM     fleet.VM
	Driver fleet.MemberID
}

// phaseOrder orders the phases of a move. A VM that is reserved but still
// serves comes first.
var phaseOrder = map[fleet.Phase]int{
	fleet.PhaseServing: 0, fleet.PhaseDraining: 1, fleet.PhaseDrained: 2, fleet.PhaseMoved: 3, fleet.PhaseRebooted: 4, fleet.PhaseProbed: 5,
}

// Find returns a VM of the plan that has reached at least the phase, when the
// plan has a driver.
func Find(rows []store.Row, plan fleet.PlanID, phase fleet.Phase) (Move, bool, error) {
	var driver fleet.MemberID
	var found *fleet.VM
	for _, row := range rows {
		switch {
		case row.Deleted:
		case row.Key == fleet.PlanKey(plan):
			var p fleet.Plan
			if err := json.Unmarshal(row.Value, &p); err != nil {
				return Move{}, false, fmt.Errorf("decode %s: %w", row.Key, err)
			}
			driver = p.Driver
		case len(row.Key) > len(fleet.PrefixVM) && row.Key[:len(fleet.PrefixVM)] == fleet.PrefixVM:
			var vm fleet.VM
			if err := json.Unmarshal(row.Value, &vm); err != nil {
				return Move{}, false, fmt.Errorf("decode %s: %w", row.Key, err)
			}
			if vm.Plan == plan && phaseOrder[vm.Phase] >= phaseOrder[phase] {
				found = &vm
			}
		}
	}
	if found == nil || driver == "" {
		return Move{}, false, nil
	}
	return Move{VM: *found, Driver: driver}, true, nil
}

// AwaitPhase reads the rows until Find succeeds.
func AwaitPhase(ctx context.Context, table store.Table, plan fleet.PlanID, phase fleet.Phase) (Move, error) {
	for {
		snapshot, err := table.Read(ctx, "", 0)
		if err == nil {
			move, found, err := Find(snapshot.Rows, plan, phase)
			if found || err != nil {
				return move, err
			}
		}
		select {
		case <-ctx.Done():
			return Move{}, fmt.Errorf("no VM of plan %s reached phase %s: %w", plan, phase, ctx.Err())
		case <-time.After(PollInterval):
		}
	}
}
