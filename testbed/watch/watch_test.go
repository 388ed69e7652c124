package watch

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/store"
)

// Guards against a fresh process that becomes ready with an older configuration, and one that goes back.
func TestVersionsReportOlderConfigurations(t *testing.T) {
	v := NewVersions()
	v.Ready("a", 1)
	v.ReportedInForce(2)
	v.Ready("a", 2)
	v.Ready("b", 3)
	assert.Equal(t, len(v.Findings), 0, "%v", v.Findings)
	v.Ready("c", 1) // Fresh, behind what is in force.
	assert.Equal(t, len(v.Findings), 1, "%v", v.Findings)
	v.Ready("b", 2) // Not behind what is in force, but behind itself.
	assert.Equal(t, len(v.Findings), 2, "%v", v.Findings)
	assert.Equal(t, v.Samples, 5)
}

func row(t *testing.T, key string, value any) store.Row {
	data, err := json.Marshal(value)
	assert.NilError(t, err)
	return store.Row{Key: key, Value: data}
}

// Guards against a fault injected at another step than the one that a case names.
func TestFindWaitsForThePhase(t *testing.T) {
	rows := func(phase fleet.Phase, reserved fleet.PlanID, driver fleet.MemberID) []store.Row {
		return []store.Row{
			row(t, fleet.PlanKey("p"), fleet.Plan{ID: "p", Driver: driver}),
			row(t, fleet.VMKey("vm-1"), fleet.VM{ID: "vm-1", Phase: phase, Plan: reserved}),
			row(t, fleet.VMKey("vm-2"), fleet.VM{ID: "vm-2", Phase: fleet.PhaseProbed, Plan: "other"}),
		}
	}
	for _, c := range []struct {
		rows []store.Row
		want bool
	}{
		{rows(fleet.PhaseDrained, "p", "entry-1"), true},
		{rows(fleet.PhaseMoved, "p", "entry-1"), true},
		{rows(fleet.PhaseDraining, "p", "entry-1"), false},
		{rows(fleet.PhaseDrained, "", "entry-1"), false},
		{rows(fleet.PhaseDrained, "p", ""), false},
	} {
		move, found, err := Find(c.rows, "p", fleet.PhaseDrained)
		assert.NilError(t, err)
		assert.Equal(t, found, c.want)
		if found {
			assert.Equal(t, move.Driver, fleet.MemberID("entry-1"))
			assert.Equal(t, move.VM.ID, fleet.VMID("vm-1"))
		}
	}
}
