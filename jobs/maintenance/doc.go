// Package maintenance decides which VMs move between pools and when the VMs of
// a maintenance wave are serviced, and carries the decisions out.
//
// The planner computes decisions from a snapshot and changes nothing. The
// manager, which runs on the process that owns the fleet's shard, has each VM
// vacated by the owner of its pool before it gives the order, and records what
// was done in rows that it may write only while it is the owner.
package maintenance
