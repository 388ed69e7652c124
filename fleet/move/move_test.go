package move_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/move"
)

const plan = fleet.PlanID("p")

func input(phase fleet.Phase) move.Input {
	in := move.Input{
		VM:   fleet.VM{ID: "v", Pool: "a", Generation: 3, Phase: phase, Plan: plan, Version: 7},
		Step: fleet.MoveStep{VM: "v", From: "a", To: "b", Generation: 3, Reboot: true},
		Plan: plan, MayStart: true, Evidence: move.Evidence{Version: 7},
	}
	if phase == fleet.PhaseMoved {
		in.VM.Pool, in.VM.Generation, in.VM.Attempt = "b", 4, 1
		in.VM.Operation = move.Operation(plan, in.VM)
	}
	return in
}

func drained(revision uint64, inFlight int) *move.DrainEvidence {
	return &move.DrainEvidence{Members: []move.MemberDrain{{Member: "m", Revision: revision, InFlight: inFlight}}, EvictedLapsed: true}
}

// Guards against a VM that is moved before every member has confirmed the drain.
func TestDrainEvidence(t *testing.T) {
	missing, lapsing := drained(7, 0), drained(7, 0)
	missing.Missing, lapsing.EvictedLapsed = []fleet.MemberID{"n"}, false
	for reason, evidence := range map[string]*move.DrainEvidence{
		"member m routes by revision 6, before the drain at 7": drained(6, 0),
		"member m has 1 requests in flight":                    drained(7, 1),
		"member n has not answered":                            missing,
		"the view of an evicted member may still be valid":     lapsing,
		"no member has answered":                               {EvictedLapsed: true},
	} {
		in := input(fleet.PhaseDraining)
		in.Evidence.Drain = evidence
		assert.DeepEqual(t, move.Next(in), move.Decision{Act: move.ActQueryDrain, Reason: reason})
	}
	in := input(fleet.PhaseDraining)
	in.Evidence.Drain = drained(7, 0)
	assert.Equal(t, move.Next(in).Write.Phase, fleet.PhaseDrained)
	in.Evidence.Version = 6 // Evidence about an earlier drain.
	assert.Equal(t, move.Next(in).Act, move.ActQueryDrain)
}

// Guards against a reboot that is not recorded before it starts, that reuses
// the identity of a failed one, or that is repeated without end.
func TestReboot(t *testing.T) {
	d := move.Next(input(fleet.PhaseDrained))
	assert.Equal(t, d.Write.Pool, fleet.PoolID("b"))
	assert.Equal(t, d.Write.Generation, uint64(4))
	in := input(fleet.PhaseMoved)
	assert.Equal(t, d.Write.Operation, in.VM.Operation)
	assert.Equal(t, move.Next(in).Act, move.ActReboot)
	in.Evidence.Reboot = fleet.RebootRunning
	assert.Equal(t, move.Next(in).Act, move.ActReboot)
	in.Evidence.Reboot = fleet.RebootFailed
	for attempt := 2; attempt <= move.DefaultReboots; attempt++ {
		next := move.Next(in).Write
		assert.Equal(t, next.Attempt, attempt)
		assert.Assert(t, next.Operation != in.VM.Operation)
		in.VM = *next
	}
	assert.Equal(t, move.Next(in).Failed, "3 reboots of VM v failed")
	in.Cancel = true // An operator has looked at it.
	assert.Equal(t, move.Next(in).Write.Attempt, 4)
}

// Guards against a cancelled VM that is left out of service, or returned to
// service without the reboot and the probe that its move began.
func TestCancel(t *testing.T) {
	for _, phase := range []fleet.Phase{fleet.PhaseServing, fleet.PhaseDraining, fleet.PhaseDrained} {
		in := input(phase)
		in.Cancel = true
		d := move.Next(in)
		assert.Assert(t, d.Done)
		assert.DeepEqual(t, *d.Write, fleet.VM{ID: "v", Pool: "a", Generation: 3, Phase: fleet.PhaseServing, Version: 7})
	}
	in := input(fleet.PhaseMoved)
	in.Cancel = true
	assert.Equal(t, move.Next(in).Act, move.ActReboot)
	in.VM.Phase = fleet.PhaseRebooted
	assert.Equal(t, move.Next(in).Act, move.ActProbe)
}

// Guards against a phase that waits for ever.
func TestLimits(t *testing.T) {
	for phase, limit := range map[fleet.Phase]time.Duration{
		fleet.PhaseDraining: move.DefaultDrainLimit, fleet.PhaseMoved: move.DefaultRebootLimit, fleet.PhaseRebooted: move.DefaultProbeLimit,
	} {
		in := input(phase)
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

// Guards against a VM that serves in its new pool without a probe.
func TestProbe(t *testing.T) {
	in := input(fleet.PhaseRebooted)
	in.Evidence.Probed = true
	assert.Equal(t, move.Next(in).Write.Phase, fleet.PhaseProbed)
	in.VM.Phase = fleet.PhaseProbed
	d := move.Next(in)
	assert.Assert(t, d.Done && d.Write.Routable() && d.Write.Plan == "" && d.Write.Operation == "")
}

// Guards against a driver that acts on a VM of another plan.
func TestForeignVM(t *testing.T) {
	in := input(fleet.PhaseServing)
	in.VM.Plan = "other"
	assert.DeepEqual(t, move.Next(in), move.Decision{})
	in.Unchanged = time.Hour
	assert.Equal(t, move.Next(in).Failed, "VM v is not reserved by the plan")
}
