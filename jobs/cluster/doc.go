// Package cluster distributes the shards of the system over its processes.
//
// Each process periodically renews its own member row in the table service. A shard
// belongs to the process named in its owner row. A process is allowed to act for its
// shards while it holds its lease: until a fixed time after it sent its last
// successful renewal, on a clock that includes suspension. Other processes take a
// shard over when its owner has left, has restarted, or has not renewed its member
// row for longer than the lease duration. The takeover deletes the member row of the
// former owner in the same transaction, so that a renewal still in flight cannot take
// effect.
package cluster
