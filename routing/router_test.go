package routing

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet"
)

func view(vms ...fleet.VM) *fleet.Snapshot {
	s := &fleet.Snapshot{VMs: map[fleet.VMID]fleet.VM{}}
	for _, vm := range vms {
		s.VMs[vm.ID] = vm
	}
	return s
}

// Guards against sending to a VM that has been reported leaving.
func TestLeavingVMGetsNothingNew(t *testing.T) {
	r := New(Options{})
	r.SetValidity(func() bool { return true })
	vm := fleet.VM{ID: "a", Pool: "p", Slots: 2, Phase: fleet.PhaseServing}
	r.SetView(view(vm), fleet.MemberView{Version: 1, Members: []fleet.Member{{ID: "m"}}}, fleet.Member{ID: "m"})
	held, err := r.Acquire(context.Background(), Request{Pool: "p"})
	assert.NilError(t, err)
	r.ReportLeaving([]fleet.VMID{"a"})
	assert.Assert(t, !held.Valid())
	_, err = r.Acquire(context.Background(), Request{Pool: "p"})
	var shed *ShedError
	assert.Assert(t, errors.As(err, &shed))
	assert.Equal(t, shed.Reason, ShedNoTarget)
	held.Done(ResultAnswered)
	assert.Equal(t, r.InFlight("a", 0), 0)
}
