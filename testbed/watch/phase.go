package watch

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/store"
)

// PollInterval is the time between two reads of the rows in WatchPhases.
const PollInterval = 10 * time.Millisecond

// Move is a VM that a plan moves, with the driver of the plan.
type Move struct {
	VM     fleet.VM
	Driver fleet.MemberID
}

// PhaseRebooting is the part of the phase moved after a reboot operation has been recorded in the VM's row.
const PhaseRebooting fleet.Phase = "rebooting"

// phaseOrder orders the phases of a move. A VM that is reserved but still
// serves comes first.
var phaseOrder = map[fleet.Phase]int{
	fleet.PhaseServing: 0, fleet.PhaseDraining: 1, fleet.PhaseDrained: 2, fleet.PhaseMoved: 3, PhaseRebooting: 4,
	fleet.PhaseRebooted: 5, fleet.PhaseProbed: 6,
}

// Phase returns the phase of the VM, with PhaseRebooting as a phase of its own.
func (m Move) Phase() fleet.Phase {
	if m.VM.Phase == fleet.PhaseMoved && m.VM.Operation != "" {
		return PhaseRebooting
	}
	return m.VM.Phase
}

// MoveFilter selects the VMs of a plan that are in a phase.
type MoveFilter struct {
	Plan  fleet.PlanID
	Phase fleet.Phase
	// IncludeLater also selects VMs in later phases.
	IncludeLater bool
}

func (f MoveFilter) matches(m Move) bool {
	if m.VM.Plan != f.Plan {
		return false
	}
	return m.Phase() == f.Phase || f.IncludeLater && phaseOrder[m.Phase()] > phaseOrder[f.Phase]
}

// FindMoves returns the VMs that the filter selects, or none while the plan has no driver.
// It returns an error for a row that cannot be decoded.
func FindMoves(rows []store.Row, filter MoveFilter) ([]Move, error) {
	var driver fleet.MemberID
	var moves []Move
	for _, row := range rows {
		switch {
		case row.Deleted:
		case row.Key == fleet.PlanKey(filter.Plan):
			var p fleet.Plan
			if err := json.Unmarshal(row.Value, &p); err != nil {
				return nil, fmt.Errorf("decode %s: %w", row.Key, err)
			}
			driver = p.Driver
		case strings.HasPrefix(row.Key, fleet.PrefixVM):
			var vm fleet.VM
			if err := json.Unmarshal(row.Value, &vm); err != nil {
				return nil, fmt.Errorf("decode %s: %w", row.Key, err)
			}
			if move := (Move{VM: vm}); filter.matches(move) {
				moves = append(moves, move)
			}
		}
	}
	if driver == "" {
		return nil, nil
	}
	for i := range moves {
		moves[i].Driver = driver
	}
	return moves, nil
}

// WatchPhases reads the rows every PollInterval until ctx ends, and reports each VM that the filter
// selects once. It returns early when report returns false, or with an error when a row
// cannot be decoded.
func WatchPhases(ctx context.Context, table store.Table, filter MoveFilter, report func(Move) bool) error {
	reported := make(map[fleet.VMID]bool)
	for {
		moves, err := readMoves(ctx, table, filter)
		if err != nil {
			return err
		}
		for _, move := range moves {
			if reported[move.VM.ID] {
				continue
			}
			reported[move.VM.ID] = true
			if !report(move) {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(PollInterval):
		}
	}
}

// readMoves reads the rows and returns the selected VMs, or none while the table service is unreachable.
func readMoves(ctx context.Context, table store.Table, filter MoveFilter) ([]Move, error) {
	snapshot, err := table.Read(ctx, "", 0)
	if err != nil {
		return nil, nil
	}
	return FindMoves(snapshot.Rows, filter)
}
