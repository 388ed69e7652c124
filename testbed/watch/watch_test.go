package watch

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/store"
)

// Guards against a check that misses a new process which becomes ready with an older configuration,
// or a process that reverts to one.
func TestVersionsReportOlderConfigurations(t *testing.T) {
	v := NewVersionCheck()
	v.RecordReady("a", 1)
	v.RecordInForce(2)
	v.RecordReady("a", 2)
	v.RecordReady("b", 3)
	assert.Equal(t, len(v.Findings), 0, "%v", v.Findings)
	v.RecordReady("c", 1) // A new process with a version older than the one in force.
	assert.Equal(t, len(v.Findings), 1, "%v", v.Findings)
	v.RecordReady("b", 2) // Not older than the version in force, but older than its own.
	assert.Equal(t, len(v.Findings), 2, "%v", v.Findings)
	assert.Equal(t, v.Samples, 5)
}

func newRow(t *testing.T, key string, value any) store.Row {
	data, err := json.Marshal(value)
	assert.NilError(t, err)
	return store.Row{Key: key, Value: data}
}

// Guards against a fault that is injected at another phase than the one that the case names.
func TestFindMovesSelectsPhase(t *testing.T) {
	rows := func(vm fleet.VM, driver fleet.MemberID) []store.Row {
		vm.ID = "vm-1"
		return []store.Row{
			newRow(t, fleet.PlanKey("p"), fleet.Plan{ID: "p", Driver: driver}),
			newRow(t, fleet.VMKey("vm-1"), vm),
			newRow(t, fleet.VMKey("vm-2"), fleet.VM{ID: "vm-2", Phase: fleet.PhaseMoved, Plan: "other"}),
		}
	}
	moved := fleet.VM{Phase: fleet.PhaseMoved, Plan: "p"}
	rebooting := fleet.VM{Phase: fleet.PhaseMoved, Plan: "p", Operation: "o"}
	for name, c := range map[string]struct {
		rows         []store.Row
		exact, later bool
	}{
		"in the phase":      {rows(moved, "entry-1"), true, true},
		"in a later phase":  {rows(rebooting, "entry-1"), false, true},
		"in a former phase": {rows(fleet.VM{Phase: fleet.PhaseDrained, Plan: "p"}, "entry-1"), false, false},
		"in no plan":        {rows(fleet.VM{Phase: fleet.PhaseMoved}, "entry-1"), false, false},
		"without a driver":  {rows(moved, ""), false, false},
	} {
		for later, want := range map[bool]bool{false: c.exact, true: c.later} {
			moves, err := FindMoves(c.rows, MoveFilter{Plan: "p", Phase: fleet.PhaseMoved, IncludeLater: later})
			assert.NilError(t, err)
			assert.Equal(t, len(moves) == 1, want, "%s: %v", name, moves)
			for _, move := range moves {
				assert.Equal(t, move.Driver, fleet.MemberID("entry-1"))
				assert.Equal(t, move.VM.ID, fleet.VMID("vm-1"))
			}
		}
	}
}
