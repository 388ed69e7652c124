package plans

import (
	"context"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/move"
)

// startAct runs an act. It does nothing if MaxConcurrentActs acts are running; the
// next tick then decides on the act again.
func (d *Driver) startAct(ctx context.Context, action Action) {
	select {
	case d.actSlots <- struct{}{}:
	default:
		return
	}
	d.mu.Lock()
	d.lastActAt[action.VM.ID] = d.options.Now().Add(d.options.ActTimeout)
	d.mu.Unlock()
	d.options.Go(func() {
		defer func() { <-d.actSlots }()
		ctx, cancel := context.WithTimeout(ctx, d.options.ActTimeout)
		defer cancel()
		evidence, err := d.performAct(ctx, action)
		d.recordEvidence(action.VM.ID, evidence, d.options.Now())
		d.options.OnAction(action, err)
	})
}

func (d *Driver) recordEvidence(vm fleet.VMID, evidence move.Evidence, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evidence[vm] = evidence
	d.lastActAt[vm] = now
}

// performAct performs an act and returns its result as evidence about the version
// of the VM row on which the act is based.
func (d *Driver) performAct(ctx context.Context, action Action) (move.Evidence, error) {
	e := move.Evidence{Version: action.VM.Version}
	var err error
	switch action.Act {
	case move.ActQueryDrain:
		var drain DrainEvidence
		if drain, err = d.options.Environment.QueryDrain(ctx, action.VM.ID, action.VM.Generation, action.VM.Version); err == nil {
			e.Drain = &drain
		}
	case move.ActReboot:
		e.Reboot, err = d.ensureReboot(ctx, action.VM)
	case move.ActProbe:
		err = d.options.Environment.Probe(ctx, action.VM)
		e.Probed = err == nil
	}
	if err != nil {
		e.LastError = err.Error()
	}
	return e, err
}

// ensureReboot returns the state of the reboot recorded in the VM row, and starts the
// reboot if the platform does not know it.
func (d *Driver) ensureReboot(ctx context.Context, vm fleet.VM) (fleet.RebootState, error) {
	state, err := d.options.Environment.RebootState(ctx, vm.ID, vm.Operation)
	if err != nil || state != fleet.RebootUnknown {
		return state, err
	}
	return fleet.RebootRunning, d.options.Environment.Reboot(ctx, vm.ID, vm.Operation)
}
