// Package maintenance moves VMs between pools as demand changes and services the
// VMs of maintenance waves.
//
// The planner computes decisions from a snapshot and has no side effects. The
// manager runs in the process that owns the fleet's shard and carries the
// decisions out. Before it orders a move or the maintenance of a VM, the owner of
// the VM's pool vacates it. Progress is stored in rows, and every write is
// conditional on this process still being the owner.
package maintenance
