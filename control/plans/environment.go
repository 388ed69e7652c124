package plans

import (
	"context"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/move"
)

// DrainEvidence is the combined answer of the members to a drain query.
type DrainEvidence = move.DrainEvidence

// Environment performs acts outside the table. All acts may be repeated and may
// be late; none of them changes a VM except Reboot, which is idempotent by
// operation. store.HTTPPlatform implements the two reboot calls.
type Environment interface {
	// QueryDrain asks every live member for its fleet revision and its requests
	// in flight to the VM. revision is that of the drain.
	QueryDrain(ctx context.Context, vm fleet.VMID, generation, revision uint64) (DrainEvidence, error)
	// Reboot starts a reboot. Repeating it with the same operation has no further effect.
	Reboot(ctx context.Context, vm fleet.VMID, operation string) error
	// RebootState returns fleet.RebootUnknown for an operation that was never started.
	RebootState(ctx context.Context, vm fleet.VMID, operation string) (fleet.RebootState, error)
	// Probe returns nil when the backend server of the VM answers.
	Probe(ctx context.Context, vm fleet.VM) error
}
