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

// PollInterval is the time between two reads of the rows while waiting for a phase.
const PollInterval = 10 * time.Millisecond

// Move is a VM in a phase of its move, with the driver of the plan.
type Move struct {
	VM     fleet.VM
	Driver fleet.MemberID
}

// PhaseRebooting is the part of the phase moved in which a reboot is recorded.
const PhaseRebooting fleet.Phase = "rebooting"

// phaseOrder orders the phases of a move. A VM that is reserved but still
// serves comes first.
var phaseOrder = map[fleet.Phase]int{
	fleet.PhaseServing: 0, fleet.PhaseDraining: 1, fleet.PhaseDrained: 2, fleet.PhaseMoved: 3, PhaseRebooting: 4,
	fleet.PhaseRebooted: 5, fleet.PhaseProbed: 6,
}

// Phase returns the phase of the VM.
func (m Move) Phase() fleet.Phase {
	if m.VM.Phase == fleet.PhaseMoved && m.VM.Operation != "" {
		return PhaseRebooting
	}
	return m.VM.Phase
}

// Wanted selects VMs of a plan.
type Wanted struct {
	Plan  fleet.PlanID
	Phase fleet.Phase
	// Later selects VMs in later phases too.
	Later bool
}

func (w Wanted) selects(m Move) bool {
	if m.VM.Plan != w.Plan {
		return false
	}
	return m.Phase() == w.Phase || w.Later && phaseOrder[m.Phase()] > phaseOrder[w.Phase]
}

// Find returns the wanted VMs, once the plan has a driver.
func Find(rows []store.Row, wanted Wanted) ([]Move, error) {
	var driver fleet.MemberID
	var moves []Move
	for _, row := range rows {
		switch {
		case row.Deleted:
		case row.Key == fleet.PlanKey(wanted.Plan):
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
			if move := (Move{VM: vm}); wanted.selects(move) {
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

// Phases reads the rows until ctx ends and reports each wanted VM once. It ends
// early when report returns false.
func Phases(ctx context.Context, table store.Table, wanted Wanted, report func(Move) bool) error {
	reported := make(map[fleet.VMID]bool)
	for {
		moves, err := read(ctx, table, wanted)
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

// read returns nothing while the table service cannot be reached.
func read(ctx context.Context, table store.Table, wanted Wanted) ([]Move, error) {
	snapshot, err := table.Read(ctx, "", 0)
	if err != nil {
		return nil, nil
	}
	return Find(snapshot.Rows, wanted)
}
