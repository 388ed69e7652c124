package plans

import (
	"context"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/move"
)

// DrainEvidence holds the replies of all members to a drain query.
type DrainEvidence = move.DrainEvidence

// Environment performs the acts of a driver. All acts may be repeated or delayed.
// Only Reboot changes a VM, and it is idempotent by operation. store.HTTPPlatform
// implements the two reboot calls.
type Environment interface {
	// QueryDrain asks every live member for its fleet revision and for the number of
	// its requests in flight to the VM. revision is the one that started the drain.
	QueryDrain(ctx context.Context, vm fleet.VMID, generation, revision uint64) (DrainEvidence, error)
	// Reboot starts a reboot. A repeated call with the same operation has no effect.
	Reboot(ctx context.Context, vm fleet.VMID, operation string) error
	// RebootState returns fleet.RebootUnknown for an operation that was never started.
	RebootState(ctx context.Context, vm fleet.VMID, operation string) (fleet.RebootState, error)
	// Probe returns nil when the backend server of the VM answers.
	Probe(ctx context.Context, vm fleet.VM) error
}
