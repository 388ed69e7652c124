package move_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/move"
)

const plan = fleet.PlanID("p")

func newInput(phase fleet.Phase) move.Input {
	in := move.Input{
		VM:   fleet.VM{ID: "v", Pool: "a", Generation: 3, Phase: phase, Plan: plan, Version: 7},
		Step: fleet.MoveStep{VM: "v", From: "a", To: "b", Generation: 3, Reboot: true},
		Plan: plan, StartAllowed: true, Evidence: move.Evidence{Version: 7},
	}
	if phase == fleet.PhaseMoved {
		in.VM.Pool, in.VM.Generation, in.VM.Attempt = "b", 4, 1
		in.VM.Operation = move.Operation(plan, in.VM)
	}
	return in
}

func newDrainEvidence(revision uint64, inFlight int) *move.DrainEvidence {
	return &move.DrainEvidence{Members: []move.MemberDrain{{Member: "m", Revision: revision, InFlight: inFlight}}, DepartedViewsExpired: true}
}

// Guards against a VM that is moved before every member has confirmed the drain.
func TestDrainEvidence(t *testing.T) {
	missing, expiring := newDrainEvidence(7, 0), newDrainEvidence(7, 0)
	missing.Missing, expiring.DepartedViewsExpired = []fleet.MemberID{"n"}, false
	for reason, evidence := range map[string]*move.DrainEvidence{
		"member m routes by revision 6, before the drain at 7": newDrainEvidence(6, 0),
		"member m has 1 requests in flight":                    newDrainEvidence(7, 1),
		"member n has not answered":                            missing,
		"the view of an evicted member may still be valid":     expiring,
		"no member has answered":                               {DepartedViewsExpired: true},
	} {
		in := newInput(fleet.PhaseDraining)
		in.Evidence.Drain = evidence
		assert.DeepEqual(t, move.Next(in), move.Decision{Act: move.ActQueryDrain, Reason: reason})
	}
	in := newInput(fleet.PhaseDraining)
	in.Evidence.Drain = newDrainEvidence(7, 0)
	assert.Equal(t, move.Next(in).Write.Phase, fleet.PhaseDrained)
	in.Evidence.Version = 6 // Evidence for an earlier drain.
	assert.Equal(t, move.Next(in).Act, move.ActQueryDrain)
}

// Guards against a reboot that is not stored before it starts, that reuses the identity
// of a failed one, or that is retried without limit.
func TestReboot(t *testing.T) {
	d := move.Next(newInput(fleet.PhaseDrained))
	assert.Equal(t, d.Write.Pool, fleet.PoolID("b"))
	assert.Equal(t, d.Write.Generation, uint64(4))
	in := newInput(fleet.PhaseMoved)
	assert.Equal(t, d.Write.Operation, in.VM.Operation)
	assert.Equal(t, move.Next(in).Act, move.ActReboot)
	in.Evidence.Reboot = fleet.RebootRunning
	assert.Equal(t, move.Next(in).Act, move.ActReboot)
	in.Evidence.Reboot = fleet.RebootFailed
	for attempt := 2; attempt <= move.DefaultMaxReboots; attempt++ {
		next := move.Next(in).Write
		assert.Equal(t, next.Attempt, attempt)
		assert.Assert(t, next.Operation != in.VM.Operation)
		in.VM = *next
	}
	assert.Equal(t, move.Next(in).Failed, "3 reboots of VM v failed")
	in.Cancel = true // Cancelled by an operator: more attempts are allowed.
	assert.Equal(t, move.Next(in).Write.Attempt, 4)
}

// Guards against a cancelled move that leaves the VM out of service, or returns it to
// service without the reboot and the probe that it needs after changing pools.
func TestCancel(t *testing.T) {
	for _, phase := range []fleet.Phase{fleet.PhaseServing, fleet.PhaseDraining, fleet.PhaseDrained} {
		in := newInput(phase)
		in.Cancel = true
		d := move.Next(in)
		assert.Assert(t, d.Done)
		assert.DeepEqual(t, *d.Write, fleet.VM{ID: "v", Pool: "a", Generation: 3, Phase: fleet.PhaseServing, Version: 7})
	}
	in := newInput(fleet.PhaseMoved)
	in.Cancel = true
	assert.Equal(t, move.Next(in).Act, move.ActReboot)
	in.VM.Phase = fleet.PhaseRebooted
	assert.Equal(t, move.Next(in).Act, move.ActProbe)
}

// Guards against a phase without a time limit.
func TestLimits(t *testing.T) {
	for phase, limit := range map[fleet.Phase]time.Duration{
		fleet.PhaseDraining: move.DefaultDrainLimit, fleet.PhaseMoved: move.DefaultRebootLimit, fleet.PhaseRebooted: move.DefaultProbeLimit,
	} {
		in := newInput(phase)
		in.Unchanged = limit - 1
		assert.Equal(t, move.Next(in).Failed, "")
		in.Unchanged = limit
		d := move.Next(in)
		assert.Assert(t, d.Failed != "")
		if phase == fleet.PhaseDraining {
			assert.Equal(t, d.Write.Phase, fleet.PhaseServing)
			assert.Equal(t, d.Write.Pool, fleet.PoolID("a"))
		}
	}
}

// Guards against a VM that serves in its new pool before a successful probe.
func TestProbe(t *testing.T) {
	in := newInput(fleet.PhaseRebooted)
	in.Evidence.Probed = true
	assert.Equal(t, move.Next(in).Write.Phase, fleet.PhaseProbed)
	in.VM.Phase = fleet.PhaseProbed
	d := move.Next(in)
	assert.Assert(t, d.Done && d.Write.Routable() && d.Write.Plan == "" && d.Write.Operation == "")
}

// Guards against a driver that acts on a VM reserved by another plan.
func TestForeignVM(t *testing.T) {
	in := newInput(fleet.PhaseServing)
	in.VM.Plan = "other"
	assert.DeepEqual(t, move.Next(in), move.Decision{})
	in.Unchanged = time.Hour
	assert.Equal(t, move.Next(in).Failed, "VM v is not reserved by the plan")
}
