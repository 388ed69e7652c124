package plans

import (
	"context"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/move"
)

// start runs an act, unless as many as permitted are running: the next tick
// then asks for it again.
func (d *Driver) start(ctx context.Context, action Action) {
	select {
	case d.slots <- struct{}{}:
	default:
		return
	}
	d.mu.Lock()
	d.acted[action.VM.ID] = d.options.Now().Add(d.options.ActTimeout)
	d.mu.Unlock()
	d.options.Go(func() {
		defer func() { <-d.slots }()
		ctx, cancel := context.WithTimeout(ctx, d.options.ActTimeout)
		defer cancel()
		evidence, err := d.act(ctx, action)
		d.record(action.VM.ID, evidence, d.options.Now())
		d.options.OnAction(action, err)
	})
}

func (d *Driver) record(vm fleet.VMID, evidence move.Evidence, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evidence[vm] = evidence
	d.acted[vm] = now
}

// act performs an act and returns what it shows about the row that it is based on.
func (d *Driver) act(ctx context.Context, action Action) (move.Evidence, error) {
	e := move.Evidence{Version: action.VM.Version}
	var err error
	switch action.Act {
	case move.ActQueryDrain:
		var drain DrainEvidence
		if drain, err = d.options.Environment.QueryDrain(ctx, action.VM.ID, action.VM.Generation, action.VM.Version); err == nil {
			e.Drain = &drain
		}
	case move.ActReboot:
		e.Reboot, err = d.reboot(ctx, action.VM)
	case move.ActProbe:
		err = d.options.Environment.Probe(ctx, action.VM)
		e.Probed = err == nil
	}
	if err != nil {
		e.LastError = err.Error()
	}
	return e, err
}

// reboot starts the recorded reboot unless the platform knows it.
func (d *Driver) reboot(ctx context.Context, vm fleet.VM) (fleet.RebootState, error) {
	state, err := d.options.Environment.RebootState(ctx, vm.ID, vm.Operation)
	if err != nil || state != fleet.RebootUnknown {
		return state, err
	}
	return fleet.RebootRunning, d.options.Environment.Reboot(ctx, vm.ID, vm.Operation)
}
